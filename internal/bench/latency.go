package bench

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/settings"
)

const (
	// latencyPercent is the load at which the target for added latency applies.
	latencyPercent = 80
	// latencyCallers is large enough that each of the two entry instances of a
	// failure domain serves about half of the callers.
	latencyCallers = 16
)

// measureLatency compares the system with direct calls inside one failure
// domain. Service times are fixed and callers connect without a link, so that
// only the system causes differences.
func (r *runner) measureLatency(ctx context.Context) error {
	folder, err := os.MkdirTemp("", "drbench")
	if err != nil {
		return errors.Wrap(err, "temporary folder for the deployment")
	}
	defer func() { _ = os.RemoveAll(folder) }()
	domain, err := writeSingleDomainDeployment(filepath.Join(r.opts.Deploy, r.name), folder)
	if err != nil {
		return err
	}
	work := backendstandin.Work{ServiceTime: config.Duration(r.opts.LatencyServiceTime), Distribution: backendstandin.Fixed, BodySize: answerSize}
	return r.withTestbed(ctx, folder, nil, work, func(ctx context.Context) error { return r.compareLatency(ctx, domain) })
}

func (r *runner) compareLatency(ctx context.Context, domain string) error {
	dep := r.testbed.Deployment()
	streams := streamsFor(dep, r.testbed.Contract(), latencyPercent/100.0, r.opts.LatencyServiceTime)
	out := &LatencyResult{FailureDomain: domain}
	var err error
	if out.Direct, err = r.runLoad(ctx, variantDirect, latencyPercent, directCallers(dep, 0, newExactBalancer()), streams); err != nil {
		return err
	}
	callers, err := r.testbed.Callers(latencyCallers, r.token())
	if err != nil {
		return err
	}
	if out.System, err = r.runLoad(ctx, variantSystem, latencyPercent, withoutLinks(callers), streams); err != nil {
		return err
	}
	if out.SystemWithIssuedKeys, err = r.runLoad(ctx, variantIssuedKeys, latencyPercent, withoutLinks(callers), withIssuedKeys(streams)); err != nil {
		return err
	}
	out.Added = addedLatencies(out.Direct, out.System)
	out.AddedWithIssuedKeys = addedLatencies(out.Direct, out.SystemWithIssuedKeys)
	r.result.Latency = out
	return nil
}

func addedLatencies(direct, system LoadResult) []AddedLatency {
	var out []AddedLatency
	for i, s := range system.Services {
		d := direct.Services[i]
		out = append(out, AddedLatency{Service: s.Service, P50: s.P50 - d.P50, P99: s.P99 - d.P99, P999: s.P999 - d.P999})
	}
	return out
}

// withoutLinks makes callers connect directly to the entry instances: even a
// link without delay adds a network hop that is not part of the system.
func withoutLinks(callers []*loadgen.Caller) []*loadgen.Caller {
	for _, c := range callers {
		c.AddressMap = nil
	}
	return callers
}

// writeSingleDomainDeployment copies a deployment, reduced to its first failure
// domain, and returns the name of that domain.
func writeSingleDomainDeployment(from, to string) (string, error) {
	var dep config.Deployment
	if err := settings.Load(filepath.Join(from, "deployment.json"), &dep, nil); err != nil {
		return "", err
	}
	reduced := reduceToFirstDomain(dep)
	data, err := json.Marshal(reduced)
	if err != nil {
		return "", errors.Wrap(err, "deployment")
	}
	if err := os.WriteFile(filepath.Join(to, "deployment.json"), data, 0o600); err != nil {
		return "", errors.Wrap(err, "deployment")
	}
	contract, err := os.ReadFile(filepath.Join(from, "contract.json"))
	if err != nil {
		return "", errors.Wrap(err, "contract")
	}
	if err := os.WriteFile(filepath.Join(to, "contract.json"), contract, 0o600); err != nil {
		return "", errors.Wrap(err, "contract")
	}
	return reduced.FailureDomains[0].Name, nil
}

// reduceToFirstDomain keeps the first failure domain and everything in it.
func reduceToFirstDomain(dep config.Deployment) config.Deployment {
	domain := dep.FailureDomains[0]
	out := config.Deployment{
		Regions:                  []config.Region{{Name: domain.Region}},
		FailureDomains:           []config.FailureDomain{domain},
		DefaultLinkBitsPerSecond: dep.DefaultLinkBitsPerSecond,
	}
	for _, e := range dep.EntryInstances {
		if e.FailureDomain == domain.Name {
			out.EntryInstances = append(out.EntryInstances, e)
		}
	}
	for _, s := range dep.BackendServers {
		if s.FailureDomain == domain.Name {
			out.BackendServers = append(out.BackendServers, s)
		}
	}
	for _, b := range dep.ClientBlocks {
		if b.FailureDomain == domain.Name {
			out.ClientBlocks = append(out.ClientBlocks, b)
		}
	}
	return out
}

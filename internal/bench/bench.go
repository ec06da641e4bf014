// Package bench measures a deployment of the testbed from the outside: what
// callers see at several loads, next to direct calls and to two simple
// balancers, and how long drains, changes and fail-over take.
package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/go-faster/errors"

	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
	"github.com/dandelionrack/dandelionrack/internal/testbed"
	"github.com/dandelionrack/dandelionrack/pkg/config"
)

// Part is one group of measurements.
type Part string

// Parts of a bench, in the order in which they run.
const (
	PartLatency   Part = "latency"   // added latency inside one failure domain
	PartLoad      Part = "load"      // the system at each load
	PartBaselines Part = "baselines" // the balancers of this package at each load
	PartDrain     Part = "drain"
	PartConfig    Part = "config"
	PartFailover  Part = "failover"
)

// Parts lists all parts.
func Parts() []Part {
	return []Part{PartLatency, PartLoad, PartBaselines, PartDrain, PartConfig, PartFailover}
}

// Options of a bench.
type Options struct {
	Bin         string // folder of the built programs
	Deploy      string // folder with the sample deployments
	Deployments []string
	Parts       []Part
	Loads       []int // percent of the slots
	// Warmup is sent before the Duration that counts.
	Warmup, Duration time.Duration
	// ServiceTime is the median service time of a backend server. It keeps
	// the request rate low enough that the machine is not the limit.
	ServiceTime time.Duration
	// LatencyServiceTime is the fixed service time of the latency part.
	LatencyServiceTime time.Duration
	Progress           io.Writer
}

// sigma spreads the service times of the load runs; the mean of a lognormal
// distribution is meanFactor times its median.
const (
	sigma      = 0.3
	meanFactor = 1.046 // exp(sigma^2 / 2)
	// answerSize is the size of an answer body in bytes.
	answerSize = 2000
	// callersPerDomain spreads load over the entry instances of a domain.
	callersPerDomain = 4
)

// Run measures all wanted parts of all wanted deployments.
func Run(ctx context.Context, opts Options) (*Report, error) {
	report := newReport(opts)
	for _, name := range opts.Deployments {
		r := &runner{opts: opts, name: name, result: &DeploymentResult{Deployment: name}}
		report.Deployments = append(report.Deployments, r.result)
		if err := r.run(ctx); err != nil {
			return report, errors.Wrap(err, name)
		}
	}
	return report, nil
}

// runner measures one deployment.
type runner struct {
	opts   Options
	name   string
	result *DeploymentResult
	bed    *testbed.Testbed
	dir    string // settings and logs of the bed
}

func (r *runner) wants(p Part) bool { return slices.Contains(r.opts.Parts, p) }

func (r *runner) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(r.opts.Progress, "%s %s: %s\n", time.Now().Format("15:04:05"), r.name, fmt.Sprintf(format, args...))
}

func (r *runner) run(ctx context.Context) error {
	if r.wants(PartLatency) {
		if err := r.measureLatency(ctx); err != nil {
			return errors.Wrap(err, "latency")
		}
	}
	if !slices.ContainsFunc(r.opts.Parts, func(p Part) bool { return p != PartLatency }) {
		return nil
	}
	work := backendstandin.Work{
		Distribution:   backendstandin.Lognormal,
		ServiceTime:    config.Duration(r.opts.ServiceTime),
		Sigma:          sigma,
		MaxServiceTime: config.Duration(10 * r.opts.ServiceTime),
		BodySize:       answerSize,
	}
	return r.withBed(ctx, filepath.Join(r.opts.Deploy, r.name), testbed.SampleDelays(r.name), work, r.runParts)
}

// runParts runs the parts that share one bed. Fail-over comes last, because it
// leaves the bed without an entry instance.
func (r *runner) runParts(ctx context.Context) error {
	steps := []struct {
		part Part
		run  func(context.Context) error
	}{
		{PartLoad, r.measureLoads},
		{PartBaselines, r.measureBaselines},
		{PartDrain, r.measureDrain},
		{PartConfig, r.measureChanges},
		{PartFailover, r.measureFailover},
	}
	for _, s := range steps {
		if !r.wants(s.part) {
			continue
		}
		if err := s.run(ctx); err != nil {
			return errors.Wrap(err, string(s.part))
		}
	}
	return nil
}

// withBed starts a bed for the time of a function. Without delays, the entry
// instances reach the platform without a link too.
func (r *runner) withBed(ctx context.Context, folder string, delays *testbed.Delays, work backendstandin.Work, f func(context.Context) error) error {
	dir, err := os.MkdirTemp("", "drbench")
	if err != nil {
		return errors.Wrap(err, "folder of the bench")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bed, err := testbed.Start(ctx, testbed.Options{
		BinDir: r.opts.Bin, DeploymentDir: folder, WorkDir: dir, Delays: delays, DirectPlatform: delays == nil, Work: work,
	})
	if err != nil {
		return errors.Wrap(err, "start")
	}
	defer bed.Close()
	r.bed, r.dir = bed, dir
	return f(ctx)
}

// token is the sample token of the customer.
func (r *runner) token() string { return r.name + "-token" }

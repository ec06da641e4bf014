package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
	linkstandin "github.com/dandelionrack/dandelionrack/internal/standin/link"
	platformstandin "github.com/dandelionrack/dandelionrack/internal/standin/platform"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
)

// Options describe a bed.
type Options struct {
	// Bin is the folder of the built programs.
	Bin string
	// Deployment is a folder with deployment.json and contract.json.
	Deployment string
	// Dir receives settings and logs.
	Dir string
	// Delays shapes the links; nil adds no delay and no bandwidth limit.
	Delays *Delays
	// DirectPlatform connects entry instances to the platform without a link.
	// Even a link without delay costs a hop that is not part of the system.
	DirectPlatform bool
	// Work is the cost of a request at a backend server.
	Work backendstandin.Work
	// LookupTTL of the entry instances.
	LookupTTL time.Duration
	LogLevel  string
	// Contract adjusts the contract before it is applied.
	Contract func(*config.Contract)
	// LinkBits replaces the capacity of all links between regions; 0 keeps it.
	LinkBits int64
	// TLS protects the connections of operators and between entry instances,
	// with an authority made for this bed.
	TLS bool
}

// Bed is a running deployment. Its methods are safe for concurrent use.
type Bed struct {
	opts   Options
	layout *layout
	// authority is nil without TLS.
	authority *authority

	// Processes are named "drplatform", "drbackend", "drlink" and by the ids of
	// the entry instances.
	*Processes
}

// startTimeout bounds the start of a process until it answers.
const startTimeout = 15 * time.Second

// Start runs all processes and applies deployment and contract. On an error
// nothing is left running.
func Start(ctx context.Context, opts Options) (*Bed, error) {
	// The request log of httpc repeats what the results hold.
	logx.Disable()
	l, err := loadLayout(opts.Deployment, opts.Delays, opts.LinkBits)
	if err != nil {
		return nil, err
	}
	if opts.DirectPlatform {
		for id := range l.platformURLs {
			l.platformURLs[id] = "http://" + l.platformAddr()
		}
	}
	if opts.Contract != nil {
		opts.Contract(&l.contract)
	}
	if opts.LookupTTL == 0 {
		opts.LookupTTL = time.Second
	}
	b := &Bed{opts: opts, layout: l, Processes: NewProcesses(opts.Bin, opts.Dir)}
	if opts.TLS {
		if b.authority, err = newAuthority(opts.Dir, "authority"); err != nil {
			b.Close()
			return nil, err
		}
	}
	if err := b.startAll(ctx); err != nil {
		b.Close()
		return nil, err
	}
	return b, nil
}

func (b *Bed) startAll(ctx context.Context) error {
	if err := b.StartPlatform(ctx); err != nil {
		return err
	}
	if err := b.startProgram("drbackend", "drbackend", b.layout.backendSettings(b.opts.Work)); err != nil {
		return err
	}
	links := linkstandin.Settings{Admin: b.layout.linkAdminAddr(), Links: b.layout.links, Groups: b.layout.groups}
	if err := b.startProgram("drlink", "drlink", links); err != nil {
		return err
	}
	for _, url := range []string{
		"http://" + b.layout.backendAdminAddr() + "/admin/stats",
		"http://" + b.layout.linkAdminAddr() + "/admin/links",
	} {
		if err := waitHTTP(ctx, url); err != nil {
			return err
		}
	}
	for _, in := range b.layout.deployment.EntryInstances {
		if err := b.launchEntry(in, true, CertificateGood); err != nil {
			return err
		}
	}
	if err := b.applyConfig(ctx); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, in := range b.layout.deployment.EntryInstances {
		group.Go(func() error { return b.WaitReady(ctx, in.ID) })
	}
	return group.Wait()
}

// StartPlatform starts the platform stand-in and waits until it answers.
func (b *Bed) StartPlatform(ctx context.Context) error {
	s := platformstandin.DefaultSettings()
	s.Addr = b.layout.platformAddr()
	if err := b.startProgram("drplatform", "drplatform", s); err != nil {
		return err
	}
	return waitHTTP(ctx, "http://"+s.Addr+"/admin/stats")
}

func (b *Bed) applyConfig(ctx context.Context) error {
	first := b.layout.deployment.EntryInstances[0]
	if err := waitTCP(ctx, first.OperatorAddr); err != nil {
		return err
	}
	client, err := b.Operator(first.ID)
	if err != nil {
		return err
	}
	change := config.Change{ID: loadgen.NewKey(), Author: "testbed", At: time.Now()}
	if _, err := client.SubmitChange(ctx, change, config.ApplyDeployment{Deployment: b.layout.deployment}); err != nil {
		return errors.Wrap(err, "apply deployment")
	}
	change.ID = loadgen.NewKey()
	if _, err := client.SubmitChange(ctx, change, config.ApplyContract{Contract: b.layout.contract}); err != nil {
		return errors.Wrap(err, "apply contract")
	}
	return nil
}

func (b *Bed) launchEntry(in config.EntryInstance, fresh bool, kind Certificate) error {
	s := b.layout.entrySettings(in, fresh, b.opts.LookupTTL)
	s.LogLevel = b.opts.LogLevel
	if err := b.secure(&s, in, kind); err != nil {
		return err
	}
	return b.startProgram(in.ID, "drentry", s)
}

// startProgram writes the settings of a process and starts it.
func (b *Bed) startProgram(name, program string, settings any) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "settings of %s", name)
	}
	file := filepath.Join(b.opts.Dir, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return errors.Wrapf(err, "settings of %s", name)
	}
	return b.Start(Program{Name: name, Program: program, Args: []string{"--settings", file}})
}

// StartEntry starts an entry instance again, as a replacement that knows
// nothing of its predecessor. It does not wait for readiness.
func (b *Bed) StartEntry(id string) error { return b.StartEntryWith(id, CertificateGood) }

// StartEntryWith starts an entry instance again with a certificate of a kind;
// without TLS the kind has no effect.
func (b *Bed) StartEntryWith(id string, kind Certificate) error {
	in, err := b.EntryInstance(id)
	if err != nil {
		return err
	}
	return b.launchEntry(in, false, kind)
}

// WaitReady waits until an entry instance has a contract in force.
func (b *Bed) WaitReady(ctx context.Context, id string) error {
	client, err := b.Operator(id)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return poll(ctx, func() error {
		st, err := client.Status(ctx)
		if err != nil {
			return err
		}
		if st.State != "ready" {
			return errors.Errorf("entry instance %s is %s", id, st.State)
		}
		doc, err := client.Document(ctx)
		if err != nil {
			return err
		}
		if len(doc.Contracts) == 0 {
			return errors.Errorf("entry instance %s has no contract yet", id)
		}
		return nil
	})
}

// Operator returns a client of the operator API of an entry instance.
func (b *Bed) Operator(id string) (*operator.Client, error) {
	in, err := b.EntryInstance(id)
	if err != nil {
		return nil, err
	}
	url, caFile := b.OperatorURL(in)
	return operator.NewClient(operator.ClientConfig{
		BaseURL: url, Token: OperatorToken, Timeout: 10 * time.Second, CAFile: caFile,
	})
}

// Deployment is the deployment with the addresses of this bed.
func (b *Bed) Deployment() config.Deployment { return b.layout.deployment }

// Contract is the contract that was applied at the start.
func (b *Bed) Contract() config.Contract { return b.layout.contract }

// Caller returns the n-th caller of a failure domain.
func (b *Bed) Caller(failureDomain string, n int, token string) (*loadgen.Caller, error) {
	addr, err := b.layout.clientAddress(failureDomain, n)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, in := range b.layout.deployment.EntryInstances {
		if in.FailureDomain == failureDomain {
			seeds = append(seeds, in.CallerAddr)
		}
	}
	for _, in := range b.layout.deployment.EntryInstances {
		if in.FailureDomain != failureDomain {
			seeds = append(seeds, in.CallerAddr)
		}
	}
	return &loadgen.Caller{
		Seeds:      seeds,
		Token:      token,
		ClientAddr: addr,
		AddressMap: b.layout.callerMaps[failureDomain],
		HTTPClient: loadgen.NewHTTPClient(),
	}, nil
}

// Callers returns n callers for each failure domain, domains in turn.
func (b *Bed) Callers(n int, token string) ([]*loadgen.Caller, error) {
	var out []*loadgen.Caller
	for i := range n {
		for _, fd := range b.layout.deployment.FailureDomains {
			c, err := b.Caller(fd.Name, i, token)
			if err != nil {
				return nil, err
			}
			out = append(out, c)
		}
	}
	return out, nil
}

// PlatformFault sets the faults of the platform stand-in.
func (b *Bed) PlatformFault(ctx context.Context, f platformstandin.Fault) error {
	return postJSON(ctx, "http://"+b.layout.platformAddr()+"/admin/fault", f)
}

// PlatformStats reads the counters of the platform stand-in.
func (b *Bed) PlatformStats(ctx context.Context) (platformstandin.Stats, error) {
	var out platformstandin.Stats
	return out, getJSON(ctx, "http://"+b.layout.platformAddr()+"/admin/stats", &out)
}

// BackendMode changes backend servers by id prefix.
func (b *Bed) BackendMode(ctx context.Context, prefix string, mode map[string]any) error {
	return postJSON(ctx, "http://"+b.layout.backendAdminAddr()+"/admin/mode?server="+prefix, mode)
}

// BackendStats reads the counters of all backend servers.
func (b *Bed) BackendStats(ctx context.Context) (map[string]backendstandin.Stats, error) {
	out := map[string]backendstandin.Stats{}
	return out, getJSON(ctx, "http://"+b.layout.backendAdminAddr()+"/admin/stats", &out)
}

// Ledger reads the runs of all backend servers; query may filter them.
func (b *Bed) Ledger(ctx context.Context, query string) ([]backendstandin.Run, error) {
	var out []backendstandin.Run
	return out, getJSON(ctx, "http://"+b.layout.backendAdminAddr()+"/admin/ledger?"+query, &out)
}

// Link changes links by name prefix.
func (b *Bed) Link(ctx context.Context, prefix string, state map[string]any) error {
	return postJSON(ctx, "http://"+b.layout.linkAdminAddr()+"/admin/links?prefix="+prefix, state)
}

// Heal ends the faults of links by name prefix.
func (b *Bed) Heal(ctx context.Context, prefix string) error {
	return postJSON(ctx, "http://"+b.layout.linkAdminAddr()+"/admin/heal?prefix="+prefix, struct{}{})
}

// LinkReports reads the state and the counters of all links.
func (b *Bed) LinkReports(ctx context.Context) ([]linkstandin.Report, error) {
	var out []linkstandin.Report
	return out, getJSON(ctx, "http://"+b.layout.linkAdminAddr()+"/admin/links", &out)
}

// Links returns the names of all links.
func (b *Bed) Links() []string {
	out := make([]string, 0, len(b.layout.links))
	for _, l := range b.layout.links {
		out = append(out, l.Name)
	}
	return out
}

// Close ends all processes of the bed.
func (b *Bed) Close() {
	b.Processes.Close()
	_ = b.layout.guard.Close()
}

func postJSON(ctx context.Context, url string, body any) error {
	return sendJSON(ctx, http.MethodPost, url, body)
}

func sendJSON(ctx context.Context, method, url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	return exchange(req, nil)
}

func getJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return exchange(req, into)
}

func exchange(req *http.Request, into any) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("%s: status %d: %s", req.URL, resp.StatusCode, data)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errors.Wrap(err, req.URL.String())
	}
	return nil
}

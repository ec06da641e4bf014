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
	"github.com/dandelionrack/dandelionrack/pkg/entry"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
)

// Options configure a Testbed.
type Options struct {
	// BinDir is the directory of the built programs.
	BinDir string
	// DeploymentDir contains deployment.json and contract.json.
	DeploymentDir string
	// WorkDir receives the settings files and logs of all processes.
	WorkDir string
	// Delays are the simulated network delays; nil adds no delay and no
	// bandwidth limit.
	Delays *Delays
	// DirectPlatform connects entry instances to the platform without a link.
	// Even a link without delay adds a hop that a real deployment lacks.
	DirectPlatform bool
	// Work is the simulated cost of a request at a backend server.
	Work backendstandin.Work
	// LookupTTL is the lookup TTL of the entry instances; 0 means 1 s.
	LookupTTL time.Duration
	LogLevel  string
	// AdjustContract modifies the contract before it is applied.
	AdjustContract func(*config.Contract)
	// AdjustEntry modifies the settings of each entry instance before it is started.
	AdjustEntry func(*entry.Settings)
	// LinkBitsPerSecond replaces the capacity of all links between regions; 0 keeps it.
	LinkBitsPerSecond int64
	// TLS encrypts the connections from operators and between entry instances,
	// with a certificate authority created for this testbed.
	TLS bool
}

// Testbed is a running deployment. Its methods are safe for concurrent use.
type Testbed struct {
	opts   Options
	layout *layout
	// authority is nil without TLS.
	authority *certAuthority

	// The process names are "drplatform", "drbackend", "drlink" and the ids of
	// the entry instances.
	*Processes
}

// startTimeout limits how long a started process may take to respond.
const startTimeout = 15 * time.Second

// Start starts all processes and applies the deployment and the contract. On
// error it terminates the processes that it started.
func Start(ctx context.Context, opts Options) (*Testbed, error) {
	// The request log of httpc duplicates the recorded results.
	logx.Disable()
	l, err := loadLayout(opts.DeploymentDir, opts.Delays, opts.LinkBitsPerSecond)
	if err != nil {
		return nil, err
	}
	if opts.DirectPlatform {
		for id := range l.platformURLs {
			l.platformURLs[id] = "http://" + l.platformAddr()
		}
	}
	if opts.AdjustContract != nil {
		opts.AdjustContract(&l.contract)
	}
	if opts.LookupTTL == 0 {
		opts.LookupTTL = time.Second
	}
	t := &Testbed{opts: opts, layout: l, Processes: NewProcesses(opts.BinDir, opts.WorkDir)}
	if opts.TLS {
		if t.authority, err = newAuthority(opts.WorkDir, "authority"); err != nil {
			t.Close()
			return nil, err
		}
	}
	if err := t.startAll(ctx); err != nil {
		t.Close()
		return nil, err
	}
	return t, nil
}

func (t *Testbed) startAll(ctx context.Context) error {
	if err := t.StartPlatform(ctx); err != nil {
		return err
	}
	if err := t.startProgram("drbackend", "drbackend", t.layout.backendSettings(t.opts.Work)); err != nil {
		return err
	}
	links := linkstandin.Settings{Admin: t.layout.linkAdminAddr(), Links: t.layout.links, Groups: t.layout.groups}
	if err := t.startProgram("drlink", "drlink", links); err != nil {
		return err
	}
	for _, url := range []string{
		"http://" + t.layout.backendAdminAddr() + "/admin/stats",
		"http://" + t.layout.linkAdminAddr() + "/admin/links",
	} {
		if err := waitHTTP(ctx, url); err != nil {
			return err
		}
	}
	for _, in := range t.layout.deployment.EntryInstances {
		if err := t.startEntry(in, true, CertificateValid); err != nil {
			return err
		}
	}
	if err := t.applyConfig(ctx); err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, in := range t.layout.deployment.EntryInstances {
		group.Go(func() error { return t.WaitReady(ctx, in.ID) })
	}
	return group.Wait()
}

// StartPlatform starts the platform stand-in and waits until it responds.
func (t *Testbed) StartPlatform(ctx context.Context) error {
	s := platformstandin.DefaultSettings()
	s.Addr = t.layout.platformAddr()
	if err := t.startProgram("drplatform", "drplatform", s); err != nil {
		return err
	}
	return waitHTTP(ctx, "http://"+s.Addr+"/admin/stats")
}

func (t *Testbed) applyConfig(ctx context.Context) error {
	first := t.layout.deployment.EntryInstances[0]
	if err := waitTCP(ctx, first.OperatorAddr); err != nil {
		return err
	}
	client, err := t.Operator(first.ID)
	if err != nil {
		return err
	}
	change := config.Change{ID: loadgen.NewKey(), Author: "testbed", At: time.Now()}
	if _, err := client.SubmitChange(ctx, change, config.ApplyDeployment{Deployment: t.layout.deployment}); err != nil {
		return errors.Wrap(err, "apply deployment")
	}
	change.ID = loadgen.NewKey()
	if _, err := client.SubmitChange(ctx, change, config.ApplyContract{Contract: t.layout.contract}); err != nil {
		return errors.Wrap(err, "apply contract")
	}
	return nil
}

func (t *Testbed) startEntry(in config.EntryInstance, noPredecessor bool, kind CertificateKind) error {
	s := t.layout.entrySettings(in, noPredecessor, t.opts.LookupTTL)
	s.LogLevel = t.opts.LogLevel
	if t.opts.AdjustEntry != nil {
		t.opts.AdjustEntry(&s)
	}
	if err := t.addTLS(&s, in, kind); err != nil {
		return err
	}
	return t.startProgram(in.ID, "drentry", s)
}

// startProgram writes the settings file of a process and starts it.
func (t *Testbed) startProgram(name, program string, settings any) error {
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.Wrapf(err, "settings of %s", name)
	}
	file := filepath.Join(t.opts.WorkDir, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return errors.Wrapf(err, "settings of %s", name)
	}
	return t.Start(Program{Name: name, Executable: program, Args: []string{"--settings", file}})
}

// RestartEntry starts an entry instance again, as a replacement without the
// state of its predecessor. It does not wait for readiness.
func (t *Testbed) RestartEntry(id string) error {
	return t.RestartEntryWithCertificate(id, CertificateValid)
}

// RestartEntryWithCertificate is RestartEntry with a certificate of the given
// kind. Without TLS the kind has no effect.
func (t *Testbed) RestartEntryWithCertificate(id string, kind CertificateKind) error {
	in, err := t.EntryInstance(id)
	if err != nil {
		return err
	}
	return t.startEntry(in, false, kind)
}

// WaitReady waits until an entry instance is ready and has a contract.
func (t *Testbed) WaitReady(ctx context.Context, id string) error {
	client, err := t.Operator(id)
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

// Operator returns a client for the operator API of an entry instance.
func (t *Testbed) Operator(id string) (*operator.Client, error) {
	in, err := t.EntryInstance(id)
	if err != nil {
		return nil, err
	}
	url, caFile := t.OperatorURL(in)
	return operator.NewClient(operator.ClientConfig{
		BaseURL: url, Token: OperatorToken, Timeout: 10 * time.Second, CAFile: caFile,
	})
}

// Deployment returns the deployment with the addresses of this testbed.
func (t *Testbed) Deployment() config.Deployment { return t.layout.deployment }

// Contract returns the contract that Start applied.
func (t *Testbed) Contract() config.Contract { return t.layout.contract }

// Caller returns the n-th caller of a failure domain. Its seeds
// begin with the entry instances of its own domain.
func (t *Testbed) Caller(failureDomain string, n int, token string) (*loadgen.Caller, error) {
	addr, err := t.layout.clientAddress(failureDomain, n)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for _, in := range t.layout.deployment.EntryInstances {
		if in.FailureDomain == failureDomain {
			seeds = append(seeds, in.CallerAddr)
		}
	}
	for _, in := range t.layout.deployment.EntryInstances {
		if in.FailureDomain != failureDomain {
			seeds = append(seeds, in.CallerAddr)
		}
	}
	return &loadgen.Caller{
		Seeds:      seeds,
		Token:      token,
		ClientAddr: addr,
		AddressMap: t.layout.callerAddressMaps[failureDomain],
		HTTPClient: loadgen.NewHTTPClient(),
	}, nil
}

// Callers returns n callers for each failure domain, alternating between the
// domains.
func (t *Testbed) Callers(n int, token string) ([]*loadgen.Caller, error) {
	var out []*loadgen.Caller
	for i := range n {
		for _, fd := range t.layout.deployment.FailureDomains {
			c, err := t.Caller(fd.Name, i, token)
			if err != nil {
				return nil, err
			}
			out = append(out, c)
		}
	}
	return out, nil
}

// SetPlatformFault sets the faults of the platform stand-in.
func (t *Testbed) SetPlatformFault(ctx context.Context, f platformstandin.Fault) error {
	return postJSON(ctx, "http://"+t.layout.platformAddr()+"/admin/fault", f)
}

// PlatformStats reads the counters of the platform stand-in.
func (t *Testbed) PlatformStats(ctx context.Context) (platformstandin.Stats, error) {
	var out platformstandin.Stats
	return out, getJSON(ctx, "http://"+t.layout.platformAddr()+"/admin/stats", &out)
}

// SetBackendMode changes the mode of the backend servers whose id has a prefix.
func (t *Testbed) SetBackendMode(ctx context.Context, prefix string, mode map[string]any) error {
	return postJSON(ctx, "http://"+t.layout.backendAdminAddr()+"/admin/mode?server="+prefix, mode)
}

// BackendStats reads the counters of all backend servers.
func (t *Testbed) BackendStats(ctx context.Context) (map[string]backendstandin.Stats, error) {
	out := map[string]backendstandin.Stats{}
	return out, getJSON(ctx, "http://"+t.layout.backendAdminAddr()+"/admin/stats", &out)
}

// BackendRuns reads the recorded runs of all backend servers. The query string
// filters them, such as "server=b1".
func (t *Testbed) BackendRuns(ctx context.Context, query string) ([]backendstandin.Run, error) {
	var out []backendstandin.Run
	return out, getJSON(ctx, "http://"+t.layout.backendAdminAddr()+"/admin/ledger?"+query, &out)
}

// SetLinkState changes the state of the links whose name has a prefix.
func (t *Testbed) SetLinkState(ctx context.Context, prefix string, state map[string]any) error {
	return postJSON(ctx, "http://"+t.layout.linkAdminAddr()+"/admin/links?prefix="+prefix, state)
}

// HealLinks removes the faults of the links whose name has a prefix.
func (t *Testbed) HealLinks(ctx context.Context, prefix string) error {
	return postJSON(ctx, "http://"+t.layout.linkAdminAddr()+"/admin/heal?prefix="+prefix, struct{}{})
}

// LinkReports reads the state and the counters of all links.
func (t *Testbed) LinkReports(ctx context.Context) ([]linkstandin.Report, error) {
	var out []linkstandin.Report
	return out, getJSON(ctx, "http://"+t.layout.linkAdminAddr()+"/admin/links", &out)
}

// LinkNames returns the names of all links.
func (t *Testbed) LinkNames() []string {
	out := make([]string, 0, len(t.layout.links))
	for _, l := range t.layout.links {
		out = append(out, l.Name)
	}
	return out
}

// Close terminates all processes and releases the port range.
func (t *Testbed) Close() {
	t.Processes.Close()
	_ = t.layout.rangeListener.Close()
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
	return doJSON(req, nil)
}

func getJSON(ctx context.Context, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	return doJSON(req, into)
}

func doJSON(req *http.Request, into any) error {
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

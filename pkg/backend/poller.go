package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/sendonce"
)

const (
	healthPath = "/health"
	loadPath   = "/load"

	defaultPollInterval = 500 * time.Millisecond
	defaultPollTimeout  = 500 * time.Millisecond
	defaultLoadEvery    = 5
	maxReportBytes      = 64 << 10
	// pollConnections is one for each of the two endpoints. They are not part of
	// the pool, so that a hanging endpoint takes no connection from calls.
	pollConnections = 2
)

// State is the state that a backend server reports.
type State string

// States of a backend server.
const (
	StateOK       State = "ok"
	StateDraining State = "draining"
	StateUnknown  State = "unknown" // no usable health report
)

// Report is the result of one poll of one backend server. Its numbers may be
// outdated or wrong.
type Report struct {
	State State
	// InFlight and Slots are -1 when the load report is missing or this poll did
	// not ask for it.
	InFlight int
	Slots    int
	At       time.Time // when the poll began
	Err      error     // joined errors of the health and load requests
	// Unreachable is true when every connection attempt of this poll failed.
	// Unlike a missing report, it means that the server cannot take requests.
	Unreachable bool
}

// Target is a backend server to poll.
type Target struct {
	Server string
	Addr   string
}

// PollerConfig configures a Poller.
type PollerConfig struct {
	Interval time.Duration // 0 means 500 ms
	Timeout  time.Duration // of each request; 0 means 500 ms
	// LoadEvery is the number of polls per request for the load report; 0 means
	// 5. The report has no effect on routing, and with 12 servers the requests
	// for both reports are the largest part of an idle instance's traffic when
	// heartbeats use streams.
	LoadEvery int
}

// Poller polls the health and load endpoints of backend servers.
type Poller struct {
	cfg    PollerConfig
	report func(server string, r Report)

	mu      sync.Mutex
	ctx     context.Context
	running map[Target]*pollLoop
	wg      sync.WaitGroup
}

type pollLoop struct {
	cancel context.CancelFunc
	client *sendonce.Client
}

// NewPoller returns a poller that passes each report to the callback, which is
// called from one goroutine per server. Polling ends with ctx.
func NewPoller(ctx context.Context, cfg PollerConfig, report func(server string, r Report)) *Poller {
	if cfg.Interval <= 0 {
		cfg.Interval = defaultPollInterval
	}
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultPollTimeout
	}
	if cfg.LoadEvery <= 0 {
		cfg.LoadEvery = defaultLoadEvery
	}
	return &Poller{cfg: cfg, report: report, ctx: ctx, running: map[Target]*pollLoop{}}
}

// SetTargets replaces the set of polled servers. Servers that stay keep
// their connections and poll times.
func (p *Poller) SetTargets(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := map[Target]bool{}
	for _, t := range targets {
		wanted[t] = true
		if p.running[t] == nil {
			p.start(t)
		}
	}
	for t, loop := range p.running {
		if !wanted[t] {
			loop.cancel()
			delete(p.running, t)
		}
	}
}

// Wait returns when all polling has ended, after ctx ended or the targets
// were removed.
func (p *Poller) Wait() { p.wg.Wait() }

func (p *Poller) start(t Target) {
	ctx, cancel := context.WithCancel(p.ctx)
	client := sendonce.New(sendonce.Options{MaxConnections: pollConnections, DialTimeout: p.cfg.Timeout})
	p.running[t] = &pollLoop{cancel: cancel, client: client}
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		defer client.CloseIdle()
		p.loop(ctx, client, t)
	}()
}

func (p *Poller) loop(ctx context.Context, client *sendonce.Client, t Target) {
	ticker := time.NewTicker(p.cfg.Interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		r := poll(ctx, client, t.Addr, p.cfg.Timeout, n%p.cfg.LoadEvery == 0)
		if ctx.Err() != nil {
			return
		}
		p.report(t.Server, r)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

type healthReport struct {
	State State `json:"state"`
}

type loadReport struct {
	InFlight *int `json:"in_flight"`
	Slots    *int `json:"slots"`
}

// poll requests both endpoints at the same time, so that a hanging load endpoint
// delays the report that the server is draining by at most one timeout.
func poll(ctx context.Context, client *sendonce.Client, addr string, timeout time.Duration, withLoad bool) Report {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r := Report{State: StateUnknown, InFlight: -1, Slots: -1, At: time.Now()}
	var load loadReport
	var loadErr error
	done := make(chan struct{})
	if withLoad {
		go func() {
			defer close(done)
			loadErr = getJSON(ctx, client, "http://"+addr+loadPath, &load)
		}()
	} else {
		close(done)
	}
	var health healthReport
	healthErr := getJSON(ctx, client, "http://"+addr+healthPath, &health)
	<-done
	if healthErr == nil && (health.State == StateOK || health.State == StateDraining) {
		r.State = health.State
	}
	if loadErr == nil && load.InFlight != nil && load.Slots != nil {
		r.InFlight, r.Slots = *load.InFlight, *load.Slots
	}
	r.Err = errors.Join(healthErr, loadErr)
	r.Unreachable = isUnreachable(healthErr) && (!withLoad || isUnreachable(loadErr))
	return r
}

func getJSON(ctx context.Context, client *sendonce.Client, url string, into any) error {
	resp, err := client.Send(ctx, sendonce.Request{Method: http.MethodGet, URL: url})
	if err != nil {
		return errors.Wrapf(err, "get %s", url)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil && !errors.Is(err, sendonce.ErrUnknownEnd) { // JSON shows its own end
		return errors.Wrapf(err, "read %s", url)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("get %s: status %d", url, resp.StatusCode)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return errors.Wrapf(err, "decode %s", url)
	}
	return nil
}

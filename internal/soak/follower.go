package soak

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/testbed"
	"github.com/dandelionrack/dandelionrack/internal/wait"
)

// FrozenFollower describes a run in which the entry instance that follows the store is
// frozen again and again, each time shortly before the routing document changes and a
// backend server begins to drain.
type FrozenFollower struct {
	Rounds int
	Frozen time.Duration // for how long
	Lead   time.Duration // from the start of the freeze to the changes
	// Bound is the time within which the changes must take effect; 0 means that of
	// bounds.
	Bound time.Duration
}

// RunFrozenFollower executes such a run. Like Run, it returns an error if the run cannot be
// executed.
func RunFrozenFollower(ctx context.Context, o Options, p FrozenFollower) (Report, error) {
	b := bounds()
	if p.Bound > 0 {
		b.ConfigApply, b.Drain = p.Bound, p.Bound
	}
	checker := NewChecker(b, time.Now())
	e, err := newEnvironment(ctx, o, checker)
	if err != nil {
		return Report{}, errors.Wrap(err, "start")
	}
	defer e.close()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var clients sync.WaitGroup
	for i := range o.Clients {
		clients.Go(func() { newClient(e, i, o.Seed).run(loadCtx) })
	}
	// Time limits apply to an instance again only after stableWindow.
	calm := stableWindow + checker.bounds.ConfigApply
	for round := range p.Rounds {
		_ = wait.Sleep(ctx, calm) // follower checks ctx
		inst, err := e.follower(ctx)
		if err != nil {
			return Report{}, err
		}
		var frozen sync.WaitGroup
		frozen.Go(func() { e.freeze(ctx, inst, p.Frozen) })
		_ = wait.Sleep(ctx, p.Lead) // stops early if the run is canceled
		e.switchRoute()
		restore := e.drainServer(round)
		frozen.Wait()
		if o.FaultLog != nil {
			_, _ = fmt.Fprintf(o.FaultLog, "%8.3fs %s was frozen; the previous service ran a request that was sent %v after the change\n",
				time.Since(checker.start).Seconds(), inst.ID, checker.LatestOutdated()) // a lost line does not affect the run
		}
		_ = wait.Sleep(ctx, checker.bounds.Drain) // stops early if the run is canceled
		restore()
	}
	_ = wait.Sleep(ctx, calm) // stops early if the run is canceled
	stopLoad()
	clients.Wait()
	return Report{Seed: o.Seed, Faults: p.Rounds, Counts: checker.Counts(), Violations: checker.Violations()}, ctx.Err()
}

// drainServer lets a server drain. It returns a function that ends that.
func (e *environment) drainServer(i int) (restore func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	srv := e.servers[i%len(e.servers)]
	srv.registration.Draining = true
	e.store.Register(srv.registration)
	e.checker.ServerWithdrawn(time.Now(), srv.ID)
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		srv.registration.Draining = false
		e.checker.ServerRestarted(srv.ID)
		e.store.Register(srv.registration)
	}
}

// follower returns an entry instance that follows the store.
func (e *environment) follower(ctx context.Context) (*entryInstance, error) {
	var out *entryInstance
	err := testbed.WaitFor(ctx, startTimeout, func() error {
		for _, inst := range e.instances {
			follows, err := e.followsStore(ctx, inst)
			if err != nil {
				return err
			}
			if follows {
				out = inst
				return nil
			}
		}
		return errors.New("no entry instance follows the store")
	})
	return out, err
}

// followsStore reads the metric following_store of an entry instance.
func (e *environment) followsStore(ctx context.Context, inst *entryInstance) (bool, error) {
	host, _, err := net.SplitHostPort(inst.ClientAddr)
	if err != nil {
		return false, errors.Wrap(err, "address of clients")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+net.JoinHostPort(host, strconv.Itoa(metricsPort))+"/metrics", nil)
	if err != nil {
		return false, errors.Wrap(err, "metrics")
	}
	resp, err := e.httpClient.Do(req)
	if err != nil {
		return false, errors.Wrap(err, "metrics")
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if lines.Text() == "following_store 1" {
			return true, nil
		}
	}
	return false, nil
}

// Package soak runs entry instances of the platform as separate processes on one
// machine, injects faults drawn from a seed, and checks the guarantees for clients
// and backend servers meanwhile.
package soak

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/fleet"
)

const (
	// recoveryPeriod is the time without faults at the end of a run. In its last
	// part, measuredPeriod, nearly all requests must be served.
	recoveryPeriod = stableWindow + measuredPeriod
	measuredPeriod = 3 * time.Second
	// minServedShare is the share of requests that must be served in
	// measuredPeriod.
	minServedShare = 0.95
	// readyTimeout is the time after the last fault within which all entry
	// instances must become ready.
	readyTimeout = 15 * time.Second
)

// Options configures a run.
type Options struct {
	Bin           string // folder that contains the drgate program
	Dir           string // folder for settings files and logs
	Seed          uint64
	FaultDuration time.Duration // how long new faults are injected
	Clients       int
	Layout        Layout
	FaultLog      io.Writer // if set, receives a line for each fault
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Faults     int
	Counts     map[string]int
	Violations []Violation
}

func (r Report) String() string {
	return fmt.Sprintf("seed %d: %d faults; %d requests: %d served, %d refused, %d failed, %d lost, %d canceled; %d invariants violated",
		r.Seed, r.Faults, r.Counts["sent"], r.Counts["served"], r.Counts["refused"], r.Counts["failed"], r.Counts["lost"],
		r.Counts["left"], len(r.Violations))
}

// bounds returns the bounds of the smaller deployments, with a smaller retry
// budget since there is less load.
func bounds() fleet.Bounds {
	b := fleet.DefaultBounds()
	b.RetryExtra = 40
	return b
}

// Run executes one run. It returns an error if the run cannot be executed; violated
// invariants are in the report.
func Run(ctx context.Context, o Options) (Report, error) {
	checker := NewChecker(bounds(), time.Now())
	e, err := newEnvironment(ctx, o, checker)
	if err != nil {
		return Report{}, errors.Wrap(err, "start")
	}
	defer e.close()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var clients, faults sync.WaitGroup
	for i := range o.Clients {
		clients.Go(func() { newClient(e, i, o.Seed).run(loadCtx) })
	}
	for i := range o.Clients / 2 {
		clients.Go(func() { newKeptClient(e, i, o.Seed).run(loadCtx) })
	}
	faultPlan := planFaults(o.Seed, o.FaultDuration)
	e.inject(ctx, o, faultPlan, &faults)
	faults.Wait()
	if err := e.awaitReady(ctx, readyTimeout); err != nil && ctx.Err() == nil {
		checker.AddViolation(time.Now(), Recovery, "%v", err)
	}
	_ = wait.Sleep(ctx, stableWindow) // stops early if the run is canceled
	e.stopInSeries(ctx, o)
	_ = wait.Sleep(ctx, recoveryPeriod-measuredPeriod) // stops early if the run is canceled
	before := checker.Counts()
	_ = wait.Sleep(ctx, measuredPeriod) // stops early if the run is canceled
	checker.checkRecovery(time.Now(), before)
	stopLoad()
	clients.Wait()
	checker.Finish(time.Now(), coldPerSecond)
	violations := checker.Violations()
	slices.SortFunc(violations, func(a, b Violation) int { return int(a.At - b.At) })
	return Report{Seed: o.Seed, Faults: len(faultPlan), Counts: checker.Counts(), Violations: violations}, ctx.Err()
}

// inject starts each fault at its planned time.
func (e *environment) inject(ctx context.Context, o Options, faultPlan []plannedFault, running *sync.WaitGroup) {
	start := time.Now()
	for _, s := range faultPlan {
		if wait.Sleep(ctx, s.at-time.Since(start)) != nil {
			return
		}
		if o.FaultLog != nil {
			_, _ = fmt.Fprintf(o.FaultLog, "%8.3fs %s, target %d, variant %d, for %v\n",
				time.Since(e.checker.start).Seconds(), s.kind.name, s.target, s.variant, s.duration) // a lost log line does not affect the run
		}
		running.Go(func() { s.kind.run(e, ctx, s) })
	}
}

// checkRecovery checks the share of requests that were served since before was
// taken.
func (c *Checker) checkRecovery(now time.Time, before map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := c.counts["served"] - before["served"]
	ended := served
	for _, outcome := range []string{"refused", "failed", "lost", "denied"} {
		ended += c.counts[outcome] - before[outcome]
	}
	if float64(served) < minServedShare*float64(ended) || ended == 0 {
		c.addViolation(now, Recovery, "%d of %d requests served in the last %v", served, ended, measuredPeriod)
	}
}

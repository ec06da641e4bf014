// Package soak runs entry instances of the platform as separate processes on
// one machine, injects faults from outside by a seed, and checks while it runs
// what clients and backend servers may rely on.
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
	// settle is the time without faults at the end, and lastPart the end of it
	// in which nearly all requests must be served.
	settle   = stableWindow + lastPart
	lastPart = 3 * time.Second
	// leastServed is the share of requests that must be served without faults.
	leastServed = 0.95
	// recoverWithin is the time after which the system must serve again.
	recoverWithin = 15 * time.Second
)

// Options describe a run.
type Options struct {
	Bin           string // folder with drgate
	Dir           string // receives settings and logs
	Seed          uint64
	FaultDuration time.Duration // how long faults begin
	Clients       int
	FaultLog      io.Writer // gets a line for each fault, if it is set
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Faults     int
	Counts     map[string]int
	Violations []Violation
}

func (r Report) String() string {
	return fmt.Sprintf("seed %d: %d faults; %d requests: %d served, %d refused, %d failed, %d lost, %d left; %d promises broken",
		r.Seed, r.Faults, r.Counts["sent"], r.Counts["served"], r.Counts["refused"], r.Counts["failed"], r.Counts["lost"],
		r.Counts["left"], len(r.Violations))
}

// Bounds of the soak: those of the smaller deployments, with less room for
// repeated sends since there is less load.
func bounds() fleet.Bounds {
	b := fleet.DefaultBounds()
	b.RetryExtra = 40
	return b
}

// Run plays one run. An error means that it could not be played.
func Run(ctx context.Context, o Options) (Report, error) {
	ledger := NewChecker(bounds(), time.Now())
	b, err := newBed(ctx, o, ledger)
	if err != nil {
		return Report{}, errors.Wrap(err, "start")
	}
	defer b.close()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var clients, faults sync.WaitGroup
	for i := range o.Clients {
		clients.Go(func() { newClient(b, i, o.Seed).run(loadCtx) })
	}
	steps := plan(o.Seed, o.FaultDuration)
	b.inject(ctx, o, steps, &faults)
	faults.Wait()
	if err := b.awaitReady(ctx, recoverWithin); err != nil && ctx.Err() == nil {
		ledger.AddViolation(time.Now(), Recovery, "%v", err)
	}
	_ = wait.Sleep(ctx, settle-lastPart) // an early end is fine
	before := ledger.Counts()
	_ = wait.Sleep(ctx, lastPart) // an early end is fine
	ledger.checkRecovery(time.Now(), before)
	stopLoad()
	clients.Wait()
	ledger.Finish(time.Now(), coldPerSecond)
	violations := ledger.Violations()
	slices.SortFunc(violations, func(a, b Violation) int { return int(a.At - b.At) })
	return Report{Seed: o.Seed, Faults: len(steps), Counts: ledger.Counts(), Violations: violations}, ctx.Err()
}

// inject starts each fault at its time.
func (b *bed) inject(ctx context.Context, o Options, steps []step, running *sync.WaitGroup) {
	start := time.Now()
	for _, s := range steps {
		if wait.Sleep(ctx, s.at-time.Since(start)) != nil {
			return
		}
		if o.FaultLog != nil {
			_, _ = fmt.Fprintf(o.FaultLog, "%8.3fs %s, target %d, variant %d, for %v\n",
				time.Since(b.ledger.start).Seconds(), s.kind.name, s.target, s.choice, s.lasts) // the reader has gone
		}
		running.Go(func() { s.kind.run(b, ctx, s) })
	}
}

func (l *Checker) checkRecovery(now time.Time, before map[string]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	served := l.counts["served"] - before["served"]
	ended := served
	for _, outcome := range []string{"refused", "failed", "lost", "denied"} {
		ended += l.counts[outcome] - before[outcome]
	}
	if float64(served) < leastServed*float64(ended) || ended == 0 {
		l.broken(now, Recovery, "%d of %d requests served in the last %v", served, ended, lastPart)
	}
}

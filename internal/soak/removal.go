package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/platform/standin"
)

// Removal describes a run in which entry instances leave for good, each with a planned
// stop, while clients keep connections to them and pause between requests.
type Removal struct {
	AtOnce   int           // entry instances that get their stop signal at the same time
	Interval time.Duration // between two such groups
	// ConnectionsPerInstance is the number of clients for each entry instance. Each
	// uses one connection at a time.
	ConnectionsPerInstance int
	MaxPause               time.Duration // of a client between two requests
}

// remainingInstances is the number of entry instances that a removal leaves.
const remainingInstances = 3

// removalStream separates the random numbers of this run from those of others.
const removalStream = 6

// clientsAfterRemoval is the time for which clients go on after the last stop has ended.
const clientsAfterRemoval = time.Second

// RunRemoval executes such a run. Like Run, it returns an error
// if the run cannot be executed.
func RunRemoval(ctx context.Context, o Options, p Removal) (Report, error) {
	if o.Layout.instances() <= remainingInstances {
		return Report{}, errors.Errorf("a removal needs more than %d entry instances", remainingInstances)
	}
	checker := NewChecker(bounds(), time.Now())
	e, err := newEnvironment(ctx, o, checker)
	if err != nil {
		return Report{}, errors.Wrap(err, "start")
	}
	defer e.close()
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	running := &runningInstances{}
	running.instances = append(running.instances, e.instances...)
	var clients, stops sync.WaitGroup
	for i := range p.ConnectionsPerInstance * len(e.instances) {
		clients.Go(func() { newPausingClient(e, i, o.Seed, running, p.MaxPause).run(loadCtx) })
	}
	_ = wait.Sleep(ctx, max(p.MaxPause, stableWindow)) // stops early if the run is canceled
	random := rand.New(rand.NewPCG(o.Seed, removalStream))
	for i, k := range random.Perm(len(e.instances))[remainingInstances:] {
		if i > 0 && i%p.AtOnce == 0 && wait.Sleep(ctx, p.Interval) != nil {
			break
		}
		inst := e.instances[k]
		running.remove(inst)
		if o.FaultLog != nil {
			_, _ = fmt.Fprintf(o.FaultLog, "%8.3fs stop %s\n", time.Since(checker.start).Seconds(), inst.ID) // a lost line does not affect the run
		}
		stops.Go(func() { e.stopForGood(ctx, inst) })
	}
	stops.Wait()
	_ = wait.Sleep(ctx, clientsAfterRemoval) // stops early if the run is canceled
	stopLoad()
	clients.Wait()
	if o.FaultLog != nil {
		_, _ = fmt.Fprintf(o.FaultLog, "longest time from the last byte of a request to the end of its connection, of those that no server got: %v\n",
			checker.LongestHeld()) // a lost line does not affect the run
	}
	return Report{Seed: o.Seed, Faults: len(e.instances) - remainingInstances, Counts: checker.Counts(), Violations: checker.Violations()}, ctx.Err()
}

// stopForGood stops an entry instance as stopInstance does, and does not start it again.
func (e *environment) stopForGood(ctx context.Context, inst *entryInstance) {
	began := time.Now()
	e.checker.RecordFault(began, "stop", inst.ID, true)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), e.checker.bounds.Grace)
	defer cancel()
	if err := e.processes.Stop(stopCtx, inst.ID); err != nil {
		e.checker.StopFailed(time.Now(), inst.ID, began, err)
		_ = e.processes.Kill(inst.ID) // it may have exited in the meantime
	}
	e.checker.SetDown(time.Now(), inst.ID, true)
}

// runningInstances are the entry instances that clients open connections to.
type runningInstances struct {
	mu        sync.Mutex
	instances []*entryInstance
}

func (r *runningInstances) remove(inst *entryInstance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, other := range r.instances {
		if other == inst {
			r.instances = append(r.instances[:i:i], r.instances[i+1:]...)
			return
		}
	}
}

func (r *runningInstances) pick(random *rand.Rand) *entryInstance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.instances[random.IntN(len(r.instances))]
}

// pausingClient keeps a connection until it ends or a response asks to close it, and
// pauses for a random time between two requests.
type pausingClient struct {
	keptClient
	running  *runningInstances
	maxPause time.Duration
}

func newPausingClient(e *environment, number int, seed uint64, running *runningInstances, maxPause time.Duration) pausingClient {
	return pausingClient{newKeptClient(e, number, seed), running, maxPause}
}

func (c pausingClient) run(ctx context.Context) {
	_ = wait.Sleep(ctx, c.upTo(c.maxPause)) // the loop condition checks ctx
	for ctx.Err() == nil {
		c.useUntilEnd(ctx, c.running.pick(c.random))
	}
}

func (c pausingClient) useUntilEnd(ctx context.Context, inst *entryInstance) {
	dialCtx, cancel := context.WithTimeout(ctx, responseWait)
	conn, err := standin.Dial(dialCtx, inst.ClientAddr)
	cancel()
	if err != nil {
		return
	}
	defer conn.Close()
	for ctx.Err() == nil {
		if conn.Idle() != nil {
			return
		}
		if response, ok := c.send(ctx, conn, inst, false); !ok || response.ClosesConnection {
			return
		}
		_ = wait.Sleep(ctx, c.upTo(c.maxPause)) // the loop condition checks ctx
	}
}

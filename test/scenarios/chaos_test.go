package scenarios

import (
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	platformstandin "github.com/dandelionrack/dandelionrack/internal/standin/platform"
	"github.com/dandelionrack/dandelionrack/internal/testbed"
	"github.com/dandelionrack/dandelionrack/pkg/config"
)

// chaos injects random faults at random intervals. Faults may overlap and repeat.
type chaos struct {
	s   *scenario
	rng *rand.Rand
	log func(format string, args ...any)
	// down maps the entry instances that are killed or paused to a function that
	// restarts or resumes them.
	down map[string]func() error
}

// maxDown limits the entry instances that are down at the same time, so that some
// still serve the load.
const maxDown = 3

// cmdChaos injects random faults for a duration and then removes all of them:
// chaos seed=N for=40s [every=1s]
func cmdChaos(s *scenario, ts *testscript.TestScript, a *arguments) error {
	seed := uint64(a.number("seed", 1))
	runTime, interval := a.duration("for", 40*time.Second), a.duration("every", time.Second)
	if err := a.done(); err != nil {
		return err
	}
	c := &chaos{s: s, rng: rand.New(rand.NewPCG(seed, seed)), log: ts.Logf, down: map[string]func() error{}}
	faults := []func() error{
		c.kill, c.kill, c.pause, c.restore, c.restore, c.restore,
		c.cut, c.heal, c.platform, c.platformOK, c.servers, c.drain,
	}
	end := time.Now().Add(runTime)
	for time.Now().Before(end) {
		if err := faults[c.rng.IntN(len(faults))](); err != nil {
			return err
		}
		time.Sleep(interval/2 + time.Duration(c.rng.Int64N(int64(interval))))
	}
	return c.repair()
}

func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

func (c *chaos) kill() error {
	return c.takeDown("kill", c.s.testbed.Kill, func(id string) error {
		c.s.mu.Lock()
		c.s.restarts = append(c.s.restarts, testbed.Restart{Entry: id, At: time.Now()})
		c.s.mu.Unlock()
		return c.s.testbed.RestartEntry(id)
	})
}

func (c *chaos) pause() error {
	return c.takeDown("pause",
		func(id string) error { return c.s.testbed.Signal(id, syscall.SIGSTOP) },
		func(id string) error { return c.s.testbed.Signal(id, syscall.SIGCONT) })
}

// takeDown injects a fault of a random entry instance, unless maxDown of them are
// down or this one is.
func (c *chaos) takeDown(fault string, inject, undo func(string) error) error {
	id := pick(c.rng, c.s.testbed.Deployment().EntryInstances).ID
	if len(c.down) >= maxDown || c.down[id] != nil {
		return nil
	}
	c.log("%s %s", fault, id)
	c.down[id] = func() error { return undo(id) }
	return inject(id)
}

// restore restarts or resumes one entry instance that is down.
func (c *chaos) restore() error {
	for _, in := range c.s.testbed.Deployment().EntryInstances { // fixed order, so that a seed determines the faults
		if undo := c.down[in.ID]; undo != nil {
			c.log("restore %s", in.ID)
			delete(c.down, in.ID)
			return undo()
		}
	}
	return nil
}

func (c *chaos) cut() error {
	domain := pick(c.rng, c.s.testbed.Deployment().FailureDomains).Name
	p := testbed.Partition{Domain: domain, PlatformOnly: c.rng.IntN(2) == 0, Refuse: c.rng.IntN(2) == 0}
	c.log("cut %+v", p)
	return c.s.testbed.ApplyPartition(c.s.ctx, p)
}

func (c *chaos) heal() error {
	c.log("heal")
	return c.s.testbed.HealLinks(c.s.ctx, "")
}

func (c *chaos) platform() error {
	f := pick(c.rng, []platformstandin.Fault{
		{Outage: platformstandin.OutageHang},
		{Outage: platformstandin.OutageRefuse},
		{Outage: platformstandin.OutageDrop},
		{LoseReplies: 5},
		{Latency: config.Duration(500 * time.Millisecond)},
		{StaleReads: config.Duration(5 * time.Second)},
	})
	c.log("platform %+v", f)
	return c.s.testbed.SetPlatformFault(c.s.ctx, f)
}

func (c *chaos) platformOK() error {
	c.log("platform ok")
	return c.s.testbed.SetPlatformFault(c.s.ctx, platformstandin.Fault{})
}

func (c *chaos) servers() error {
	id := pick(c.rng, c.s.testbed.Deployment().BackendServers).ID
	mode := pick(c.rng, []map[string]any{
		{"truncate": 2},
		{"close_after_run": 2},
		{"load": "idle", "health": "hang"},
		{"ignore_cancel": true},
		{"delay_answer": "300ms"},
		{"down": true},
		{"down": false, "load": "honest", "health": "honest", "delay_answer": "0s"},
	})
	c.log("backend %s %v", id, mode)
	return c.s.testbed.SetBackendMode(c.s.ctx, id, mode)
}

// drain starts a drain through a random entry instance. Errors are only logged,
// because the change may be refused during other faults.
func (c *chaos) drain() error {
	server := pick(c.rng, c.s.testbed.Deployment().BackendServers).ID
	client, err := c.s.testbed.Operator(pick(c.rng, c.s.testbed.Deployment().EntryInstances).ID)
	if err != nil {
		return err
	}
	ctx, cancel := c.s.withTimeout(time.Second)
	defer cancel()
	change := config.Change{ID: c.s.keyValue("drain of " + server), Author: "chaos", At: time.Now()}
	_, err = client.SubmitChange(ctx, change, config.StartDrain{Server: server})
	c.log("drain %s: %v", server, err)
	return nil
}

// repair removes all faults.
func (c *chaos) repair() error {
	for len(c.down) > 0 {
		if err := c.restore(); err != nil {
			return err
		}
	}
	mode := map[string]any{"down": false, "load": "honest", "health": "honest", "delay_answer": "0s", "ignore_cancel": false, "truncate": 0, "close_after_run": 0}
	if err := c.s.testbed.SetBackendMode(c.s.ctx, "", mode); err != nil {
		return errors.Wrap(err, "repair the backend servers")
	}
	if err := c.platformOK(); err != nil {
		return err
	}
	return c.heal()
}

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

// chaos makes random faults at random times. Faults overlap and repeat.
type chaos struct {
	s   *scenario
	rng *rand.Rand
	log func(format string, args ...any)
	// down holds the entry instances that are killed or paused, with what
	// brings each one back.
	down map[string]func() error
}

// maxDown bounds the entry instances that are down at one time, so that the
// load still meets some.
const maxDown = 3

// cmdChaos makes random faults for a time and then repairs everything:
// chaos seed=N for=40s [every=1s]
func cmdChaos(s *scenario, ts *testscript.TestScript, a *arguments) error {
	seed := uint64(a.number("seed", 1))
	length, every := a.duration("for", 40*time.Second), a.duration("every", time.Second)
	if err := a.done(); err != nil {
		return err
	}
	c := &chaos{s: s, rng: rand.New(rand.NewPCG(seed, seed)), log: ts.Logf, down: map[string]func() error{}}
	faults := []func() error{
		c.kill, c.kill, c.pause, c.restore, c.restore, c.restore,
		c.cut, c.heal, c.platform, c.platformOK, c.servers, c.drain,
	}
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		if err := faults[c.rng.IntN(len(faults))](); err != nil {
			return err
		}
		time.Sleep(every/2 + time.Duration(c.rng.Int64N(int64(every))))
	}
	return c.repair()
}

func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }

func (c *chaos) kill() error {
	return c.takeDown("kill", c.s.bed.Kill, func(id string) error {
		c.s.mu.Lock()
		c.s.restarts = append(c.s.restarts, testbed.Restart{Entry: id, At: time.Now()})
		c.s.mu.Unlock()
		return c.s.bed.RestartEntry(id)
	})
}

func (c *chaos) pause() error {
	return c.takeDown("pause",
		func(id string) error { return c.s.bed.Signal(id, syscall.SIGSTOP) },
		func(id string) error { return c.s.bed.Signal(id, syscall.SIGCONT) })
}

func (c *chaos) takeDown(what string, take, back func(string) error) error {
	id := pick(c.rng, c.s.bed.Deployment().EntryInstances).ID
	if len(c.down) >= maxDown || c.down[id] != nil {
		return nil
	}
	c.log("%s %s", what, id)
	c.down[id] = func() error { return back(id) }
	return take(id)
}

// restore brings back one entry instance that is down.
func (c *chaos) restore() error {
	for _, in := range c.s.bed.Deployment().EntryInstances { // a fixed order, for the seed
		if back := c.down[in.ID]; back != nil {
			c.log("back %s", in.ID)
			delete(c.down, in.ID)
			return back()
		}
	}
	return nil
}

func (c *chaos) cut() error {
	domain := pick(c.rng, c.s.bed.Deployment().FailureDomains).Name
	p := testbed.Partition{Domain: domain, PlatformOnly: c.rng.IntN(2) == 0, Refuse: c.rng.IntN(2) == 0}
	c.log("cut %+v", p)
	return c.s.bed.ApplyPartition(c.s.ctx, p)
}

func (c *chaos) heal() error {
	c.log("heal")
	return c.s.bed.HealLinks(c.s.ctx, "")
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
	return c.s.bed.SetPlatformFault(c.s.ctx, f)
}

func (c *chaos) platformOK() error {
	c.log("platform ok")
	return c.s.bed.SetPlatformFault(c.s.ctx, platformstandin.Fault{})
}

func (c *chaos) servers() error {
	id := pick(c.rng, c.s.bed.Deployment().BackendServers).ID
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
	return c.s.bed.SetBackendMode(c.s.ctx, id, mode)
}

// drain starts a drain through any entry instance. It may be refused while
// parts are down.
func (c *chaos) drain() error {
	server := pick(c.rng, c.s.bed.Deployment().BackendServers).ID
	client, err := c.s.bed.Operator(pick(c.rng, c.s.bed.Deployment().EntryInstances).ID)
	if err != nil {
		return err
	}
	ctx, cancel := c.s.limit(time.Second)
	defer cancel()
	change := config.Change{ID: c.s.keyValue("drain of " + server), Author: "chaos", At: time.Now()}
	_, err = client.SubmitChange(ctx, change, config.StartDrain{Server: server})
	c.log("drain %s: %v", server, err)
	return nil
}

// repair ends all faults.
func (c *chaos) repair() error {
	for len(c.down) > 0 {
		if err := c.restore(); err != nil {
			return err
		}
	}
	mode := map[string]any{"down": false, "load": "honest", "health": "honest", "delay_answer": "0s", "ignore_cancel": false, "truncate": 0, "close_after_run": 0}
	if err := c.s.bed.SetBackendMode(c.s.ctx, "", mode); err != nil {
		return errors.Wrap(err, "repair the backend servers")
	}
	if err := c.platformOK(); err != nil {
		return err
	}
	return c.heal()
}

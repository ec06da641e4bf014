package admission

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// singleServer returns a controller for a single server without hold-off.
func singleServer(share int, services ...string) *Controller {
	c := New(Config{Start: epoch, NoPredecessor: true, QueueLimit: 4})
	c.SetServers(epoch, []Server{{ID: "s1", Services: services, Share: share, MaxTimeout: time.Second}})
	return c
}

func newRequest(id uint64, service string, rank int, deadline time.Duration) Request {
	return Request{ID: id, Service: service, Rank: rank, Deadline: at(deadline)}
}

// Guards against shares that add up to more or less than the slots, and
// against entry instances that disagree because their lists differ in order.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,4}`), 1, 9, rapid.ID).Draw(t, "instances")
		slots := rapid.IntRange(0, 20).Draw(t, "slots")
		other := rapid.Permutation(instances).Draw(t, "other")
		sum, lent := 0, 0
		for _, s := range instances {
			share := Share(slots, "srv", instances, s)
			require.Equal(t, share, Share(slots, "srv", other, s))
			require.InDelta(t, float64(slots)/float64(len(instances)), float64(share), 0.9999)
			sum += share
			lent += LentShare(slots, "srv", instances, instances[0], instances, s)
		}
		require.Equal(t, slots, sum)
		if len(instances) > 1 {
			require.Equal(t, Share(slots, "srv", instances, instances[0]), lent)
		}
	})
}

// Guards against a new incarnation that uses slots that its predecessor may
// still occupy, and against a hold-off that continues after a clean handover.
func TestHoldOffOfNewIncarnation(t *testing.T) {
	for _, clean := range []bool{false, true} {
		c := New(Config{Start: epoch})
		c.SetServers(epoch, []Server{{ID: "s1", Services: []string{"a"}, Share: 2, MaxTimeout: time.Second}})
		require.Zero(t, c.FreeSlots(at(1400*time.Millisecond), "a"))
		if clean {
			c.ClearHoldOff(at(1400 * time.Millisecond))
			require.Equal(t, 2, c.FreeSlots(at(1400*time.Millisecond), "a"))
		}
		require.Equal(t, 2, c.FreeSlots(at(1500*time.Millisecond), "a"))
	}
}

// Guards against a chain of restarts in which an incarnation allows a handover
// during its own hold-off, while requests of its predecessor may still run.
func TestHandOverNeedsOwnHoldOff(t *testing.T) {
	c := New(Config{Start: epoch})
	require.False(t, c.CanHandOver(epoch), "nothing is known yet")
	c.SetServers(epoch, []Server{{ID: "s1", Services: []string{"a"}, Share: 1, MaxTimeout: time.Second}})
	require.False(t, c.CanHandOver(at(time.Second)))
	require.True(t, c.CanHandOver(at(1500*time.Millisecond)))
	c.Submit(at(2*time.Second), newRequest(1, "a", 0, 3*time.Second))
	require.False(t, c.CanHandOver(at(2*time.Second)))
	c.Release(at(2*time.Second), 1, at(3*time.Second))
	require.False(t, c.CanHandOver(at(2*time.Second)))
	require.True(t, c.CanHandOver(at(3*time.Second)))
}

// Guards against a clean handover that also skips the wait for a configuration
// change, which another entry instance may not have seen.
func TestClearHoldOffKeepsConfigPropagation(t *testing.T) {
	c := New(Config{Start: epoch})
	c.SetServers(epoch, []Server{{ID: "s1", Services: []string{"a"}, Share: 2, MaxTimeout: time.Second, ChangedAt: epoch}})
	c.ClearHoldOff(epoch)
	require.Zero(t, c.FreeSlots(at(3900*time.Millisecond), "a"))
	require.Equal(t, 2, c.FreeSlots(at(4*time.Second), "a"))
}

// Guards against an increase before other entry instances have given up their
// slots, and against a decrease that does not apply at once.
func TestShareChanges(t *testing.T) {
	c := singleServer(3, "a")
	set := func(d time.Duration, share int) {
		c.SetServers(at(d), []Server{{ID: "s1", Services: []string{"a"}, Share: share, MaxTimeout: time.Second}})
	}
	set(0, 1)
	require.Equal(t, 1, c.FreeSlots(epoch, "a"))
	set(0, 4)
	set(time.Second, 2)
	require.Equal(t, 1, c.FreeSlots(at(3900*time.Millisecond), "a"))
	require.Equal(t, 2, c.FreeSlots(at(4*time.Second), "a"))
	require.Equal(t, 2, c.FreeSlots(at(time.Minute), "a"))
}

// Guards against a slot that is granted again while the server may still be
// processing a cancelled request.
func TestHeldSlot(t *testing.T) {
	c := singleServer(1, "a")
	require.Equal(t, Admitted, c.Submit(epoch, newRequest(1, "a", 0, time.Second)).Kind)
	require.Equal(t, Queued, c.Submit(epoch, newRequest(2, "a", 0, 3*time.Second)).Kind)
	require.Empty(t, c.Release(at(100*time.Millisecond), 1, at(time.Second)))
	require.Equal(t, at(time.Second), c.NextEvent())
	events := c.Tick(at(time.Second))
	require.Equal(t, []Event{{Kind: Granted, ID: 2, Server: "s1", Waited: time.Second}}, events)
}

// Guards against interactive requests behind deferred ones, deferred requests
// that are starved by settle requests, and a full queue that refuses a request
// of higher priority.
func TestQueueOrder(t *testing.T) {
	c := singleServer(1, "a", "b", "c")
	c.cfg.QueueTotal = 4
	order := func(from time.Duration, first uint64) (ids []uint64) {
		for id := first; c.QueueLength("a")+c.QueueLength("b")+c.QueueLength("c") > 0; {
			events := c.Release(at(from), id, time.Time{})
			require.Len(t, events, 1)
			id = events[0].ID
			ids = append(ids, id)
		}
		return ids
	}
	c.Submit(epoch, newRequest(1, "a", 0, time.Minute))
	c.Submit(epoch, newRequest(2, "c", 2, 10*time.Second))
	c.Submit(epoch, newRequest(3, "b", 1, 30*time.Second))
	c.Submit(epoch, newRequest(4, "b", 1, 20*time.Second))
	c.Submit(epoch, newRequest(5, "a", 0, 50*time.Second))
	require.Equal(t, Refused, c.Submit(epoch, newRequest(6, "c", 2, time.Second)).Kind)
	require.Equal(t, Queued, c.Submit(epoch, newRequest(7, "a", 0, 40*time.Second)).Kind, "deferred request 2 is shed")
	shed := c.Tick(epoch)
	require.Equal(t, []Event{{Kind: Expired, ID: 2, Reason: ReasonOverload}}, shed)
	require.Equal(t, []uint64{7, 5, 4, 3}, order(time.Millisecond, 1))

	c.Submit(at(time.Second), newRequest(12, "c", 2, 10*time.Second))
	c.Submit(at(3*time.Second), newRequest(13, "b", 1, 20*time.Second))
	c.Submit(at(3*time.Second), newRequest(14, "a", 0, 30*time.Second))
	require.Equal(t, []uint64{14, 12, 13}, order(3*time.Second, 3), "request 12 has aged past AgeAfter")
}

// Guards against a request that is queued although it cannot finish in time, or
// that stays queued when it no longer can.
func TestQueueDeadline(t *testing.T) {
	c := singleServer(1, "a")
	c.Submit(epoch, newRequest(1, "a", 0, time.Second))
	c.Release(at(100*time.Millisecond), 1, time.Time{})
	c.Submit(at(100*time.Millisecond), newRequest(2, "a", 0, time.Second))
	now := 100 * time.Millisecond
	require.Equal(t, ReasonOverload, c.Submit(at(now), newRequest(3, "a", 0, now+150*time.Millisecond)).Reason)
	require.Equal(t, Queued, c.Submit(at(now), newRequest(4, "a", 0, now+250*time.Millisecond)).Kind)
	require.Equal(t, ReasonDeadline, c.Submit(at(now), newRequest(5, "a", 0, now)).Reason)
	require.Equal(t, at(now+150*time.Millisecond), c.NextEvent())
	events := c.Tick(c.NextEvent())
	require.Equal(t, []Event{{Kind: Expired, ID: 4, Reason: ReasonDeadline, Waited: 150 * time.Millisecond}}, events)
}

// Guards against new requests to a leaving server, a server that returns while
// one of two reasons remains, and a return without slow start.
func TestLeavingAndSlowStart(t *testing.T) {
	c := singleServer(4, "a")
	c.SetLeaving(epoch, "s1", true, "drain")
	c.SetLeaving(epoch, "s1", true, "health")
	c.SetLeaving(epoch, "s1", false, "drain")
	require.Equal(t, ReasonNoServer, c.Submit(epoch, newRequest(1, "a", 0, time.Second)).Reason)
	c.SetLeaving(at(time.Second), "s1", false, "health")
	require.Equal(t, 1, c.FreeSlots(at(time.Second), "a"))
	require.Equal(t, 3, c.FreeSlots(at(3500*time.Millisecond), "a"))
	require.Equal(t, 4, c.FreeSlots(at(6*time.Second), "a"))
}

// Guards against requests that stay queued for a server that is leaving.
func TestLeavingEndsWait(t *testing.T) {
	c := singleServer(1, "a")
	c.Submit(epoch, newRequest(1, "a", 0, time.Minute))
	c.Submit(epoch, newRequest(2, "a", 0, time.Minute))
	c.SetLeaving(epoch, "s1", true, "drain")
	require.Equal(t, []Event{{Kind: Expired, ID: 2, Reason: ReasonNoServer}}, c.Tick(c.NextEvent()))
}

// Guards against a grant that is lost, or a slot that leaks, when a request is
// cancelled after its grant but before the event is returned.
func TestCancelOfUndeliveredGrant(t *testing.T) {
	c := singleServer(1, "a")
	c.Submit(epoch, newRequest(1, "a", 0, time.Minute))
	c.Submit(epoch, newRequest(2, "a", 0, time.Minute))
	c.Submit(epoch, newRequest(3, "a", 0, time.Minute))
	c.Release(epoch, 1, at(time.Second))
	require.Equal(t, Queued, c.Submit(at(time.Second), newRequest(4, "a", 0, time.Minute)).Kind)
	events := c.Cancel(at(time.Second), 2)
	require.Equal(t, []Event{{Kind: Granted, ID: 3, Server: "s1", Waited: time.Second}}, events)
	require.Equal(t, 1, c.Snapshot(at(time.Second))[0].InFlight)
}

// Guards against ties that always go to the first server, and against a small
// server that gets as many requests as a large one.
func TestChoiceOfServer(t *testing.T) {
	c := New(Config{NoPredecessor: true})
	c.SetServers(epoch, []Server{{ID: "s1", Services: []string{"a"}, Share: 2}, {ID: "s2", Services: []string{"a"}, Share: 4}})
	got := map[string]int{}
	for id := range uint64(3) {
		got[c.Submit(epoch, newRequest(id, "a", 0, time.Second)).Server]++
	}
	require.Equal(t, map[string]int{"s1": 1, "s2": 2}, got)
	c = New(Config{NoPredecessor: true})
	c.SetServers(epoch, []Server{{ID: "s1", Services: []string{"a"}, Share: 1}, {ID: "s2", Services: []string{"a"}, Share: 1}})
	first := map[string]bool{}
	for id := range uint64(8) {
		first[c.Submit(epoch, newRequest(id, "a", 0, time.Second)).Server] = true
		c.Release(epoch, id, time.Time{})
	}
	require.Len(t, first, 2)
}

// cluster simulates several entry instances that share one backend server.
type cluster struct {
	r         *rand.Rand
	now       time.Time
	slots     int
	owners    []string // configuration
	changedAt time.Time
	instances []*instance
	running   map[uint64]time.Time // end of each request at the server
	sequence  uint64
}

type instance struct {
	name         string
	controller   *Controller
	pausedUntil  time.Time
	leftCleanly  bool
	downSince    time.Time
	configAt     time.Time            // when it sees the configuration
	owners       []string             // as it sees them
	goneSince    map[string]time.Time // since when another instance has been gone
	lastCheck    time.Time
	openRequests map[uint64]time.Time // deadlines of its requests
}

const clusterTimeout = time.Second

func (c *cluster) serverList(inst *instance) []Server {
	inst.owners = c.owners
	return []Server{{ID: "srv", Services: []string{"a"}, Share: Share(c.slots, "srv", inst.owners, inst.name), MaxTimeout: clusterTimeout, ChangedAt: c.changedAt}}
}

func (c *cluster) start(inst *instance) {
	inst.controller = New(Config{Start: c.now, SlowStart: -1, QueueLimit: 3})
	inst.goneSince, inst.openRequests = map[string]time.Time{}, map[uint64]time.Time{}
	inst.pausedUntil, inst.configAt, inst.lastCheck = time.Time{}, time.Time{}, time.Time{}
	inst.controller.SetServers(c.now, c.serverList(inst))
	if inst.leftCleanly && c.now.Sub(inst.downSince) < time.Second {
		inst.controller.ClearHoldOff(c.now)
	}
}

// checkPeers looks for entry instances that are gone and borrows their slots.
func (c *cluster) checkPeers(inst *instance) {
	if c.now.Sub(inst.lastCheck) < 400*time.Millisecond {
		return
	}
	inst.lastCheck = c.now
	for _, other := range c.instances {
		if other == inst {
			continue
		}
		if other.controller != nil {
			delete(inst.goneSince, other.name)
			inst.controller.SetLent(c.now, "srv", other.name, 0)
			continue
		}
		if inst.goneSince[other.name].IsZero() {
			inst.goneSince[other.name] = c.now
		}
		if c.now.Sub(inst.goneSince[other.name]) >= time.Second {
			inst.controller.SetLent(c.now, "srv", other.name, LentShare(c.slots, "srv", inst.owners, other.name, inst.owners, inst.name))
		}
	}
}

func (c *cluster) dispatch(inst *instance, id uint64) {
	length := 1 + c.r.IntN(int(clusterTimeout/time.Millisecond))
	end := c.now.Add(time.Duration(length) * time.Millisecond)
	if end.After(inst.openRequests[id]) {
		end = inst.openRequests[id]
	}
	c.running[id] = end
}

func (c *cluster) handleEvents(inst *instance, events []Event) {
	for _, e := range events {
		if e.Kind == Expired {
			delete(inst.openRequests, e.ID)
			continue
		}
		c.dispatch(inst, e.ID)
	}
}

func (c *cluster) step(inst *instance) {
	if !inst.configAt.IsZero() && !c.now.Before(inst.configAt) {
		inst.controller.SetServers(c.now, c.serverList(inst))
		inst.configAt = time.Time{}
	}
	c.handleEvents(inst, inst.controller.Tick(c.now))
	for _, id := range slices.Sorted(maps.Keys(inst.openRequests)) {
		deadline := inst.openRequests[id]
		end, dispatched := c.running[id]
		if !dispatched {
			continue
		}
		if !end.After(c.now) {
			delete(inst.openRequests, id)
			delete(c.running, id)
			c.handleEvents(inst, inst.controller.Release(c.now, id, time.Time{}))
		} else if id%5 == 0 { // the caller gives up
			delete(inst.openRequests, id)
			c.handleEvents(inst, inst.controller.Release(c.now, id, deadline))
		}
	}
	for range c.r.IntN(4) {
		c.sequence++
		inst.openRequests[c.sequence] = c.now.Add(clusterTimeout)
		d := inst.controller.Submit(c.now, newRequest(c.sequence, "a", 0, c.now.Add(clusterTimeout).Sub(epoch)))
		switch d.Kind {
		case Admitted:
			c.dispatch(inst, c.sequence)
		case Refused:
			delete(inst.openRequests, c.sequence)
		}
	}
	// The check comes last, since a process that resumes after a pause may admit
	// requests before its next check.
	c.checkPeers(inst)
}

func (c *cluster) injectFault(inst *instance) {
	switch c.r.IntN(40) {
	case 0:
		inst.leftCleanly, inst.downSince = inst.controller.CanHandOver(c.now), c.now
		inst.controller = nil
	case 1:
		inst.pausedUntil = c.now.Add(time.Duration(1+c.r.IntN(40)) * 100 * time.Millisecond)
	}
}

// changeConfig changes the configured entry instances, but not before all have
// seen the last change.
func (c *cluster) changeConfig() {
	if c.now.Sub(c.changedAt) < 10*time.Second || c.r.IntN(30) > 0 {
		return
	}
	c.changedAt = c.now
	n := 1 + c.r.IntN(len(c.instances))
	c.owners = nil
	for _, inst := range c.instances[:n] {
		c.owners = append(c.owners, inst.name)
	}
	for _, inst := range c.instances {
		inst.configAt = c.now.Add(time.Duration(c.r.IntN(29)) * 100 * time.Millisecond)
	}
}

func (c *cluster) inFlight() int {
	n := 0
	for id, end := range c.running {
		if end.After(c.now) {
			n++
		} else if !c.hasOwner(id) {
			delete(c.running, id)
		}
	}
	return n
}

func (c *cluster) hasOwner(id uint64) bool {
	for _, inst := range c.instances {
		if _, ok := inst.openRequests[id]; ok && inst.controller != nil {
			return true
		}
	}
	return false
}

// Guards against more requests than slots at a server while entry instances
// crash, pause, restart and borrow slots, and while the configuration changes
// their shares.
func TestNeverMoreRequestsThanSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{now: epoch, changedAt: epoch.Add(-time.Hour), running: map[uint64]time.Time{}}
		c.r = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		c.slots = rapid.IntRange(1, 8).Draw(t, "slots")
		for i := range rapid.IntRange(1, 4).Draw(t, "n") {
			inst := &instance{name: fmt.Sprint("e", i)}
			c.instances = append(c.instances, inst)
			c.owners = append(c.owners, inst.name)
		}
		for _, inst := range c.instances {
			c.start(inst)
		}
		for range 2000 {
			c.now = c.now.Add(100 * time.Millisecond)
			c.changeConfig()
			for _, inst := range c.instances {
				switch {
				case inst.controller == nil && c.r.IntN(20) == 0:
					c.start(inst)
				case inst.controller != nil && !c.now.Before(inst.pausedUntil):
					c.step(inst)
					c.injectFault(inst)
				}
			}
			require.LessOrEqual(t, c.inFlight(), c.slots)
		}
	})
}

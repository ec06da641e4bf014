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

// one returns a controller for a single server without hold-off.
func one(share int, services ...string) *Controller {
	c := New(Config{Start: epoch, NoPredecessor: true, QueueLimit: 4})
	c.SetServers(epoch, []Server{{ID: "s1", Services: services, Share: share, MaxTimeout: time.Second}})
	return c
}

func req(id uint64, service string, rank int, deadline time.Duration) Request {
	return Request{ID: id, Service: service, Rank: rank, Deadline: at(deadline)}
}

// Guards against shares that add up to more or less than the slots, and
// against seats that disagree because they list each other in another order.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seats := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,4}`), 1, 9, rapid.ID).Draw(t, "seats")
		slots := rapid.IntRange(0, 20).Draw(t, "slots")
		other := rapid.Permutation(seats).Draw(t, "other")
		sum, lent := 0, 0
		for _, s := range seats {
			share := Share(slots, "srv", seats, s)
			require.Equal(t, share, Share(slots, "srv", other, s))
			require.InDelta(t, float64(slots)/float64(len(seats)), float64(share), 0.9999)
			sum += share
			lent += LentShare(slots, "srv", seats, seats[0], seats, s)
		}
		require.Equal(t, slots, sum)
		if len(seats) > 1 {
			require.Equal(t, Share(slots, "srv", seats, seats[0]), lent)
		}
	})
}

// Guards against a new incarnation that uses slots its predecessor may hold,
// and against a hold-off that outlives a clean hand-over.
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

// Guards against a chain of restarts in which an incarnation that is itself in
// its hold-off vouches for the requests of its predecessor.
func TestCleanNeedsOwnHoldOff(t *testing.T) {
	c := New(Config{Start: epoch})
	require.False(t, c.CanHandOver(epoch), "nothing is known yet")
	c.SetServers(epoch, []Server{{ID: "s1", Services: []string{"a"}, Share: 1, MaxTimeout: time.Second}})
	require.False(t, c.CanHandOver(at(time.Second)))
	require.True(t, c.CanHandOver(at(1500*time.Millisecond)))
	c.Submit(at(2*time.Second), req(1, "a", 0, 3*time.Second))
	require.False(t, c.CanHandOver(at(2*time.Second)))
	c.Release(at(2*time.Second), 1, at(3*time.Second))
	require.False(t, c.CanHandOver(at(2*time.Second)))
	require.True(t, c.CanHandOver(at(3*time.Second)))
}

// Guards against a clean hand-over that also skips the wait for a changed
// configuration, which another seat may not have seen.
func TestClearHoldOffKeepsConfigSpread(t *testing.T) {
	c := New(Config{Start: epoch})
	c.SetServers(epoch, []Server{{ID: "s1", Services: []string{"a"}, Share: 2, MaxTimeout: time.Second, ChangedAt: epoch}})
	c.ClearHoldOff(epoch)
	require.Zero(t, c.FreeSlots(at(3900*time.Millisecond), "a"))
	require.Equal(t, 2, c.FreeSlots(at(4*time.Second), "a"))
}

// Guards against an increase before other seats have given up their slots, and
// against a decrease that waits.
func TestShareChanges(t *testing.T) {
	c := one(3, "a")
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

// Guards against a slot that is given away while the server may still work on
// a cancelled request.
func TestHeldSlot(t *testing.T) {
	c := one(1, "a")
	require.Equal(t, Admitted, c.Submit(epoch, req(1, "a", 0, time.Second)).Kind)
	require.Equal(t, Queued, c.Submit(epoch, req(2, "a", 0, 3*time.Second)).Kind)
	require.Empty(t, c.Release(at(100*time.Millisecond), 1, at(time.Second)))
	require.Equal(t, at(time.Second), c.NextEvent())
	events := c.Tick(at(time.Second))
	require.Equal(t, []Event{{Kind: Granted, ID: 2, Server: "s1", Waited: time.Second}}, events)
}

// Guards against interactive work behind deferred work, deferred work that is
// starved by settle work, and a full queue that refuses the higher priority.
func TestQueueOrder(t *testing.T) {
	c := one(1, "a", "b", "c")
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
	c.Submit(epoch, req(1, "a", 0, time.Minute))
	c.Submit(epoch, req(2, "c", 2, 10*time.Second))
	c.Submit(epoch, req(3, "b", 1, 30*time.Second))
	c.Submit(epoch, req(4, "b", 1, 20*time.Second))
	c.Submit(epoch, req(5, "a", 0, 50*time.Second))
	require.Equal(t, Refused, c.Submit(epoch, req(6, "c", 2, time.Second)).Kind)
	require.Equal(t, Queued, c.Submit(epoch, req(7, "a", 0, 40*time.Second)).Kind, "deferred request 2 is shed")
	shed := c.Tick(epoch)
	require.Equal(t, []Event{{Kind: Expired, ID: 2, Reason: ReasonOverload}}, shed)
	require.Equal(t, []uint64{7, 5, 4, 3}, order(time.Millisecond, 1))

	c.Submit(at(time.Second), req(12, "c", 2, 10*time.Second))
	c.Submit(at(3*time.Second), req(13, "b", 1, 20*time.Second))
	c.Submit(at(3*time.Second), req(14, "a", 0, 30*time.Second))
	require.Equal(t, []uint64{14, 12, 13}, order(3*time.Second, 3), "request 12 has aged past AgeAfter")
}

// Guards against work that is queued although it cannot finish in time, and
// against waiters that are kept past the point where they could.
func TestQueueDeadline(t *testing.T) {
	c := one(1, "a")
	c.Submit(epoch, req(1, "a", 0, time.Second))
	c.Release(at(100*time.Millisecond), 1, time.Time{})
	c.Submit(at(100*time.Millisecond), req(2, "a", 0, time.Second))
	now := 100 * time.Millisecond
	require.Equal(t, ReasonOverload, c.Submit(at(now), req(3, "a", 0, now+150*time.Millisecond)).Reason)
	require.Equal(t, Queued, c.Submit(at(now), req(4, "a", 0, now+250*time.Millisecond)).Kind)
	require.Equal(t, ReasonDeadline, c.Submit(at(now), req(5, "a", 0, now)).Reason)
	require.Equal(t, at(now+150*time.Millisecond), c.NextEvent())
	events := c.Tick(c.NextEvent())
	require.Equal(t, []Event{{Kind: Expired, ID: 4, Reason: ReasonDeadline, Waited: 150 * time.Millisecond}}, events)
}

// Guards against work for a leaving server, a single reason that ends the
// state while another stands, and a return without slow start.
func TestLeavingAndSlowStart(t *testing.T) {
	c := one(4, "a")
	c.SetLeaving(epoch, "s1", true, "drain")
	c.SetLeaving(epoch, "s1", true, "health")
	c.SetLeaving(epoch, "s1", false, "drain")
	require.Equal(t, ReasonNoServer, c.Submit(epoch, req(1, "a", 0, time.Second)).Reason)
	c.SetLeaving(at(time.Second), "s1", false, "health")
	require.Equal(t, 1, c.FreeSlots(at(time.Second), "a"))
	require.Equal(t, 3, c.FreeSlots(at(3500*time.Millisecond), "a"))
	require.Equal(t, 4, c.FreeSlots(at(6*time.Second), "a"))
}

// Guards against requests that wait for a server that has left.
func TestLeavingEndsWait(t *testing.T) {
	c := one(1, "a")
	c.Submit(epoch, req(1, "a", 0, time.Minute))
	c.Submit(epoch, req(2, "a", 0, time.Minute))
	c.SetLeaving(epoch, "s1", true, "drain")
	require.Equal(t, []Event{{Kind: Expired, ID: 2, Reason: ReasonNoServer}}, c.Tick(c.NextEvent()))
}

// Guards against a grant that is lost, or a slot that leaks, when the caller
// gives up before the event is delivered.
func TestCancelOfUndeliveredGrant(t *testing.T) {
	c := one(1, "a")
	c.Submit(epoch, req(1, "a", 0, time.Minute))
	c.Submit(epoch, req(2, "a", 0, time.Minute))
	c.Submit(epoch, req(3, "a", 0, time.Minute))
	c.Release(epoch, 1, at(time.Second))
	require.Equal(t, Queued, c.Submit(at(time.Second), req(4, "a", 0, time.Minute)).Kind)
	events := c.Cancel(at(time.Second), 2)
	require.Equal(t, []Event{{Kind: Granted, ID: 3, Server: "s1", Waited: time.Second}}, events)
	require.Equal(t, 1, c.Snapshot(at(time.Second))[0].InFlight)
}

// Guards against ties that always go to the first server, and against a
// smaller server that is filled like a larger one.
func TestChoiceOfServer(t *testing.T) {
	c := New(Config{NoPredecessor: true})
	c.SetServers(epoch, []Server{{ID: "s1", Services: []string{"a"}, Share: 2}, {ID: "s2", Services: []string{"a"}, Share: 4}})
	got := map[string]int{}
	for id := range uint64(3) {
		got[c.Submit(epoch, req(id, "a", 0, time.Second)).Server]++
	}
	require.Equal(t, map[string]int{"s1": 1, "s2": 2}, got)
	c = New(Config{NoPredecessor: true})
	c.SetServers(epoch, []Server{{ID: "s1", Services: []string{"a"}, Share: 1}, {ID: "s2", Services: []string{"a"}, Share: 1}})
	first := map[string]bool{}
	for id := range uint64(8) {
		first[c.Submit(epoch, req(id, "a", 0, time.Second)).Server] = true
		c.Release(epoch, id, time.Time{})
	}
	require.Len(t, first, 2)
}

// world runs several seats against one backend server and counts what runs.
type world struct {
	r        *rand.Rand
	now      time.Time
	slots    int
	owners   []string // configuration
	changed  time.Time
	seats    []*seat
	running  map[uint64]time.Time // end of each request at the server
	sequence uint64
}

type seat struct {
	name        string
	c           *Controller
	pausedUntil time.Time
	clean       bool
	downSince   time.Time
	configAt    time.Time            // when it sees the configuration
	owners      []string             // as it sees them
	refused     map[string]time.Time // since when another seat is seen gone
	checked     time.Time
	open        map[uint64]time.Time // deadlines of its requests
}

const worldTimeout = time.Second

func (w *world) server(s *seat) []Server {
	s.owners = w.owners
	return []Server{{ID: "srv", Services: []string{"a"}, Share: Share(w.slots, "srv", s.owners, s.name), MaxTimeout: worldTimeout, ChangedAt: w.changed}}
}

func (w *world) start(s *seat) {
	s.c = New(Config{Start: w.now, SlowStart: -1, QueueLimit: 3})
	s.refused, s.open = map[string]time.Time{}, map[uint64]time.Time{}
	s.pausedUntil, s.configAt, s.checked = time.Time{}, time.Time{}, time.Time{}
	s.c.SetServers(w.now, w.server(s))
	if s.clean && w.now.Sub(s.downSince) < time.Second {
		s.c.ClearHoldOff(w.now)
	}
}

// check is the test of the other seats that a lending seat needs.
func (w *world) check(s *seat) {
	if w.now.Sub(s.checked) < 400*time.Millisecond {
		return
	}
	s.checked = w.now
	for _, other := range w.seats {
		if other == s {
			continue
		}
		if other.c != nil {
			delete(s.refused, other.name)
			s.c.SetLent(w.now, "srv", other.name, 0)
			continue
		}
		if s.refused[other.name].IsZero() {
			s.refused[other.name] = w.now
		}
		if w.now.Sub(s.refused[other.name]) >= time.Second {
			s.c.SetLent(w.now, "srv", other.name, LentShare(w.slots, "srv", s.owners, other.name, s.owners, s.name))
		}
	}
}

func (w *world) dispatch(s *seat, id uint64) {
	length := 1 + w.r.IntN(int(worldTimeout/time.Millisecond))
	end := w.now.Add(time.Duration(length) * time.Millisecond)
	if end.After(s.open[id]) {
		end = s.open[id]
	}
	w.running[id] = end
}

func (w *world) handle(s *seat, events []Event) {
	for _, e := range events {
		if e.Kind == Expired {
			delete(s.open, e.ID)
			continue
		}
		w.dispatch(s, e.ID)
	}
}

func (w *world) act(s *seat) {
	if !s.configAt.IsZero() && !w.now.Before(s.configAt) {
		s.c.SetServers(w.now, w.server(s))
		s.configAt = time.Time{}
	}
	w.handle(s, s.c.Tick(w.now))
	for _, id := range slices.Sorted(maps.Keys(s.open)) {
		deadline := s.open[id]
		end, dispatched := w.running[id]
		if !dispatched {
			continue
		}
		if !end.After(w.now) {
			delete(s.open, id)
			delete(w.running, id)
			w.handle(s, s.c.Release(w.now, id, time.Time{}))
		} else if id%5 == 0 { // the caller gives up
			delete(s.open, id)
			w.handle(s, s.c.Release(w.now, id, deadline))
		}
	}
	for range w.r.IntN(4) {
		w.sequence++
		s.open[w.sequence] = w.now.Add(worldTimeout)
		d := s.c.Submit(w.now, req(w.sequence, "a", 0, w.now.Add(worldTimeout).Sub(epoch)))
		switch d.Kind {
		case Admitted:
			w.dispatch(s, w.sequence)
		case Refused:
			delete(s.open, w.sequence)
		}
	}
	// The check comes last: a process that resumes may admit requests first.
	w.check(s)
}

func (w *world) fault(s *seat) {
	switch w.r.IntN(40) {
	case 0:
		s.clean, s.downSince = s.c.CanHandOver(w.now), w.now
		s.c = nil
	case 1:
		s.pausedUntil = w.now.Add(time.Duration(1+w.r.IntN(40)) * 100 * time.Millisecond)
	}
}

// configure changes the seats of the configuration once all have seen the
// last change.
func (w *world) configure() {
	if w.now.Sub(w.changed) < 10*time.Second || w.r.IntN(30) > 0 {
		return
	}
	w.changed = w.now
	n := 1 + w.r.IntN(len(w.seats))
	w.owners = nil
	for _, s := range w.seats[:n] {
		w.owners = append(w.owners, s.name)
	}
	for _, s := range w.seats {
		s.configAt = w.now.Add(time.Duration(w.r.IntN(29)) * 100 * time.Millisecond)
	}
}

func (w *world) inFlight() int {
	n := 0
	for id, end := range w.running {
		if end.After(w.now) {
			n++
		} else if !w.owned(id) {
			delete(w.running, id)
		}
	}
	return n
}

func (w *world) owned(id uint64) bool {
	for _, s := range w.seats {
		if _, ok := s.open[id]; ok && s.c != nil {
			return true
		}
	}
	return false
}

// Guards against a server that has more requests than slots: while seats die,
// pause, return, lend and borrow, and while the configuration moves shares.
func TestNeverMoreRequestsThanSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: epoch, changed: epoch.Add(-time.Hour), running: map[uint64]time.Time{}}
		w.r = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		w.slots = rapid.IntRange(1, 8).Draw(t, "slots")
		for i := range rapid.IntRange(1, 4).Draw(t, "n") {
			s := &seat{name: fmt.Sprint("e", i)}
			w.seats = append(w.seats, s)
			w.owners = append(w.owners, s.name)
		}
		for _, s := range w.seats {
			w.start(s)
		}
		for range 2000 {
			w.now = w.now.Add(100 * time.Millisecond)
			w.configure()
			for _, s := range w.seats {
				switch {
				case s.c == nil && w.r.IntN(20) == 0:
					w.start(s)
				case s.c != nil && !w.now.Before(s.pausedUntil):
					w.act(s)
					w.fault(s)
				}
			}
			require.LessOrEqual(t, w.inFlight(), w.slots)
		}
	})
}

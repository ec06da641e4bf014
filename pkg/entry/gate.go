package entry

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/admission"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/membership"
)

// gateTick is how often queued requests and held slots are looked at. It bounds
// how late an expired deadline is noticed.
const gateTick = 5 * time.Millisecond

// lentFor is how long borrowed slots may be used without new evidence that
// their owner is gone. The owner waits as long after its start.
const lentFor = membership.DefaultRefusalFresh

// gate lets goroutines wait for slots of the admission controller, which is
// pure and not safe for concurrent use.
type gate struct {
	mu      sync.Mutex
	ctl     *admission.Controller
	waiters map[uint64]chan admission.Event
	lastID  uint64

	lent      map[string]int
	lentUntil time.Time
}

// slot is the right to have one request in flight at a backend server.
type slot struct {
	gate   *gate
	id     uint64
	server string
	once   sync.Once
}

// admitRequest describes what a request needs of the gate.
type admitRequest struct {
	service  string
	priority config.Priority
	deadline time.Time
	exclude  []string
	noQueue  bool
}

func newGate(ctl *admission.Controller) *gate {
	return &gate{ctl: ctl, waiters: map[uint64]chan admission.Event{}}
}

// acquire returns a slot, or the reason why there is none.
func (g *gate) acquire(ctx context.Context, r admitRequest) (*slot, Reason) {
	id, decision, wait := g.submit(r)
	switch decision.Kind {
	case admission.Admitted:
		return &slot{gate: g, id: id, server: decision.Server}, ""
	case admission.Refused:
		return nil, Reason(decision.Reason)
	}
	select {
	case ev := <-wait:
		return g.granted(id, ev)
	case <-ctx.Done():
		return g.abandon(id, wait)
	}
}

func (g *gate) submit(r admitRequest) (uint64, admission.Decision, chan admission.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	id := g.lastID
	now := time.Now()
	g.expireLent(now)
	decision := g.ctl.Submit(now, admission.Request{
		ID:       id,
		Service:  r.service,
		Rank:     r.priority.Rank(),
		Deadline: r.deadline,
		Exclude:  r.exclude,
		NoQueue:  r.noQueue,
	})
	var wait chan admission.Event
	if decision.Kind == admission.Queued {
		wait = make(chan admission.Event, 1)
		g.waiters[id] = wait
		// A full queue may have shed a request of lower priority.
		g.dispatch(g.ctl.Tick(now))
	}
	return id, decision, wait
}

func (g *gate) granted(id uint64, ev admission.Event) (*slot, Reason) {
	if ev.Kind == admission.Granted {
		return &slot{gate: g, id: id, server: ev.Server}, ""
	}
	return nil, Reason(ev.Reason)
}

// abandon gives up waiting. A grant that came at the same moment is returned.
func (g *gate) abandon(id uint64, wait chan admission.Event) (*slot, Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
	select {
	case ev := <-wait:
		if ev.Kind == admission.Granted {
			g.dispatch(g.ctl.Release(time.Now(), id, time.Time{}))
		}
	default:
		g.dispatch(g.ctl.Cancel(time.Now(), id))
	}
	return nil, ReasonDeadline
}

// dispatch hands events to their waiters. The caller holds the lock.
func (g *gate) dispatch(events []admission.Event) {
	for _, ev := range events {
		wait, ok := g.waiters[ev.ID]
		if !ok {
			if ev.Kind == admission.Granted {
				g.dispatch(g.ctl.Release(time.Now(), ev.ID, time.Time{}))
			}
			continue
		}
		delete(g.waiters, ev.ID)
		wait <- ev
	}
}

// release ends the use of a slot. With a holdUntil in the future the slot
// stays taken until then, because the backend server may still be working.
func (s *slot) release(holdUntil time.Time) {
	s.once.Do(func() {
		s.gate.update(func(ctl *admission.Controller, now time.Time) []admission.Event {
			return ctl.Release(now, s.id, holdUntil)
		})
	})
}

// update changes the controller and hands out the events that follow.
func (g *gate) update(change func(ctl *admission.Controller, now time.Time) []admission.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.expireLent(now)
	g.dispatch(change(g.ctl, now))
}

// setLent sets the borrowed slots by server; they lapse after lentFor unless
// they are set again.
func (g *gate) setLent(now time.Time, extra map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.lent {
		if extra[id] == 0 {
			g.ctl.SetLent(now, id, 0)
		}
	}
	for id, n := range extra {
		g.ctl.SetLent(now, id, n)
	}
	g.lent = extra
	g.lentUntil = now.Add(lentFor)
	g.dispatch(g.ctl.Tick(now))
}

// expireLent drops borrowed slots whose evidence is too old. A process that
// was paused finds out here, before it admits anything.
func (g *gate) expireLent(now time.Time) {
	if len(g.lent) == 0 || now.Before(g.lentUntil) {
		return
	}
	for id := range g.lent {
		g.ctl.SetLent(now, id, 0)
	}
	g.lent = nil
}

// read looks at the controller.
func (g *gate) read(look func(ctl *admission.Controller, now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	look(g.ctl, time.Now())
}

func (g *gate) run(ctx context.Context) {
	t := time.NewTicker(gateTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.update(func(ctl *admission.Controller, now time.Time) []admission.Event {
				return ctl.Tick(now)
			})
		}
	}
}

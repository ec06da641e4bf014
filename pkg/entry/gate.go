package entry

import (
	"context"
	"sync"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/admission"
	"github.com/dandelionrack/dandelionrack/pkg/config"
)

// Intervals of ticks. While requests are queued, an expired deadline or a freed
// slot is noticed at most busyTickInterval late. Without queued requests, ticks
// only serve to detect pauses of this process.
const (
	busyTickInterval = 5 * time.Millisecond
	idleTickInterval = 200 * time.Millisecond
)

// pauseThreshold is the time between two ticks from which this process counts as
// having been paused. After a pause its configuration, and so its shares of slots,
// may be outdated.
const pauseThreshold = time.Second

// gate lets goroutines wait for slots of the admission controller, which does not
// block and is not safe for concurrent use.
type gate struct {
	mu      sync.Mutex
	ctl     *admission.Controller
	waiters map[uint64]chan admission.Event
	lastID  uint64

	wake      chan struct{} // receives a value when a request is queued
	lastTick  time.Time
	pausedAt  time.Time // when the last pause was detected
	suspended bool
	// onPause is called without the lock when a pause is detected. It must call
	// resume once the configuration is up to date, unless a newer incarnation has
	// replaced this process.
	onPause func(gap time.Duration)
}

// slot is the right to have one request in flight at a backend server.
type slot struct {
	gate   *gate
	id     uint64
	server string
	once   sync.Once
}

// slotRequest describes a request that needs a slot.
type slotRequest struct {
	service  string
	priority config.Priority
	deadline time.Time
	exclude  []string
	// maxWait is how long to wait for a slot; with 0 the request is not queued.
	maxWait time.Duration
}

func newGate(ctl *admission.Controller, onPause func(gap time.Duration)) *gate {
	return &gate{ctl: ctl, waiters: map[uint64]chan admission.Event{}, wake: make(chan struct{}, 1), onPause: onPause}
}

// acquire returns a slot, or the reason for the refusal.
func (g *gate) acquire(ctx context.Context, r slotRequest) (*slot, Reason) {
	id, decision, wait := g.submit(r)
	switch decision.Kind {
	case admission.Admitted:
		return &slot{gate: g, id: id, server: decision.Server}, ""
	case admission.Refused:
		return nil, Reason(decision.Reason)
	}
	left := time.Until(r.deadline)
	reason := ReasonOverload
	if r.maxWait >= left {
		reason = ReasonDeadline
	}
	timer := time.NewTimer(min(r.maxWait, left))
	defer timer.Stop()
	select {
	case ev := <-wait:
		return g.slotFromEvent(id, ev)
	case <-timer.C:
		return g.stopWaiting(id, wait, reason)
	case <-ctx.Done():
		return g.stopWaiting(id, wait, ReasonDeadline)
	}
}

func (g *gate) submit(r slotRequest) (uint64, admission.Decision, chan admission.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	id := g.lastID
	now := time.Now()
	g.detectPause(now)
	if g.suspended {
		return id, admission.Decision{Kind: admission.Refused, Reason: string(ReasonNotReady)}, nil
	}
	decision := g.ctl.Submit(now, admission.Request{
		ID:       id,
		Service:  r.service,
		Rank:     r.priority.Rank(),
		Deadline: r.deadline,
		Exclude:  r.exclude,
		NoQueue:  r.maxWait <= 0,
	})
	var wait chan admission.Event
	if decision.Kind == admission.Queued {
		wait = make(chan admission.Event, 1)
		g.waiters[id] = wait
		// A full queue may have shed a request of lower priority.
		g.deliver(g.ctl.Tick(now))
		select {
		case g.wake <- struct{}{}:
		default:
		}
	}
	return id, decision, wait
}

func (g *gate) slotFromEvent(id uint64, ev admission.Event) (*slot, Reason) {
	if ev.Kind == admission.Granted {
		return &slot{gate: g, id: id, server: ev.Server}, ""
	}
	return nil, Reason(ev.Reason)
}

// stopWaiting cancels a queued request. A slot that was granted at the same time
// is released.
func (g *gate) stopWaiting(id uint64, wait chan admission.Event, reason Reason) (*slot, Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.waiters, id)
	select {
	case ev := <-wait:
		if ev.Kind == admission.Granted {
			g.deliver(g.ctl.Release(time.Now(), id, time.Time{}))
		}
	default:
		g.deliver(g.ctl.Cancel(time.Now(), id))
	}
	return nil, reason
}

// deliver sends events to their waiters. The caller holds the lock.
func (g *gate) deliver(events []admission.Event) {
	for _, ev := range events {
		if ev.Kind == admission.Granted && g.suspended {
			g.deliver(g.ctl.Release(time.Now(), ev.ID, time.Time{}))
			ev = admission.Event{Kind: admission.Expired, ID: ev.ID, Reason: string(ReasonNotReady)}
		}
		wait, ok := g.waiters[ev.ID]
		if !ok {
			if ev.Kind == admission.Granted {
				g.deliver(g.ctl.Release(time.Now(), ev.ID, time.Time{}))
			}
			continue
		}
		delete(g.waiters, ev.ID)
		wait <- ev
	}
}

// release ends the use of a slot. With a holdUntil in the future the slot stays
// held until then, because the backend server may still be processing the request.
func (s *slot) release(holdUntil time.Time) {
	s.once.Do(func() {
		s.gate.update(func(ctl *admission.Controller, now time.Time) []admission.Event {
			return ctl.Release(now, s.id, holdUntil)
		})
	})
}

// detectPause suspends admission after a gap in the ticks. The caller holds the
// lock.
func (g *gate) detectPause(now time.Time) {
	gap := now.Sub(g.lastTick)
	if g.lastTick.IsZero() || gap < pauseThreshold {
		return
	}
	g.pausedAt = now
	if g.suspended {
		return
	}
	g.suspended = true
	go g.onPause(gap)
}

// lastPause returns when the last pause was detected.
func (g *gate) lastPause() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detectPause(time.Now())
	return g.pausedAt
}

// suspend stops admission in a process that was replaced. It is not resumed.
func (g *gate) suspend() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspended = true
}

// resume ends a suspension and returns true, unless another pause was detected
// after asOf.
func (g *gate) resume(asOf time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.detectPause(now)
	if g.pausedAt.After(asOf) {
		return false
	}
	g.suspended = false
	g.lastTick = now
	return true
}

// tick advances the controller and returns the time until the next tick.
func (g *gate) tick() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.detectPause(now)
	g.lastTick = now
	g.deliver(g.ctl.Tick(now))
	if len(g.waiters) > 0 {
		return busyTickInterval
	}
	return idleTickInterval
}

// update changes the controller and delivers the resulting events.
func (g *gate) update(change func(ctl *admission.Controller, now time.Time) []admission.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.detectPause(now)
	g.deliver(change(g.ctl, now))
}

// setLent sets how many slots of a server are borrowed from a gone entry instance.
func (g *gate) setLent(now time.Time, server, lender string, extra int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ctl.SetLent(now, server, lender, extra)
}

// read calls inspect with the controller.
func (g *gate) read(inspect func(ctl *admission.Controller, now time.Time)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	inspect(g.ctl, time.Now())
}

func (g *gate) run(ctx context.Context) { repeat(ctx, g.wake, g.tick) }

package admission

import (
	"slices"
	"time"
)

// waiter is a queued request.
type waiter struct {
	Request
	since    time.Time
	sequence uint64
}

// rank is the priority of a waiter, with the age rule of the package.
func (c *Controller) rank(w *waiter, now time.Time) int {
	if w.Rank > rankSettle && now.Sub(w.since) >= c.cfg.AgeAfter {
		return rankSettle
	}
	return w.Rank
}

// before reports whether a is served before b.
func (c *Controller) before(a, b *waiter, now time.Time) bool {
	if ra, rb := c.rank(a, now), c.rank(b, now); ra != rb {
		return ra < rb
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.sequence < b.sequence
}

// dropAt is when the deadline of a waiter can no longer be met, by the recent
// service time.
func (c *Controller) dropAt(w *waiter) time.Time {
	return w.Deadline.Add(-c.means[w.Service])
}

// Submit asks for a slot. A request that has to wait is queued if the recent
// service times say that it can still meet its deadline, and is refused as
// overload if not. Granted and shed requests of the queue are returned by the
// next Tick, Release or Cancel.
func (c *Controller) Submit(now time.Time, r Request) Decision {
	now = c.advance(now)
	if c.known(r.ID) {
		return Decision{Kind: Refused, Reason: ReasonDuplicate}
	}
	if !r.Deadline.After(now) {
		return Decision{Kind: Refused, Reason: ReasonDeadline}
	}
	if !c.reachable(r) {
		return Decision{Kind: Refused, Reason: ReasonNoServer}
	}
	c.dispatch(now)
	if s := c.choose(now, r.Service, r.Exclude); s != nil {
		c.take(now, s, r)
		return Decision{Kind: Admitted, Server: s.ID}
	}
	if r.NoQueue {
		return Decision{Kind: Refused, Reason: ReasonOverload}
	}
	return c.enqueue(now, r)
}

func (c *Controller) known(id uint64) bool {
	_, flying := c.flights[id]
	_, queued := c.waiting[id]
	return flying || queued
}

// reachable reports whether any server could ever take the request.
func (c *Controller) reachable(r Request) bool {
	for _, s := range c.byService[r.Service] {
		if len(s.leaving) == 0 && !slices.Contains(r.Exclude, s.ID) {
			return true
		}
	}
	return false
}

// choose returns the server with the lowest (in flight + 1) / usable, or nil
// when no slot is free. The scan starts one server further each time, so ties
// rotate.
func (c *Controller) choose(now time.Time, service string, exclude []string) *server {
	list := c.byService[service]
	var best *server
	var bestUsed, bestUsable int
	for i := range list {
		s := list[(i+c.turn)%len(list)]
		usable := s.usable(now, c.cfg.SlowStart)
		used := s.used()
		if used >= usable || slices.Contains(exclude, s.ID) {
			continue
		}
		if best == nil || (used+1)*bestUsable < (bestUsed+1)*usable {
			best, bestUsed, bestUsable = s, used, usable
		}
	}
	return best
}

func (c *Controller) take(now time.Time, s *server, r Request) {
	c.turn++
	s.inFlight++
	c.flights[r.ID] = flight{server: s.ID, service: r.Service, since: now}
}

func (c *Controller) enqueue(now time.Time, r Request) Decision {
	c.sequence++
	w := &waiter{Request: r, since: now, sequence: c.sequence}
	if now.Add(c.estimate(now, w)).After(r.Deadline) {
		return Decision{Kind: Refused, Reason: ReasonOverload}
	}
	if len(c.queues[r.Service]) >= c.cfg.QueueLimit && !c.shed(now, w, c.queues[r.Service]) {
		return Decision{Kind: Refused, Reason: ReasonOverload}
	}
	if len(c.waiting) >= c.cfg.QueueTotal && !c.shed(now, w, c.all()) {
		return Decision{Kind: Refused, Reason: ReasonOverload}
	}
	c.waiting[r.ID] = w
	c.queues[r.Service] = append(c.queues[r.Service], w)
	return Decision{Kind: Queued}
}

func (c *Controller) all() []*waiter {
	out := make([]*waiter, 0, len(c.waiting))
	for _, q := range c.queues {
		out = append(out, q...)
	}
	return out
}

// shed makes room by dropping the last waiter of the lowest priority, if that
// priority is below the newcomer's. Age does not protect from being shed.
func (c *Controller) shed(now time.Time, newcomer *waiter, from []*waiter) bool {
	var last *waiter
	for _, w := range from {
		if last == nil || w.Rank > last.Rank || w.Rank == last.Rank && c.before(last, w, now) {
			last = w
		}
	}
	if last == nil || last.Rank <= newcomer.Rank {
		return false
	}
	c.expire(now, last, ReasonOverload)
	return true
}

// estimate returns the expected time until the end of a queued request: its
// turn among the waiters that are served before it, plus one service time. It
// is zero while no service time is known, unless every slot is held.
func (c *Controller) estimate(now time.Time, w *waiter) time.Duration {
	slots := 0
	var first time.Time
	for _, s := range c.byService[w.Service] {
		if len(s.leaving) > 0 || slices.Contains(w.Exclude, s.ID) {
			continue
		}
		slots += max(s.usable(now, c.cfg.SlowStart), s.Share)
		if s.inFlight > 0 || s.free(now, c.cfg.SlowStart) > 0 {
			first = now
		} else {
			first = earlier(first, s.nextChange(now, c.cfg.SlowStart))
		}
	}
	if slots == 0 && first.IsZero() {
		return w.Deadline.Sub(now) + 1
	}
	mean := c.means[w.Service]
	turns := time.Duration(c.ahead(now, w) + 1)
	wait := max(0, first.Sub(now))
	return wait + mean*turns/time.Duration(max(slots, 1)) + mean
}

// ahead counts waiters that compete for the same servers and are served first.
func (c *Controller) ahead(now time.Time, w *waiter) int {
	services := map[string]bool{w.Service: true}
	for _, s := range c.byService[w.Service] {
		for _, other := range s.Services {
			services[other] = true
		}
	}
	n := 0
	for service := range services {
		for _, other := range c.queues[service] {
			if c.before(other, w, now) {
				n++
			}
		}
	}
	return n
}

// remove takes a waiter out of the queue.
func (c *Controller) remove(w *waiter) {
	delete(c.waiting, w.ID)
	q := c.queues[w.Service]
	i := slices.Index(q, w)
	c.queues[w.Service] = slices.Delete(q, i, i+1)
}

func (c *Controller) expire(now time.Time, w *waiter, reason string) {
	c.remove(w)
	c.pending = append(c.pending, Event{Kind: Expired, ID: w.ID, Reason: reason, Waited: now.Sub(w.since)})
}

// dispatch grants free slots to waiters in queue order.
func (c *Controller) dispatch(now time.Time) {
	for len(c.waiting) > 0 {
		w, s := c.next(now)
		if w == nil {
			return
		}
		c.remove(w)
		c.take(now, s, w.Request)
		c.pending = append(c.pending, Event{Kind: Granted, ID: w.ID, Server: s.ID, Waited: now.Sub(w.since)})
	}
}

// next returns the first waiter for which a slot is free.
func (c *Controller) next(now time.Time) (*waiter, *server) {
	var first *waiter
	var at *server
	for service, q := range c.queues {
		if len(q) == 0 || c.choose(now, service, nil) == nil {
			continue
		}
		for _, w := range q {
			if first != nil && !c.before(w, first, now) || !c.dropAt(w).After(now) {
				continue
			}
			if s := c.choose(now, service, w.Exclude); s != nil {
				first, at = w, s
			}
		}
	}
	return first, at
}

// Release ends a request. With a zero holdUntil its slot is free now;
// otherwise the slot stays held until then, because the server may still work
// on the request.
func (c *Controller) Release(now time.Time, id uint64, holdUntil time.Time) []Event {
	now = c.advance(now)
	f, ok := c.flights[id]
	if !ok {
		return c.settle(now)
	}
	delete(c.flights, id)
	s := c.servers[f.server]
	s.inFlight--
	if holdUntil.After(now) {
		s.hold(holdUntil)
	} else {
		s.markIdle(now)
	}
	if holdUntil.IsZero() {
		c.observe(s, f.service, now.Sub(f.since))
	}
	return c.settle(now)
}

// observe records a service time for the server and the service.
func (c *Controller) observe(s *server, service string, d time.Duration) {
	s.mean = smooth(s.mean, d)
	c.means[service] = smooth(c.means[service], d)
}

// Cancel removes a request from the queue. It also takes back a grant that has
// not been returned yet. A request that is in flight needs Release.
func (c *Controller) Cancel(now time.Time, id uint64) []Event {
	now = c.advance(now)
	if w := c.waiting[id]; w != nil {
		c.remove(w)
		return c.settle(now)
	}
	i := slices.IndexFunc(c.pending, func(e Event) bool { return e.ID == id })
	if i >= 0 {
		granted := c.pending[i].Kind == Granted
		c.pending = slices.Delete(c.pending, i, i+1)
		if granted {
			c.servers[c.flights[id].server].inFlight--
			delete(c.flights, id)
		}
	}
	return c.settle(now)
}

// Tick grants slots that have become free and drops requests whose deadline
// can no longer be met.
func (c *Controller) Tick(now time.Time) []Event {
	return c.settle(c.advance(now))
}

// settle brings the queue up to date and returns all events.
func (c *Controller) settle(now time.Time) []Event {
	for _, w := range c.all() {
		switch {
		case !c.dropAt(w).After(now):
			c.expire(now, w, ReasonDeadline)
		case !c.reachable(w.Request):
			c.expire(now, w, ReasonNoServer)
		}
	}
	c.dispatch(now)
	c.dirtyAt = time.Time{}
	events := c.pending
	c.pending = nil
	return events
}

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

// rank returns the priority of a queued request, raised by its age.
func (c *Controller) rank(w *waiter, now time.Time) int {
	if w.Rank > rankSettle && now.Sub(w.since) >= c.cfg.AgeAfter {
		return rankSettle
	}
	return w.Rank
}

// servedBefore reports whether a is served before b.
func (c *Controller) servedBefore(a, b *waiter, now time.Time) bool {
	if ra, rb := c.rank(a, now), c.rank(b, now); ra != rb {
		return ra < rb
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.sequence < b.sequence
}

// latestStart is when a queued request has to start to meet its deadline,
// judged by the recent service time.
func (c *Controller) latestStart(w *waiter) time.Time {
	return w.Deadline.Add(-c.meanTimes[w.Service])
}

// Submit asks for a slot. A request that has to wait is queued if it can still
// meet its deadline, judged by the recent service times, and is otherwise
// refused as overload. Queued requests that are granted or shed by this call
// are returned by the next Tick, Release or Cancel.
func (c *Controller) Submit(now time.Time, r Request) Decision {
	now = c.advance(now)
	if c.known(r.ID) {
		return Decision{Kind: Refused, Reason: ReasonDuplicate}
	}
	if !r.Deadline.After(now) {
		return Decision{Kind: Refused, Reason: ReasonDeadline}
	}
	if !c.hasServer(r) {
		return Decision{Kind: Refused, Reason: ReasonNoServer}
	}
	c.dispatch(now)
	if s := c.chooseServer(now, r.Service, r.Exclude); s != nil {
		c.occupySlot(now, s, r)
		return Decision{Kind: Admitted, Server: s.ID}
	}
	if r.NoQueue {
		return Decision{Kind: Refused, Reason: ReasonOverload}
	}
	return c.enqueue(now, r)
}

func (c *Controller) known(id uint64) bool {
	_, active := c.active[id]
	_, queued := c.queued[id]
	return active || queued
}

// hasServer reports whether any server may take the request once it has a free
// slot.
func (c *Controller) hasServer(r Request) bool {
	for _, s := range c.byService[r.Service] {
		if len(s.leavingReasons) == 0 && !slices.Contains(r.Exclude, s.ID) {
			return true
		}
	}
	return false
}

// chooseServer returns the server with the lowest (used + 1) / usable, or nil
// when no slot is free. The scan starts one server further after each request,
// so ties rotate.
func (c *Controller) chooseServer(now time.Time, service string, exclude []string) *server {
	list := c.byService[service]
	var best *server
	var bestUsed, bestUsable int
	for i := range list {
		s := list[(i+c.scanOffset)%len(list)]
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

func (c *Controller) occupySlot(now time.Time, s *server, r Request) {
	c.scanOffset++
	s.inFlight++
	c.active[r.ID] = activeRequest{server: s.ID, service: r.Service, since: now}
}

func (c *Controller) enqueue(now time.Time, r Request) Decision {
	c.sequence++
	w := &waiter{Request: r, since: now, sequence: c.sequence}
	if now.Add(c.estimateCompletion(now, w)).After(r.Deadline) {
		return Decision{Kind: Refused, Reason: ReasonOverload}
	}
	if len(c.queues[r.Service]) >= c.cfg.QueueLimit && !c.shedFor(now, w, c.queues[r.Service]) {
		return Decision{Kind: Refused, Reason: ReasonOverload}
	}
	if len(c.queued) >= c.cfg.QueueTotal && !c.shedFor(now, w, c.allQueued()) {
		return Decision{Kind: Refused, Reason: ReasonOverload}
	}
	c.queued[r.ID] = w
	c.queues[r.Service] = append(c.queues[r.Service], w)
	return Decision{Kind: Queued}
}

func (c *Controller) allQueued() []*waiter {
	out := make([]*waiter, 0, len(c.queued))
	for _, q := range c.queues {
		out = append(out, q...)
	}
	return out
}

// shedFor makes room for a new request by dropping the last one of the lowest
// priority, if that priority is below the new request's. Age does not protect
// a request from being shed.
func (c *Controller) shedFor(now time.Time, incoming *waiter, from []*waiter) bool {
	var last *waiter
	for _, w := range from {
		if last == nil || w.Rank > last.Rank || w.Rank == last.Rank && c.servedBefore(last, w, now) {
			last = w
		}
	}
	if last == nil || last.Rank <= incoming.Rank {
		return false
	}
	c.expire(now, last, ReasonOverload)
	return true
}

// estimateCompletion returns the expected time until a queued request ends: the
// wait for the requests that are served before it, plus one service time. It is
// zero while no service time is known, unless every slot is held.
func (c *Controller) estimateCompletion(now time.Time, w *waiter) time.Duration {
	slots := 0
	var first time.Time
	for _, s := range c.byService[w.Service] {
		if len(s.leavingReasons) > 0 || slices.Contains(w.Exclude, s.ID) {
			continue
		}
		slots += max(s.usable(now, c.cfg.SlowStart), s.Share)
		if s.inFlight > 0 || s.freeSlots(now, c.cfg.SlowStart) > 0 {
			first = now
		} else {
			first = earlier(first, s.nextChange(now, c.cfg.SlowStart))
		}
	}
	if slots == 0 && first.IsZero() {
		return w.Deadline.Sub(now) + 1
	}
	mean := c.meanTimes[w.Service]
	position := time.Duration(c.countAhead(now, w) + 1)
	wait := max(0, first.Sub(now))
	return wait + mean*position/time.Duration(max(slots, 1)) + mean
}

// countAhead counts the queued requests that compete for the same servers and
// are served first.
func (c *Controller) countAhead(now time.Time, w *waiter) int {
	services := map[string]bool{w.Service: true}
	for _, s := range c.byService[w.Service] {
		for _, other := range s.Services {
			services[other] = true
		}
	}
	n := 0
	for service := range services {
		for _, other := range c.queues[service] {
			if c.servedBefore(other, w, now) {
				n++
			}
		}
	}
	return n
}

// remove takes a request out of the queue.
func (c *Controller) remove(w *waiter) {
	delete(c.queued, w.ID)
	q := c.queues[w.Service]
	i := slices.Index(q, w)
	c.queues[w.Service] = slices.Delete(q, i, i+1)
}

func (c *Controller) expire(now time.Time, w *waiter, reason string) {
	c.remove(w)
	c.pendingEvents = append(c.pendingEvents, Event{Kind: Expired, ID: w.ID, Reason: reason, Waited: now.Sub(w.since)})
}

// dispatch grants free slots to queued requests in queue order.
func (c *Controller) dispatch(now time.Time) {
	for len(c.queued) > 0 {
		w, s := c.nextGrant(now)
		if w == nil {
			return
		}
		c.remove(w)
		c.occupySlot(now, s, w.Request)
		c.pendingEvents = append(c.pendingEvents, Event{Kind: Granted, ID: w.ID, Server: s.ID, Waited: now.Sub(w.since)})
	}
}

// nextGrant returns the first queued request for which a slot is free, and the
// server of that slot.
func (c *Controller) nextGrant(now time.Time) (*waiter, *server) {
	var first *waiter
	var chosen *server
	for service, q := range c.queues {
		if len(q) == 0 || c.chooseServer(now, service, nil) == nil {
			continue
		}
		for _, w := range q {
			if first != nil && !c.servedBefore(w, first, now) || !c.latestStart(w).After(now) {
				continue
			}
			if s := c.chooseServer(now, service, w.Exclude); s != nil {
				first, chosen = w, s
			}
		}
	}
	return first, chosen
}

// Release ends a request. With a zero holdUntil its slot is free at once;
// otherwise the slot stays held until then, because the server may still be
// processing the request.
func (c *Controller) Release(now time.Time, id uint64, holdUntil time.Time) []Event {
	now = c.advance(now)
	request, ok := c.active[id]
	if !ok {
		return c.processQueue(now)
	}
	delete(c.active, id)
	s := c.servers[request.server]
	s.inFlight--
	if holdUntil.After(now) {
		s.hold(holdUntil)
	} else {
		s.markIdle(now)
	}
	if holdUntil.IsZero() {
		c.recordServiceTime(s, request.service, now.Sub(request.since))
	}
	return c.processQueue(now)
}

// recordServiceTime updates the mean service times of the server and the service.
func (c *Controller) recordServiceTime(s *server, service string, d time.Duration) {
	s.meanTime = movingMean(s.meanTime, d)
	c.meanTimes[service] = movingMean(c.meanTimes[service], d)
}

// Cancel removes a request from the queue. It also revokes a grant that has not
// been returned yet. A request that is in flight needs Release.
func (c *Controller) Cancel(now time.Time, id uint64) []Event {
	now = c.advance(now)
	if w := c.queued[id]; w != nil {
		c.remove(w)
		return c.processQueue(now)
	}
	i := slices.IndexFunc(c.pendingEvents, func(e Event) bool { return e.ID == id })
	if i >= 0 {
		granted := c.pendingEvents[i].Kind == Granted
		c.pendingEvents = slices.Delete(c.pendingEvents, i, i+1)
		if granted {
			c.servers[c.active[id].server].inFlight--
			delete(c.active, id)
		}
	}
	return c.processQueue(now)
}

// Tick grants slots that have become free and drops requests whose deadline
// can no longer be met.
func (c *Controller) Tick(now time.Time) []Event {
	return c.processQueue(c.advance(now))
}

// processQueue drops and grants queued requests and returns all events.
func (c *Controller) processQueue(now time.Time) []Event {
	for _, w := range c.allQueued() {
		switch {
		case !c.latestStart(w).After(now):
			c.expire(now, w, ReasonDeadline)
		case !c.hasServer(w.Request):
			c.expire(now, w, ReasonNoServer)
		}
	}
	c.dispatch(now)
	c.dirtyAt = time.Time{}
	events := c.pendingEvents
	c.pendingEvents = nil
	return events
}

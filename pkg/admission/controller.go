// Package admission decides whether a request may take a slot of a backend
// server now, has to queue, or is refused.
//
// The package is pure: times are arguments, and one goroutine at a time may
// use a Controller. Each seat counts only its own share of the slots (Share),
// so the sum over seats never exceeds the slots of a server.
//
// Queue order: by rank (interactive, settle, deferred), then by deadline, then
// by arrival. Deferred work that has waited for Config.AgeAfter ranks as
// settle and competes by deadline, so settle work cannot starve it. It never
// ranks as interactive: while interactive work alone fills all slots, deferred
// work waits until its deadline and is then refused.
package admission

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Controller accounts for the slots of one seat and queues requests.
type Controller struct {
	cfg     Config
	servers map[string]*server
	// byService lists the servers of a service in id order.
	byService map[string][]*server
	flights   map[uint64]flight
	waiting   map[uint64]*waiter
	queues    map[string][]*waiter
	means     map[string]time.Duration // by service
	seen      bool                     // SetServers has been called
	clear     bool                     // no predecessor has requests in flight
	turn      int
	sequence  uint64
	pending   []Event   // not yet returned to the caller
	dirtyAt   time.Time // a change may allow grants since then
	now       time.Time // latest time seen
}

// New returns a Controller without servers.
func New(cfg Config) *Controller {
	if cfg.QueueLimit <= 0 {
		cfg.QueueLimit = DefaultQueueLimit
	}
	if cfg.QueueTotal <= 0 {
		cfg.QueueTotal = 4 * cfg.QueueLimit
	}
	if cfg.SlowStart == 0 {
		cfg.SlowStart = DefaultSlowStart
	}
	if cfg.AgeAfter <= 0 {
		cfg.AgeAfter = DefaultAgeAfter
	}
	return &Controller{
		cfg:       cfg,
		clear:     cfg.NoPredecessor,
		servers:   make(map[string]*server),
		byService: make(map[string][]*server),
		flights:   make(map[uint64]flight),
		waiting:   make(map[uint64]*waiter),
		queues:    make(map[string][]*waiter),
		means:     make(map[string]time.Duration),
	}
}

// advance moves the clock, never backwards, and applies what is due.
func (c *Controller) advance(now time.Time) time.Time {
	if now.Before(c.now) {
		now = c.now
	}
	c.now = now
	for _, s := range c.servers {
		s.advance(now, c.cfg.SlowStart)
		if s.removed && s.used() == 0 {
			delete(c.servers, s.ID)
		}
	}
	return now
}

func (c *Controller) touch(now time.Time) {
	c.dirtyAt = earlier(c.dirtyAt, now)
}

func (c *Controller) holdOff(s *server) time.Duration {
	if c.cfg.HoldOff > 0 {
		return c.cfg.HoldOff
	}
	return s.MaxTimeout
}

// SetServers replaces the list of servers. The servers of the first call are
// used once the hold-off of this incarnation is over. Later, an increase of a
// share (also of a server that is new) waits ConfigPropagation plus the hold-off;
// a decrease counts at once. A removed server gets no new work.
func (c *Controller) SetServers(now time.Time, list []Server) {
	now = c.advance(now)
	listed := make(map[string]bool, len(list))
	for _, spec := range list {
		listed[spec.ID] = true
		c.setServer(now, spec)
	}
	for id, s := range c.servers {
		if !listed[id] {
			s.removed = true
			s.slowFrom = time.Time{}
			s.retarget(0, now)
		}
	}
	c.seen = true
	c.index()
	c.touch(now)
}

func (c *Controller) setServer(now time.Time, spec Server) {
	s := c.servers[spec.ID]
	if s == nil {
		s = &server{leaving: make(map[string]bool), loans: make(map[string]loan), idleAt: now}
		c.servers[spec.ID] = s
	}
	// The longer timeout counts, because requests under the older
	// configuration may still be in flight at other seats.
	spec.MaxTimeout = max(spec.MaxTimeout, s.MaxTimeout)
	spec.Services = slices.Clone(spec.Services)
	s.Server = spec
	s.removed = false
	spread := ConfigPropagation + c.holdOff(s)
	if c.seen {
		s.retarget(spec.Share, now.Add(spread))
		return
	}
	c.firstShare(now, s, spec.ChangedAt.Add(spread))
}

// firstShare gives a server its share at the first sight of this incarnation.
// The server is assumed to be warm.
func (c *Controller) firstShare(now time.Time, s *server, settled time.Time) {
	s.slowFrom = now.Add(-max(0, c.cfg.SlowStart))
	at := settled
	if held := c.cfg.Start.Add(LoanValidity + c.holdOff(s)); !c.clear && held.After(at) {
		at = held
	}
	if s.ChangedAt.IsZero() {
		settled = now
	}
	s.steps = []step{{share: s.Share, at: at, clearAt: settled}}
	s.advance(now, c.cfg.SlowStart)
}

// index rebuilds the list of servers by service.
func (c *Controller) index() {
	c.byService = make(map[string][]*server)
	for _, id := range slices.Sorted(maps.Keys(c.servers)) {
		s := c.servers[id]
		if s.removed {
			continue
		}
		for _, service := range s.Services {
			c.byService[service] = append(c.byService[service], s)
		}
	}
}

// ClearHoldOff ends the hold-off of this incarnation. Call it only when a peer
// has confirmed that the predecessor left cleanly (CanHandOver was true) and
// that no lent slot of this seat is in use. Increases by configuration changes
// still wait.
func (c *Controller) ClearHoldOff(now time.Time) {
	now = c.advance(now)
	c.clear = true
	for _, s := range c.servers {
		if len(s.steps) > 0 && s.steps[0].clearAt.Before(s.steps[0].at) && !s.steps[0].clearAt.IsZero() {
			s.steps[0].at = s.steps[0].clearAt
		}
	}
	c.touch(now)
}

// CanHandOver reports whether a successor may skip its hold-off: nothing is in flight
// or held, and this incarnation's own hold-off is over. Within the hold-off,
// requests of its predecessor may still run, so it must not vouch for the seat.
func (c *Controller) CanHandOver(now time.Time) bool {
	now = c.advance(now)
	for _, s := range c.servers {
		until := c.cfg.Start.Add(LoanValidity + c.holdOff(s))
		if s.used() > 0 || !c.clear && until.After(now) {
			return false
		}
	}
	return c.seen
}

// SetLeaving records or withdraws one reason for which a server is leaving. It
// gets no new work while any reason stands, and returns by slow start. A server
// that SetServers has not listed yet is ignored.
func (c *Controller) SetLeaving(now time.Time, id string, leaving bool, reason string) {
	now = c.advance(now)
	s := c.servers[id]
	if s == nil || s.leaving[reason] == leaving {
		return
	}
	if leaving {
		if len(s.leaving) == 0 {
			s.leftAt = now
		}
		s.leaving[reason] = true
	} else {
		delete(s.leaving, reason)
		if len(s.leaving) == 0 {
			s.leftAt = time.Time{}
			s.slowFrom = now
		}
	}
	c.touch(now)
}

// SetLent sets the slots that this seat may borrow of a server from a gone
// seat, 0 to withdraw them at once. now is the time of the check that found the
// lending seat gone. The slots can be used after the hold-off, and only while
// the call is repeated at least every LoanValidity: a process that was paused
// must not use an old proof. After a gap the hold-off starts again.
func (c *Controller) SetLent(now time.Time, id, lender string, extra int) {
	s := c.servers[id]
	if s == nil {
		return
	}
	s.lend(now, lender, extra, c.holdOff(s))
	c.touch(c.advance(now))
}

// Snapshot returns the state of all servers in id order.
func (c *Controller) Snapshot(now time.Time) []ServerStatus {
	now = c.advance(now)
	out := make([]ServerStatus, 0, len(c.servers))
	for _, s := range c.servers {
		out = append(out, s.status(now, c.cfg.SlowStart))
	}
	slices.SortFunc(out, func(a, b ServerStatus) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// FreeSlots returns the slots that a request of the service could take now.
func (c *Controller) FreeSlots(now time.Time, service string) int {
	now = c.advance(now)
	n := 0
	for _, s := range c.byService[service] {
		n += s.free(now, c.cfg.SlowStart)
	}
	return n
}

// QueueLength returns the number of queued requests of a service.
func (c *Controller) QueueLength(service string) int { return len(c.queues[service]) }

// NextEvent returns when Tick has to be called next; zero means never. It is
// in the past when events wait to be returned.
func (c *Controller) NextEvent() time.Time {
	next := c.dirtyAt
	if len(c.pending) > 0 {
		next = earlier(next, c.now)
	}
	if len(c.waiting) == 0 {
		return next
	}
	for _, w := range c.waiting {
		next = earlier(next, c.dropAt(w))
	}
	for _, s := range c.servers {
		next = earlier(next, s.nextChange(c.now, c.cfg.SlowStart))
	}
	return next
}

// Package admission decides whether a request may take a slot of a backend
// server now, has to queue, or is refused.
//
// The package does no I/O and reads no clock: times are arguments. A Controller
// is not safe for concurrent use. Each entry instance uses only its own share
// of the slots (Share), so the sum over all entry instances never exceeds the
// slots of a server.
//
// Queue order: by rank (interactive, settle, deferred; see config.Priority),
// then by deadline, then by arrival. A deferred request that has waited for Config.AgeAfter ranks as
// settle and competes by deadline, so settle requests cannot starve it. It
// never ranks as interactive: while interactive requests alone fill all slots,
// deferred requests wait until their deadline and are then refused.
package admission

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Controller accounts for the slots of one entry instance and queues requests.
type Controller struct {
	cfg     Config
	servers map[string]*server
	// byService lists the servers of each service in id order.
	byService     map[string][]*server
	active        map[uint64]activeRequest
	queued        map[uint64]*waiter
	queues        map[string][]*waiter
	meanTimes     map[string]time.Duration // service time, by service
	configured    bool                     // SetServers has been called
	noPredecessor bool                     // no predecessor has requests in flight
	scanOffset    int                      // start of the next scan in chooseServer
	sequence      uint64                   // of the last queued request
	pendingEvents []Event                  // not yet returned to the caller
	dirtyAt       time.Time                // time of the first change since processQueue
	now           time.Time                // latest time passed in
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
		cfg:           cfg,
		noPredecessor: cfg.NoPredecessor,
		servers:       make(map[string]*server),
		byService:     make(map[string][]*server),
		active:        make(map[uint64]activeRequest),
		queued:        make(map[uint64]*waiter),
		queues:        make(map[string][]*waiter),
		meanTimes:     make(map[string]time.Duration),
	}
}

// advance sets the current time, which never goes back, and applies the changes
// that are due.
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

// markDirty makes NextEvent ask for a Tick at once.
func (c *Controller) markDirty(now time.Time) {
	c.dirtyAt = earlier(c.dirtyAt, now)
}

func (c *Controller) holdOff(s *server) time.Duration {
	if c.cfg.HoldOff > 0 {
		return c.cfg.HoldOff
	}
	return s.MaxTimeout
}

// SetServers replaces the list of servers. The servers of the first call are
// used once the hold-off of this incarnation is over. In later calls, an
// increased share or a new server takes effect after ConfigPropagation plus the
// hold-off, and a decrease at once. A removed server gets no new requests.
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
			s.slowStartAt = time.Time{}
			s.setShare(0, now)
		}
	}
	c.configured = true
	c.rebuildIndex()
	c.markDirty(now)
}

func (c *Controller) setServer(now time.Time, spec Server) {
	s := c.servers[spec.ID]
	if s == nil {
		s = &server{leavingReasons: make(map[string]bool), loans: make(map[string]loan), idleSince: now}
		c.servers[spec.ID] = s
	}
	// Keep the longer timeout: requests under the older configuration may
	// still be in flight at other entry instances.
	spec.MaxTimeout = max(spec.MaxTimeout, s.MaxTimeout)
	spec.Services = slices.Clone(spec.Services)
	s.Server = spec
	s.removed = false
	delay := ConfigPropagation + c.holdOff(s)
	if c.configured {
		s.setShare(spec.Share, now.Add(delay))
		return
	}
	c.setInitialShare(now, s, spec.ChangedAt.Add(delay))
}

// setInitialShare sets the share of a server in the first call of SetServers.
// The server is assumed to be warm, so it has no slow start. propagated is when
// the last configuration change is in force at all entry instances.
func (c *Controller) setInitialShare(now time.Time, s *server, propagated time.Time) {
	s.slowStartAt = now.Add(-max(0, c.cfg.SlowStart))
	at := propagated
	if holdOffEnd := c.cfg.Start.Add(LoanValidity + c.holdOff(s)); !c.noPredecessor && holdOffEnd.After(at) {
		at = holdOffEnd
	}
	if s.ChangedAt.IsZero() {
		propagated = now
	}
	s.increases = []shareIncrease{{share: s.Share, at: at, clearAt: propagated}}
	s.advance(now, c.cfg.SlowStart)
}

// rebuildIndex rebuilds byService.
func (c *Controller) rebuildIndex() {
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

// ClearHoldOff ends the hold-off of this incarnation. It must only be called
// when a peer has confirmed that the predecessor left cleanly (CanHandOver was
// true) and that no lent slot of this entry instance is in use. Increases by
// configuration changes still wait.
func (c *Controller) ClearHoldOff(now time.Time) {
	now = c.advance(now)
	c.noPredecessor = true
	for _, s := range c.servers {
		if len(s.increases) > 0 && s.increases[0].clearAt.Before(s.increases[0].at) && !s.increases[0].clearAt.IsZero() {
			s.increases[0].at = s.increases[0].clearAt
		}
	}
	c.markDirty(now)
}

// CanHandOver reports whether a successor may skip its hold-off: no slot is in
// flight or held, and this incarnation's own hold-off is over. During the
// hold-off, requests of its predecessor may still run.
func (c *Controller) CanHandOver(now time.Time) bool {
	now = c.advance(now)
	for _, s := range c.servers {
		until := c.cfg.Start.Add(LoanValidity + c.holdOff(s))
		if s.used() > 0 || !c.noPredecessor && until.After(now) {
			return false
		}
	}
	return c.configured
}

// SetLeaving adds or removes one reason for which a server is leaving. The
// server gets no new requests while any reason remains, and then returns with a
// slow start. A server that SetServers has not listed yet is ignored.
func (c *Controller) SetLeaving(now time.Time, id string, leaving bool, reason string) {
	now = c.advance(now)
	s := c.servers[id]
	if s == nil || s.leavingReasons[reason] == leaving {
		return
	}
	if leaving {
		if len(s.leavingReasons) == 0 {
			s.leavingSince = now
		}
		s.leavingReasons[reason] = true
	} else {
		delete(s.leavingReasons, reason)
		if len(s.leavingReasons) == 0 {
			s.leavingSince = time.Time{}
			s.slowStartAt = now
		}
	}
	c.markDirty(now)
}

// SetLent sets how many slots of a server this entry instance may borrow from
// the lender, an entry instance that is gone (membership.StateGone); 0 withdraws
// them at once. now is the time of the check that found the lender gone. The
// slots can be used after the hold-off, and only while the call is repeated at
// least every LoanValidity: a process that was paused must not rely on an old
// check. After a gap the hold-off starts again.
func (c *Controller) SetLent(now time.Time, id, lender string, extra int) {
	s := c.servers[id]
	if s == nil {
		return
	}
	s.setLoan(now, lender, extra, c.holdOff(s))
	c.markDirty(c.advance(now))
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

// FreeSlots returns the number of free slots for a service.
func (c *Controller) FreeSlots(now time.Time, service string) int {
	now = c.advance(now)
	n := 0
	for _, s := range c.byService[service] {
		n += s.freeSlots(now, c.cfg.SlowStart)
	}
	return n
}

// QueueLength returns the number of queued requests of a service.
func (c *Controller) QueueLength(service string) int { return len(c.queues[service]) }

// NextEvent returns when Tick has to be called next; zero means never. It is
// not in the future while there are undelivered events.
func (c *Controller) NextEvent() time.Time {
	next := c.dirtyAt
	if len(c.pendingEvents) > 0 {
		next = earlier(next, c.now)
	}
	if len(c.queued) == 0 {
		return next
	}
	for _, w := range c.queued {
		next = earlier(next, c.latestStart(w))
	}
	for _, s := range c.servers {
		next = earlier(next, s.nextChange(c.now, c.cfg.SlowStart))
	}
	return next
}

package soak

import (
	"context"
	"slices"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/platform/standin"
)

// Bounds of the platform's rules on what servers announce in their responses.
const (
	// inTransit is the time after an announcement within which requests that were
	// sent before may arrive.
	inTransit = 500 * time.Millisecond
	// Within limitWindow, a server may get limitFactor times what its limit allows,
	// plus limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// toleratedInPause is the number of requests that may reach a server which has
	// asked the entry instance for a pause.
	toleratedInPause = 2
)

// Invariants on what servers announce.
const (
	LeavingDeadline Invariant = "a server that announced that it leaves received a request after the time limit"
	ServerRateLimit Invariant = "a server got more requests than the limit that it named"
	PauseKept       Invariant = "a server got requests in a pause that it asked for"
)

// toldKey identifies what one server has told one entry instance.
type toldKey struct{ instance, server string }

// told is what a server has announced to an entry instance; times are zero if it has
// not.
type told struct {
	leavingAt, limitAt time.Time
	pauses             []pause
}

type pause struct {
	from, to time.Time
	received int
}

// limitPeriod is a time in which a server names a limit, and the requests to it from
// entry instances that it has told.
type limitPeriod struct {
	perSecond float64
	from, to  time.Time // to is zero while it lasts
	received  []time.Time
}

// noticeLedger records what servers announce. It is part of a Checker, whose lock
// guards it.
type noticeLedger struct {
	told   map[toldKey]*told
	limits map[string][]*limitPeriod // by server
}

func newNoticeLedger() noticeLedger {
	return noticeLedger{told: map[toldKey]*told{}, limits: map[string][]*limitPeriod{}}
}

func (l *noticeLedger) of(instance, server string) *told {
	key := toldKey{instance, server}
	if l.told[key] == nil {
		l.told[key] = &told{}
	}
	return l.told[key]
}

// forget drops what a server has announced, because its process has ended.
func (l *noticeLedger) forget(server string) {
	for key := range l.told {
		if key.server == server {
			delete(l.told, key)
		}
	}
}

// SetLimit records that a server begins to name a limit in its responses, in requests
// per second from all entry instances, or with 0 that it ends.
func (c *Checker) SetLimit(now time.Time, server string, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.notices.limits[server] {
		if p.to.IsZero() {
			p.to = now
		}
	}
	for key, t := range c.notices.told {
		if key.server == server {
			t.limitAt = time.Time{}
		}
	}
	if perSecond > 0 {
		c.notices.limits[server] = append(c.notices.limits[server], &limitPeriod{perSecond: perSecond, from: now})
	}
}

// recordTold records what an entry instance has passed on to a client.
func (c *Checker) recordTold(now time.Time, instance string, r standin.Response) {
	t := c.notices.of(instance, r.Server)
	if r.Leaving && t.leavingAt.IsZero() {
		t.leavingAt = now
	}
	if periods := c.notices.limits[r.Server]; r.Limited && t.limitAt.IsZero() && len(periods) > 0 && periods[len(periods)-1].to.IsZero() {
		t.limitAt = now
	}
}

// unexcused reports whether an entry instance must still know what it was told.
func (c *Checker) unexcused(instance string, since time.Time) bool {
	return historyOf(c.instanceFaults, instance).noneSince(since) && historyOf(c.plannedStops, instance).noneSince(since)
}

// checkNotices checks a request against what the server has told the entry instance.
func (c *Checker) checkNotices(s *clientRequest, r standin.BackendRequest) {
	t := c.notices.of(s.instance, r.Server)
	if at := t.leavingAt; !at.IsZero() && s.at.Sub(at) > c.bounds.Drain && c.unexcused(s.instance, at) {
		c.addViolation(r.At, LeavingDeadline, "%s by %s reached %s %v after the announcement", s.ID, s.instance, r.Server, s.at.Sub(at))
	}
	if at := t.limitAt; !at.IsZero() && r.At.Sub(at) >= inTransit && c.unexcused(s.instance, at) {
		period := c.notices.limits[r.Server][len(c.notices.limits[r.Server])-1]
		period.received = append(period.received, r.At)
	}
	for i := range t.pauses {
		p := &t.pauses[i]
		if r.At.Before(p.from) || !r.At.Before(p.to) || !c.unexcused(s.instance, p.from.Add(-inTransit)) {
			continue
		}
		if p.received++; p.received > toleratedInPause {
			c.addViolation(r.At, PauseKept, "%s by %s reached %s in a pause until %v later", s.ID, s.instance, r.Server, p.to.Sub(r.At))
		}
	}
	if r.Pause > 0 {
		t.pauses = append(t.pauses, pause{from: r.At.Add(inTransit), to: r.At.Add(r.Pause)})
	}
}

// checkLimits checks the requests to servers that named a limit, over sliding windows
// that end after the limit had been named for stableWindow.
func (c *Checker) checkLimits() {
	for server, periods := range c.notices.limits {
		for _, p := range periods {
			slices.SortFunc(p.received, time.Time.Compare)
			allowed := int(limitFactor*p.perSecond*limitWindow.Seconds() + limitSlack)
			first := 0
			for last, at := range p.received {
				for at.Sub(p.received[first]) > limitWindow {
					first++
				}
				if n := last - first + 1; n > allowed && at.Sub(p.from) >= stableWindow {
					c.addViolation(at, ServerRateLimit, "%s got %d requests in %v at a limit of %g a second, allowed %d", server, n, limitWindow, p.perSecond, allowed)
					break
				}
			}
		}
	}
}

// noticeFaultKinds lists the faults in which a server announces something.
var noticeFaultKinds = []faultKind{
	{"a server announces that it leaves", (*environment).announceLeaving},
	{"a server names a limit", (*environment).nameLimit},
	{"a server asks for pauses", (*environment).askForPauses},
}

// announceLeaving makes a server say in its responses only that it leaves. It ends
// later, and another process starts under its ID.
func (e *environment) announceLeaving(ctx context.Context, f plannedFault) {
	srv := e.reserveServer(f)
	if srv == nil {
		return
	}
	defer e.releaseServer(srv)
	srv.SetNotices(standin.Notices{Leaving: true})
	_ = wait.Sleep(ctx, e.checker.bounds.Drain+f.duration) // stops early if the run is canceled
	srv.Crash()
	srv.SetNotices(standin.Notices{})
	e.joinServer(srv)
}

// nameLimit makes a server name a limit that is far below its usual load.
func (e *environment) nameLimit(ctx context.Context, f plannedFault) {
	srv := e.reserveServer(f)
	if srv == nil {
		return
	}
	defer e.releaseServer(srv)
	limits := []float64{0.5, 2, 4.6, 8}
	limit := limits[f.variant%len(limits)]
	e.checker.SetLimit(time.Now(), srv.ID, limit)
	srv.SetNotices(standin.Notices{Limit: limit})
	_ = wait.Sleep(ctx, stableWindow+f.duration) // stops early if the run is canceled
	e.checker.SetLimit(time.Now(), srv.ID, 0)
	srv.SetNotices(standin.Notices{})
}

// askForPauses makes a server refuse some requests with Retry-After.
func (e *environment) askForPauses(ctx context.Context, f plannedFault) {
	srv := e.reserveServer(f)
	if srv == nil {
		return
	}
	defer e.releaseServer(srv)
	srv.SetNotices(standin.Notices{PauseRate: 0.3, Pause: time.Duration(1+f.variant%3) * time.Second})
	_ = wait.Sleep(ctx, f.duration) // stops early if the run is canceled
	srv.SetNotices(standin.Notices{})
}

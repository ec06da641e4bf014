package soak

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/platform/standin"
)

// Bounds of the platform's rules that fleet.Bounds does not contain.
const (
	// stableWindow is how long an entry instance and the store must have been
	// free of faults before time limits apply.
	stableWindow = 4 * time.Second
	// evacuateBound is the time after which an evacuated failure domain must not
	// get requests.
	evacuateBound = 5 * time.Second
	// rollbackSlack is the time after the first use of a routing document in which
	// requests may still use the previous one.
	rollbackSlack = 250 * time.Millisecond
	// directoryBound is the time after which the directory must not list a dead
	// entry instance.
	directoryBound = stableWindow + 3*time.Second
	// toleratedCases is the number of cases that are not a violation, for
	// invariants where the rules allow a few.
	toleratedCases = 3
	// timeoutSlack is how much longer than its time limit a request may take.
	timeoutSlack = 500 * time.Millisecond
	// lossSlack is how long after its last byte a request may still be dropped unread
	// around a planned stop.
	lossSlack = 200 * time.Millisecond
	// limitMargin is the time before the limit of a request from which on a response
	// without its server's is due to the limit.
	limitMargin = 50 * time.Millisecond
)

// Invariant is a guarantee that must hold throughout a run.
type Invariant string

// Checked invariants. Each text describes the violation.
const (
	AtMostOnce           Invariant = "a non-idempotent request ran twice"
	RefusedNeverRuns     Invariant = "a request was refused as not executed but ran"
	ResponseAuthentic    Invariant = "a response is not from a backend server or not for this request"
	RequestIntact        Invariant = "a backend server received a request that no client sent"
	CurrentRoute         Invariant = "a request ran at a service that only an old document routes to"
	NoConfigRollback     Invariant = "an entry instance went back to an older document"
	DrainDeadline        Invariant = "a draining backend server received a request after the time limit"
	EvacuationDeadline   Invariant = "an evacuated failure domain received a request after the time limit"
	AllowedRegion        Invariant = "a request ran outside its allowed regions"
	NoLostResponse       Invariant = "a forwarded request ended without a response"
	NoFalseClientError   Invariant = "a valid request was rejected as a client error"
	RetryBudget          Invariant = "a service received more retries than its retry budget allows"
	ColdRateLimit        Invariant = "a cold backend server got too many requests in a second"
	NoDeadInstanceListed Invariant = "the directory lists a dead entry instance"
	ResponseDeadline     Invariant = "a request was not answered within its time limit"
	StopDeadline         Invariant = "an entry instance did not stop within its grace period"
	Recovery             Invariant = "the system does not recover after all faults have ended"
)

// Violation is a violated invariant.
type Violation struct {
	Invariant Invariant
	Detail    string
	At        time.Duration // since the start of the run
}

func (v Violation) String() string {
	return fmt.Sprintf("%8.3fs %s: %s", v.At.Seconds(), v.Invariant, v.Detail)
}

// clientRequest is a request that a client sent, and what is known about it.
type clientRequest struct {
	standin.Request
	route      *fleet.Route
	instance   string
	at         time.Time // when the client began to send it
	sentAt     time.Time // when it was sent whole; zero if at once
	lostAt     time.Time // when its connection ended without a response
	bodySum    string
	executions int
	received   int // copies that reached a server, including rejected ones
	server     string
	refused    bool
	ended      bool
}

// interval is the time of a fault. to is zero while the fault lasts.
type interval struct{ from, to time.Time }

// faultHistory records the faults of one component.
type faultHistory struct {
	intervals []interval
}

func (h *faultHistory) begin(now time.Time) {
	h.intervals = append(h.intervals, interval{from: now})
}

func (h *faultHistory) end(now time.Time) {
	for i := range h.intervals {
		if h.intervals[i].to.IsZero() {
			h.intervals[i].to = now
			return
		}
	}
}

// noneSince reports whether there has been no fault since a time.
func (h *faultHistory) noneSince(from time.Time) bool {
	for _, s := range h.intervals {
		if s.to.IsZero() || s.to.After(from) {
			return false
		}
	}
	return true
}

// Checker records what clients sent and what backend servers received, and checks
// the invariants. It is safe for concurrent use. It does not read the clock.
type Checker struct {
	bounds fleet.Bounds
	start  time.Time

	mu             sync.Mutex
	requests       map[string]*clientRequest
	violations     []Violation
	counts         map[string]int
	instanceFaults map[string]*faultHistory // unplanned faults
	plannedStops   map[string]*faultHistory
	dead           map[string]time.Time // entry instances that are down, since when
	storeFaults    faultHistory
	serverFaults   map[string]*faultHistory
	withdrawn      map[string]time.Time // draining or removed servers
	evacuated      map[string]time.Time
	domains        map[string]string // of servers
	// routeChangedAt is when each service last became that of switchedRoute.
	routeChangedAt map[string]time.Time
	currentService string // the service of switchedRoute
	// firstUse is when each entry instance first used the current document.
	firstUse map[string]time.Time
	// latestOutdated is the longest time after the last change at which a request was
	// sent that the previous service ran, by an entry instance without faults.
	latestOutdated time.Duration

	arrivals      map[string][]arrival
	coldRequests  map[string][]time.Time
	notices       noticeLedger
	lostResponses int
	deadListed    int
	longestHeld   time.Duration
}

type arrival struct {
	at    time.Time
	retry bool
}

// NewChecker returns a Checker for a run that starts at a time.
func NewChecker(bounds fleet.Bounds, start time.Time) *Checker {
	return &Checker{
		bounds: bounds, start: start, requests: map[string]*clientRequest{}, counts: map[string]int{}, instanceFaults: map[string]*faultHistory{},
		plannedStops: map[string]*faultHistory{}, dead: map[string]time.Time{}, serverFaults: map[string]*faultHistory{}, withdrawn: map[string]time.Time{},
		evacuated: map[string]time.Time{}, domains: map[string]string{}, routeChangedAt: map[string]time.Time{},
		firstUse: map[string]time.Time{}, arrivals: map[string][]arrival{}, coldRequests: map[string][]time.Time{},
		notices: newNoticeLedger(),
	}
}

func (c *Checker) addViolation(now time.Time, inv Invariant, format string, args ...any) {
	c.violations = append(c.violations, Violation{inv, fmt.Sprintf(format, args...), now.Sub(c.start)})
}

// Violations returns the violations found so far.
func (c *Checker) Violations() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// Counts returns the number of requests by outcome.
func (c *Checker) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

func historyOf(m map[string]*faultHistory, name string) *faultHistory {
	h := m[name]
	if h == nil {
		h = &faultHistory{}
		m[name] = h
	}
	return h
}

// RecordFault records that a fault of an entry instance ("gate"), a backend server
// ("server") or the store ("store"), or a planned stop of an entry instance
// ("stop"), begins or ends.
func (c *Checker) RecordFault(now time.Time, kind, name string, begins bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := &c.storeFaults
	switch kind {
	case "gate":
		h = historyOf(c.instanceFaults, name)
	case "stop":
		h = historyOf(c.plannedStops, name)
	case "server":
		h = historyOf(c.serverFaults, name)
	}
	if begins {
		h.begin(now)
		return
	}
	h.end(now)
}

// SetDown records that the process of an entry instance has exited or started.
func (c *Checker) SetDown(now time.Time, instance string, down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.firstUse, instance)
	delete(c.dead, instance)
	if down {
		c.dead[instance] = now
	}
}

// boundsApplyFrom returns the time from which the time limits for a change made at
// a time apply. If the store was faulty then, that is when it has become stable.
func (c *Checker) boundsApplyFrom(at time.Time) time.Time {
	for _, s := range c.storeFaults.intervals {
		if s.from.After(at) {
			break
		}
		if s.to.IsZero() {
			return s.from.Add(24 * time.Hour) // not before the store recovers
		}
		if stable := s.to.Add(stableWindow); stable.After(at) {
			at = stable
		}
	}
	return at
}

// stable reports whether time limits apply to an entry instance now.
func (c *Checker) stable(now time.Time, instance string) bool {
	from := now.Add(-stableWindow)
	return historyOf(c.instanceFaults, instance).noneSince(from) && historyOf(c.plannedStops, instance).noneSince(from) && c.storeFaults.noneSince(from)
}

// AddServer records the failure domain of a backend server.
func (c *Checker) AddServer(id, domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.domains[id] = domain
}

// ServerWithdrawn records that the store has confirmed that a server is draining
// or removed.
func (c *Checker) ServerWithdrawn(now time.Time, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.withdrawn[id].IsZero() {
		c.withdrawn[id] = now
	}
}

// SetEvacuated records that the store has confirmed an evacuation or its
// cancellation.
func (c *Checker) SetEvacuated(now time.Time, domain string, evacuated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evacuated, domain)
	if evacuated {
		c.evacuated[domain] = now
	}
}

// RouteChanged records that the store has confirmed a new service of
// switchedRoute.
func (c *Checker) RouteChanged(now time.Time, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routeChangedAt[service], c.currentService = now, service
	c.latestOutdated = 0
	clear(c.firstUse)
}

// RequestSent records a request before it is sent.
func (c *Checker) RequestSent(s *clientRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests[s.ID] = s
	c.counts["sent"]++
}

// RequestReceived records and checks a request that a backend server accepted or
// rejected.
func (c *Checker) RequestReceived(r standin.BackendRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.requests[r.RequestID]
	if s == nil || r.Method != s.Method || r.Target != s.Target || r.BodySum != s.bodySum {
		c.addViolation(r.At, RequestIntact, "%s at %s: %s %s", r.RequestID, r.Server, r.Method, r.Target)
		return
	}
	s.received++
	c.arrivals[r.Service] = append(c.arrivals[r.Service], arrival{r.At, s.received > 1})
	c.checkNotices(s, r)
	if r.Rejected {
		return
	}
	s.executions++
	s.server = r.Server
	if !s.lostAt.IsZero() && s.executions == 1 {
		c.checkLost(s.lostAt, s, "the connection had ended before")
	}
	if s.executions > 1 && !s.route.Idempotent {
		c.addViolation(r.At, AtMostOnce, "%s by %s", s.ID, s.instance)
	}
	if s.refused && !s.route.Idempotent {
		c.addViolation(r.At, RefusedNeverRuns, "%s by %s ran at %s after the refusal", s.ID, s.instance, r.Server)
	}
	if r.ColdRemaining > 0 {
		c.coldRequests[r.Server] = append(c.coldRequests[r.Server], r.At)
	}
	if len(s.route.AllowedRegions) > 0 && !slices.Contains(s.route.AllowedRegions, r.Region) {
		c.addViolation(r.At, AllowedRegion, "%s by %s ran at %s in %s", s.ID, s.instance, r.Server, r.Region)
	}
	c.checkPlacement(s, r)
	c.checkDocument(s, r)
}

// checkPlacement checks that the server may still receive requests.
func (c *Checker) checkPlacement(s *clientRequest, r standin.BackendRequest) {
	if !c.stable(r.At, s.instance) || !historyOf(c.serverFaults, r.Server).noneSince(r.At.Add(-stableWindow)) {
		return
	}
	if at := c.withdrawn[r.Server]; !at.IsZero() && r.Reached.Sub(c.boundsApplyFrom(at)) > c.bounds.Drain && s.at.After(at) {
		c.addViolation(r.At, DrainDeadline, "%s by %s ran at %s %v after the change", s.ID, s.instance, r.Server, r.At.Sub(at))
	}
	if at := c.evacuated[c.domains[r.Server]]; !at.IsZero() && r.Reached.Sub(c.boundsApplyFrom(at)) > evacuateBound && s.at.After(at) {
		c.addViolation(r.At, EvacuationDeadline, "%s by %s ran at %s %v after the change", s.ID, s.instance, r.Server, r.At.Sub(at))
	}
}

// checkDocument checks that a request on switchedRoute ran at the right service.
func (c *Checker) checkDocument(s *clientRequest, r standin.BackendRequest) {
	if s.route.Name != switchedRoute {
		return
	}
	if r.Service == c.currentService {
		if c.firstUse[s.instance].IsZero() && s.at.After(c.routeChangedAt[c.currentService]) {
			c.firstUse[s.instance] = r.At
		}
		return
	}
	changedAt := c.routeChangedAt[c.currentService]
	if c.stable(r.At, s.instance) {
		c.latestOutdated = max(c.latestOutdated, s.at.Sub(changedAt))
	}
	if s.at.Sub(c.boundsApplyFrom(changedAt)) > c.bounds.ConfigApply && c.stable(r.At, s.instance) {
		c.addViolation(r.At, CurrentRoute, "%s by %s ran at %s %v after the change", s.ID, s.instance, r.Service, r.At.Sub(changedAt))
	}
	if firstUse := c.firstUse[s.instance]; !firstUse.IsZero() && s.at.Sub(firstUse) > rollbackSlack {
		c.addViolation(r.At, NoConfigRollback, "%s by %s ran at %s %v after the first use", s.ID, s.instance, r.Service, s.at.Sub(firstUse))
	}
}

// LatestOutdated returns how long after the last change of the document a request was
// sent that still ran at the previous service.
func (c *Checker) LatestOutdated() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.latestOutdated
}

// LongestHeld returns the longest time after its last byte for which a request of which
// no server heard was held before a planned stop closed its connection.
func (c *Checker) LongestHeld() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.longestHeld
}

// ResponseReceived records and checks a final response.
func (c *Checker) ResponseReceived(now time.Time, s *clientRequest, r standin.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.ended = true
	c.checkTime(now, s)
	c.recordTold(now, s.instance, r)
	switch {
	case r.Status < 300:
		c.counts["served"]++
		if !r.Authentic {
			c.addViolation(now, ResponseAuthentic, "%s by %s: status %d", s.ID, s.instance, r.Status)
		}
	case r.Signed && !r.Authentic:
		c.addViolation(now, ResponseAuthentic, "%s by %s: status %d with a signature", s.ID, s.instance, r.Status)
	case r.NotRun:
		c.counts["refused"]++
		s.refused = true
		if s.executions > 0 && !s.route.Idempotent {
			c.addViolation(now, RefusedNeverRuns, "%s by %s: status %d, ran at %s", s.ID, s.instance, r.Status, s.server)
		}
	case r.Status < 500:
		c.counts["denied"]++
		c.addViolation(now, NoFalseClientError, "%s by %s: status %d, body begins with %q", s.ID, s.instance, r.Status, r.Server)
	default:
		c.counts["failed"]++
		if s.executions > 0 && !r.Signed && now.Sub(s.at) < s.limit()-limitMargin {
			c.checkStop(now, s, fmt.Sprintf("status %d in place of the server's response", r.Status))
		}
	}
}

// limit returns the time after which a request may end without the server's response.
func (s *clientRequest) limit() time.Duration { return min(s.route.Timeout, s.TimeLeft) }

func (c *Checker) checkTime(now time.Time, s *clientRequest) {
	from := s.at
	if !s.sentAt.IsZero() {
		from = s.sentAt
	}
	if took := now.Sub(from); took > s.limit()+timeoutSlack && c.stable(now, s.instance) && historyOf(c.instanceFaults, s.instance).noneSince(s.at) {
		c.addViolation(now, ResponseDeadline, "%s by %s took %v", s.ID, s.instance, took)
	}
}

// ResponseLost records and checks a request that ended without a response.
func (c *Checker) ResponseLost(now time.Time, s *clientRequest, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.ended, s.lostAt = true, now
	c.counts["lost"]++
	c.checkTime(now, s)
	if s.executions > 0 {
		c.checkLost(now, s, cause.Error())
		return
	}
	c.checkHeld(now, s, cause)
}

// checkHeld checks a request whose connection ended without a response and that no
// server got: around a planned stop it must not have been held for long.
func (c *Checker) checkHeld(now time.Time, s *clientRequest, cause error) {
	from := s.at.Add(-stableWindow)
	if s.sentAt.IsZero() || now.Sub(s.at) >= s.limit() ||
		!historyOf(c.instanceFaults, s.instance).noneSince(from) || historyOf(c.plannedStops, s.instance).noneSince(from) {
		return
	}
	held := now.Sub(s.sentAt)
	c.longestHeld = max(c.longestHeld, held)
	if held <= lossSlack {
		return
	}
	c.addViolation(now, NoLostResponse, "%s by %s, planned stop, held for %v: %v", s.ID, s.instance, held, cause)
}

// checkLost checks a request that ran and whose connection ended without a response.
func (c *Checker) checkLost(now time.Time, s *clientRequest, cause string) {
	if c.checkStop(now, s, cause) {
		return
	}
	from := s.at.Add(-stableWindow)
	if !c.sound(s, from) || !c.storeFaults.noneSince(from) {
		return
	}
	if c.lostResponses++; c.lostResponses > toleratedCases {
		c.addViolation(now, NoLostResponse, "%s by %s ran at %s: %s", s.ID, s.instance, s.server, cause)
	}
}

// checkStop reports whether a request that ran and has no response from its server was
// handled around a planned stop, which must not abort any request. Store faults are no
// excuse.
func (c *Checker) checkStop(now time.Time, s *clientRequest, cause string) bool {
	from := s.at.Add(-stableWindow)
	if !c.sound(s, from) || historyOf(c.plannedStops, s.instance).noneSince(from) {
		return false
	}
	c.addViolation(now, NoLostResponse, "%s by %s, planned stop, ran at %s: %s", s.ID, s.instance, s.server, cause)
	return true
}

// sound reports whether neither a request's entry instance nor its server has had a
// fault since a time, planned stops aside.
func (c *Checker) sound(s *clientRequest, from time.Time) bool {
	return historyOf(c.serverFaults, s.server).noneSince(from) && historyOf(c.instanceFaults, s.instance).noneSince(from)
}

// LookupResponseReceived records and checks a lookup response of an entry instance.
func (c *Checker) LookupResponseReceived(now time.Time, from string, instances []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.stable(now, from) {
		return
	}
	for _, instance := range instances {
		at, down := c.dead[instance]
		if !down || now.Sub(at) < directoryBound || len(instances) == 1 {
			continue
		}
		if c.deadListed++; c.deadListed > toleratedCases {
			c.addViolation(now, NoDeadInstanceListed, "%s lists %s, dead for %v", from, instance, now.Sub(at))
		}
	}
}

// Finish checks the invariants that need the data of the whole run.
func (c *Checker) Finish(now time.Time, coldPerSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, list := range c.arrivals {
		c.checkRetries(service, list)
	}
	c.checkLimits()
	for server, list := range c.coldRequests {
		slices.SortFunc(list, time.Time.Compare)
		limit := int(coldPerSecond*c.bounds.ColdOver + c.bounds.ColdSlack)
		for i := range list {
			if i >= limit && list[i].Sub(list[i-limit]) <= time.Second {
				c.addViolation(list[i], ColdRateLimit, "%s got more than %d", server, limit)
				break
			}
		}
	}
}

// checkRetries checks the retry budget over a sliding window. Each retry limit
// derives from the largest number of first attempts in the window and in the
// windows that end half a window and a whole window earlier.
func (c *Checker) checkRetries(service string, list []arrival) {
	slices.SortFunc(list, func(a, b arrival) int { return a.at.Compare(b.at) })
	count := func(from, to time.Time, retry bool) (n int) {
		for _, a := range list {
			if a.retry == retry && a.at.After(from) && !a.at.After(to) {
				n++
			}
		}
		return n
	}
	const step = 500 * time.Millisecond
	window := c.bounds.RetryWindow
	for end := c.start.Add(step); len(list) > 0 && end.Before(list[len(list)-1].at.Add(step)); end = end.Add(step) {
		retries := count(end.Add(-window), end, true)
		first := max(count(end.Add(-window), end, false), count(end.Add(-2*window), end.Add(-window), false),
			count(end.Add(-window*3/2), end.Add(-window/2), false))
		if limit := c.bounds.RetryRatio*float64(first) + c.bounds.RetryExtra; float64(retries) > limit {
			c.addViolation(end, RetryBudget, "%s got %d, allowed %.0f", service, retries, limit)
			return
		}
	}
}

// RequestCanceled counts a request that its client canceled.
func (c *Checker) RequestCanceled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts["left"]++
}

// AddViolation records a violation found by other code.
func (c *Checker) AddViolation(now time.Time, inv Invariant, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(now, inv, format, args...)
}

// StopFailed records that a planned stop did not end within the grace period. It is
// no violation if the process was frozen or the store was faulty meanwhile.
func (c *Checker) StopFailed(now time.Time, instance string, began time.Time, cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if historyOf(c.instanceFaults, instance).noneSince(began) && c.storeFaults.noneSince(began) {
		c.addViolation(now, StopDeadline, "%s: %v", instance, cause)
	}
}

// ServerRestarted records that a server has restarted under its ID.
func (c *Checker) ServerRestarted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.withdrawn, id)
	c.notices.forget(id)
}

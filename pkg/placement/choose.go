package placement

import (
	"slices"
	"time"
)

// estimate predicts how a server would handle a request.
type estimate struct {
	server             *server
	load               int
	preferred          bool // the object is placed at the server
	cache              cacheExpectation
	warm               bool
	queueWait, latency time.Duration
}

// Choose returns the server that gets the request, and counts it there until
// Done.
func (b *Balancer) Choose(now time.Time, r Request) (Choice, *Refusal) {
	x := &search{b: b, now: now, r: r, times: b.serviceTimesOf(r)}
	share := b.remoteShareOf(now, r.Service)
	share.addSpillTokens(b.maxShift)
	placedLocally := !share.isRemote(r.Service, r.Object)
	x.scan(placedLocally, true)
	if x.onTime == nil && (share.spillTokens >= 1 || x.available == 0) {
		// No server in the object's group of regions meets the objective.
		before := x.late
		x.scan(!placedLocally, false)
		if (x.onTime != nil || x.late != before) && x.availableBefore > 0 {
			share.spendSpillToken()
		}
	}
	switch {
	case x.onTime != nil:
		return b.assign(now, r, *x.onTime, false), nil
	case x.late != nil:
		return b.assign(now, r, *x.late, true), nil
	default:
		return Choice{}, x.refusal()
	}
}

// search is the state of choosing a server for one request.
type search struct {
	b     *Balancer
	now   time.Time
	r     Request
	times *serviceTimes

	onTime *estimate // the first that meets the objective
	late   *estimate // the fastest of the others with a free slot
	// earliest is the lowest expected latency, also of servers without a
	// free slot.
	earliest                   time.Duration
	considered, excluded       int
	firstPauseEnd              time.Time // of the excluded servers; in the past if one is not paused
	available, availableBefore int       // all groups so far, groups before the current one
}

// scan considers the servers of the local region, or those of the other regions, in
// order. It stops after a few available ones: an object cached at many servers
// evicts others from their caches. placed says that the object is placed in this
// group.
func (x *search) scan(local, placed bool) {
	x.availableBefore = x.available
	candidates := 0
	// A limited server leaves most requests for its objects to the next one, at
	// which they are then placed too.
	preferred := placed
	var moved *server // the first server of the ranking, if the object is moved from it
	for s, weight := range x.b.ranked(x.r.Service, x.r.Object, local) {
		allowed := len(x.r.AllowedRegions) == 0 || slices.Contains(x.r.AllowedRegions, s.Region)
		if allowed && moved == nil && candidates == 0 && x.b.movesObject(x.now, s, x.r.Object, weight) {
			moved = s
			continue
		}
		isPreferred := preferred
		preferred = preferred && s.RateLimit != nil
		if !allowed || !x.usable(s) {
			continue
		}
		if x.consider(s, isPreferred) {
			return
		}
		if candidates++; candidates >= maxCandidates {
			break
		}
	}
	if moved != nil && x.usable(moved) {
		x.consider(moved, false)
	}
}

// usable reports whether a server may get the request, and counts it.
func (x *search) usable(s *server) bool {
	x.considered++
	if !slices.Contains(x.r.Exclude, s.ID) && x.b.available(x.now, s) {
		return true
	}
	x.excluded++
	if x.excluded == 1 || s.PausedUntil.Before(x.firstPauseEnd) {
		x.firstPauseEnd = s.PausedUntil
	}
	return false
}

// consider records an available server, and reports whether it meets the objective.
func (x *search) consider(s *server, preferred bool) bool {
	x.available++
	e := x.b.estimate(x.now, s, x.r, x.times, preferred)
	if x.earliest == 0 || e.latency < x.earliest {
		x.earliest = e.latency
	}
	if e.latency <= x.r.UntilObjective {
		x.onTime = &e
		return true
	}
	x.considerLate(e)
	return false
}

// considerLate records a server that cannot meet the objective but has a free
// slot: a late response is worth less, but the server caches the object. A
// request that would queue there would only delay later ones.
func (x *search) considerLate(e estimate) {
	perSlot := maxLateLoadPerSlot
	if !e.warm && !e.preferred {
		perSlot = maxCopyLoadPerSlot
	}
	perSlot += x.b.spareLoadPerSlot(e.server)
	if float64(e.load) >= perSlot*float64(e.server.Slots) || x.times.measured && e.latency > x.r.UntilDeadline {
		return
	}
	if x.late == nil || e.latency < x.late.latency {
		x.late = &e
	}
}

func (x *search) refusal() *Refusal {
	out := &Refusal{Reason: ReasonNoServer, Considered: x.considered, Excluded: x.excluded}
	if x.available > 0 {
		out.Reason = ReasonOverload
		out.RetryAfter = max(0, x.earliest-x.r.UntilObjective)
	} else if x.firstPauseEnd.After(x.now) {
		out.RetryAfter = x.firstPauseEnd.Sub(x.now)
	}
	return out
}

func (b *Balancer) assign(now time.Time, r Request, e estimate, late bool) Choice {
	s := e.server
	s.pending = append(s.pending, pendingRequest{now, e.latency})
	if s.limited(now) {
		s.coldSends = append(s.coldSends, now)
	}
	if s.RateLimit != nil {
		s.bucket.tokens--
	}
	if s.ejections > 0 {
		s.probing = true
	}
	return Choice{
		Server: s.Server, Warm: e.warm, Load: e.load, ExpectedLatency: e.latency, Late: late,
		class: r.Class, object: r.Object, cache: e.cache, queueWait: e.queueWait, sentAt: now, generation: s.generation,
	}
}

// available reports whether the server may get a request: it is neither ejected
// nor suspect, does not want a pause, and neither its cold quota nor its rate is used
// up.
func (b *Balancer) available(now time.Time, s *server) bool {
	if s.probing || now.Before(s.ejectedUntil) || now.Before(s.suspectUntil) || now.Before(s.PausedUntil) || !s.withinRate(now) {
		return false
	}
	if !s.limited(now) {
		s.coldSends = nil
		return true
	}
	for len(s.coldSends) > 0 && now.Sub(s.coldSends[0]) >= coldWindow {
		s.coldSends = s.coldSends[1:]
	}
	return len(s.coldSends) < b.coldQuota(s)
}

func (b *Balancer) estimate(now time.Time, s *server, r Request, w *serviceTimes, preferred bool) estimate {
	e := estimate{server: s, load: s.load(now), preferred: preferred, cache: b.expectCache(now, s, r.Object, preferred)}
	hit := b.hitRate(r.Service, e.cache)
	e.warm = hit > 0.5
	serviceTime := w.cold - time.Duration(hit*float64(w.cold-w.warm))
	slowdown := max(s.currentSlowdown(now), s.overdue(now), s.even.currentSlowdown(now))
	mean := s.meanServiceTime
	if mean == 0 {
		mean = time.Duration(float64(w.warm) * slowdown)
	}
	if over := e.load + 1 - s.Slots; over > 0 {
		e.queueWait = mean * time.Duration(over) / time.Duration(s.Slots)
	}
	e.latency = e.queueWait + time.Duration(float64(serviceTime)*slowdown) + b.roundTrip(s)
	return e
}

// cacheExpectation says why a server is expected to have an object cached.
type cacheExpectation int

const (
	// expectMiss: the server is not expected to have the object cached.
	expectMiss cacheExpectation = iota
	// expectPreferred: the server is the first in the object's ranking, and
	// also gets the requests of other entry instances for the object.
	expectPreferred
	// expectRecent: the server recently answered this instance for the object.
	expectRecent
	// noObject: the request concerns no object.
	noObject
)

func (b *Balancer) expectCache(now time.Time, s *server, object string, preferred bool) cacheExpectation {
	if object == "" {
		return noObject
	}
	at, ok := s.warmObjects[object]
	switch {
	case ok && now.Sub(at) < warmTTL:
		return expectRecent
	case !ok && preferred && !now.Before(s.ColdUntil):
		return expectPreferred
	default:
		return expectMiss
	}
}

// hitRate returns the recent share of cache hits for an expectation.
func (b *Balancer) hitRate(service string, e cacheExpectation) float64 {
	switch e {
	case noObject:
		return 1
	case expectMiss:
		return 0
	}
	rates := b.hitRates[service]
	if rates == nil {
		// When the whole system starts, all caches are empty, so hits at
		// preferred servers are not assumed until responses show them.
		rates = &hitRates{preferred: 0, recent: 1}
		b.hitRates[service] = rates
	}
	if e == expectPreferred {
		return rates.preferred
	}
	return rates.recent
}

// hitRates holds the moving averages of cache hits by expectation.
type hitRates struct{ preferred, recent float64 }

func (h *hitRates) record(e cacheExpectation, hit bool) {
	sample := 0.0
	if hit {
		sample = 1
	}
	switch e {
	case expectPreferred:
		h.preferred += ewmaWeight * (sample - h.preferred)
	case expectRecent:
		h.recent += ewmaWeight * (sample - h.recent)
	}
}

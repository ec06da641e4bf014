package placement

import (
	"slices"
	"time"
)

// estimate is what a server would mean for a request.
type estimate struct {
	s              *server
	inFlight       int
	home           bool // the object is placed at this server
	knows          knowledge
	warm           bool
	wait, expected time.Duration
}

// Choose returns the server that gets the request, and counts it there until
// Done.
func (b *Balancer) Choose(now time.Time, r Request) (Choice, *Refusal) {
	x := &search{b: b, now: now, r: r, work: b.workOf(r)}
	order := b.order(r.Service, r.Object)
	spread := b.spreadOf(now, r.Service)
	spread.request()
	first, second := order.near, order.far
	if spread.isFar(r.Service, r.Object) {
		first, second = second, first
	}
	x.visit(first, true)
	if x.fits == nil && (spread.spill >= 1 || x.open == 0) {
		// Nothing in the regions of the object can take the request in time.
		before := x.late
		x.visit(second, false)
		if (x.fits != nil || x.late != before) && x.openBefore > 0 {
			spread.takeSpill()
		}
	}
	switch {
	case x.fits != nil:
		return b.take(now, r, *x.fits, false), nil
	case x.late != nil:
		return b.take(now, r, *x.late, true), nil
	default:
		return Choice{}, x.refusal()
	}
}

// search looks for a server for one request.
type search struct {
	b    *Balancer
	now  time.Time
	r    Request
	work *work

	fits *estimate // the first that meets the objective
	late *estimate // the earliest of the others that may be used
	// soonest is the earliest completion anywhere, allowed or not.
	soonest              time.Duration
	considered, excluded int
	open, openBefore     int
}

// visit looks at the servers of one group in order. Only the first few that are
// open count: an object that is at many servers pushes others out of their
// caches. home says that the object is placed in this group.
func (x *search) visit(group []*server, home bool) {
	x.openBefore = x.open
	copies := 0
	for rank, s := range group {
		if len(x.r.AllowedRegions) > 0 && !slices.Contains(x.r.AllowedRegions, s.Region) {
			continue
		}
		x.considered++
		if slices.Contains(x.r.Exclude, s.ID) || !s.open(x.now) {
			x.excluded++
			continue
		}
		x.open++
		e := x.b.estimate(x.now, s, x.r, x.work, home && rank == 0)
		if x.soonest == 0 || e.expected < x.soonest {
			x.soonest = e.expected
		}
		if e.expected <= x.r.UntilObjective {
			x.fits = &e
			return
		}
		x.noteLate(e)
		if copies++; copies >= maxCopies {
			return
		}
	}
}

// noteLate remembers a server that cannot meet the objective but has a free
// slot: its answer earns less, and its work makes the server warm. A request
// that would wait there only makes later ones late as well.
func (x *search) noteLate(e estimate) {
	perSlot := latePerSlot
	if !e.warm && !e.home {
		perSlot = copyPerSlot
	}
	if float64(e.inFlight) >= perSlot*float64(e.s.Slots) || x.work.measured && e.expected > x.r.UntilDeadline {
		return
	}
	if x.late == nil || e.expected < x.late.expected {
		x.late = &e
	}
}

func (x *search) refusal() *Refusal {
	f := &Refusal{Reason: ReasonNoServer, Considered: x.considered, Excluded: x.excluded}
	if x.open > 0 {
		f.Reason = ReasonOverload
		f.RetryAfter = max(0, x.soonest-x.r.UntilObjective)
	}
	return f
}

func (b *Balancer) take(now time.Time, r Request, e estimate, late bool) Choice {
	s := e.s
	s.flights = append(s.flights, flight{now, e.expected})
	if now.Before(s.ColdUntil) {
		s.coldSends = append(s.coldSends, now)
	}
	if s.failures > 0 {
		s.probing = true
	}
	return Choice{
		Server: s.Server, Warm: e.warm, InFlight: e.inFlight, ExpectedLatency: e.expected, Late: late,
		class: r.Class, object: r.Object, knows: e.knows, wait: e.wait, sentAt: now, epoch: s.epoch,
	}
}

// open reports whether a server may get a request at all.
func (s *server) open(now time.Time) bool {
	if s.probing || now.Before(s.ejected) || now.Before(s.suspect) {
		return false
	}
	if !now.Before(s.ColdUntil) {
		s.coldSends = nil
		return true
	}
	for len(s.coldSends) > 0 && now.Sub(s.coldSends[0]) >= coldWindow {
		s.coldSends = s.coldSends[1:]
	}
	return len(s.coldSends) < s.ColdQuota
}

func (b *Balancer) estimate(now time.Time, s *server, r Request, w *work, first bool) estimate {
	e := estimate{s: s, inFlight: s.load(now), home: first, knows: b.knows(now, s, r.Object, first)}
	hit := b.hitRate(r.Service, e.knows)
	e.warm = hit > 0.5
	need := w.cold - time.Duration(hit*float64(w.cold-w.warm))
	speed := max(s.speedNow(now), s.overdue(now))
	mean := s.mean
	if mean == 0 {
		mean = time.Duration(float64(w.warm) * speed)
	}
	if over := e.inFlight + 1 - s.Slots; over > 0 {
		e.wait = mean * time.Duration(over) / time.Duration(s.Slots)
	}
	e.expected = e.wait + time.Duration(float64(need)*speed) + b.roundTrip(s)
	return e
}

// knowledge says why a server is expected to know an object.
type knowledge int

const (
	// unknown: it is not expected to.
	unknown knowledge = iota
	// assumed: it is the first in order for the object, and gets the requests
	// of the other entry instances too.
	assumed
	// seen: it got a request for the object from this instance recently.
	seen
	// noObject: the request concerns no object.
	noObject
)

func (b *Balancer) knows(now time.Time, s *server, object string, first bool) knowledge {
	if object == "" {
		return noObject
	}
	at, ok := s.warm[object]
	switch {
	case ok && now.Sub(at) < warmLife:
		return seen
	case !ok && first && !now.Before(s.ColdUntil):
		return assumed
	default:
		return unknown
	}
}

// hitRate is how often an expectation was right lately.
func (b *Balancer) hitRate(service string, k knowledge) float64 {
	switch k {
	case noObject:
		return 1
	case unknown:
		return 0
	}
	rates := b.hits[service]
	if rates == nil {
		// At the start of everything all caches are empty, so nothing is
		// assumed until answers tell.
		rates = &hitRates{assumed: 0, seen: 1}
		b.hits[service] = rates
	}
	if k == assumed {
		return rates.assumed
	}
	return rates.seen
}

// hitRates are moving shares of the expectations that were right.
type hitRates struct{ assumed, seen float64 }

func (h *hitRates) learn(k knowledge, hit bool) {
	sample := 0.0
	if hit {
		sample = 1
	}
	switch k {
	case assumed:
		h.assumed += learnWeight * (sample - h.assumed)
	case seen:
		h.seen += learnWeight * (sample - h.seen)
	}
}

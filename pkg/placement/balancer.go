package placement

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	// latePerSlot bounds the requests at a server for requests that are
	// expected to miss their objective: they get free slots only.
	latePerSlot = 1.0
	// copyPerSlot is the same for a server that does not know the object. A
	// copy costs three times the work of a warm answer, so it is made only
	// where half of the slots are free. With 1.0 late copies took all slots at
	// 1.5 times the capacity, and 0.29 instead of 0.67 met the objective
	// (TestOverloadKeepsGoodput).
	copyPerSlot = 0.5
	// fullPerSlot is the load per slot that is assumed of a server that has
	// just shed a request.
	fullPerSlot = 2.1
	// maxCopies bounds the servers of a group of regions that are considered
	// for an object. Servers keep 23 to 47 objects, about twice their share.
	maxCopies = 2
	// OthersLife is how long a load report says something about the requests
	// of other entry instances. A warm answer takes 70 to 660 ms on the
	// sites, so after 2 s these requests have ended.
	OthersLife = 4 * time.Second
	// othersFade is the age at which a report counts no more than the mean of
	// the former ones.
	othersFade = 400 * time.Millisecond
	// warmLife is how long a server is expected to know an object without
	// another request for it. Servers keep 23 to 47 objects; at 2 requests a
	// second for each object the oldest is some 20 s old.
	warmLife = 20 * time.Second
	// coldFactor and warmFactor scale the typical work of a class that was
	// never seen, until answers tell. The sites' classes need 0.96 to 1.5
	// times their objective cold and 30 % of that warm.
	coldFactor = 1.2
	warmFactor = 0.4
	// learnWeight is the weight of a new sample in moving means.
	learnWeight = 0.1
	// othersWeight is the weight of a new load report in the mean.
	othersWeight = 0.2
	// speedWeight is the weight of a new sample in a server's speed. It is
	// larger, because a server that turns slow must lose its load within a
	// few answers.
	speedWeight = 0.3
	// overdueFrom is how many times its expected time a request may take
	// before its server counts as slower. The work of a class differs by some
	// 15 % on the sites.
	overdueFrom = 2.0
	// maxSpeed bounds one server's slowness: days slow servers down 12 times.
	maxSpeed = 20.0
	// speedLife is the time after which a slow server that got no request is
	// tried again; its slowness fades in this time.
	speedLife = 4 * time.Second
	// firstEject and lastEject bound the time for which an unreachable server
	// is not tried. It doubles with each failure.
	firstEject = 300 * time.Millisecond
	lastEject  = 6 * time.Second
	// brokenEject is the number of failures in a row, broken answers or errors
	// of the server's own, that eject. Sound servers fail 1 to 4 of 1,000.
	// A connection that ends without any answer counts freshBroken: unlike an
	// error of one request it speaks for the server.
	brokenEject = 3
	freshBroken = 2
	// suspectLife is how long the word of another entry instance counts that
	// a server fails: a heartbeat (1 s) and a half, so that it holds while it
	// is repeated.
	suspectLife = 1500 * time.Millisecond
	// suspectMost is the part of the servers of a service and region that may
	// be passed over because of others' word.
	suspectMost = 0.34
	// shedHold is how long a server that shed a request counts as full.
	shedHold = 150 * time.Millisecond
	// coldSlowness is how much slower a cold server is until answers tell:
	// the sites' figure is 2.
	coldSlowness = 2.0
	// coldWindow is the span over which requests to a cold server are
	// counted: a second and the difference in delay between two requests.
	coldWindow = 1100 * time.Millisecond
	// defaultConnect is the round trip that is expected within a region and
	// farConnect that to other regions, until connections tell.
	defaultConnect = time.Millisecond
	farConnect     = 110 * time.Millisecond
	// maxWarm bounds the objects that are remembered for one server.
	maxWarm = 256
)

// server is what is believed of one server.
type server struct {
	Server

	epoch      uint64
	inFlight   int
	flights    []flight
	others     float64
	othersMean float64
	othersAt   time.Time
	fullUntil  time.Time
	mean       time.Duration // recent work, all classes
	speed      float64       // 1 is normal, 2 is twice as slow
	speedAt    time.Time
	failures   int // unreachable in a row
	broken     int // broken answers in a row
	ejected    time.Time
	suspect    time.Time // until then the word of another instance counts
	probing    bool      // one request is trying an ejected server
	coldSends  []time.Time
	warm       map[string]time.Time
}

// flight is a request that is at a server.
type flight struct {
	sentAt   time.Time
	expected time.Duration
}

// work is the expected work of a class.
type work struct {
	warm, cold time.Duration
	measured   bool // else they are a guess that refuses nothing
}

// Balancer chooses servers for one entry instance.
type Balancer struct {
	region    string
	servers   map[string]*server
	byService map[string][]*server
	orders    map[string]ranking // by service and object
	spreads   map[string]*spread // by service
	works     map[string]*work   // by class
	connects  map[string]time.Duration
	hits      map[string]*hitRates // by service
	epoch     uint64
}

// New returns a balancer of an entry instance in a region.
func New(region string) *Balancer {
	return &Balancer{
		region: region, servers: map[string]*server{}, byService: map[string][]*server{},
		orders: map[string]ranking{}, spreads: map[string]*spread{}, works: map[string]*work{}, connects: map[string]time.Duration{}, hits: map[string]*hitRates{},
	}
}

// Update replaces the set of servers that may be chosen. What was learned of
// servers that stay is kept.
func (b *Balancer) Update(servers []Server) {
	next := make(map[string]*server, len(servers))
	b.byService = make(map[string][]*server)
	clear(b.orders)
	for _, in := range servers {
		s := b.servers[in.ID]
		if s == nil || s.Addr != in.Addr || !s.Born.Equal(in.Born) {
			b.epoch++
			s = &server{epoch: b.epoch, speed: 1, warm: map[string]time.Time{}}
			if !in.ColdUntil.IsZero() {
				s.speed = coldSlowness
				s.speedAt = in.ColdUntil
			}
		}
		s.Server = in
		next[in.ID] = s
		b.byService[in.Service] = append(b.byService[in.Service], s)
	}
	b.servers = next
}

// ranking is the order of the servers of a service for an object, those of the
// own region apart.
type ranking struct{ near, far []*server }

// order returns the ranking for an object.
func (b *Balancer) order(service, object string) ranking {
	key := service + "\x00" + object
	if o, ok := b.orders[key]; ok {
		return o
	}
	type ranked struct {
		s     *server
		score uint64
	}
	all := make([]ranked, 0, len(b.byService[service]))
	for _, s := range b.byService[service] {
		all = append(all, ranked{s, score(service, object, s.ID)})
	}
	slices.SortFunc(all, func(x, y ranked) int { return cmp.Compare(y.score, x.score) })
	var out ranking
	for _, r := range all {
		if r.s.Region == b.region {
			out.near = append(out.near, r.s)
		} else {
			out.far = append(out.far, r.s)
		}
	}
	b.orders[key] = out
	return out
}

// score ranks a server for an object; the highest is first.
func score(service, object, id string) uint64 {
	h := fnv.New64a()
	for _, text := range []string{service, "\x00", object, "\x00", id} {
		_, _ = h.Write([]byte(text)) // a hash never fails
	}
	// FNV spreads the last bytes badly over the high bits; this finalizer is
	// the one of splitmix64.
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

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
	soonest                time.Duration
	considered, excluded   int
	open, openBefore, full int
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
		x.full++
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
	s.inFlight++
	s.flights = append(s.flights, flight{now, e.expected})
	if now.Before(s.ColdUntil) {
		s.coldSends = append(s.coldSends, now)
	}
	if s.failures > 0 {
		s.probing = true
	}
	return Choice{
		Server: s.Server, Warm: e.warm, InFlight: e.inFlight, Expected: e.expected, Late: late,
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

// load is the number of requests that are believed to be at the server.
func (s *server) load(now time.Time) int {
	others := 0.0
	if age := now.Sub(s.othersAt); age < OthersLife {
		fade := min(1, float64(age)/float64(othersFade))
		others = s.others*(1-fade) + s.othersMean*fade
		others *= 1 - float64(age)/float64(OthersLife)
	}
	n := s.inFlight + int(others+0.5)
	if now.Before(s.fullUntil) {
		n = max(n, int(fullPerSlot*float64(s.Slots)))
	}
	return n
}

// overdue is how many times its expected time the request that has been at the
// server for longest has taken so far. It shows a server that turned slow before
// its answers do.
func (s *server) overdue(now time.Time) float64 {
	most := 0.0
	for _, f := range s.flights {
		if f.expected > 0 {
			most = max(most, float64(now.Sub(f.sentAt))/float64(f.expected))
		}
	}
	if most < overdueFrom {
		return 0
	}
	return min(maxSpeed, most)
}

// speedNow lets a slowness fade, so that the server is tried again.
func (s *server) speedNow(now time.Time) float64 {
	age := now.Sub(s.speedAt)
	if s.speed <= 1 || age <= 0 {
		return s.speed
	}
	if age >= speedLife {
		return 1
	}
	return 1 + (s.speed-1)*(1-float64(age)/float64(speedLife))
}

func (b *Balancer) roundTrip(s *server) time.Duration {
	if d, ok := b.connects[s.Region]; ok {
		return d
	}
	if s.Region == b.region {
		return defaultConnect
	}
	return farConnect
}

func (b *Balancer) workOf(r Request) *work {
	w := b.works[r.Class]
	if w == nil {
		w = &work{
			warm: time.Duration(warmFactor * float64(r.TypicalWork)),
			cold: time.Duration(coldFactor * float64(r.TypicalWork)),
		}
		b.works[r.Class] = w
	}
	return w
}

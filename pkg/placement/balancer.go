package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/rendezvous"
)

const (
	// latePerSlot bounds the requests at a server for requests that are
	// expected to miss their objective: they get free slots only.
	latePerSlot = 1.0
	// copyPerSlot is the same for a server that does not know the object. A
	// copy costs three times the work of a warm answer, so it is made only
	// where most slots are free. With 1.0 late copies took all slots at 1.5
	// times the capacity, and 0.29 instead of 0.67 met the objective
	// (TestOverloadKeepsGoodput). 0.3 is better than 0.5 in all but one of
	// BenchmarkPatterns, and there it is equal.
	copyPerSlot = 0.3
	// fullPerSlot is the load per slot that is assumed of a server that has
	// just shed a request.
	fullPerSlot = 2.1
	// maxCopies bounds the servers of a group of regions that are considered
	// for an object. Servers keep 23 to 47 objects, about twice their share.
	maxCopies = 2
	// LoadReportTTL is how long the load reports of a server say something about
	// the requests of other entry instances there; their weight falls to zero
	// in this time. A cold answer takes up to 3 s on the sites.
	LoadReportTTL = 4 * time.Second
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
	// maxOrders bounds the objects whose order of servers is kept. Clients
	// choose the names of objects. The largest site has some 2,500 a region.
	maxOrders = 4096
	// maxWarm bounds the objects that are remembered for one server.
	maxWarm = 256
)

// server is what is believed of one server.
type server struct {
	Server

	epoch      uint64
	flights    []flight // the requests of this instance
	others     float64
	othersMean float64
	othersAt   time.Time
	fullUntil  time.Time
	mean       time.Duration // recent work, all classes
	speed      float64       // 1 is normal, 2 is twice as slow
	speedAt    time.Time
	failures   int // ejections since the last answer
	broken     int // failed requests in a row of a server that can be reached
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
		if s == nil || s.Addr != in.Addr || !s.StartTime.Equal(in.StartTime) {
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
		s      *server
		weight uint64
	}
	all := make([]ranked, 0, len(b.byService[service]))
	for _, s := range b.byService[service] {
		all = append(all, ranked{s, rendezvous.Weight(service, object, s.ID)})
	}
	slices.SortFunc(all, func(x, y ranked) int { return cmp.Compare(y.weight, x.weight) })
	var out ranking
	for _, r := range all {
		if r.s.Region == b.region {
			out.near = append(out.near, r.s)
		} else {
			out.far = append(out.far, r.s)
		}
	}
	if len(b.orders) >= maxOrders {
		clear(b.orders)
	}
	b.orders[key] = out
	return out
}

// load is the number of requests that are believed to be at the server.
func (s *server) load(now time.Time) int {
	others := 0.0
	if age := now.Sub(s.othersAt); age < LoadReportTTL {
		fade := min(1, float64(age)/float64(othersFade))
		others = s.others*(1-fade) + s.othersMean*fade
		others *= 1 - float64(age)/float64(LoadReportTTL)
	}
	n := len(s.flights) + int(others+0.5)
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
			warm: time.Duration(warmFactor * float64(r.InitialServiceTime)),
			cold: time.Duration(coldFactor * float64(r.InitialServiceTime)),
		}
		b.works[r.Class] = w
	}
	return w
}

package placement

import (
	"time"
)

const (
	// maxLateLoadPerSlot bounds the load of a server, per slot, for requests
	// that are expected to miss their objective: they get free slots only.
	maxLateLoadPerSlot = 1.0
	// maxCopyLoadPerSlot is the same bound for a server that has not cached the
	// object. Caching another copy costs three times the work of a warm
	// response, so it happens only where most slots are free. With 1.0, late
	// requests took all slots at 1.5 times the capacity, and 0.29 instead of
	// 0.67 met the objective (TestOverloadKeepsGoodput). 0.3 beats 0.5 in all
	// but one case of BenchmarkPatterns, where they are equal.
	maxCopyLoadPerSlot = 0.3
	// fullLoadPerSlot is the load per slot assumed of a server that has just
	// shed a request.
	fullLoadPerSlot = 2.1
	// maxCandidates bounds the servers considered for an object in each group
	// of regions. Servers cache 23 to 47 objects, about twice their share.
	maxCandidates = 2
	// LoadReportTTL is how long a server's load report is used to estimate the
	// requests of other entry instances there. Its weight falls to zero over
	// this time. A cold response takes up to 3 s in the known deployments.
	LoadReportTTL = 4 * time.Second
	// loadReportDecay is the age at which a load report counts no more than
	// the mean of earlier reports.
	loadReportDecay = 400 * time.Millisecond
	// warmTTL is how long a server is expected to keep an object cached
	// without another request for it. Servers cache 23 to 47 objects; at 2
	// requests a second for each object the oldest is some 20 s old.
	warmTTL = 20 * time.Second
	// coldFactor and warmFactor scale the initial service time of a class
	// without samples. In the known deployments, classes need 0.96 to 1.5 times
	// their objective cold, and 30 % of that warm.
	coldFactor = 1.2
	warmFactor = 0.4
	// ewmaWeight is the weight of a new sample in moving averages.
	ewmaWeight = 0.1
	// loadReportWeight is the weight of a new load report in the mean.
	loadReportWeight = 0.2
	// slowdownWeight is the weight of a new sample in a server's slowdown. It
	// is larger than ewmaWeight because a server that turns slow must lose its
	// load within a few responses.
	slowdownWeight = 0.3
	// overdueThreshold is the multiple of its expected latency after which a
	// pending request marks its server as slow. In the known deployments,
	// service times within a class vary by some 15 %.
	overdueThreshold = 2.0
	// maxSlowdown bounds a server's slowdown. Fault scenarios slow servers
	// down 12 times.
	maxSlowdown = 20.0
	// slowdownTTL is the time over which the slowdown of a server without
	// requests decays, so that the server is tried again.
	slowdownTTL = 4 * time.Second
	// minEjection and maxEjection bound how long a failing server gets no
	// requests. The time doubles with each ejection.
	minEjection = 300 * time.Millisecond
	maxEjection = 6 * time.Second
	// ejectAfterFailures is the number of consecutive failures (broken
	// connections or server errors) that eject a server. Healthy servers fail
	// 1 to 4 of 1,000 requests.
	ejectAfterFailures = 3
	// newConnectionFailures is how many failures a new connection counts for
	// that ends without any response: unlike an error of one request, it
	// indicates a fault of the whole server.
	newConnectionFailures = 2
	// suspectTTL is how long a failure report of another entry instance is
	// valid: one and a half heartbeats (1 s), so that it stays valid while it
	// is repeated.
	suspectTTL = 1500 * time.Millisecond
	// maxSuspectShare is the largest share of the servers of a service and
	// region that may be avoided because of such reports.
	maxSuspectShare = 0.34
	// shedBackoff is how long a server that shed a request counts as full.
	shedBackoff = 150 * time.Millisecond
	// coldSlowdown is the initial slowdown of a cold server: in the known
	// deployments, cold servers take twice as long.
	coldSlowdown = 2.0
	// coldWindow is the window in which requests to a cold server are counted:
	// a second plus the possible difference in network delay between requests.
	coldWindow = 1100 * time.Millisecond
	// localRoundTrip and remoteRoundTrip are the assumed round trips within
	// the region and to other regions until connections have been measured.
	localRoundTrip  = time.Millisecond
	remoteRoundTrip = 110 * time.Millisecond
	// maxWarmObjects bounds the objects that are remembered for one server.
	maxWarmObjects = 256
)

// server is the balancer's state of one server.
type server struct {
	Server

	local               bool             // in the region of this instance
	generation          uint64           // distinguishes processes under one id
	pending             []pendingRequest // sent by this instance
	othersLoad          float64          // requests of other instances, from the last load report
	othersLoadMean      float64
	loadReportedAt      time.Time
	fullUntil           time.Time
	meanServiceTime     time.Duration // recent requests of all classes
	slowdown            float64       // 1 is normal, 2 is twice as slow
	slowdownAt          time.Time
	ejections           int // since the last response
	consecutiveFailures int // of a reachable server
	ejectedUntil        time.Time
	suspectUntil        time.Time // another instance reported failures
	probing             bool      // one request is probing an ejected server
	coldSends           []time.Time
	warmObjects         map[string]time.Time // time of the last response
	// restartSuspectedAt is the last sign that the process ended; zero if the
	// registration is known to be that of the running process, as of
	// startConfirmedAt.
	restartSuspectedAt, startConfirmedAt time.Time
	bucket                               tokenBucket // used while RateLimit is set
	even                                 evenState
}

// pendingRequest is a request that has been sent to a server.
type pendingRequest struct {
	sentAt   time.Time
	expected time.Duration
}

// serviceTimes holds the expected service times of a class.
type serviceTimes struct {
	warm, cold time.Duration
	measured   bool // false: initial guess, which must not refuse requests
}

// Balancer chooses servers for one entry instance.
type Balancer struct {
	region       string
	servers      map[string]*server
	byService    map[string][]*server
	rankings     map[string]*rankings     // by service
	remoteShares map[string]*remoteShare  // by service
	serviceTimes map[string]*serviceTimes // by class
	roundTrips   map[string]time.Duration // by region
	hitRates     map[string]*hitRates     // by service
	generation   uint64                   // of the newest server
	// troubled holds the servers that are ejected or may have restarted. They
	// are listed in every heartbeat, among more than a thousand servers.
	troubled     map[string]*server
	newSuspicion bool    // see TakeNewSuspicion
	maxShift     float64 // see SetMaxShift
	// registrationInterval is the time in which a server that has started
	// registers.
	registrationInterval time.Duration
	even                 map[string]bool // services with even load
}

// New returns a balancer of an entry instance in a region.
func New(region string) *Balancer {
	return &Balancer{
		maxShift: defaultMaxShift, registrationInterval: defaultRegistrationInterval,
		region: region, servers: map[string]*server{}, troubled: map[string]*server{}, byService: map[string][]*server{},
		rankings: map[string]*rankings{}, remoteShares: map[string]*remoteShare{}, serviceTimes: map[string]*serviceTimes{}, roundTrips: map[string]time.Duration{}, hitRates: map[string]*hitRates{}, even: map[string]bool{},
	}
}

// Update replaces the set of servers that may be chosen. The state of servers
// that remain is kept.
func (b *Balancer) Update(servers []Server) {
	next := make(map[string]*server, len(servers))
	b.byService = make(map[string][]*server)
	for _, in := range servers {
		s := b.servers[in.ID]
		if s == nil || s.Addr != in.Addr || s.Service != in.Service || s.Region != in.Region || !s.StartTime.Equal(in.StartTime) {
			b.generation++
			s = &server{generation: b.generation, local: in.Region == b.region, slowdown: 1, warmObjects: map[string]time.Time{}, even: evenState{key: serverKey(in.ID)}}
			if !in.ColdUntil.IsZero() {
				s.slowdown = coldSlowdown
				s.slowdownAt = in.ColdUntil
			}
		}
		if s.RateLimit == nil {
			s.bucket = tokenBucket{}
		}
		in.PausedUntil = later(in.PausedUntil, s.PausedUntil)
		s.Server = in
		next[in.ID] = s
		b.byService[in.Service] = append(b.byService[in.Service], s)
	}
	for id, old := range b.servers {
		if s := next[id]; s != old {
			delete(b.troubled, id)
			b.rankings[old.Service].remove(old)
		}
	}
	for id, s := range next {
		if s != b.servers[id] {
			b.rankings[s.Service].insert(s)
		}
	}
	b.servers = next
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// load estimates the number of requests at the server.
func (s *server) load(now time.Time) int {
	others := 0.0
	if age := now.Sub(s.loadReportedAt); age < LoadReportTTL {
		decay := min(1, float64(age)/float64(loadReportDecay))
		others = s.othersLoad*(1-decay) + s.othersLoadMean*decay
		others *= 1 - float64(age)/float64(LoadReportTTL)
	}
	n := len(s.pending) + int(others+0.5)
	if now.Before(s.fullUntil) {
		n = max(n, int(fullLoadPerSlot*float64(s.Slots)))
	}
	return n
}

// overdue returns the largest ratio of elapsed time to expected latency among
// the pending requests, or 0 below overdueThreshold. It detects a server that
// turned slow before its responses arrive.
func (s *server) overdue(now time.Time) float64 {
	most := 0.0
	for _, f := range s.pending {
		if f.expected > 0 {
			most = max(most, float64(now.Sub(f.sentAt))/float64(f.expected))
		}
	}
	if most < overdueThreshold {
		return 0
	}
	return min(maxSlowdown, most)
}

// currentSlowdown returns the slowdown, which decays over slowdownTTL so that
// a slow server is tried again.
func (s *server) currentSlowdown(now time.Time) float64 {
	age := now.Sub(s.slowdownAt)
	if s.slowdown <= 1 || age <= 0 {
		return s.slowdown
	}
	if age >= slowdownTTL {
		return 1
	}
	return 1 + (s.slowdown-1)*(1-float64(age)/float64(slowdownTTL))
}

func (b *Balancer) roundTrip(s *server) time.Duration {
	if d, ok := b.roundTrips[s.Region]; ok {
		return d
	}
	if s.Region == b.region {
		return localRoundTrip
	}
	return remoteRoundTrip
}

func (b *Balancer) serviceTimesOf(r Request) *serviceTimes {
	w := b.serviceTimes[r.Class]
	if w == nil {
		w = &serviceTimes{
			warm: time.Duration(warmFactor * float64(r.InitialServiceTime)),
			cold: time.Duration(coldFactor * float64(r.InitialServiceTime)),
		}
		b.serviceTimes[r.Class] = w
	}
	return w
}

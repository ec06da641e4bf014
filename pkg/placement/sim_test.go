package placement

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// The simulation runs traffic against balancers in virtual time and without a
// network: servers with slots, a short queue and a cache of recent objects, and
// several entry instances per region that do not communicate.

var epoch = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

type simServer struct {
	Server
	maxQueue  int
	cacheSize int // objects in the cache
	slowdown  float64
	shedShare float64 // share of requests shed although slots are free

	running int
	queue   []*simRequest
	busy    float64  // seconds that requests have spent here
	said    float64  // slowdown that it says; 0: the actual one
	cache   []string // least recently used first
}

type simRequest struct {
	instance  int
	region    string
	object    string
	arrived   time.Time
	reached   time.Time // its server
	choice    Choice
	objective time.Duration
	deadline  time.Duration
	sends     int
	tried     []string
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simConfig describes one service and its traffic.
type simConfig struct {
	seed            uint64
	serversByRegion map[string]int
	slots, queue    int
	cacheSize       int
	// cachesAtEnd says that a server has an object cached once a request has
	// been completed, as traced on kallitexnis-edge-grown; otherwise from the
	// start of a request.
	cachesAtEnd      bool
	cold, warm       time.Duration
	objective, limit time.Duration
	remoteRoundTrip  time.Duration // round trip to another region
	objectsPerRegion int
	instances        int // per region
	// rate returns the requests per second from a region at a time.
	rate    func(region string, t time.Duration) float64
	length  time.Duration
	prepare func(s *sim) // changes servers at given times
	// tellSlowdown lets servers say how slow they are, and reportEvery is the interval
	// at which the instances of a region tell each other of loads, which arrive
	// reportDelay later.
	tellSlowdown             bool
	reportEvery, reportDelay time.Duration
}

type window struct{ requests, inObjective, late, refused, lost, shed int }

type sim struct {
	cfg       simConfig
	random    *rand.Rand
	now       time.Time
	queue     events
	seq       int
	servers   []*simServer
	byID      map[string]*simServer
	balancers map[string][]*Balancer
	windows   []window
	latencies []time.Duration             // of requests that were answered
	servedIn  []map[string]map[string]int // by window, client region, serving region
}

const simWindow = 2 * time.Second

func newSim(cfg simConfig) *sim {
	s := &sim{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.seed, 1)), now: epoch,
		byID: map[string]*simServer{}, balancers: map[string][]*Balancer{},
	}
	for _, region := range sortedKeys(cfg.serversByRegion) {
		for i := range cfg.serversByRegion[region] {
			id := fmt.Sprintf("%s-%d", region, i)
			srv := &simServer{
				Server:   Server{ID: id, Service: "s", Addr: id, Region: region, Slots: cfg.slots},
				maxQueue: cfg.queue, cacheSize: cfg.cacheSize, slowdown: 1,
			}
			s.servers = append(s.servers, srv)
			s.byID[id] = srv
		}
	}
	for region := range cfg.serversByRegion {
		for range cfg.instances {
			s.balancers[region] = append(s.balancers[region], New(region))
		}
	}
	s.updateBalancers()
	n := int(cfg.length/simWindow) + 10
	s.windows = make([]window, n)
	for range n {
		s.servedIn = append(s.servedIn, map[string]map[string]int{})
	}
	return s
}

func (s *sim) updateBalancers() {
	var all []Server
	for _, srv := range s.servers {
		all = append(all, srv.Server)
	}
	for _, bs := range s.balancers {
		for _, b := range bs {
			b.Update(all)
		}
	}
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, do})
}

func (s *sim) run() {
	if s.cfg.prepare != nil {
		s.cfg.prepare(s)
	}
	for _, region := range sortedKeys(s.cfg.serversByRegion) {
		s.arrive(region)
		if s.cfg.reportEvery > 0 {
			for _, b := range s.balancers[region] {
				s.after(time.Duration(s.random.Int64N(int64(s.cfg.reportEvery))), func() { s.report(region, b) })
			}
		}
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

// report tells the other instances of a region of loads.
func (s *sim) report(region string, from *Balancer) {
	if s.now.Sub(epoch) > s.cfg.length {
		return
	}
	loads := from.Loads(s.now)
	s.after(s.cfg.reportDelay, func() {
		for _, b := range s.balancers[region] {
			if b != from {
				b.RecordLoads(s.now, loads)
			}
		}
	})
	s.after(s.cfg.reportEvery, func() { s.report(region, from) })
}

// slowdownOf returns what a server says of its slowness.
func (s *sim) slowdownOf(srv *simServer) float64 {
	switch {
	case !s.cfg.tellSlowdown:
		return 0
	case srv.said > 0:
		return srv.said
	default:
		return srv.slowdown
	}
}

// arrive schedules the next request of a region.
func (s *sim) arrive(region string) {
	t := s.now.Sub(epoch)
	if t > s.cfg.length {
		return
	}
	gap := time.Duration(s.random.ExpFloat64() / s.cfg.rate(region, t) * float64(time.Second))
	s.after(gap, func() {
		r := &simRequest{
			instance: s.random.IntN(s.cfg.instances), region: region, arrived: s.now,
			object:    fmt.Sprintf("%s-%d", region, s.random.IntN(s.cfg.objectsPerRegion)),
			objective: s.cfg.objective, deadline: s.cfg.limit,
		}
		s.window(r).requests++
		s.send(r)
		s.arrive(region)
	})
}

func (s *sim) window(r *simRequest) *window {
	return &s.windows[r.arrived.Sub(epoch)/simWindow]
}

func (s *sim) send(r *simRequest) {
	b := s.balancers[r.region][r.instance]
	elapsed := s.now.Sub(r.arrived)
	c, refusal := b.Choose(s.now, Request{
		Service: "s", Class: "c", Object: r.object, Exclude: r.tried, InitialServiceTime: r.objective,
		UntilObjective: r.objective - elapsed, UntilDeadline: r.deadline - elapsed,
	})
	if refusal != nil {
		s.window(r).refused++
		return
	}
	r.choice = c
	r.sends++
	s.after(s.oneWay(r), func() { s.deliver(r) })
}

func (s *sim) oneWay(r *simRequest) time.Duration {
	if s.byID[r.choice.Server.ID].Region == r.region {
		return 500 * time.Microsecond
	}
	return s.cfg.remoteRoundTrip / 2
}

func (s *sim) deliver(r *simRequest) {
	srv := s.byID[r.choice.Server.ID]
	r.reached = s.now
	served := s.servedIn[s.now.Sub(epoch)/simWindow]
	if served[r.region] == nil {
		served[r.region] = map[string]int{}
	}
	switch {
	case s.random.Float64() < srv.shedShare || srv.running >= srv.Slots && len(srv.queue) >= srv.maxQueue:
		s.window(r).shed++
		load := srv.running + len(srv.queue)
		s.after(s.oneWay(r), func() {
			s.done(r, Result{Outcome: Shed, LoadReported: true, Load: load, Slowdown: s.slowdownOf(srv)})
			r.tried = append(r.tried, srv.ID)
			if r.sends < 2 {
				s.send(r)
				return
			}
			s.window(r).refused++
		})
	case srv.running >= srv.Slots:
		served[r.region][srv.Region]++
		srv.queue = append(srv.queue, r)
	default:
		served[r.region][srv.Region]++
		s.start(srv, r)
	}
}

func (s *sim) start(srv *simServer, r *simRequest) {
	srv.running++
	serviceTime := s.cfg.cold
	for i, o := range srv.cache {
		if o == r.object {
			serviceTime = s.cfg.warm
			srv.cache = append(srv.cache[:i:i], srv.cache[i+1:]...)
			srv.cache = append(srv.cache, r.object)
			break
		}
	}
	if !s.cfg.cachesAtEnd {
		srv.cacheObject(r.object)
	}
	serviceTime = time.Duration(float64(serviceTime) * srv.slowdown * (0.85 + 0.3*s.random.Float64()))
	left := r.deadline - s.now.Sub(r.arrived)
	if left < serviceTime {
		s.after(max(0, left), func() { s.finish(srv, r, false) })
		return
	}
	s.after(serviceTime, func() {
		srv.cacheObject(r.object)
		s.finish(srv, r, true)
	})
}

// cacheObject adds an object to the cache and evicts the oldest one if full.
func (srv *simServer) cacheObject(object string) {
	if slices.Contains(srv.cache, object) {
		return
	}
	srv.cache = append(srv.cache, object)
	if len(srv.cache) > srv.cacheSize {
		srv.cache = srv.cache[1:]
	}
}

func (s *sim) finish(srv *simServer, r *simRequest, completed bool) {
	srv.running--
	srv.busy += s.now.Sub(r.reached).Seconds()
	for len(srv.queue) > 0 && srv.running < srv.Slots {
		next := srv.queue[0]
		srv.queue = srv.queue[1:]
		if s.now.Sub(next.arrived) >= next.deadline {
			s.window(next).lost++
			s.done(next, Result{Outcome: Abandoned})
			continue
		}
		s.start(srv, next)
	}
	load := srv.running + len(srv.queue)
	s.after(s.oneWay(r), func() {
		took := s.now.Sub(r.arrived)
		switch {
		case !completed:
			s.window(r).lost++
			s.done(r, Result{Outcome: Abandoned})
			return
		case took <= r.objective:
			s.window(r).inObjective++
		default:
			s.window(r).late++
		}
		s.latencies = append(s.latencies, took)
		s.done(r, Result{Outcome: Served, LoadReported: true, Load: load, Slowdown: s.slowdownOf(srv)})
	})
}

func (s *sim) done(r *simRequest, res Result) {
	s.balancers[r.region][r.instance].Done(s.now, r.choice, res)
}

// share returns the share of the requests in a time span that met the objective.
func (s *sim) share(from, to time.Duration) float64 {
	requests, inObjective := 0, 0
	for i := from / simWindow; i < to/simWindow; i++ {
		requests += s.windows[i].requests
		inObjective += s.windows[i].inObjective
	}
	return float64(inObjective) / float64(max(1, requests))
}

// worstShift returns the largest share of a region's requests that changed
// their serving region from one window to the next, and when.
func (s *sim) worstShift() (worst float64, when time.Duration) {
	last := int(s.cfg.length / simWindow)
	for i := 1; i < last; i++ {
		for region, now := range s.servedIn[i] {
			before := s.servedIn[i-1][region]
			a, b := sum(before), sum(now)
			if a < 50 || b < 50 {
				continue
			}
			moved := 0.0
			for _, to := range sortedKeys(s.cfg.serversByRegion) {
				moved += max(0, float64(now[to])/float64(b)-float64(before[to])/float64(a))
			}
			if moved > worst {
				worst, when = moved, time.Duration(i)*simWindow
			}
		}
	}
	return worst, when
}

func (s *sim) String() string {
	out := ""
	for i, w := range s.windows[:int(s.cfg.length/simWindow)] {
		out += fmt.Sprintf("%3d s %+v\n", 2*i, w)
	}
	return out
}

func sum(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

func sortedKeys(m map[string]int) []string { return slices.Sorted(maps.Keys(m)) }

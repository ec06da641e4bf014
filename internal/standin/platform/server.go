// Package platform is the in-memory stand-in for the platform's table service,
// object store and instance list, with rate limits and injectable faults.
package platform

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"golang.org/x/time/rate"

	"github.com/dandelionrack/dandelionrack/internal/standin/restserver"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// burstFraction is the burst of a rate limit, as a fraction of its rate per
// second.
const burstFraction = 0.1

// Server is a running stand-in.
type Server struct {
	*restserver.Server

	settings Settings
	commits  *rate.Limiter
	reads    *rate.Limiter

	mu            sync.Mutex
	table         *store
	objects       map[string][]byte
	instanceLists []instanceList // oldest first
	fault         Fault
	faultDone     chan struct{} // closed when the fault is replaced
	stats         Stats
}

type instanceList struct {
	at        time.Time
	instances []platform.Instance
}

// Start starts the stand-in; it runs until Close.
func Start(settings Settings) (*Server, error) {
	s := &Server{
		settings:  settings,
		commits:   newLimiter(settings.TransactionsPerSecond),
		reads:     newLimiter(settings.ReadsPerSecond),
		table:     newStore(),
		objects:   map[string][]byte{},
		faultDone: make(chan struct{}),
	}
	// The zero time makes the first list visible immediately despite the lag.
	s.instanceLists = []instanceList{{instances: slices.Clone(settings.Instances)}}
	server, err := restserver.Start(settings.Addr, s.routes())
	if err != nil {
		return nil, err
	}
	s.Server = server
	return s, nil
}

// Close aborts hanging requests, stops the server and closes its connections.
func (s *Server) Close() error {
	s.SetFault(Fault{})
	return s.Server.Close()
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstFraction)))
}

func (s *Server) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/tx", Handler: s.withFaults(s.commits, s.handleCommit)},
		{Method: http.MethodGet, Path: "/v1/rows/{key...}", Handler: s.withFaults(s.reads, s.handleGet)},
		{Method: http.MethodGet, Path: "/v1/rows", Handler: s.withFaults(s.reads, s.handleList)},
		{Method: http.MethodPut, Path: "/v1/objects/{name...}", Handler: s.withFaults(s.commits, s.handlePutObject)},
		{Method: http.MethodGet, Path: "/v1/objects/{name...}", Handler: s.withFaults(s.reads, s.handleGetObject)},
		{Method: http.MethodGet, Path: "/v1/objects", Handler: s.withFaults(s.reads, s.handleListObjects)},
		{Method: http.MethodGet, Path: "/v1/instances", Handler: s.withFaults(s.reads, s.handleInstances)},
		{Method: http.MethodPost, Path: "/admin/fault", Handler: s.handleSetFault},
		{Method: http.MethodGet, Path: "/admin/fault", Handler: s.handleFault},
		{Method: http.MethodPut, Path: "/admin/instances", Handler: s.handleSetInstances},
		{Method: http.MethodGet, Path: "/admin/stats", Handler: s.handleStats},
	}
}

// withFaults wraps a handler with the configured outage, rate limit and latency.
func (s *Server) withFaults(limit *rate.Limiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		fault, done := s.currentFault()
		switch fault.Outage {
		case OutageRefuse:
			s.count(func(st *Stats) { st.DownRefused++ })
			refuse(w, "down")
			return
		case OutageDrop:
			panic(http.ErrAbortHandler)
		case OutageHang:
			select {
			case <-done:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler)
		}
		if !limit.Allow() {
			s.count(func(st *Stats) { st.RateRefused++ })
			refuse(w, "rate limit")
			return
		}
		time.Sleep(fault.Latency.Std())
		next(w, r)
	}
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(platform.NotWrittenHeader, "true")
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (s *Server) currentFault() (Fault, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault, s.faultDone
}

// SetFault replaces the fault.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	close(s.faultDone)
	s.faultDone = make(chan struct{})
}

// SetInstances replaces the instance list. Reads return the new list after the
// lag.
func (s *Server) SetInstances(list []platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instanceLists = append(s.instanceLists, instanceList{at: time.Now(), instances: slices.Clone(list)})
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Server) count(add func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	add(&s.stats)
}

package backend

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Stats are the statistics of one backend server.
type Stats struct {
	Slots    int `json:"slots"`
	InFlight int `json:"in_flight"`
	// MaxInFlight is the largest number of concurrent requests, including those
	// that were shed. A value above Slots indicates an overrun.
	MaxInFlight        int       `json:"max_in_flight"`
	Overruns           int64     `json:"overruns"` // requests shed because all slots were taken
	Runs               int64     `json:"runs"`
	RunsWhileDraining  int64     `json:"runs_while_draining"`
	LastRunStart       time.Time `json:"last_run_start"`
	DrainingSince      time.Time `json:"draining_since"` // zero: not draining
	OpenConnections    int64     `json:"open_connections"`
	MaxOpenConnections int64     `json:"max_open_connections"`
	RefusedConnections int64     `json:"refused_connections"`
}

// server is one backend server.
type server struct {
	settings ServerSettings
	work     Work
	sampler  *sampler
	ledger   *ledger
	listener *limitedListener
	handler  http.Handler

	mu        sync.Mutex
	http      *http.Server
	served    chan struct{} // closed when http has stopped accepting connections
	mode      Mode
	stats     Stats
	coldSince time.Time
	stuckLoad int
}

func startServer(settings ServerSettings, work Work, openDelay time.Duration, sampler *sampler, ledger *ledger) (*server, error) {
	s := &server{
		settings:  settings,
		work:      work,
		sampler:   sampler,
		ledger:    ledger,
		listener:  &limitedListener{limit: int64(settings.MaxConnections), openDelay: openDelay},
		mode:      Mode{Load: LoadAccurate, Health: HealthAccurate},
		coldSince: time.Now(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.handleHealth)
	mux.HandleFunc("GET /load", s.handleLoad)
	mux.HandleFunc("/", s.handleRun)
	s.handler = mux
	if err := s.startServing(); err != nil {
		return nil, err
	}
	return s, nil
}

// startServing opens the listener and serves it. The caller holds the lock or
// the only reference.
func (s *server) startServing() error {
	l, err := net.Listen("tcp", s.settings.Addr)
	if err != nil {
		return errors.Wrapf(err, "backend server %s", s.settings.ID)
	}
	s.settings.Addr = l.Addr().String() // keeps the port across a restart
	s.listener.Listener = l
	served, h := make(chan struct{}), &http.Server{Handler: s.handler}
	s.http, s.served = h, served
	go func() {
		defer close(served)
		_ = h.Serve(s.listener)
	}()
	return nil
}

// stopServing closes the listener and all connections, which cancels their
// runs. The caller holds the lock.
func (s *server) stopServing() error {
	err := s.http.Close()
	<-s.served // startServing must not replace the listener during Accept
	return err
}

func (s *server) close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopServing()
}

func (s *server) addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings.Addr
}

// acquire takes a slot and reports whether one was free. It counts the request
// in either case.
func (s *server) acquire(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.MaxInFlight = max(s.stats.MaxInFlight, s.stats.InFlight+1)
	if s.stats.InFlight >= s.settings.Slots {
		s.stats.Overruns++
		return false
	}
	s.stats.InFlight++
	s.stats.Runs++
	s.stats.LastRunStart = now
	if s.mode.Draining {
		s.stats.RunsWhileDraining++
	}
	return true
}

func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.InFlight--
}

func (s *server) currentMode() Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// setMode changes the mode. Fields that change does not set keep their value,
// except Cold, which applies to a single change.
func (s *server) setMode(change func(*Mode) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.mode
	m.Cold = false
	if err := change(&m); err != nil {
		return err
	}
	if !m.valid() {
		return errors.New("mode: unknown load or health mode, or a negative value")
	}
	now := time.Now()
	if m.Cold {
		s.coldSince = now
	}
	if m.Load == LoadStuck && s.mode.Load != LoadStuck {
		s.stuckLoad = s.stats.InFlight
	}
	switch {
	case !m.Draining:
		s.stats.DrainingSince = time.Time{}
	case !s.mode.Draining:
		s.stats.DrainingSince = now
	}
	if err := s.applyDown(m.Down); err != nil {
		return err
	}
	s.mode = m
	return nil
}

// applyDown starts or stops serving if down differs from the current mode. The
// caller holds the lock.
func (s *server) applyDown(down bool) error {
	switch {
	case down && !s.mode.Down:
		return s.stopServing()
	case !down && s.mode.Down:
		s.coldSince = time.Now()
		return s.startServing()
	default:
		return nil
	}
}

func (s *server) snapshot() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stats
	st.Slots = s.settings.Slots
	st.OpenConnections = s.listener.open.Load()
	st.MaxOpenConnections = s.listener.maxOpen.Load()
	st.RefusedConnections = s.listener.refused.Load()
	return st
}

// serviceTime returns the service time of the next run.
func (s *server) serviceTime(now time.Time) time.Duration {
	s.mu.Lock()
	age := now.Sub(s.coldSince)
	s.mu.Unlock()
	return time.Duration(float64(s.sampler.draw(s.work)) * coldFactor(s.work, age))
}

// responseFault is the fault of one response.
type responseFault int

const (
	faultNone responseFault = iota
	faultClose
	faultTruncate
	faultStatus
)

// nextFault returns the fault of the next response and decrements its counter.
func (s *server) nextFault() responseFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.mode.CloseAfterRun > 0:
		s.mode.CloseAfterRun--
		return faultClose
	case s.mode.Truncate > 0:
		s.mode.Truncate--
		return faultTruncate
	case s.mode.Fail > 0:
		s.mode.Fail--
		return faultStatus
	default:
		return faultNone
	}
}

package backend

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Stats are the counts of one backend server.
type Stats struct {
	Slots    int `json:"slots"`
	InFlight int `json:"in_flight"`
	// MaxInFlight is the largest number of requests at the same time, those
	// that were shed included. Above Slots it shows an overrun.
	MaxInFlight        int       `json:"max_in_flight"`
	Overruns           int64     `json:"overruns"` // requests over the slots, all shed
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
	http     *http.Server

	mu        sync.Mutex
	mode      Mode
	stats     Stats
	coldSince time.Time
	stuckLoad int
}

func startServer(settings ServerSettings, work Work, openDelay time.Duration, sampler *sampler, ledger *ledger) (*server, error) {
	l, err := net.Listen("tcp", settings.Addr)
	if err != nil {
		return nil, errors.Wrapf(err, "backend server %s", settings.ID)
	}
	s := &server{
		settings:  settings,
		work:      work,
		sampler:   sampler,
		ledger:    ledger,
		listener:  &limitedListener{Listener: l, limit: int64(settings.MaxConnections), openDelay: openDelay},
		mode:      Mode{Load: LoadHonest, Health: HealthHonest},
		coldSince: time.Now(),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.handleHealth)
	mux.HandleFunc("GET /load", s.handleLoad)
	mux.HandleFunc("/", s.handleRun)
	s.http = &http.Server{Handler: mux}
	go func() { _ = s.http.Serve(s.listener) }()
	return s, nil
}

func (s *server) addr() string { return s.listener.Addr().String() }

// acquire takes a slot. It counts the request in any case.
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

// setMode applies a change, which keeps what it does not name.
func (s *server) setMode(change func(*Mode) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.mode
	m.Cold = false
	if err := change(&m); err != nil {
		return err
	}
	if !m.valid() {
		return errors.New("mode: unknown kind, or a value out of range")
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
	s.mode = m
	return nil
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

// serviceTime of the next run.
func (s *server) serviceTime(now time.Time) time.Duration {
	s.mu.Lock()
	age := now.Sub(s.coldSince)
	s.mu.Unlock()
	return time.Duration(float64(s.sampler.draw(s.work)) * coldFactor(s.work, age))
}

// answerFault says how the answer of a run is to fail.
type answerFault int

const (
	faultNone answerFault = iota
	faultClose
	faultTruncate
)

// takeFault uses up one of the counted faults.
func (s *server) takeFault() answerFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.mode.CloseAfterRun > 0:
		s.mode.CloseAfterRun--
		return faultClose
	case s.mode.Truncate > 0:
		s.mode.Truncate--
		return faultTruncate
	default:
		return faultNone
	}
}

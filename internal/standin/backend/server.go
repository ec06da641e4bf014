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
	handler  http.Handler

	mu        sync.Mutex
	http      *http.Server
	served    chan struct{} // closed when http has stopped accepting
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
	if err := s.open(); err != nil {
		return nil, err
	}
	return s, nil
}

// open listens and serves. The caller holds the lock, or has the only
// reference.
func (s *server) open() error {
	l, err := net.Listen("tcp", s.settings.Addr)
	if err != nil {
		return errors.Wrapf(err, "backend server %s", s.settings.ID)
	}
	s.settings.Addr = l.Addr().String() // a server that was down returns to the same port
	s.listener.Listener = l
	served, h := make(chan struct{}), &http.Server{Handler: s.handler}
	s.http, s.served = h, served
	go func() {
		defer close(served)
		_ = h.Serve(s.listener)
	}()
	return nil
}

// shut refuses new connections and breaks the open ones, which cancels their
// runs. The caller holds the lock.
func (s *server) shut() error {
	err := s.http.Close()
	<-s.served // the listener must not be replaced while it accepts
	return err
}

func (s *server) close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shut()
}

func (s *server) addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.settings.Addr
}

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
	if err := s.follow(m.Down); err != nil {
		return err
	}
	s.mode = m
	return nil
}

// follow makes the listener agree with a change of the mode. The caller holds
// the lock.
func (s *server) follow(down bool) error {
	switch {
	case down && !s.mode.Down:
		return s.shut()
	case !down && s.mode.Down:
		s.coldSince = time.Now()
		return s.open()
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
	faultStatus
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
	case s.mode.Fail > 0:
		s.mode.Fail--
		return faultStatus
	default:
		return faultNone
	}
}

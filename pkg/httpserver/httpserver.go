// Package httpserver serves go-zero rest routes with a plain net/http server, so
// that the process controls its shutdown and no middleware refuses requests by
// its own rules.
package httpserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/chain"

	"github.com/dandelionrack/dandelionrack/internal/wait"
)

// Limits that keep one caller from exhausting a small instance.
const (
	readHeaderTimeout = 5 * time.Second
	// defaultReadTimeout is enough for 1 MiB at 300 kbit/s. Without a limit, a
	// stalled body would hold its handler and memory forever.
	defaultReadTimeout = 30 * time.Second
	// defaultStallTimeout limits stalled writes. Without a limit, a client that
	// stops reading would hold its response in memory and block Shutdown.
	defaultStallTimeout = 30 * time.Second
	idleTimeout         = 2 * time.Minute
	maxHeaderBytes      = 32 << 10
)

// goZeroForceQuitDelay keeps go-zero's own signal handler, which cannot be
// disabled, from ending the process while requests are still in flight.
const goZeroForceQuitDelay = 24 * time.Hour

// Config describes one listener.
type Config struct {
	Name   string
	Routes []rest.Route
	// Fallback handles every request that no route matches; nil answers 404.
	Fallback http.HandlerFunc
	// TLS enables TLS when it is not nil.
	TLS *tls.Config
	// Closing reports whether the server is about to stop. Responses then carry
	// "Connection: close", so that no connection is idle at the shutdown and no
	// request is sent on a connection that is being closed.
	Closing func() bool
	// MaxConnections bounds open connections; more wait in the accept queue.
	MaxConnections int
	// ReadTimeout bounds the time to receive a whole request; 0 means 30 s. It
	// does not bound the handler.
	ReadTimeout time.Duration
	// StallTimeout bounds the time in which a client reads nothing of its
	// response; 0 means 30 s.
	StallTimeout time.Duration
}

// Server serves one listener.
type Server struct {
	http *http.Server
	cfg  Config

	mu       sync.Mutex
	listener net.Listener           // that Serve uses
	busy     map[net.Conn]time.Time // connections that are not idle, with the time of their opening
}

var goZeroSetup sync.Once

// New returns a server for the routes of cfg.
//
// All rest middlewares are disabled: Timeout answers 503 while the handler still
// runs, which would be a false "not run"; Breaker and Shedding refuse by rules
// of their own; Log and Trace duplicate the request log; MaxBytes and MaxConns
// are enforced here and in the handlers with typed responses; Recover
// is done by net/http per connection; Gunzip would change the body on which
// fingerprints are computed.
func New(cfg Config) (*Server, error) {
	goZeroSetup.Do(func() {
		proc.SetTimeToForceQuit(goZeroForceQuitDelay)
		logx.Disable()
	})
	fallback := cfg.Fallback
	if fallback == nil {
		fallback = http.NotFound
	}
	var conf rest.RestConf
	conf.Name = cfg.Name
	srv, err := rest.NewServer(conf,
		rest.WithChain(chain.New()),
		rest.WithNotFoundHandler(fallback),
		rest.WithNotAllowedHandler(fallback),
	)
	if err != nil {
		return nil, errors.Wrap(err, "rest server")
	}
	srv.AddRoutes(cfg.Routes)
	handler, err := rest.NewServerless(srv)
	if err != nil {
		return nil, errors.Wrap(err, "rest routes")
	}
	if cfg.ReadTimeout <= 0 {
		cfg.ReadTimeout = defaultReadTimeout
	}
	if cfg.StallTimeout <= 0 {
		cfg.StallTimeout = defaultStallTimeout
	}
	s := &Server{
		cfg: cfg, busy: map[net.Conn]time.Time{},
		http: &http.Server{
			Handler:           closeConnectionsWhen(cfg.Closing, handler.Serve),
			ReadHeaderTimeout: readHeaderTimeout,
			ReadTimeout:       cfg.ReadTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			TLSConfig:         cfg.TLS,
			ConnContext:       withClientSocket,
		},
	}
	s.http.ConnState = s.track
	return s, nil
}

// track records the connections on which a request may be in flight.
func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.busy[c] = time.Now()
	case http.StateActive:
		s.busy[c] = time.Time{}
	default:
		delete(s.busy, c)
	}
}

const (
	// firstRequestTimeout is how long a new connection may take to send its first
	// request during a shutdown.
	firstRequestTimeout = time.Second
	// busyPollInterval is how often a shutdown looks for requests in flight.
	busyPollInterval = 5 * time.Millisecond
)

// awaitRequests waits until no request is in flight.
func (s *Server) awaitRequests(ctx context.Context) {
	inFlight := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, opened := range s.busy {
			if opened.IsZero() || time.Since(opened) < firstRequestTimeout {
				return true
			}
		}
		return false
	}
	for inFlight() && wait.Sleep(ctx, busyPollInterval) == nil {
	}
}

func closeConnectionsWhen(closing func() bool, next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if closing != nil && closing() {
			w.Header().Set("Connection", "close")
		}
		next(w, r)
	})
}

// Serve accepts connections until Shutdown, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	l = newDrainListener(l)
	if d, ok := l.(*drainListener); ok {
		defer d.setDrained()
	}
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	l = stallListener{limitConnections(l, s.cfg.MaxConnections), s.cfg.StallTimeout}
	var err error
	if s.cfg.TLS != nil {
		err = s.http.ServeTLS(l, "", "")
	} else {
		err = s.http.Serve(l)
	}
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", s.cfg.Name)
}

// Shutdown closes the listener and waits until no request is in flight. Connections
// that were established before are served.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	l, ok := s.listener.(*drainListener)
	s.mu.Unlock()
	// Shutdown of net/http closes connections whose request it has just read, so it
	// is called when there are no requests any more. Until then each connection ends
	// with its next response.
	s.http.SetKeepAlivesEnabled(false)
	var err error
	if ok {
		err = l.stop(ctx)
	}
	s.awaitRequests(ctx)
	if shutdownErr := s.http.Shutdown(ctx); shutdownErr != nil {
		err = shutdownErr
	}
	if err != nil {
		return errors.Wrapf(err, "shut down %s", s.cfg.Name)
	}
	return nil
}

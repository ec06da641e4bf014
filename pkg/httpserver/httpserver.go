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
	"sync/atomic"
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
	defaultIdleTimeout  = 2 * time.Minute
	maxIdleTimeout      = time.Hour
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
	// MaxConnections bounds open connections; 0 means no bound. At the bound, the
	// connection that has carried nothing for the longest time is closed for the next
	// one; if all serve requests, more wait in the accept queue.
	MaxConnections int
	// IdleTimeout returns how long a connection may be idle between two requests.
	// It is called when a connection becomes idle. nil means 2 min.
	IdleTimeout func() time.Duration
	// ReadTimeout bounds the time to receive a whole request; 0 means 30 s. It
	// does not bound the handler.
	ReadTimeout time.Duration
	// StallTimeout bounds the time in which a client reads nothing of its
	// response; 0 means 30 s.
	StallTimeout time.Duration
	// HeadMemory bounds the memory of request heads; nil means no bound.
	HeadMemory *HeadMemory
	// Refuse answers requests whose heads do not fit into HeadMemory. It must not
	// read the request, and its response must promise that the request does not run.
	// nil answers 503.
	Refuse http.HandlerFunc
}

// Server serves one listener.
type Server struct {
	http    *http.Server
	cfg     Config
	refusal []byte // the response of Config.Refuse

	mu       sync.Mutex
	listener net.Listener // that Serve uses
	conns    map[net.Conn]connState

	shuttingDown atomic.Bool
}

// connState is what a Server knows of an open connection.
type connState struct {
	http  http.ConnState
	since time.Time
	http2 bool // set once a request has been read
	// ending is set while the connection has been made to end and is not closed yet.
	ending bool
}

// Connections counts the open connections of a Server.
type Connections struct {
	Unused int // no request has been read
	Idle   int // a response has been sent, and no further request been read
	Active int // a request is being served
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
	if cfg.IdleTimeout == nil {
		cfg.IdleTimeout = func() time.Duration { return defaultIdleTimeout }
	}
	if cfg.Refuse == nil {
		cfg.Refuse = refuse
	}
	refusal, err := encodeRefusal(cfg.Refuse)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, refusal: refusal, conns: map[net.Conn]connState{}}
	s.http = &http.Server{
		Handler:           s.closeWhenStopping(s.boundHeads(handler.Serve)),
		ConnState:         s.track,
		ConnContext:       withConn,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       cfg.ReadTimeout,
		IdleTimeout:       maxIdleTimeout, // conn applies the configured one
		MaxHeaderBytes:    maxHeaderBytes,
		TLSConfig:         cfg.TLS,
	}
	return s, nil
}

// track records the state of a connection.
func (s *Server) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = connState{http: state, since: time.Now()}
	case http.StateActive, http.StateIdle:
		s.conns[c] = connState{http: state, since: time.Now(), http2: isHTTP2(c)}
		if inner, ok := unwrap(c); ok {
			inner.setIdle(state == http.StateIdle)
		}
	default:
		delete(s.conns, c)
	}
	if n := s.cfg.MaxConnections; n > 0 && len(s.conns) >= n {
		switch state {
		case http.StateNew:
			s.expireOldest(c) // its request is on its way
		case http.StateIdle:
			s.expireOldest(nil)
		}
	}
}

// expireOldest lets the connection end that has carried nothing for the longest time,
// other than except.
func (s *Server) expireOldest(except net.Conn) {
	var oldest net.Conn
	var found connState
	for c, state := range s.conns {
		if c != except && state.http != http.StateActive && !state.ending && (oldest == nil || state.since.Before(found.since)) {
			oldest, found = c, state
		}
	}
	if inner, ok := unwrap(oldest); ok {
		found.ending = inner.expire(time.Now(), 0)
		s.conns[oldest] = found
	}
}

// Connections returns the number of open connections by their state.
func (s *Server) Connections() Connections {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n Connections
	for _, c := range s.conns {
		switch c.http {
		case http.StateNew:
			n.Unused++
		case http.StateIdle:
			n.Idle++
		default:
			n.Active++
		}
	}
	return n
}

const (
	// requestPatience is how long a shutdown waits for the first request of a new
	// connection, and for the rest of a request of which a part has arrived.
	requestPatience = time.Second
	// drainPollInterval is how often a shutdown looks for connections that it can
	// close.
	drainPollInterval = 5 * time.Millisecond
)

// expireIdle lets connections without a request end, and reports whether connections
// are left. Idle HTTP/2 connections are left to http.Server.Shutdown, which tells the
// client.
func (s *Server) expireIdle(now time.Time) (left bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, state := range s.conns {
		if state.http2 && state.http == http.StateIdle {
			continue
		}
		left = true
		if inner, ok := unwrap(c); ok && state.http != http.StateActive {
			inner.expire(now, requestPatience)
		}
	}
	return left
}

// closeWhenStopping makes each response the last one of its connection once the
// server is about to stop.
func (s *Server) closeWhenStopping(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rw := &responseWriter{ResponseWriter: w, stopping: s.stopping}
		next(rw, r)
		rw.prepare() // net/http writes the header if the handler has not
	})
}

// boundHeads refuses requests whose heads do not fit into the memory for heads.
func (s *Server) boundHeads(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		release, ok := s.admitHead(r)
		if !ok {
			w.Header().Set("Connection", "close")
			s.cfg.Refuse(w, r)
			return
		}
		defer release()
		next(w, r)
	}
}

func (s *Server) stopping() bool {
	return s.shuttingDown.Load() || s.cfg.Closing != nil && s.cfg.Closing()
}

// responseWriter adds "Connection: close" to the header if the server is stopping when
// the header is written, which may be long after the request has arrived.
type responseWriter struct {
	http.ResponseWriter
	stopping func() bool
	written  bool // the final header
}

// prepare completes the header before it is written.
func (w *responseWriter) prepare() {
	if !w.written && w.stopping() {
		w.Header().Set("Connection", "close")
	}
	w.written = true
}

func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.prepare()
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *responseWriter) Write(p []byte) (int, error) {
	w.prepare()
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {
	w.prepare()
	_ = http.NewResponseController(w.ResponseWriter).Flush() // fails only if the client has disconnected
}

// Unwrap supports http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Serve accepts connections until Shutdown, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	l = newDrainListener(l)
	if d, ok := l.(*drainListener); ok {
		defer d.setDrained()
	}
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	bounded := newConnListener(l, s.cfg)
	bounded.refusal = s.refusal
	var err error
	if s.cfg.TLS != nil {
		err = s.http.ServeTLS(bounded, "", "")
	} else {
		err = s.http.Serve(bounded)
	}
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrapf(err, "serve %s", s.cfg.Name)
}

// Shutdown closes the listener and waits until no connection is left. Connections that
// were established before are served; each ends with its next response, or at once if
// no request is on its way. A request is never read and then dropped. Idle HTTP/2
// connections are told to end after all others. When ctx ends, the remaining
// connections are closed.
func (s *Server) Shutdown(ctx context.Context) error {
	s.shuttingDown.Store(true)
	s.mu.Lock()
	l, ok := s.listener.(*drainListener)
	s.mu.Unlock()
	// Queued connections may have to wait for others to end.
	stopped := make(chan error, 1)
	go func() {
		if !ok {
			stopped <- nil
			return
		}
		stopped <- l.stop(ctx)
	}()
	var err error
	listening := true
	for s.expireIdle(time.Now()) || listening {
		select {
		case err = <-stopped:
			listening = false
		default:
		}
		if wait.Sleep(ctx, drainPollInterval) != nil {
			break
		}
	}
	if listening {
		err = <-stopped
	}
	// http.Server.Shutdown drops requests that it has just read, so it is called when
	// no connection is left that could bring one.
	if shutdownErr := s.http.Shutdown(ctx); shutdownErr != nil {
		err = shutdownErr
		_ = s.http.Close() // closes what Shutdown has left open
	}
	if err != nil {
		return errors.Wrapf(err, "shut down %s", s.cfg.Name)
	}
	return nil
}

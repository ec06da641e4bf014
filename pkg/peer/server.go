package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"
)

// closeGrace is the time without progress after which a session is closed
// although its callers have not read all responses. At a load of 20 on 6 cores
// 0.5 s in all was too short for ten callers of one session.
const closeGrace = time.Second

// Stats counts what a server did since its start.
type Stats struct {
	Sessions           int64 `json:"sessions"`          // open now
	Calls              int64 `json:"calls"`             // handled
	Rejected           int64 `json:"rejected"`          // not handled: draining or too many
	ProtocolViolations int64 `json:"garbage"`           // sessions closed for malformed input
	SessionsRefused    int64 `json:"sessions_refused"`  // too many from one address
	CancelledByPeers   int64 `json:"cancelled_by_peer"` // callers that gave up
	HeartbeatStreams   int64 `json:"heartbeat_streams"` // open now
	HeartbeatGaps      int64 `json:"heartbeat_gaps"`    // streams ended by a message out of sequence
}

// Server accepts sessions of peers. It is safe for concurrent use.
type Server struct {
	cfg Config

	calls, rejected, garbage, refused, cancelled atomic.Int64
	heartbeats, gaps                             atomic.Int64

	streams    context.Context // ends the heartbeat streams
	endStreams context.CancelFunc

	mu        sync.Mutex
	draining  bool
	closed    bool // no session is opened any more
	inFlight  int
	idle      chan struct{} // closed when draining and no call is in flight
	listeners map[net.Listener]struct{}
	sessions  map[*serverSession]struct{}
	perAddr   map[string]int
	wg        sync.WaitGroup
}

// NewServer returns a server that passes calls to cfg.Handler.
func NewServer(cfg Config) *Server {
	streams, endStreams := context.WithCancel(context.Background())
	return &Server{
		cfg:        cfg.withDefaults(),
		streams:    streams,
		endStreams: endStreams,
		idle:       make(chan struct{}),
		listeners:  make(map[net.Listener]struct{}),
		sessions:   make(map[*serverSession]struct{}),
		perAddr:    make(map[string]int),
	}
}

// Stats returns the counters.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	open := int64(len(s.sessions))
	s.mu.Unlock()
	return Stats{
		Sessions:           open,
		Calls:              s.calls.Load(),
		Rejected:           s.rejected.Load(),
		ProtocolViolations: s.garbage.Load(),
		SessionsRefused:    s.refused.Load(),
		CancelledByPeers:   s.cancelled.Load(),
		HeartbeatStreams:   s.heartbeats.Load(),
		HeartbeatGaps:      s.gaps.Load(),
	}
}

// Serve accepts sessions until Shutdown closes the listener; then it returns
// nil.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		return l.Close()
	}
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept peer session")
		}
		s.open(conn)
	}
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

// open starts a session unless its source address has too many.
func (s *Server) open(conn net.Conn) {
	host := hostOf(conn)
	if s.cfg.TLS != nil {
		conn = tls.Server(conn, s.cfg.TLS)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	if s.perAddr[host] >= s.cfg.MaxSessionsPerAddr {
		s.refused.Add(1)
		s.cfg.Logger.Warn("refused a peer session: too many from one address", "address", host)
		_ = conn.Close()
		return
	}
	conn = &frameConn{Conn: conn, count: &s.cfg.Traffic.accepted}
	mux, err := yamux.Server(conn, s.serverYamux())
	if err != nil {
		s.cfg.Logger.Error("cannot start a peer session", "address", host, "error", err)
		_ = conn.Close()
		return
	}
	session := &serverSession{server: s, mux: mux, host: host}
	s.sessions[session] = struct{}{}
	s.perAddr[host]++
	s.wg.Add(1)
	go s.run(session)
}

func (s *Server) run(session *serverSession) {
	defer s.wg.Done()
	session.serve()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
	s.perAddr[session.host]--
	if s.perAddr[session.host] == 0 {
		delete(s.perAddr, session.host)
	}
}

func hostOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}

// begin admits a call, unless the server is draining.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.inFlight++
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.draining && s.inFlight == 0 {
		close(s.idle)
	}
}

// Shutdown rejects new calls, lets calls in flight finish and then closes the
// listeners and sessions. The listeners stay open until the last call has
// finished, because peers take a refused connection as proof that the process
// is gone. When ctx ends, the remaining calls are cancelled.
func (s *Server) Shutdown(ctx context.Context) error {
	s.drain()
	var err error
	select {
	case <-s.idle:
	case <-ctx.Done():
		err = errors.Wrap(ctx.Err(), "peer calls still in flight")
	}
	s.closeListeners()
	s.closeSessions(ctx)
	if err == nil {
		// A handler that ignores its context must not hold Shutdown past ctx.
		s.wg.Wait()
	}
	return err
}

func (s *Server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	if s.inFlight == 0 {
		close(s.idle)
	}
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for l := range s.listeners {
		_ = l.Close()
		delete(s.listeners, l)
	}
}

func (s *Server) closeSessions(ctx context.Context) {
	s.endStreams()
	s.mu.Lock()
	open := make([]*serverSession, 0, len(s.sessions))
	for session := range s.sessions {
		open = append(open, session)
	}
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, session := range open {
		wg.Go(func() { session.close(ctx) })
	}
	wg.Wait()
}

// serverKeepAliveFactor makes the accepting side ping less often: the dialing
// side's pings find a frozen session, and pings of both sides on every session
// were the largest part of an idle instance's CPU time.
const serverKeepAliveFactor = 20

func (s *Server) serverYamux() *yamux.Config {
	y := s.cfg.yamux(s.cfg.BulkTimeout)
	y.KeepAliveInterval *= serverKeepAliveFactor
	return y
}

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

// closeStallTimeout is the time without progress after which Shutdown closes a
// session although its callers have not read all responses. A limit of 0.5 s in
// total was too short for ten callers of one session on 6 cores at a load of 20.
const closeStallTimeout = time.Second

// Stats holds the counters of a server since its start.
type Stats struct {
	Sessions           int64 `json:"sessions"`          // currently open
	Calls              int64 `json:"calls"`             // handled
	Rejected           int64 `json:"rejected"`          // calls not handled: server draining or too many calls
	ProtocolViolations int64 `json:"garbage"`           // sessions closed for a protocol violation
	SessionsRefused    int64 `json:"sessions_refused"`  // too many sessions from one address
	CancelledByPeers   int64 `json:"cancelled_by_peer"` // calls cancelled by their caller
	HeartbeatStreams   int64 `json:"heartbeat_streams"` // currently open
	HeartbeatGaps      int64 `json:"heartbeat_gaps"`    // streams ended by a message out of sequence
}

// Server accepts sessions of peers. It is safe for concurrent use.
type Server struct {
	cfg Config

	calls, rejected, protocolViolations, refusedSessions, cancelled atomic.Int64
	heartbeatStreams, heartbeatGaps                                 atomic.Int64

	streamsCtx    context.Context // cancelled to end the heartbeat streams
	cancelStreams context.CancelFunc

	mu        sync.Mutex
	draining  bool
	closed    bool // no new sessions are accepted
	inFlight  int
	idle      chan struct{} // closed when draining and no call is in flight
	listeners map[net.Listener]struct{}
	sessions  map[*serverSession]struct{}
	perAddr   map[string]int
	wg        sync.WaitGroup
}

// NewServer returns a server that passes calls to cfg.Handler.
func NewServer(cfg Config) *Server {
	streamsCtx, cancelStreams := context.WithCancel(context.Background())
	return &Server{
		cfg:           cfg.withDefaults(),
		streamsCtx:    streamsCtx,
		cancelStreams: cancelStreams,
		idle:          make(chan struct{}),
		listeners:     make(map[net.Listener]struct{}),
		sessions:      make(map[*serverSession]struct{}),
		perAddr:       make(map[string]int),
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
		ProtocolViolations: s.protocolViolations.Load(),
		SessionsRefused:    s.refusedSessions.Load(),
		CancelledByPeers:   s.cancelled.Load(),
		HeartbeatStreams:   s.heartbeatStreams.Load(),
		HeartbeatGaps:      s.heartbeatGaps.Load(),
	}
}

// acceptRetryInterval is the pause after a connection could not be accepted. It lets
// file descriptors become free and is short compared with a heartbeat.
const acceptRetryInterval = 100 * time.Millisecond

// Serve accepts sessions until Shutdown closes the listener, and then returns nil.
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
			// For example, no file descriptor is free.
			s.cfg.Logger.Warn("cannot accept a peer session; trying again", "error", err, "after", acceptRetryInterval)
			time.Sleep(acceptRetryInterval)
			continue
		}
		s.openSession(conn)
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

// openSession starts a session unless its source address already has too many.
func (s *Server) openSession(conn net.Conn) {
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
		s.refusedSessions.Add(1)
		s.cfg.Logger.Warn("refused a peer session: too many from one address", "address", host)
		_ = conn.Close()
		return
	}
	framed := &frameConn{Conn: conn, counters: &s.cfg.Traffic.accepted}
	mux, err := yamux.Server(framed, s.serverYamux())
	if err != nil {
		s.cfg.Logger.Error("cannot start a peer session", "address", host, "error", err)
		_ = conn.Close()
		return
	}
	session := &serverSession{server: s, mux: mux, host: host}
	s.sessions[session] = struct{}{}
	s.perAddr[host]++
	s.wg.Add(1)
	go s.runSession(session)
	go s.keepAlive(mux, framed)
}

func (s *Server) runSession(session *serverSession) {
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

// beginCall counts a call as in flight. It returns false if the server is
// draining.
func (s *Server) beginCall() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.inFlight++
	return true
}

func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.draining && s.inFlight == 0 {
		close(s.idle)
	}
}

// Shutdown rejects new calls, waits for calls in flight and then closes the
// listeners and sessions. The listeners stay open until the last call has
// finished, because peers take a refused connection as proof that the process
// has exited. When ctx ends, the remaining calls are cancelled.
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
		// Not after ctx ended: a handler may ignore its cancelled context.
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
	s.cancelStreams()
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

// serverKeepAliveFactor multiplies the ping interval of accepted sessions. The
// dialing side's pings detect a frozen session, and pings from both sides used
// most of the CPU time of an idle instance.
const serverKeepAliveFactor = 20

func (s *Server) serverYamux() *yamux.Config {
	return s.cfg.yamux(s.cfg.RequestTimeout) // of a write; see pingBusy
}

// keepAlive pings the session and closes it if the peer is silent. It replaces the
// keep-alive of yamux, which does not know whether anything else arrives.
func (s *Server) keepAlive(mux *yamux.Session, conn *frameConn) {
	t := time.NewTicker(s.cfg.KeepAlive * serverKeepAliveFactor)
	defer t.Stop()
	for {
		select {
		case <-mux.CloseChan():
			return
		case <-t.C:
		}
		if err := pingBusy(mux, conn, s.cfg.BulkTimeout); err != nil {
			_ = mux.Close()
			return
		}
	}
}

package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"
)

// Bounds of the delay between two dials. Heartbeats are sent every 200 ms, and a
// peer counts as gone only while the last refused dial is less than 500 ms old.
// Control sessions must therefore be allowed to dial for each heartbeat.
const (
	backoffStart      = 20 * time.Millisecond
	backoffMaxControl = 150 * time.Millisecond
	backoffMaxBulk    = time.Second
	// A session that ends sooner counts as a failed dial: the peer may close
	// every session, for example because its session limit is reached.
	minSessionLifetime = time.Second
)

var (
	errShortSession = errors.New("session ended soon after its start")
	errSilentPeer   = errors.New("nothing was received from the peer")
)

// link holds at most one session of a class to an address, dialed on demand.
type link struct {
	ctx context.Context
	cfg Config
	key sessionKey

	heartbeatStreams atomic.Int64 // open heartbeat streams

	mu       sync.Mutex
	current  *clientSession
	opened   time.Time
	dialing  *dial // nil when no dial is in progress
	closed   bool
	backoff  time.Duration
	nextDial time.Time
	lastErr  error
}

// clientSession is a dialed session.
type clientSession struct {
	*yamux.Session
	conn *frameConn
}

// dial is a connection attempt in progress, shared by all calls that wait for it.
type dial struct {
	done    chan struct{}
	session *clientSession
	err     error
}

func newLink(ctx context.Context, cfg Config, key sessionKey) *link {
	return &link{ctx: ctx, cfg: cfg, key: key}
}

// session returns the open session, or dials one and waits for it until ctx ends.
func (l *link) session(ctx context.Context) (*clientSession, error) {
	session, d, err := l.currentOrDial(time.Now())
	if err != nil || session != nil {
		return session, err
	}
	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, newNotSentError(l.key.addr, ctx.Err())
	}
}

func (l *link) currentOrDial(now time.Time) (*clientSession, *dial, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, nil, newNotSentError(l.key.addr, ErrClosed)
	}
	if l.current != nil && !l.current.IsClosed() {
		return l.current, nil, nil
	}
	if l.dialing != nil {
		return nil, l.dialing, nil
	}
	l.dropClosedSession(now)
	if now.Before(l.nextDial) {
		return nil, nil, newBackoffError(l.key.addr, l.lastErr)
	}
	l.dialing = &dial{done: make(chan struct{})}
	go l.dial(l.dialing)
	return nil, l.dialing, nil
}

// dropClosedSession removes the closed session and resets the backoff, or extends
// it if the session was short.
func (l *link) dropClosedSession(now time.Time) {
	if l.current == nil {
		return
	}
	l.current = nil
	if now.Sub(l.opened) < minSessionLifetime {
		l.delayNextDial(errShortSession)
		return
	}
	l.backoff = 0
	l.nextDial = time.Time{}
}

// dial is independent of the contexts of calls, because a call with a short
// deadline must not cancel the dial that other calls wait for.
func (l *link) dial(d *dial) {
	session, err := l.connect()
	l.mu.Lock()
	l.dialing = nil
	if err == nil && l.closed {
		err = ErrClosed
		go session.Close()
	}
	if err != nil {
		d.err = newDialError(l.key.addr, err)
		l.delayNextDial(err)
	} else {
		d.session = session
		l.current = session
		l.opened = time.Now()
	}
	l.mu.Unlock()
	close(d.done)
}

func (l *link) connect() (*clientSession, error) {
	ctx, cancel := context.WithTimeout(l.ctx, l.cfg.DialTimeout)
	defer cancel()
	conn, err := l.dialConn(ctx)
	if err != nil {
		return nil, err
	}
	timeout := l.cfg.RequestTimeout // of a write; see pingBusy
	if l.key.class == controlClass {
		timeout = l.cfg.ControlTimeout
	}
	framed := &frameConn{Conn: conn, counters: l.cfg.Traffic.counters(l.key.class)}
	y := l.cfg.yamux(timeout)
	session, err := yamux.Client(framed, y)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	opened := &clientSession{Session: session, conn: framed}
	go l.keepAlive(opened)
	return opened, nil
}

// Number of Config.KeepAlive intervals between two pings. The sender of a
// heartbeat stream probes its session when the peer is silent, so regular pings
// only need to find sessions that failed in one direction. A frozen session
// without calls delays nobody; once it has a call, it is pinged at each interval.
const (
	heartbeatTicksPerPing = 4
	idleTicksPerPing      = 8
)

// keepAlive pings the session and closes it if a ping fails. It replaces the
// keep-alive of yamux, whose interval cannot depend on the state of the session.
func (l *link) keepAlive(session *clientSession) {
	t := time.NewTicker(l.cfg.KeepAlive)
	defer t.Stop()
	for skipped := 1; ; skipped++ {
		select {
		case <-session.CloseChan():
			return
		case <-t.C:
		}
		if skipped < l.ticksPerPing(session) {
			continue
		}
		skipped = 0
		if err := l.ping(session); err != nil {
			_ = session.Close()
			return
		}
	}
}

func (l *link) ping(session *clientSession) error {
	if l.key.class == controlClass {
		_, err := session.Ping()
		return err
	}
	return pingBusy(session.Session, session.conn, l.cfg.BulkTimeout)
}

// pingBusy pings a session that may carry large messages. It fails once neither the
// response to the ping nor anything else has arrived for the timeout: on a slow
// connection a ping can wait for seconds behind data that is on its way. For the same
// reason the timeout of yamux for writes, which also bounds its pings, must be longer.
func pingBusy(session *yamux.Session, conn *frameConn, timeout time.Duration) error {
	done := make(chan error, 1)
	go func() {
		_, err := session.Ping()
		done <- err
	}()
	check := time.NewTicker(timeout)
	defer check.Stop()
	for {
		received := conn.receivedBytes.Load()
		select {
		case err := <-done:
			if err != nil && conn.receivedBytes.Load() != received {
				return nil
			}
			return err
		case <-check.C:
			if conn.receivedBytes.Load() == received {
				return errSilentPeer
			}
		}
	}
}

func (l *link) ticksPerPing(session *clientSession) int {
	switch {
	case l.heartbeatStreams.Load() > 0:
		return heartbeatTicksPerPing
	case l.key.class == bulkClass && session.NumStreams() == 0:
		return idleTicksPerPing
	default:
		return 1
	}
}

func (l *link) dialConn(ctx context.Context) (net.Conn, error) {
	if l.cfg.TLS == nil {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", l.key.addr)
	}
	d := tls.Dialer{Config: l.cfg.TLS}
	return d.DialContext(ctx, "tcp", l.key.addr)
}

func (l *link) delayNextDial(err error) {
	limit := backoffMaxBulk
	if l.key.class == controlClass {
		limit = backoffMaxControl
	}
	l.backoff = min(max(2*l.backoff, backoffStart), limit)
	jittered := l.backoff/2 + rand.N(l.backoff/2)
	l.nextDial = time.Now().Add(jittered)
	l.lastErr = err
}

func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	session := l.current
	l.current = nil
	l.mu.Unlock()
	if session != nil {
		_ = session.Close()
	}
}

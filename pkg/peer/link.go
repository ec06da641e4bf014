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

// Bounds of the delay between two dials. A heartbeat goes out every 200 ms,
// and a peer counts as gone only while refusals are less than 500 ms old, so
// the control lane must be free to dial at each heartbeat.
const (
	backoffStart      = 20 * time.Millisecond
	backoffMaxControl = 150 * time.Millisecond
	backoffMaxBulk    = time.Second
	// A session that ends sooner counts as a failed dial: the peer may be
	// closing each session, such as one beyond its bound.
	minSessionLife = time.Second
)

var errShortSession = errors.New("session ended soon after its start")

// link holds at most one session to an address and dials it on demand.
type link struct {
	ctx context.Context
	cfg Config
	key sessionKey

	heartbeats atomic.Int64 // open heartbeat streams

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

// dial is one attempt that all waiting calls share.
type dial struct {
	done    chan struct{}
	session *clientSession
	err     error
}

func newLink(ctx context.Context, cfg Config, key sessionKey) *link {
	return &link{ctx: ctx, cfg: cfg, key: key}
}

// session returns the open session or waits for a dial until ctx ends.
func (l *link) session(ctx context.Context) (*clientSession, error) {
	session, d, err := l.currentOrDial(time.Now())
	if err != nil || session != nil {
		return session, err
	}
	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, notSent(l.key.addr, ctx.Err())
	}
}

func (l *link) currentOrDial(now time.Time) (*clientSession, *dial, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, nil, notSent(l.key.addr, ErrClosed)
	}
	if l.current != nil && !l.current.IsClosed() {
		return l.current, nil, nil
	}
	if l.dialing != nil {
		return nil, l.dialing, nil
	}
	l.dropEnded(now)
	if now.Before(l.nextDial) {
		return nil, nil, inBackoff(l.key.addr, l.lastErr)
	}
	l.dialing = &dial{done: make(chan struct{})}
	go l.dial(l.dialing)
	return nil, l.dialing, nil
}

// dropEnded forgets a closed session.
func (l *link) dropEnded(now time.Time) {
	if l.current == nil {
		return
	}
	l.current = nil
	if now.Sub(l.opened) < minSessionLife {
		l.delayNextDial(errShortSession)
		return
	}
	l.backoff = 0
	l.nextDial = time.Time{}
}

// dial runs apart from any call, because a call with little time left must
// not end the dial that other calls wait for.
func (l *link) dial(d *dial) {
	session, err := l.connect()
	l.mu.Lock()
	l.dialing = nil
	if err == nil && l.closed {
		err = ErrClosed
		go session.Close()
	}
	if err != nil {
		d.err = dialFailed(l.key.addr, err)
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
	timeout := l.cfg.BulkTimeout
	if l.key.lane == control {
		timeout = l.cfg.ControlTimeout
	}
	framed := &frameConn{Conn: conn, count: l.cfg.Traffic.lane(l.key.lane)}
	y := l.cfg.yamux(timeout)
	y.EnableKeepAlive = false
	session, err := yamux.Client(framed, y)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	go l.keepAlive(session)
	return &clientSession{Session: session, conn: framed}, nil
}

// Pings per this many intervals of Config.KeepAlive. The sender of a heartbeat
// stream has its session checked as soon as it hears nothing from the peer, so
// regular pings only find a session that died in one direction. A session
// without calls delays nobody; the first call gets it pinged at each interval.
const (
	heartbeatPingEvery = 4
	idlePingEvery      = 8
)

// keepAlive closes a frozen session, in place of the pings of yamux, which have
// one interval for all states of a session.
func (l *link) keepAlive(session *yamux.Session) {
	t := time.NewTicker(l.cfg.KeepAlive)
	defer t.Stop()
	for skipped := 1; ; skipped++ {
		select {
		case <-session.CloseChan():
			return
		case <-t.C:
		}
		if skipped < l.pingEvery(session) {
			continue
		}
		skipped = 0
		if _, err := session.Ping(); err != nil {
			_ = session.Close()
			return
		}
	}
}

func (l *link) pingEvery(session *yamux.Session) int {
	switch {
	case l.heartbeats.Load() > 0:
		return heartbeatPingEvery
	case l.key.lane == bulk && session.NumStreams() == 0:
		return idlePingEvery
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
	if l.key.lane == control {
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

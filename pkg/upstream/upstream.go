// Package upstream sends requests to backend servers over persistent HTTP/1.1
// connections and reports exactly what is known of each: a response that belongs
// to the request, a request of which no byte was sent, or a request that may have
// run.
//
// net/http's Transport is not used: it retries some requests by itself, it takes
// bytes that follow a response for the response to the next request, and it sends
// non-idempotent requests on connections that the server may be closing.
package upstream

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/bytebudget"
)

const (
	// MaxResponseBytes bounds a response body, which is held in memory.
	MaxResponseBytes = 8 << 20
	// maxHeadBytes bounds the status line and headers of a response, including
	// interim responses before it. Heads of backend servers take under 1 KB.
	maxHeadBytes = 64 << 10
	// maxBodyOverhead bounds the bytes of an encoded body beyond twice the body. It is
	// enough for a body of 15 KB in chunks of a byte, of 200 KB in chunks of 4 bytes,
	// or of any size in chunks of 5 bytes.
	maxBodyOverhead = 64 << 10
	// readBuffer holds the head and body of a typical response (1.5 to 5 KB).
	readBuffer = 8 << 10
	// receiveBuffer bounds what the kernel has received for a connection and is not read
	// yet, which counts towards the memory of the process. By itself the kernel lets the
	// buffers of many connections grow to megabytes each.
	receiveBuffer = 32 << 10
	// receiveBufferDivisor lets the buffer grow to a quarter of the bytes of a body that have
	// been read, so that long bodies from other regions are not slowed down for long.
	// Bodies in memory are bounded in sum, and so are these buffers.
	receiveBufferDivisor = 4
	// maxInlineBody is the body size up to which a single write to the socket
	// does not block until the server reads.
	maxInlineBody = 32 << 10
	// maxMismatched bounds the responses to earlier requests that are skipped
	// while waiting for one response.
	maxMismatched = 4
	// nearConnectTime is the connect time up to which a server counts as near.
	// Within a region connecting takes 2 ms, to other regions 70 ms or more.
	nearConnectTime = 20 * time.Millisecond
)

// Config holds the timeouts of a Pool. Zero values select the defaults.
type Config struct {
	// DialTimeout bounds opening a connection. Default 400 ms: three times the
	// longest round trip between regions (110 ms), with a margin for load.
	DialTimeout time.Duration
	// IdempotentMaxIdle is the idle time up to which an idempotent request
	// reuses a connection. Default 4 s: backend servers close idle connections
	// after 10 s, or after the time that they announce.
	IdempotentMaxIdle time.Duration
	// NonIdempotentMaxIdle is the same for other requests. Default 1 s: after
	// a reset it is unknown whether such a request ran, so it only uses a
	// recently used connection. It is not shorter because a new connection to
	// another region costs 70 to 110 ms; servers that drop idle connections
	// earlier are detected by their resets (see noteStale).
	NonIdempotentMaxIdle time.Duration
	// NonIdempotentMaxIdleNear replaces NonIdempotentMaxIdle for servers whose
	// connections open within nearConnectTime. Default 100 ms: a new connection
	// costs about 2 ms there, and servers sometimes drop connections that were
	// idle for 350 ms.
	NonIdempotentMaxIdleNear time.Duration
	// TCPUserTimeout is how long sent data may stay unacknowledged before the
	// connection is closed. It is also the TCP keep-alive interval. Default 1 s.
	// A server that acknowledges everything may take any time to read a request.
	TCPUserTimeout time.Duration
}

func (c Config) withDefaults() Config {
	c.DialTimeout = cmp.Or(c.DialTimeout, 400*time.Millisecond)
	c.IdempotentMaxIdle = cmp.Or(c.IdempotentMaxIdle, 4*time.Second)
	c.NonIdempotentMaxIdle = cmp.Or(c.NonIdempotentMaxIdle, time.Second)
	c.NonIdempotentMaxIdleNear = cmp.Or(c.NonIdempotentMaxIdleNear, 100*time.Millisecond)
	c.TCPUserTimeout = cmp.Or(c.TCPUserTimeout, time.Second)
	return c
}

// Request is one request to one backend server.
type Request struct {
	Addr           string
	MaxConnections int // limit of the open connections of this pool to Addr; 0: no limit
	Method         string
	Target         string // path and query, as received
	Host           string
	Header         http.Header
	Body           []byte
	Idempotent     bool
	// NewConnection says not to reuse a connection. An earlier attempt of the same
	// request may have used one, on which a response to that attempt can still
	// arrive; it would match this one.
	NewConnection bool
	// Canceled, if set, is called just before the first byte is written. If it
	// returns true, nothing is sent and the connection is kept.
	Canceled func() bool
	// Matches reports whether a response belongs to this request.
	Matches func(*http.Response) bool
	// Budget, if set, limits the memory of the response body. The caller
	// releases Response.Acquired when it no longer needs the body.
	Budget *bytebudget.Budget
}

// Response is a complete response of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Acquired is the number of bytes acquired from Request.Budget.
	Acquired int64
}

// Timing describes how a request was sent.
type Timing struct {
	// Reused reports whether the connection had carried a request before.
	Reused bool
	// Idle is how long a reused connection was idle.
	Idle time.Duration
	// Connect is the time that opening a new connection took.
	Connect time.Duration
	// SentAt is the time just before the first byte was written.
	SentAt time.Time
	// MismatchedResponses counts responses that belong to other requests.
	MismatchedResponses int
}

// Error is returned for a request that got no response of its own.
type Error struct {
	// Sent is false only if no byte of the request left this process.
	Sent bool
	// Unreachable means that no connection could be opened.
	Unreachable bool
	// Refused means that the connection was refused: no process listens.
	Refused bool
	// ClosedAtOnce means that a new connection was closed within a round trip
	// after the request was sent.
	ClosedAtOnce bool
	// Canceled means that Request.Canceled returned true.
	Canceled bool
	Err      error
}

func (e *Error) Error() string {
	switch {
	case e.Unreachable:
		return "no connection: " + e.Err.Error()
	case e.Sent:
		return "sent without an answer: " + e.Err.Error()
	default:
		return "not sent: " + e.Err.Error()
	}
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Pool keeps persistent connections by address. It is safe for concurrent use.
type Pool struct {
	cfg Config
	// OnOpen, if set, is called for each connection that was opened.
	OnOpen  func()
	watcher sendWatcher

	mu    sync.Mutex
	hosts map[string]*host
}

// staleWindow is how long a stale connection reduces the permitted idle time.
// Servers that drop idle connections early do so for about ten seconds.
const staleWindow = 10 * time.Second

// host holds the connections to one address.
type host struct {
	idle []*conn // most recently used last
	open int     // connections, idle or in use
	// A connection was found stale after staleIdle. Until staleUntil only
	// connections that were idle for at most half as long are reused.
	staleIdle  time.Duration
	staleUntil time.Time
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	cfg = cfg.withDefaults()
	return &Pool{cfg: cfg, hosts: make(map[string]*host), watcher: sendWatcher{limit: cfg.TCPUserTimeout}}
}

// Do sends a request once. Every error is an *Error. When ctx ends, the
// connection is closed.
func (p *Pool) Do(ctx context.Context, r Request) (*Response, Timing, error) {
	var t Timing
	c, err := p.get(ctx, r, &t)
	if err != nil {
		return nil, t, err
	}
	if err := notSent(ctx, r); err != nil {
		p.putUnused(r.Addr, c)
		return nil, t, err
	}
	stop := context.AfterFunc(ctx, c.abort)
	response, reusable, err := c.roundTrip(r, &t)
	if !stop() {
		reusable = false
	}
	if !p.watcher.release(c) {
		reusable = false
	}
	if err != nil && c.silent.Load() {
		err = &Error{Sent: true, Err: errSilent}
	}
	if err != nil && ctx.Err() == nil {
		err = p.inspectFailure(time.Now(), r.Addr, c, t, err)
	}
	if ctx.Err() != nil && err != nil {
		err = &Error{Sent: true, Err: errors.Wrap(context.Cause(ctx), "abandoned")}
	}
	p.put(r.Addr, c, reusable)
	return response, t, err
}

// notSent returns the reason not to send a request for which a connection has been
// opened or taken, or nil.
func notSent(ctx context.Context, r Request) error {
	switch {
	case ctx.Err() != nil:
		return &Error{Err: errors.Wrap(context.Cause(ctx), "abandoned")}
	case r.Canceled != nil && r.Canceled():
		return &Error{Canceled: true, Err: errors.New("canceled")}
	}
	return nil
}

// inspectFailure records what a failed request shows of the server's connections.
func (p *Pool) inspectFailure(now time.Time, addr string, c *conn, t Timing, err error) error {
	var failed *Error
	if !c.closedAtOnce(now, t) || !errors.As(err, &failed) {
		return err
	}
	if !t.Reused {
		return &Error{Sent: failed.Sent, ClosedAtOnce: true, Err: failed.Err}
	}
	if t.Idle >= minStaleIdle {
		p.noteStale(now, addr, t.Idle)
	}
	return err
}

// noteStale records that a server had dropped an idle connection. It affects this
// server only, because connections to a crashed server fail in the same way.
func (p *Pool) noteStale(now time.Time, addr string, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(addr)
	if now.After(h.staleUntil) || idle < h.staleIdle {
		h.staleIdle = idle
	}
	h.staleUntil = now.Add(staleWindow)
}

func (p *Pool) host(addr string) *host {
	h := p.hosts[addr]
	if h == nil {
		h = &host{}
		p.hosts[addr] = h
	}
	return h
}

// get returns an idle connection that may be reused, or opens one.
func (p *Pool) get(ctx context.Context, r Request, t *Timing) (*conn, error) {
	maxIdle := func(c *conn) time.Duration {
		switch {
		case r.Idempotent:
			return p.cfg.IdempotentMaxIdle
		case c.connectTime <= nearConnectTime:
			return min(p.cfg.NonIdempotentMaxIdle, p.cfg.NonIdempotentMaxIdleNear)
		default:
			return p.cfg.NonIdempotentMaxIdle
		}
	}
	for !r.NewConnection {
		c, ok := p.takeIdle(r.Addr, maxIdle)
		if !ok {
			break
		}
		if c.noPendingInput() {
			t.Reused = true
			t.Idle = time.Since(c.idleSince)
			return c, nil
		}
		p.drop(r.Addr, c)
	}
	p.mu.Lock()
	h := p.host(r.Addr)
	if r.MaxConnections > 0 && h.open >= r.MaxConnections {
		p.mu.Unlock()
		return nil, &Error{Err: errors.Errorf("all %d connections to %s are in use", r.MaxConnections, r.Addr)}
	}
	h.open++
	p.mu.Unlock()
	start := time.Now()
	c, err := p.dial(ctx, r.Addr)
	if err != nil {
		p.mu.Lock()
		h.open--
		p.mu.Unlock()
		return nil, &Error{Unreachable: ctx.Err() == nil, Refused: errors.Is(err, syscall.ECONNREFUSED), Err: err}
	}
	t.Connect = time.Since(start)
	c.connectTime = t.Connect
	if p.OnOpen != nil {
		p.OnOpen()
	}
	return c, nil
}

// takeIdle returns the most recently used idle connection. If it was idle for too
// long, so were all others.
func (p *Pool) takeIdle(addr string, maxIdle func(*conn) time.Duration) (*conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(addr)
	now := time.Now()
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		limit := maxIdle(c)
		if now.Before(h.staleUntil) {
			limit = min(limit, h.staleIdle/2)
		}
		if now.Sub(c.idleSince) > limit {
			return nil, false
		}
		h.idle = h.idle[:len(h.idle)-1]
		if now.Before(c.expires) {
			return c, true
		}
		h.open--
		_ = c.nc.Close() // a failed close leaves nothing to do
	}
	return nil, false
}

func (p *Pool) drop(addr string, c *conn) {
	_ = c.nc.Close() // a failed close leaves nothing to do
	p.mu.Lock()
	p.host(addr).open--
	p.mu.Unlock()
}

func (p *Pool) put(addr string, c *conn, reusable bool) {
	if !reusable {
		p.drop(addr, c)
		return
	}
	c.idleSince = time.Now()
	p.putIdle(addr, c)
}

// putUnused returns a connection on which nothing was sent. For the server, a reused
// one has been idle all the time.
func (p *Pool) putUnused(addr string, c *conn) {
	if c.idleSince.IsZero() {
		c.idleSince = time.Now()
	}
	p.putIdle(addr, c)
}

func (p *Pool) putIdle(addr string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(addr)
	h.idle = append(h.idle, c)
}

// Sweep closes connections that were idle for too long and removes addresses
// without connections. The owner must call it about once a second.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Sub(c.idleSince) > p.cfg.IdempotentMaxIdle || !now.Before(c.expires) {
				h.open--
				_ = c.nc.Close() // a failed close leaves nothing to do
				continue
			}
			kept = append(kept, c)
		}
		h.idle = kept
		if h.open == 0 && now.After(h.staleUntil) {
			delete(p.hosts, addr)
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Sweep(time.Now().Add(time.Hour)) }

func (p *Pool) dial(ctx context.Context, addr string) (*conn, error) {
	dialer := net.Dialer{Timeout: p.cfg.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: p.cfg.TCPUserTimeout, Interval: p.cfg.TCPUserTimeout, Count: 2,
	}}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if ok {
		err := setUserTimeout(tcp, p.cfg.TCPUserTimeout)
		if err == nil {
			err = tcp.SetReadBuffer(receiveBuffer)
		}
		if err != nil {
			_ = nc.Close() // the first error is reported
			return nil, err
		}
	}
	limited := &io.LimitedReader{R: nc, N: maxHeadBytes}
	return &conn{
		nc: nc, tcp: tcp, r: bufio.NewReaderSize(limited, readBuffer), limited: limited,
		expires: time.Now().Add(time.Hour), watcher: &p.watcher, userTimeout: p.cfg.TCPUserTimeout, receiveBuffer: receiveBuffer,
	}, nil
}

// discard reads a body to its end. A larger body than MaxResponseBytes is an error: its
// rest would be read as the next response.
func discard(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, MaxResponseBytes+1))
	if err == nil && n > MaxResponseBytes {
		return errors.Errorf("response is larger than %d bytes", MaxResponseBytes)
	}
	return err
}

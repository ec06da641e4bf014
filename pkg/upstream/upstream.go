// Package upstream sends requests to backend servers over kept HTTP/1.1
// connections and reports exactly what is known of each: an answer that
// belongs to the request, a request of which no byte was sent, or a request
// that may have run.
//
// net/http's Transport is not used: it repeats some requests by itself, it
// takes bytes that follow an answer for the answer of the next request, and it
// gives an unsafe request a connection that the server may be closing.
package upstream

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// MaxResponseBytes bounds the body of an answer that is held in memory.
	MaxResponseBytes = 8 << 20
	// readBuffer holds a typical answer head and body of 1.5 to 5 KB.
	readBuffer = 8 << 10
	// writeAhead is the body size up to which one write to the socket does
	// not wait for the server to read.
	writeAhead = 32 << 10
	// maxForeign bounds the answers to earlier requests that are skipped on
	// one connection.
	maxForeign = 4
	// nearConnect is the time to open a connection up to which a server counts
	// as near. Within a region it takes 2 ms, to other regions 70 ms and more.
	nearConnect = 20 * time.Millisecond
)

// Config holds the times of a Pool. Zero values select the defaults.
type Config struct {
	// DialTimeout bounds the opening of a connection. Default 400 ms: three
	// times the longest round trip of the sites (110 ms) and some load.
	DialTimeout time.Duration
	// IdempotentMaxIdle is the idle time after which an idempotent request no longer
	// uses a kept connection. Default 4 s: backend servers close after 10 s,
	// or after the time that they announce.
	IdempotentMaxIdle time.Duration
	// NonIdempotentMaxIdle is the same for other requests. Default 1 s: a reset leaves
	// it open whether such a request ran, so it only uses a connection that
	// has just proved to work. It is not shorter, because a new connection to
	// another region costs 70 to 110 ms; servers that forget connections
	// earlier are noticed by their resets (noteForgotten).
	NonIdempotentMaxIdle time.Duration
	// NonIdempotentMaxIdleNear is the same for servers to which a connection opens within
	// nearConnect. Default 100 ms: a new one costs some 2 ms there, and servers
	// forget idle connections after 350 ms on some days.
	NonIdempotentMaxIdleNear time.Duration
	// TCPUserTimeout is how long sent bytes may stay unacknowledged before the
	// connection counts as broken. Default 1 s.
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
	MaxConnections int // open to this address from this pool; 0: no bound
	Method         string
	Target         string // path and query as received
	Host           string
	Header         http.Header
	Body           []byte
	Idempotent     bool
	// Matches reports whether a response belongs to this request.
	Matches func(*http.Response) bool
}

// Response is a complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Timing says how a request was sent.
type Timing struct {
	Reused bool
	// Idle is how long a kept connection was idle.
	Idle time.Duration
	// Connect is the time to open a new connection.
	Connect time.Duration
	// SentAt is when the first byte was about to be written.
	SentAt time.Time
	// MismatchedResponses counts answers to other requests that were skipped.
	MismatchedResponses int
}

// Error is a request without an answer of its own.
type Error struct {
	// Sent is false only if no byte of the request left this process.
	Sent bool
	// Unreachable means that no connection could be opened.
	Unreachable bool
	Err         error
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Pool keeps connections by address. It is safe for concurrent use.
type Pool struct {
	cfg Config
	// OnOpen is called for each connection that was opened, if it is set.
	OnOpen func()

	mu    sync.Mutex
	hosts map[string]*host
}

// forgetMemory is how long a failure of a kept connection shortens the idle
// time. Days on which servers forget connections do so for some ten seconds.
const forgetMemory = 10 * time.Second

type host struct {
	idle []*conn // most recently used last
	open int
	// A kept connection was forgotten after it was idle for forgotIdle; until
	// forgotUntil only connections that were idle for half as long are used.
	forgotIdle  time.Duration
	forgotUntil time.Time
}

// New returns an empty pool.
func New(cfg Config) *Pool {
	return &Pool{cfg: cfg.withDefaults(), hosts: make(map[string]*host)}
}

// Do sends a request once. Each error is an *Error. When ctx ends, the
// connection is closed.
func (p *Pool) Do(ctx context.Context, r Request) (*Response, Timing, error) {
	var t Timing
	c, err := p.get(ctx, r, &t)
	if err != nil {
		return nil, t, err
	}
	stop := context.AfterFunc(ctx, c.abort)
	answer, reusable, err := c.exchange(r, &t)
	if !stop() {
		reusable = false
	}
	if err != nil && ctx.Err() == nil && c.forgotten(time.Now(), t) {
		p.noteForgotten(time.Now(), r.Addr, t.Idle)
	}
	if ctx.Err() != nil && err != nil {
		err = &Error{Sent: true, Err: errors.Wrap(context.Cause(ctx), "abandoned")}
	}
	p.put(r.Addr, c, reusable)
	return answer, t, err
}

// noteForgotten records that a server had forgotten a kept connection. It
// counts for this server alone: the connections to a server that crashed fail in
// the same way.
func (p *Pool) noteForgotten(now time.Time, addr string, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(addr)
	if now.After(h.forgotUntil) || idle < h.forgotIdle {
		h.forgotIdle = idle
	}
	h.forgotUntil = now.Add(forgetMemory)
}

func (p *Pool) host(addr string) *host {
	h := p.hosts[addr]
	if h == nil {
		h = &host{}
		p.hosts[addr] = h
	}
	return h
}

// get takes a kept connection that is fresh enough, or opens one.
func (p *Pool) get(ctx context.Context, r Request, t *Timing) (*conn, error) {
	maxIdle := func(c *conn) time.Duration {
		switch {
		case r.Idempotent:
			return p.cfg.IdempotentMaxIdle
		case c.connect <= nearConnect:
			return min(p.cfg.NonIdempotentMaxIdle, p.cfg.NonIdempotentMaxIdleNear)
		default:
			return p.cfg.NonIdempotentMaxIdle
		}
	}
	for {
		c, ok := p.takeIdle(r.Addr, maxIdle)
		if !ok {
			break
		}
		if c.quiet() {
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
		return nil, &Error{Unreachable: ctx.Err() == nil, Err: err}
	}
	t.Connect = time.Since(start)
	c.connect = t.Connect
	if p.OnOpen != nil {
		p.OnOpen()
	}
	return c, nil
}

// takeIdle returns the connection that was used last, unless it was idle for too
// long; then all were.
func (p *Pool) takeIdle(addr string, maxIdle func(*conn) time.Duration) (*conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(addr)
	now := time.Now()
	for len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		limit := maxIdle(c)
		if now.Before(h.forgotUntil) {
			limit = min(limit, h.forgotIdle/2)
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
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(addr)
	h.idle = append(h.idle, c)
}

// Sweep closes connections that were idle for too long and forgets addresses
// without connections. The owner calls it every second or so.
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
		if h.open == 0 && now.After(h.forgotUntil) {
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
		if err := limitSilence(tcp, p.cfg.TCPUserTimeout); err != nil {
			_ = nc.Close() // the first error is reported
			return nil, err
		}
	}
	return &conn{nc: nc, tcp: tcp, r: bufio.NewReaderSize(nc, readBuffer), expires: time.Now().Add(time.Hour)}, nil
}

// discard reads a body to its end, within bounds.
func discard(body io.Reader) error {
	_, err := io.Copy(io.Discard, io.LimitReader(body, MaxResponseBytes))
	return err
}

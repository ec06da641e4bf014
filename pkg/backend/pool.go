// Package backend calls backend servers over HTTP for entry instances.
//
// A Pool keeps one bounded set of warm connections per backend server and
// tells exactly two failures apart: the request certainly did not run
// (*NotRunError), or it may have run (*UnknownOutcomeError). No call is sent twice
// below the caller's eyes, neither at-most-once calls nor others: a hidden
// resend of an idempotent call would take a slot and a retry that nobody
// counted.
//
// httpc of go-zero is not used here. Its circuit breaker cannot be switched
// off for a named service: it counts every 5xx status, also a shed request, as
// a failure, and drops calls by its own rule, although admission, slots and the
// retry budget already decide that. Its unnamed form uses http.DefaultClient,
// which takes a proxy from the environment, follows redirects and resends.
// Package internal/sendonce holds the Transport that is used instead.
package backend

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/sendonce"
)

const (
	defaultMaxConnections   = 330
	defaultMaxResponseBytes = 4 << 20
)

// Config configures a Pool. The zero value uses the defaults.
type Config struct {
	// DialTimeout bounds the opening of a connection; 0 means 1 s.
	DialTimeout time.Duration
	// IdleTimeout closes connections that no call used for this long; 0 means
	// 30 s. It must be shorter than the idle timeout of the backend servers.
	IdleTimeout time.Duration
	// MaxConnections is the bound for a server whose calls name none; 0 means
	// 330.
	MaxConnections int
}

// Call is one request to one backend server.
type Call struct {
	Server         string // id of the backend server
	Addr           string // host:port
	MaxConnections int    // bound of this pool's connections to the server
	Method         string
	Path           string // with query, if any
	Header         http.Header
	Body           []byte
	// Timeout bounds the call, and is sent as Request-Timeout-Ms.
	Timeout time.Duration
	// AtMostOnce marks a call that must never run twice. No call is resent,
	// whatever its value; it is there for logs and traces.
	AtMostOnce bool
	// MaxResponseBytes bounds the body of the answer; 0 means 4 MiB.
	MaxResponseBytes int64
}

// Response is a complete response of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Pool holds the connections to backend servers. It is safe for concurrent
// use.
type Pool struct {
	cfg Config

	mu      sync.Mutex
	servers map[string]*server
}

type server struct {
	addr           string
	maxConnections int
	client         *sendonce.Client
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	if cfg.MaxConnections <= 0 {
		cfg.MaxConnections = defaultMaxConnections
	}
	return &Pool{cfg: cfg, servers: map[string]*server{}}
}

// Configure sets the address and the connection bound of a server before its
// first call, for example before Warm. A changed bound or address replaces the
// connections; those of calls in flight close after their answer.
func (p *Pool) Configure(id, addr string, maxConnections int) {
	p.clientFor(id, addr, maxConnections)
}

// clientFor returns the client of a server. A maxConnections of 0 keeps the
// bound that is known, so that Warm does not replace connections.
func (p *Pool) clientFor(id, addr string, maxConnections int) *server {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[id]
	if maxConnections <= 0 && s != nil {
		maxConnections = s.maxConnections
	}
	if maxConnections <= 0 {
		maxConnections = p.cfg.MaxConnections
	}
	if s != nil && s.addr == addr && s.maxConnections == maxConnections {
		return s
	}
	if s != nil {
		s.client.CloseIdle()
	}
	s = &server{addr: addr, maxConnections: maxConnections, client: sendonce.New(sendonce.Options{
		MaxConnections: maxConnections,
		DialTimeout:    p.cfg.DialTimeout,
		IdleTimeout:    p.cfg.IdleTimeout,
	})}
	p.servers[id] = s
	return s
}

// Remove closes the idle connections of a server that left the configuration.
func (p *Pool) Remove(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.servers[id]; s != nil {
		s.client.CloseIdle()
		delete(p.servers, id)
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		s.client.CloseIdle()
	}
}

// Warm opens connections until n are open at the same time or ctx ends. It
// sends n parallel health requests, and finishes none before all are
// answered, so that each takes a connection of its own. Call it before the
// server gets work: while it waits for connections that calls hold, it keeps
// the others from new calls. Connections close after the idle timeout, so
// that a server without traffic must be warmed again.
func (p *Pool) Warm(ctx context.Context, id, addr string, n int) error {
	s := p.clientFor(id, addr, 0)
	return warm(ctx, s, min(n, s.maxConnections))
}

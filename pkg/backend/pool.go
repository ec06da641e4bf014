// Package backend calls backend servers over HTTP for entry instances.
//
// A Pool keeps one bounded set of warm connections per backend server and
// distinguishes two kinds of failure: the request certainly did not run
// (*NotRunError), or it may have run (*UnknownOutcomeError). It never resends a
// call, idempotent or not: a resend that the caller does not see would use a slot
// and a retry that nobody counted.
//
// httpc of go-zero is not used here. Its circuit breaker cannot be switched
// off for a named service: it counts every 5xx status, also a shed request, as
// a failure, and rejects calls by its own rule, although admission, slots and the
// retry budget already decide that. Its unnamed form uses http.DefaultClient,
// which takes a proxy from the environment, follows redirects and resends.
// Package internal/sendonce provides the Transport that is used instead.
package backend

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/bytebudget"
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
	// MaxConnections applies to a server whose calls set no bound; 0 means 330.
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
	// AtMostOnce marks a call that must never run twice, for logs and traces. No
	// call is resent, whatever its value.
	AtMostOnce bool
	// MaxResponseBytes bounds the body of the response; 0 means 4 MiB.
	MaxResponseBytes int64
	// Budget, if set, limits the memory of the bodies of all responses. The caller
	// releases Response.Acquired when it no longer needs the body.
	Budget *bytebudget.Budget
}

// Response is a complete response of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Acquired is the number of bytes acquired from Call.Budget.
	Acquired int64
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
// connections; those of calls in flight close after their response.
func (p *Pool) Configure(id, addr string, maxConnections int) {
	p.serverFor(id, addr, maxConnections)
}

// serverFor returns the entry of a server. A maxConnections of 0 keeps the
// current bound, so that Warm does not replace connections.
func (p *Pool) serverFor(id, addr string, maxConnections int) *server {
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

// Remove drops a server that left the configuration and closes its idle
// connections.
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
// answered, so that each uses its own connection. Call it before the server
// gets requests: while Warm waits for connections that calls hold, it keeps
// its other connections from new calls. Connections close after the idle
// timeout, so a server without traffic must be warmed again.
func (p *Pool) Warm(ctx context.Context, id, addr string, n int) error {
	s := p.serverFor(id, addr, 0)
	return openConnections(ctx, s, min(n, s.maxConnections))
}

package peer

import (
	"context"
	"sync"

	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// sessionClass selects the session of a call. Heartbeats use a separate TCP
// connection: queued behind the body of a Forward on a shared connection, they
// would arrive late and the sender would appear silent.
type sessionClass int

const (
	controlClass sessionClass = iota
	bulkClass
	classCount
)

func classOf(req *wire.Request) sessionClass {
	switch req.GetCall().(type) {
	case *wire.Request_Heartbeat, *wire.Request_Leave, *wire.Request_StatusQuery, *wire.Request_ReplicaSync:
		return controlClass
	default:
		return bulkClass
	}
}

type sessionKey struct {
	addr  string
	class sessionClass
}

// Pool makes calls to peers and keeps two sessions per address, one for
// control calls and one for all others. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	closed   bool
	sessions map[sessionKey]*link
}

// NewPool returns a pool that opens sessions on demand.
func NewPool(cfg Config) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		cfg:      cfg.withDefaults(),
		ctx:      ctx,
		cancel:   cancel,
		sessions: make(map[sessionKey]*link),
	}
}

// Call sends a request to the peer at addr and returns its response. When ctx
// ends, it returns at once and the peer's handler is cancelled. A response with
// Error set is returned unchanged. It does not tell whether the request was
// handled: a response that cannot be encoded also becomes such a response. If the
// peer's server rejects the request, Call returns ErrNotSent.
func (p *Pool) Call(ctx context.Context, addr string, req *wire.Request) (*wire.Response, error) {
	// Copied, because the caller may send one request to many peers concurrently.
	out := &wire.Request{
		FromEntry:       p.cfg.Self,
		FromIncarnation: p.cfg.Incarnation,
		Call:            req.GetCall(),
	}
	frame, err := encodeFrame(out)
	if err != nil {
		return nil, newNotSentError(addr, err)
	}
	l, err := p.link(sessionKey{addr: addr, class: classOf(req)})
	if err != nil {
		return nil, newNotSentError(addr, err)
	}
	session, err := l.session(ctx)
	if err != nil {
		return nil, err
	}
	x := &exchange{addr: addr, session: session, frame: frame, maxStreams: p.cfg.MaxStreams}
	return x.run(ctx)
}

func (p *Pool) link(key sessionKey) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	l, ok := p.sessions[key]
	if !ok {
		l = newLink(p.ctx, p.cfg, key)
		p.sessions[key] = l
	}
	return l, nil
}

// CloseSessions closes the sessions to an address. A later call opens new ones.
func (p *Pool) CloseSessions(addr string) {
	for class := range classCount {
		p.mu.Lock()
		key := sessionKey{addr: addr, class: class}
		found := p.sessions[key]
		delete(p.sessions, key)
		p.mu.Unlock()
		if found != nil {
			found.close()
		}
	}
}

// Close closes all sessions. Calls in flight fail.
func (p *Pool) Close() {
	p.cancel()
	p.mu.Lock()
	p.closed = true
	open := p.sessions
	p.sessions = make(map[sessionKey]*link)
	p.mu.Unlock()
	for _, l := range open {
		l.close()
	}
}

package peer

import (
	"context"
	"sync"

	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// lane selects the session of a call. Heartbeats have a TCP connection of
// their own: behind the queued body of a Forward on the same connection they
// would arrive late, and the peer would appear silent.
type lane int

const (
	control lane = iota
	bulk
	lanes
)

func laneOf(req *wire.Request) lane {
	switch req.GetCall().(type) {
	case *wire.Request_Heartbeat, *wire.Request_Leave, *wire.Request_StatusQuery, *wire.Request_ReplicaSync:
		return control
	default:
		return bulk
	}
}

type sessionKey struct {
	addr string
	lane lane
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

// NewPool returns a pool without sessions; calls open them.
func NewPool(cfg Config) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		cfg:      cfg.withDefaults(),
		ctx:      ctx,
		cancel:   cancel,
		sessions: make(map[sessionKey]*link),
	}
}

// Call sends a request to the peer at addr and returns its response. It
// returns when ctx ends at the latest; the peer's handler is then cancelled.
// A response with Error set is returned as it is. It does not show whether
// the peer handled the request: a handled one whose response cannot be encoded
// ends this way too. Rejections by the peer's server return ErrNotSent.
func (p *Pool) Call(ctx context.Context, addr string, req *wire.Request) (*wire.Response, error) {
	// A copy, because one request may be sent to many peers concurrently.
	out := &wire.Request{
		FromEntry:       p.cfg.Self,
		FromIncarnation: p.cfg.Incarnation,
		Call:            req.GetCall(),
	}
	frame, err := encodeFrame(out)
	if err != nil {
		return nil, notSent(addr, err)
	}
	l, err := p.link(sessionKey{addr: addr, lane: laneOf(req)})
	if err != nil {
		return nil, notSent(addr, err)
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
	for l := range lanes {
		p.mu.Lock()
		key := sessionKey{addr: addr, lane: l}
		found := p.sessions[key]
		delete(p.sessions, key)
		p.mu.Unlock()
		if found != nil {
			found.close()
		}
	}
}

// Close ends all sessions. Calls in flight fail.
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

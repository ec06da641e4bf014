package link

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	dialTimeout      = 2 * time.Second
	acceptRetryDelay = 10 * time.Millisecond
)

// Report is one link in the response of GET /admin/links.
type Report struct {
	Name         string `json:"name"`
	Listen       string `json:"listen"`
	Target       string `json:"target"`
	Group        string `json:"group,omitempty"`
	Backward     bool   `json:"backward,omitempty"`
	State        State  `json:"state"`
	Connections  int    `json:"connections"`
	ForwardBytes int64  `json:"forward_bytes"`
	ReverseBytes int64  `json:"reverse_bytes"`
}

// link forwards connections from one listen address to a target.
type link struct {
	settings LinkSettings
	group    *group
	addr     string // resolved listen address

	mu         sync.Mutex
	state      State
	changed    chan struct{} // closed and replaced when the state changes
	listener   net.Listener  // nil while cut
	conns      map[*proxiedConn]struct{}
	byteCounts [2]int64
	closed     bool
}

func startLink(settings LinkSettings, g *group) (*link, error) {
	l := &link{
		settings: settings,
		group:    g,
		addr:     settings.Listen,
		state:    State{Delay: settings.Delay, Freeze: FreezeNone},
		changed:  make(chan struct{}),
		conns:    map[*proxiedConn]struct{}{},
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.listen(); err != nil {
		return nil, err
	}
	return l, nil
}

// listen opens the listener. The caller holds the lock.
func (l *link) listen() error {
	listener, err := net.Listen("tcp", l.addr)
	if err != nil {
		return errors.Wrapf(err, "link %s", l.settings.Name)
	}
	l.listener = listener
	l.addr = listener.Addr().String() // keeps the port after a cut
	go l.accept(listener)
	return nil
}

func (l *link) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		go l.connect(c.(*net.TCPConn))
	}
}

// connect dials the target for an accepted connection. If that fails, it resets
// the accepted one.
func (l *link) connect(client *net.TCPConn) {
	// The kernel completes the handshake with the client without delay, so the
	// round trip of the handshake delays the first bytes instead.
	time.Sleep(2 * l.currentState().Delay.Std())
	upstream, err := net.DialTimeout("tcp", l.target(), dialTimeout)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	p := &proxiedConn{link: l, client: client, upstream: upstream.(*net.TCPConn), done: make(chan struct{})}
	if !l.add(p) {
		p.reset()
		return
	}
	p.run()
	l.remove(p)
}

func (l *link) target() string {
	if moved := l.currentState().Target; moved != "" {
		return moved
	}
	return l.settings.Target
}

func (l *link) add(p *proxiedConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.state.Cut {
		return false
	}
	l.conns[p] = struct{}{}
	return true
}

func (l *link) remove(p *proxiedConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, p)
}

func (l *link) currentState() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// frozen reports whether a direction is frozen, and returns a channel that is
// closed at the next change of the state.
func (l *link) frozen(d direction) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.state.Freeze
	stopped := f == FreezeBoth || (d == forward && f == FreezeForward) || (d == reverse && f == FreezeReverse)
	return stopped, l.changed
}

// limitBytes counts n bytes against the close-after limit of a direction. It
// returns how many may be sent and whether the connection must be closed after
// them.
func (l *link) limitBytes(d direction, n int) (allowed int, last bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := &l.state.CloseAfterForward
	if d == reverse {
		left = &l.state.CloseAfterReverse
	}
	if *left == 0 {
		return n, false
	}
	if int64(n) < *left {
		*left -= int64(n)
		return n, false
	}
	allowed = int(*left)
	*left = 0
	return allowed, true
}

// count adds n to the bytes of a direction; n is negative for counted bytes that
// were not sent.
func (l *link) count(d direction, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byteCounts[d] += int64(n)
}

func (l *link) shaper(d direction) *shaper {
	if (d == forward) != l.settings.Backward {
		return &l.group.forward
	}
	return &l.group.reverse
}

// setState changes the state and applies it.
func (l *link) setState(change func(*State) error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.state
	if err := change(&next); err != nil {
		return err
	}
	if !next.valid() {
		return errors.New("link: unknown freeze direction, or a negative value")
	}
	if l.closed {
		return errors.New("link: closed")
	}
	before := l.state
	l.state = next
	close(l.changed)
	l.changed = make(chan struct{})
	return l.applyState(before)
}

// applyState updates the listener and the connections after a change of the
// state. The caller holds the lock.
func (l *link) applyState(before State) error {
	for p := range l.conns {
		gap := before.DropReverse && !l.state.DropReverse && p.droppedBytes.Load()
		if l.state.Cut || gap {
			p.reset()
		}
	}
	if l.state.Cut && l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	if !l.state.Cut && l.listener == nil {
		return l.listen()
	}
	return nil
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.listener != nil {
		_ = l.listener.Close()
	}
	for p := range l.conns {
		p.reset()
	}
}

func (l *link) report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Report{
		Name: l.settings.Name, Listen: l.addr, Target: l.settings.Target, Group: l.settings.Group, Backward: l.settings.Backward,
		State: l.state, Connections: len(l.conns),
		ForwardBytes: l.byteCounts[forward], ReverseBytes: l.byteCounts[reverse],
	}
}

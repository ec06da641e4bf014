package link

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	dialTimeout = 2 * time.Second
	acceptPause = 10 * time.Millisecond
)

// Report is a link in the answer of GET /admin/links.
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

// link is one proxied address.
type link struct {
	settings LinkSettings
	group    *group
	addr     string // resolved listen address

	mu       sync.Mutex
	state    State
	changed  chan struct{} // closed at each change of the state
	listener net.Listener  // nil while cut
	pairs    map[*pair]struct{}
	carried  [2]int64
	closed   bool
}

func startLink(settings LinkSettings, g *group) (*link, error) {
	l := &link{
		settings: settings,
		group:    g,
		addr:     settings.Listen,
		state:    State{Delay: settings.Delay, Freeze: FreezeNone},
		changed:  make(chan struct{}),
		pairs:    map[*pair]struct{}{},
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
	l.addr = listener.Addr().String() // a cut link returns to the same port
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
			time.Sleep(acceptPause)
			continue
		}
		go l.connect(c.(*net.TCPConn))
	}
}

// connect opens the far side. If the target refuses, the near side is reset.
func (l *link) connect(near *net.TCPConn) {
	// The kernel has accepted the connection at once. The first bytes wait for
	// the round trip that the handshake would take.
	time.Sleep(2 * l.current().Delay.Std())
	far, err := net.DialTimeout("tcp", l.target(), dialTimeout)
	if err != nil {
		_ = near.SetLinger(0)
		_ = near.Close()
		return
	}
	p := &pair{link: l, near: near, far: far.(*net.TCPConn), done: make(chan struct{})}
	if !l.add(p) {
		p.reset()
		return
	}
	p.run()
	l.remove(p)
}

func (l *link) target() string {
	if moved := l.current().Target; moved != "" {
		return moved
	}
	return l.settings.Target
}

func (l *link) add(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.state.Cut {
		return false
	}
	l.pairs[p] = struct{}{}
	return true
}

func (l *link) remove(p *pair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, p)
}

func (l *link) current() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// frozen reports whether a direction is frozen, with a channel that is closed
// at the next change.
func (l *link) frozen(d direction) (bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.state.Freeze
	stopped := f == FreezeBoth || (d == forward && f == FreezeForward) || (d == reverse && f == FreezeReverse)
	return stopped, l.changed
}

// take counts bytes against the close-after limit of a direction. It returns
// how many may pass and whether the connection must end after them.
func (l *link) take(d direction, n int) (allowed int, last bool) {
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

func (l *link) count(d direction, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.carried[d] += int64(n)
}

func (l *link) shaper(d direction) *shaper {
	if (d == forward) != l.settings.Backward {
		return &l.group.forward
	}
	return &l.group.reverse
}

// set applies a change of the state.
func (l *link) set(change func(*State) error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.state
	if err := change(&next); err != nil {
		return err
	}
	if !next.valid() {
		return errors.New("link: unknown kind of freeze, or a value out of range")
	}
	if l.closed {
		return errors.New("link: closed")
	}
	before := l.state
	l.state = next
	close(l.changed)
	l.changed = make(chan struct{})
	return l.follow(before)
}

// follow makes the listener and the connections agree with a new state. The
// caller holds the lock.
func (l *link) follow(before State) error {
	for p := range l.pairs {
		gap := before.DropReverse && !l.state.DropReverse && p.lostBytes.Load()
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
	for p := range l.pairs {
		p.reset()
	}
}

func (l *link) report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Report{
		Name: l.settings.Name, Listen: l.addr, Target: l.settings.Target, Group: l.settings.Group, Backward: l.settings.Backward,
		State: l.state, Connections: len(l.pairs),
		ForwardBytes: l.carried[forward], ReverseBytes: l.carried[reverse],
	}
}

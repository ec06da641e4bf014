package upstream

import (
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// smallRequest is the size up to which a server's window holds a whole request,
	// so that TCP_USER_TIMEOUT runs only while data is unacknowledged. Windows of
	// 64 KB are usual, those of small devices have 4 KB.
	smallRequest = 4 << 10
	// minProbes is the number of unanswered window probes from which a server counts
	// as silent. One shows nothing: Linux answers probes within 500 ms of each other
	// only once (net.ipv4.tcp_invalid_ratelimit), and the kernel sends the first ones
	// 200 and 400 ms apart.
	minProbes = 2
	// maxProbeInterval bounds the growing time between two window probes, on kernels
	// with TCP_RTO_MAX_MS (Linux 6.15). It is the least that these accept.
	maxProbeInterval = time.Second
	// watchInterval is the interval of the checks of a sendWatcher. It adds to the
	// time after which a silent server is found.
	watchInterval = 100 * time.Millisecond
)

// errSilent is the cause of an Error if a server acknowledged nothing for
// Config.TCPUserTimeout while a request was being sent.
var errSilent = errors.New("server does not acknowledge what is sent")

// sendWatcher ends connections whose server falls silent while it is sent a request
// that its window may not hold. TCP_USER_TIMEOUT cannot be used then: it also ends a
// connection whose peer acknowledges everything and keeps its window closed, as a
// server does that works on a request before it reads the rest of the body.
//
// TCP_USER_TIMEOUT is therefore off until the server has taken the whole request. One
// goroutine serves all connections of a pool and runs only while there are any.
type sendWatcher struct {
	limit time.Duration

	mu      sync.Mutex
	running bool
	checked time.Time
	conns   map[*conn]watchedSend
}

// watchedSend is the state of a request that is being sent, as of the last check.
type watchedSend struct {
	received received
	// heard is when the server last acknowledged something or owed nothing.
	heard time.Time
}

// received changes with each segment that arrives on a connection, or on kernels that
// do not count these, with each acknowledgement of data.
type received struct {
	segments     uint32
	acknowledged uint64
	unacked      uint32
}

// add watches a connection until the server has taken what c.sending covers, or until
// release.
func (w *sendWatcher) add(c *conn) {
	if c.tcp == nil || setUserTimeout(c.tcp, 0) != nil {
		return // TCP_USER_TIMEOUT stays in force
	}
	c.watched.Store(true)
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.conns == nil {
		w.conns = make(map[*conn]watchedSend)
	}
	w.conns[c] = watchedSend{heard: now}
	if !w.running {
		w.running = true
		w.checked = now
		go w.run()
	}
}

// release ends the watch and reports whether the connection may carry another request:
// a server that has responded early may still have to read the rest of the body, and
// with TCP_USER_TIMEOUT the next request would be lost.
func (w *sendWatcher) release(c *conn) bool {
	if !c.watched.Load() {
		return !c.silent.Load()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.conns, c)
	queued := sendQueue(c.tcp)
	return c.endWatch() == nil && queued == 0
}

func (w *sendWatcher) run() {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for range t.C {
		if !w.check(time.Now()) {
			return
		}
	}
}

// check ends the connections of silent servers and reports whether any connection is
// left to watch.
func (w *sendWatcher) check(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	// A pause of this machine is no silence of a server.
	paused := now.Sub(w.checked) > w.limit/2
	w.checked = now
	for c, last := range w.conns {
		state, err := c.sendState()
		if err != nil || state.taken {
			delete(w.conns, c)
			_ = c.endWatch() // fails on a closed connection
			continue
		}
		if !c.probesBounded {
			c.probesBounded = true
			_ = setTCPOption(c.tcp, unix.TCP_RTO_MAX_MS, int(maxProbeInterval.Milliseconds())) // without it, a silent server is found later
		}
		if paused || !state.owes || state.received != last.received {
			last.heard = now
		}
		last.received = state.received
		w.conns[c] = last
		if now.Sub(last.heard) >= w.limit {
			delete(w.conns, c)
			c.silent.Store(true)
			c.abort()
		}
	}
	w.running = len(w.conns) > 0
	return w.running
}

// sendState is the state of the request that is being sent on a connection.
type sendState struct {
	taken    bool // the server has acknowledged all of it
	owes     bool // there is something that the server should have acknowledged
	received received
}

func (c *conn) sendState() (sendState, error) {
	sending := c.sending.Load() // before the kernel's state: the writer may end in between
	info, err := tcpInfo(c.tcp)
	if err != nil {
		return sendState{}, err
	}
	return sendState{
		taken:    !sending && info.Unacked == 0 && info.Notsent_bytes == 0,
		owes:     info.Unacked > 0 || info.Probes >= minProbes,
		received: received{info.Segs_in, info.Bytes_acked, info.Unacked},
	}, nil
}

// endWatch puts TCP_USER_TIMEOUT back in force.
func (c *conn) endWatch() error {
	if !c.watched.Swap(false) {
		return nil
	}
	return setUserTimeout(c.tcp, c.userTimeout)
}

// setTCPOption sets an integer option of a connection.
func setTCPOption(c *net.TCPConn, option, value int) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "set TCP option")
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, option, value)
	})
	if err == nil {
		err = sockErr
	}
	if err != nil {
		return errors.Wrap(err, "set TCP option")
	}
	return nil
}

// sendQueue returns the number of bytes that the peer has not acknowledged, or 0 if the
// kernel does not report it.
func sendQueue(c *net.TCPConn) int {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	var bytes int
	_ = raw.Control(func(fd uintptr) { // fails on a closed connection
		bytes, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return bytes
}

// tcpInfo returns the kernel's state of a connection.
func tcpInfo(c *net.TCPConn) (*unix.TCPInfo, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, errors.Wrap(err, "read state of connection")
	}
	var info *unix.TCPInfo
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		info, sockErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err == nil {
		err = sockErr
	}
	if err != nil {
		return nil, errors.Wrap(err, "read state of connection")
	}
	return info, nil
}

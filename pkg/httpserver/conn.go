package httpserver

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"
)

// connListener returns connections of type *conn. It bounds how many are open: Accept
// waits until one is closed.
type connListener struct {
	net.Listener
	stallTimeout time.Duration
	idleTimeout  func() time.Duration
	headMemory   *HeadMemory // nil: no bound
	encrypted    bool
	refusal      []byte // sent if a head does not fit into headMemory

	slots  *semaphore.Weighted // nil: no bound
	open   context.Context     // ends with Close
	cancel context.CancelFunc
}

func newConnListener(l net.Listener, cfg Config) *connListener {
	out := &connListener{
		Listener: l, stallTimeout: cfg.StallTimeout, idleTimeout: cfg.IdleTimeout,
		headMemory: cfg.HeadMemory, encrypted: cfg.TLS != nil,
	}
	out.open, out.cancel = context.WithCancel(context.Background())
	if cfg.MaxConnections > 0 {
		out.slots = semaphore.NewWeighted(int64(cfg.MaxConnections))
	}
	return out
}

func (l *connListener) Accept() (net.Conn, error) {
	if l.slots != nil && l.slots.Acquire(l.open, 1) != nil {
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.release()
		return nil, err
	}
	out := &conn{
		Conn: c, stallTimeout: l.stallTimeout, idleTimeout: l.idleTimeout, release: sync.OnceFunc(l.release), opened: time.Now(),
		refusal: l.refusal, head: headReader{memory: l.headMemory, encrypted: l.encrypted},
	}
	if s, ok := c.(syscall.Conn); ok {
		out.raw, _ = s.SyscallConn() // fails only if the connection is closed
	}
	return out, nil
}

func (l *connListener) release() {
	if l.slots != nil {
		l.slots.Release(1)
	}
}

func (l *connListener) Close() error {
	l.cancel()
	return l.Listener.Close()
}

// conn is a connection of a client.
//
// It bounds how long the client may read nothing of its response.
// http.Server.WriteTimeout is unsuitable because it starts with the request, and
// would cut off the response of a handler that runs longer. A deadline for each
// response cannot be set through go-zero, which hides the connection.
//
// It also applies the idle timeout, which may change while the server runs, and can be
// made to end between two requests; see expire.
type conn struct {
	net.Conn
	raw          syscall.RawConn // nil if there is no socket
	stallTimeout time.Duration
	idleTimeout  func() time.Duration
	release      func() // frees the slot of the listener
	opened       time.Time
	refusal      []byte // sent if a head does not fit into the memory

	mu           sync.Mutex
	head         headReader
	serving      bool      // a head has been read, and its request is being served
	closed       bool      // Close has been called
	idle         bool      // between two requests
	used         bool      // a request has been served
	receivedAt   time.Time // first byte since the opening or the last write; zero: none
	readDeadline time.Time // that was set by SetReadDeadline
	expired      bool      // the read deadline has been moved to the past
}

// Read undoes expire if it returns bytes.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.reviveForInput() {
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	if c.receivedAt.IsZero() {
		c.receivedAt = time.Now()
	}
	c.unexpire()
	fits := c.serving || c.closed || c.head.read(p[:n])
	c.mu.Unlock()
	if !fits {
		return 0, c.refuseHead()
	}
	return n, err
}

// headHeld returns the bytes that are counted for the head of the current request.
func (c *conn) headHeld() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.held
}

// Write fails once the client has read nothing for the stall timeout. That a chunk was
// not written does not show it: the kernel takes new bytes only when a third of the
// send buffer, which may hold megabytes, is free.
func (c *conn) Write(p []byte) (int, error) {
	// The bytes of the next request may arrive before the last call of Write for a
	// response has returned.
	c.mu.Lock()
	c.receivedAt = time.Time{}
	c.mu.Unlock()
	written := 0
	var blocked blockedWrite
	for {
		chunk := p[written:min(len(p), written+stallChunkBytes)]
		if err := c.SetWriteDeadline(time.Now().Add(c.stallTimeout / stallChecks)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(chunk)
		written += n
		switch {
		case err == nil && written == len(p):
			return written, nil
		case err == nil:
			blocked = blockedWrite{}
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return written, err
		case blocked.tooLong(time.Now(), n, c.sendQueue(), c.stallTimeout):
			return written, err
		}
	}
}

// SetReadDeadline takes effect at once unless the connection is expired. The idle timeout
// bounds a deadline that is set while no byte of the next request has arrived.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle && c.receivedAt.IsZero() {
		if idleUntil := time.Now().Add(c.idleTimeout()); t.IsZero() || t.After(idleUntil) {
			t = idleUntil
		}
	}
	c.readDeadline = t
	if c.expired {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets both deadlines.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// expire makes reading fail, so that net/http closes the connection. It must only be
// called while no request is being served. Only the goroutine that reads closes the
// connection, and a read returns either bytes or the failure: a request of which the last
// byte is read at the same time is served.
//
// It has no effect if unread bytes wait in the socket, nor, until patience has passed,
// on a connection whose first request, or the rest of whose next one, may be on its way.
// It reports whether reading will fail.
func (c *conn) expire(now time.Time, patience time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.receivedAt
	if since.IsZero() && !c.used {
		since = c.opened
	}
	if !c.expired && (since.IsZero() || now.Sub(since) >= patience) && !c.hasInput() {
		c.expired = c.Conn.SetReadDeadline(now) == nil // it fails if the connection is closed
	}
	return c.expired
}

// setIdle records whether the connection is between two requests. It undoes expire when
// a request begins to be served.
func (c *conn) setIdle(idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.serving = idle, !idle
	if idle {
		c.used = true
		c.head.reset()
	} else {
		c.unexpire()
	}
}

func (c *conn) unexpire() {
	if c.expired {
		c.expired = false
		_ = c.Conn.SetReadDeadline(c.readDeadline) // fails if the connection is closed, as reading does then
	}
}

// reviveForInput makes reading possible again on a connection between two requests whose
// deadline has passed, if bytes have arrived since. It reports whether it did. Much time
// may pass from the deadline until the reading goroutine runs, if there are many
// connections and little processor time; a request that arrives meanwhile would be
// dropped unread.
func (c *conn) reviveForInput() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.expired && !c.idle || !c.hasInput() {
		return false
	}
	if c.expired {
		c.unexpire()
		return true
	}
	return c.Conn.SetReadDeadline(time.Now().Add(requestPatience)) == nil // it fails if the connection is closed
}

// Close closes the connection and frees its slot.
func (c *conn) Close() error {
	defer c.release()
	c.mu.Lock()
	c.closed = true
	c.head.reset()
	c.mu.Unlock()
	return c.Conn.Close()
}

// hasInput reports whether bytes have arrived that were not read.
func (c *conn) hasInput() bool {
	if c.raw == nil {
		return false
	}
	n := 0
	// Not raw.Read, which waits for a reader that is blocked.
	err := c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT) // fails if there are none
	})
	return err == nil && n > 0
}

type connKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	inner, ok := unwrap(c)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, connKey{}, inner)
}

// InterruptRead makes reading the body of a request fail, which has this context. The
// handler can still respond; the connection should not be used again.
func InterruptRead(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		_ = c.SetReadDeadline(time.Now()) // fails if the connection is closed, as reading does then
	}
}

// unwrap returns the connection below TLS.
func unwrap(c net.Conn) (*conn, bool) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	out, ok := c.(*conn)
	return out, ok
}

// isHTTP2 reports whether HTTP/2 was negotiated. The handshake must have ended.
func isHTTP2(c net.Conn) bool {
	t, ok := c.(*tls.Conn)
	return ok && t.ConnectionState().NegotiatedProtocol == "h2"
}

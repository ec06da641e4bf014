package httpserver

import (
	"crypto/tls"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// connListener returns connections of type *conn.
type connListener struct {
	net.Listener
	sockets      *socketListener // below Listener
	stallTimeout time.Duration
}

func (l connListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, socket: l.sockets.accepted, stallTimeout: l.stallTimeout, opened: time.Now()}, nil
}

// conn is a connection of a client.
//
// It bounds how long the client may read nothing of its response.
// http.Server.WriteTimeout is unsuitable because it starts with the request, and
// would cut off the response of a handler that runs longer. A deadline for each
// response cannot be set through go-zero, which hides the connection.
//
// It can also be made to end between two requests; see expire.
type conn struct {
	net.Conn
	socket       net.Conn // below Conn
	stallTimeout time.Duration
	opened       time.Time

	mu           sync.Mutex
	used         bool      // a response has been written
	receivedAt   time.Time // first byte since the opening or the last response; zero: none
	readDeadline time.Time // that was set by SetReadDeadline
	expired      bool      // the read deadline has been moved to the past
}

// Read undoes expire if there are bytes: they arrived before.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receivedAt.IsZero() {
		c.receivedAt = time.Now()
	}
	c.unexpire()
	return n, err
}

// Write fails once the client has read nothing for the stall timeout. That a chunk was
// not written does not show it: the kernel takes new bytes only when a third of the
// send buffer, which may hold megabytes, is free.
func (c *conn) Write(p []byte) (int, error) {
	// The bytes of the next request may arrive before the last call of Write for a
	// response has returned.
	c.mu.Lock()
	c.used, c.receivedAt = true, time.Time{}
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
		case blocked.tooLong(time.Now(), n, sendQueue(c.socket), c.stallTimeout):
			return written, err
		}
	}
}

// SetReadDeadline takes effect at once unless the connection is expired.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
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
// called while no request is being served. A request of which the last byte has been
// read, or is read at the same time, is served nevertheless: reading either returns
// bytes or fails, and only the reader closes the connection.
//
// It has no effect on a connection whose first request, or the rest of whose next
// one, may be on its way: these get the time until patience has passed.
func (c *conn) expire(now time.Time, patience time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.receivedAt
	if since.IsZero() && !c.used {
		since = c.opened
	}
	if !c.expired && (since.IsZero() || now.Sub(since) >= patience) {
		c.expired = c.Conn.SetReadDeadline(now) == nil // it fails if the connection is closed
	}
}

// activate undoes expire when a request begins to be served.
func (c *conn) activate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unexpire()
}

func (c *conn) unexpire() {
	if c.expired {
		c.expired = false
		_ = c.Conn.SetReadDeadline(c.readDeadline) // fails if the connection is closed, as reading does then
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

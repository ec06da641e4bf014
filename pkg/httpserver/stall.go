package httpserver

import (
	"net"
	"time"
)

// stallPart is how much of an answer a client has to take within the stall
// timeout. It is small, so that a slow client gets its answer.
const stallPart = 64 << 10

// stallListener bounds how long a client may take nothing of its answer.
// http.Server.WriteTimeout does not serve: it begins with the request, and
// would cut the answer of a handler that works longer. A deadline for each
// answer cannot be set through go-zero, which hides the connection.
type stallListener struct {
	net.Listener
	timeout time.Duration
}

func (l stallListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stallConn{Conn: c, timeout: l.timeout}, nil
}

type stallConn struct {
	net.Conn
	timeout time.Duration
}

// Write gives each part a deadline of its own.
func (c *stallConn) Write(p []byte) (int, error) {
	written := 0
	for {
		part := p[written:min(len(p), written+stallPart)]
		if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

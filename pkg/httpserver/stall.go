package httpserver

import (
	"net"
	"time"
)

// stallChunkBytes is the amount of a response that a client must read within the
// stall timeout. It is small, so that slow clients receive their response.
const stallChunkBytes = 64 << 10

// stallListener bounds how long a client may read nothing of its response.
// http.Server.WriteTimeout is unsuitable because it starts with the request, and
// would cut off the response of a handler that runs longer. A deadline for each
// response cannot be set through go-zero, which hides the connection.
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

// Write sets a new deadline for each chunk.
func (c *stallConn) Write(p []byte) (int, error) {
	written := 0
	for {
		chunk := p[written:min(len(p), written+stallChunkBytes)]
		if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(chunk)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

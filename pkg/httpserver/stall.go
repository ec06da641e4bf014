package httpserver

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// stallChunkBytes is the amount of a response that is written at a time.
	stallChunkBytes = 64 << 10
	// stallChecks is how often within the stall timeout a blocked write looks whether
	// the client has read something. The timeout is exceeded by one such interval.
	stallChecks = 16
)

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

// Write fails once the client has read nothing for the timeout. That a chunk was not
// written does not show it: the kernel takes new bytes only when a third of the send
// buffer, which may hold megabytes, is free.
func (c *stallConn) Write(p []byte) (int, error) {
	written := 0
	var blocked blockedWrite
	for {
		chunk := p[written:min(len(p), written+stallChunkBytes)]
		if err := c.SetWriteDeadline(time.Now().Add(c.timeout / stallChecks)); err != nil {
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
		case blocked.tooLong(time.Now(), n, sendQueue(c.Conn), c.timeout):
			return written, err
		}
	}
}

// blockedWrite is the progress of a chunk that cannot be written.
type blockedWrite struct {
	since  time.Time // of the last progress; zero before the first check
	queued int
}

// tooLong records the bytes just written and those in the send queue, and reports
// whether neither has shown progress for the timeout.
func (b *blockedWrite) tooLong(now time.Time, written, queued int, timeout time.Duration) bool {
	if b.since.IsZero() || written > 0 || queued < b.queued {
		b.since = now
	}
	b.queued = queued
	return now.Sub(b.since) >= timeout
}

// sendQueue returns the number of bytes that the client has not acknowledged, or 0 if
// it is unknown.
func sendQueue(c net.Conn) int {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	var bytes int
	_ = raw.Control(func(fd uintptr) { // fails on a closed connection
		bytes, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return bytes
}

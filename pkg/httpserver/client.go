package httpserver

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

type clientSocketKey struct{}

// withClientSocket adds the socket of a connection to the context of its requests,
// for ClientClosed.
func withClientSocket(ctx context.Context, c net.Conn) context.Context {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapper.NetConn()
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return ctx
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return ctx
	}
	return context.WithValue(ctx, clientSocketKey{}, raw)
}

// NetConn returns the connection below.
func (c *stallConn) NetConn() net.Conn { return c.Conn }

// ClientClosed reports whether the client has closed its side of the connection on
// which the request with this context arrived, or the connection has ended. It makes
// one system call. It returns false for connections that Config.MaxConnections
// counts, whose socket is not accessible.
//
// The context itself ends later or not at all: net/http reads ahead in a goroutine of
// its own, only once the body has been read, and no further than the first byte of a
// next request. A close that arrives with its request, for example while both wait in
// the accept queue, is therefore seen only after the handler has begun to work.
func ClientClosed(ctx context.Context) bool {
	raw, ok := ctx.Value(clientSocketKey{}).(syscall.RawConn)
	if !ok {
		return false
	}
	closed := false
	// Not raw.Read, which waits for the read of net/http.
	err := raw.Control(func(fd uintptr) {
		// The state of the socket is polled rather than its input, because bytes
		// of a next request may precede the close.
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(state, 0)
		closed = err == nil && n > 0
	})
	return closed || err != nil
}

package httpserver

import (
	"context"

	"golang.org/x/sys/unix"
)

// ClientClosed reports whether the client has closed its side of the connection on
// which the request with this context arrived, or the connection has ended. It makes
// one system call.
//
// The context itself ends later or not at all: net/http reads ahead in a goroutine of
// its own, only once the body has been read, and no further than the first byte of a
// next request. A close that arrives with its request, for example while both wait in
// the accept queue, is therefore seen only after the handler has begun to work.
func ClientClosed(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c.raw == nil {
		return false
	}
	closed := false
	// Not raw.Read, which waits for the read of net/http.
	err := c.raw.Control(func(fd uintptr) {
		// The state of the socket is polled rather than its input, because bytes
		// of a next request may precede the close.
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(state, 0)
		closed = err == nil && n > 0
	})
	return closed || err != nil
}

package sendonce

import (
	"net"
	"sync"

	"github.com/go-faster/errors"
)

var errSealed = errors.New("sendonce: request was abandoned before it was written")

// conn counts write calls, so that a failed request can be told apart from
// one of which bytes may have left the process.
type conn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts the attempt before it starts: a failed write may still have
// sent some bytes.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// mark returns the number of writes so far.
func (c *conn) mark() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal refuses further writes and reports whether there was one since mark.
// The Transport writes in its own goroutine, which may still be about to
// write when a cancelled request returns.
func (c *conn) seal(mark uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes != mark
}

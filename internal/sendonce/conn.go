package sendonce

import (
	"net"
	"sync"

	"github.com/go-faster/errors"
)

var errWritesBlocked = errors.New("sendonce: request was abandoned before it was written")

// countingConn counts write calls, to tell a request that was never written
// from one that may have been written in part.
type countingConn struct {
	net.Conn

	mu            sync.Mutex
	writes        uint64
	writesBlocked bool
}

// Write counts the call before it writes, because a failed write may have sent
// some bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, errWritesBlocked
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// writeCount returns the number of write calls so far.
func (c *countingConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// blockWrites makes further writes fail and reports whether there was a write
// since writeCount returned countBefore. The Transport writes in its own
// goroutine, which may not have written yet when a cancelled request returns.
func (c *countingConn) blockWrites(countBefore uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return c.writes != countBefore
}

package sendonce

import (
	"net"
	"sync"

	"github.com/go-faster/errors"
)

var errWritesBlocked = errors.New("sendonce: request was abandoned before it was written")

// countingConn counts write calls, to tell a request that was never written
// from one that may have been written in part, and the lines of the heads of responses.
type countingConn struct {
	net.Conn

	mu            sync.Mutex
	writes        uint64
	writesBlocked bool
	head          headCounter
}

// Read fails once the head of a response has too many lines.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if failure := c.head.count(p[:n]); failure != nil {
		return 0, failure
	}
	return n, err
}

// beginResponse says that the next bytes to arrive begin the response to a request
// that is about to be written.
func (c *countingConn) beginResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.begin()
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

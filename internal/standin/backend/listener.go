package backend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener closes connections over its limit at once, as a server at
// its limit does, and counts the open ones.
type limitedListener struct {
	net.Listener
	limit int64 // 0: none
	// openDelay is the time that a new connection takes before its first
	// request is read.
	openDelay time.Duration
	open      atomic.Int64
	maxOpen   atomic.Int64
	refused   atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		n := l.open.Add(1)
		if l.limit > 0 && n > l.limit {
			l.open.Add(-1)
			l.refused.Add(1)
			_ = c.Close()
			continue
		}
		if n > l.maxOpen.Load() { // Accept is called by one goroutine
			l.maxOpen.Store(n)
		}
		return &countedConn{Conn: c, listener: l}, nil
	}
}

type countedConn struct {
	net.Conn
	listener *limitedListener
	once     sync.Once
	first    sync.Once
}

// Read delays the first bytes of the connection.
func (c *countedConn) Read(p []byte) (int, error) {
	c.first.Do(func() { time.Sleep(c.listener.openDelay) })
	return c.Conn.Read(p)
}

// Close counts the connection as closed once.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

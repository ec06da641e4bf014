package backend

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener limits the open connections and counts them. Like a server at
// its limit, it closes further connections immediately.
type limitedListener struct {
	net.Listener
	limit int64 // 0: no limit
	// openDelay delays the first read of a new connection.
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
		if n > l.maxOpen.Load() { // only one goroutine calls Accept
			l.maxOpen.Store(n)
		}
		return &countedConn{Conn: c, listener: l}, nil
	}
}

type countedConn struct {
	net.Conn
	listener  *limitedListener
	closeOnce sync.Once
	firstRead sync.Once
}

// Read delays the first read of the connection by openDelay.
func (c *countedConn) Read(p []byte) (int, error) {
	c.firstRead.Do(func() { time.Sleep(c.listener.openDelay) })
	return c.Conn.Read(p)
}

// Close closes the connection and counts it as closed once.
func (c *countedConn) Close() error {
	c.closeOnce.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

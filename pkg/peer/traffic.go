package peer

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
)

// Traffic counts what this process sends to peers on the sessions of a Pool and a
// Server that share it. Received bytes are not counted, because the peer counts
// them as sent.
type Traffic struct {
	control, bulk, accepted trafficCounters
}

// TrafficCounts holds the bytes and yamux frames sent on sessions of one class.
// Each frame has a header of 12 bytes.
type TrafficCounts struct {
	Bytes        int64 `json:"bytes"` // including frame headers, excluding TCP, IP and TLS
	DataFrames   int64 `json:"data_frames"`
	WindowFrames int64 `json:"window_frames"` // includes opening, closing and resetting streams
	PingFrames   int64 `json:"ping_frames"`   // includes replies to pings
}

type trafficCounters struct {
	bytes, data, windows, pings atomic.Int64
}

func (l *trafficCounters) snapshot() TrafficCounts {
	return TrafficCounts{Bytes: l.bytes.Load(), DataFrames: l.data.Load(), WindowFrames: l.windows.Load(), PingFrames: l.pings.Load()}
}

// Snapshot returns the counters by class of session: this process dialed the
// "control" and "bulk" sessions, peers dialed the "accepted" ones.
func (t *Traffic) Snapshot() map[string]TrafficCounts {
	return map[string]TrafficCounts{
		"control":  t.control.snapshot(),
		"bulk":     t.bulk.snapshot(),
		"accepted": t.accepted.snapshot(),
	}
}

func (t *Traffic) counters(class sessionClass) *trafficCounters {
	if class == controlClass {
		return &t.control
	}
	return &t.bulk
}

// Layout of a yamux frame header: version (1 byte), type (1), flags (2), stream ID
// (4), length (4), all big endian.
const (
	frameHeaderSize   = 12
	frameTypeOffset   = 1
	frameFlagsOffset  = 2
	frameStreamOffset = 4
	frameLengthOffset = 8

	frameData         = 0
	frameWindowUpdate = 1
	framePing         = 2
	frameGoAway       = 3

	flagSYN = 1
)

// maxCoalescedBody is the size of the largest body, in bytes, that is copied to be
// written together with its header.
const maxCoalescedBody = 4 << 10

// frameConn counts the frames that yamux writes and sends each small frame in one
// write. yamux writes the header and the body of a frame separately, from one
// goroutine, and each write costs a system call and a TCP segment.
type frameConn struct {
	net.Conn
	counters      *trafficCounters
	bodyRemaining int    // body bytes of the current frame that are not yet written
	coalesced     []byte // header of a small frame whose body is not yet written
	goAway        goAwayTracker
	receivedBytes atomic.Int64
}

// goAwayTracker records the streams that were opened after the peer's GoAway
// arrived. yamux opens no stream after a GoAway, but one may arrive between its
// check and the opening of the stream.
type goAwayTracker struct {
	header        []byte // of the current frame, may be incomplete
	bodyRemaining int    // body bytes of the current frame that are not yet read
	received      atomic.Bool

	mu          sync.Mutex
	lateStreams map[uint32]bool
}

// observeReceived parses received bytes to find a GoAway frame.
func (g *goAwayTracker) observeReceived(p []byte) {
	for len(p) > 0 {
		if g.bodyRemaining > 0 {
			n := min(g.bodyRemaining, len(p))
			g.bodyRemaining -= n
			p = p[n:]
			continue
		}
		n := min(frameHeaderSize-len(g.header), len(p))
		g.header = append(g.header, p[:n]...)
		p = p[n:]
		if len(g.header) < frameHeaderSize {
			return
		}
		switch g.header[frameTypeOffset] {
		case frameData:
			g.bodyRemaining = int(binary.BigEndian.Uint32(g.header[frameLengthOffset:]))
		case frameGoAway:
			g.received.Store(true)
		}
		g.header = g.header[:0]
	}
}

// observeSentHeader records the stream if the header opens one after a GoAway.
func (g *goAwayTracker) observeSentHeader(header []byte) {
	if !g.received.Load() || binary.BigEndian.Uint16(header[frameFlagsOffset:])&flagSYN == 0 || header[frameTypeOffset] == framePing {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lateStreams == nil {
		g.lateStreams = map[uint32]bool{}
	}
	g.lateStreams[binary.BigEndian.Uint32(header[frameStreamOffset:])] = true
}

// openedAfterGoAway reports whether a stream was opened after the peer's GoAway
// arrived. The peer does not handle requests on such a stream.
func (g *goAwayTracker) openedAfterGoAway(stream uint32) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lateStreams[stream]
}

func (c *frameConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.receivedBytes.Add(int64(n))
	c.goAway.observeReceived(p[:n])
	return n, err
}

func (c *frameConn) Write(p []byte) (int, error) {
	switch {
	case len(c.coalesced) > 0:
		return c.writeCoalesced(p)
	case c.bodyRemaining > 0:
		c.bodyRemaining -= len(p)
	case len(p) == frameHeaderSize:
		c.goAway.observeSentHeader(p)
		c.countHeader(p)
		if c.bodyRemaining > 0 && c.bodyRemaining <= maxCoalescedBody {
			c.coalesced = append(c.coalesced, p...)
			return len(p), nil
		}
	}
	return c.send(p)
}

// writeCoalesced sends the header with body, which is complete, because yamux
// writes a body in one call.
func (c *frameConn) writeCoalesced(body []byte) (int, error) {
	c.coalesced = append(c.coalesced, body...)
	n, err := c.send(c.coalesced)
	c.coalesced = c.coalesced[:0]
	c.bodyRemaining -= len(body)
	return max(n-frameHeaderSize, 0), err
}

func (c *frameConn) send(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.bytes.Add(int64(n))
	return n, err
}

func (c *frameConn) countHeader(header []byte) {
	switch header[frameTypeOffset] {
	case frameData:
		c.bodyRemaining = int(binary.BigEndian.Uint32(header[frameLengthOffset:]))
		if c.bodyRemaining == 0 {
			c.counters.windows.Add(1)
			return
		}
		c.counters.data.Add(1)
	case frameWindowUpdate:
		c.counters.windows.Add(1)
	case framePing:
		c.counters.pings.Add(1)
	}
}

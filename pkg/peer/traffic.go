package peer

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
)

// Traffic counts what this process sent to peers on the sessions of a Pool and
// a Server that share it. What one process sends another one receives, so sent
// bytes are enough to account for both directions.
type Traffic struct {
	control, bulk, accepted laneTraffic
}

// TrafficCounts counts the yamux frames sent on sessions of one kind. Each frame
// has a header of 12 bytes.
type TrafficCounts struct {
	Bytes        int64 `json:"bytes"` // with headers, without TCP, IP and TLS
	DataFrames   int64 `json:"data_frames"`
	WindowFrames int64 `json:"window_frames"` // also opens, ends and resets of streams
	PingFrames   int64 `json:"ping_frames"`   // also answers to pings
}

type laneTraffic struct {
	bytes, data, windows, pings atomic.Int64
}

func (l *laneTraffic) snapshot() TrafficCounts {
	return TrafficCounts{Bytes: l.bytes.Load(), DataFrames: l.data.Load(), WindowFrames: l.windows.Load(), PingFrames: l.pings.Load()}
}

// Snapshot returns the counters by kind of session: "control" and "bulk" are
// dialed by this process, "accepted" were dialed by peers.
func (t *Traffic) Snapshot() map[string]TrafficCounts {
	return map[string]TrafficCounts{
		"control":  t.control.snapshot(),
		"bulk":     t.bulk.snapshot(),
		"accepted": t.accepted.snapshot(),
	}
}

func (t *Traffic) lane(l lane) *laneTraffic {
	if l == control {
		return &t.control
	}
	return &t.bulk
}

// Layout of a yamux frame header: version, type, flags (2 bytes), stream
// (4 bytes), length (4 bytes, big endian).
const (
	frameHeaderSize   = 12
	frameTypeOffset   = 1
	frameFlagsOffset  = 2
	frameStreamOffset = 4
	frameLengthOffset = 8

	frameData   = 0
	frameWindow = 1
	framePing   = 2
	frameGoAway = 3

	flagOpen = 1
)

// joinLimit is the largest body that is copied behind its header.
const joinLimit = 4 << 10

// frameConn counts the frames that yamux writes and sends a small frame in one
// write. yamux writes the header of a frame and its body one after the other,
// from one goroutine, and each write is a system call and a TCP segment.
type frameConn struct {
	net.Conn
	count  *laneTraffic
	body   int    // bytes of the current frame that are not written yet
	joined []byte // header that waits for its body
	peer   peerEnd
}

// peerEnd knows which streams were opened after the peer has announced its end.
// yamux looks for the announcement before it opens a stream, but the
// announcement may arrive in between.
type peerEnd struct {
	header []byte // of the frame that is being read
	skip   int    // bytes of its body that are still to come
	away   atomic.Bool

	mu   sync.Mutex
	late map[uint32]bool
}

// read follows the frames that the peer sends.
func (e *peerEnd) read(p []byte) {
	for len(p) > 0 {
		if e.skip > 0 {
			n := min(e.skip, len(p))
			e.skip -= n
			p = p[n:]
			continue
		}
		n := min(frameHeaderSize-len(e.header), len(p))
		e.header = append(e.header, p[:n]...)
		p = p[n:]
		if len(e.header) < frameHeaderSize {
			return
		}
		switch e.header[frameTypeOffset] {
		case frameData:
			e.skip = int(binary.BigEndian.Uint32(e.header[frameLengthOffset:]))
		case frameGoAway:
			e.away.Store(true)
		}
		e.header = e.header[:0]
	}
}

// write takes in the header of a frame that is about to be sent.
func (e *peerEnd) write(header []byte) {
	if !e.away.Load() || binary.BigEndian.Uint16(header[frameFlagsOffset:])&flagOpen == 0 || header[frameTypeOffset] == framePing {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.late == nil {
		e.late = map[uint32]bool{}
	}
	e.late[binary.BigEndian.Uint32(header[frameStreamOffset:])] = true
}

// openedLate reports whether a stream was opened after the announcement. The
// peer handles no request that comes on it.
func (e *peerEnd) openedLate(stream uint32) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.late[stream]
}

func (c *frameConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.peer.read(p[:n])
	return n, err
}

func (c *frameConn) Write(p []byte) (int, error) {
	switch {
	case len(c.joined) > 0:
		return c.writeJoined(p)
	case c.body > 0:
		c.body -= len(p)
	case len(p) == frameHeaderSize:
		c.peer.write(p)
		c.countHeader(p)
		if c.body > 0 && c.body <= joinLimit {
			c.joined = append(c.joined, p...)
			return len(p), nil
		}
	}
	return c.send(p)
}

// writeJoined is given the whole body, because yamux writes it at once.
func (c *frameConn) writeJoined(body []byte) (int, error) {
	c.joined = append(c.joined, body...)
	n, err := c.send(c.joined)
	c.joined = c.joined[:0]
	c.body -= len(body)
	return max(n-frameHeaderSize, 0), err
}

func (c *frameConn) send(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.bytes.Add(int64(n))
	return n, err
}

func (c *frameConn) countHeader(header []byte) {
	switch header[frameTypeOffset] {
	case frameData:
		c.body = int(binary.BigEndian.Uint32(header[frameLengthOffset:]))
		if c.body == 0 {
			c.count.windows.Add(1)
			return
		}
		c.count.data.Add(1)
	case frameWindow:
		c.count.windows.Add(1)
	case framePing:
		c.count.pings.Add(1)
	}
}

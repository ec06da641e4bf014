package httpserver

import (
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stallChunkBytes is the amount of a response that is written at a time.
	stallChunkBytes = 64 << 10
	// stallChecks is how often within the stall timeout a blocked write looks whether
	// the client has read something. The timeout is exceeded by one such interval.
	stallChecks = 16
)

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
func (c *conn) sendQueue() int {
	if c.raw == nil {
		return 0
	}
	var bytes int
	_ = c.raw.Control(func(fd uintptr) { // fails on a closed connection
		bytes, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	return bytes
}

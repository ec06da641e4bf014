package link

import (
	"sync"
	"time"
)

// queueBytes limits the queued bytes per direction of a connection. It exceeds
// the bandwidth-delay product of 1 Gbit/s and 100 ms, so that the delay does not
// limit the throughput.
const queueBytes = 16 << 20

// chunk is a part of a stream and the time when it is due at the receiver.
type chunk struct {
	data []byte
	due  time.Time
	end  streamEnd
}

// streamEnd is how a stream ended after a chunk.
type streamEnd int

const (
	endNone  streamEnd = iota
	endEOF             // the sender closed its side of the connection
	endReset           // reading failed with another error
)

// queue holds the chunks in transit between readChunks, which pushes them, and
// writeChunks, which pops them.
type queue struct {
	mu     sync.Mutex
	cond   *sync.Cond
	chunks []chunk
	bytes  int
	closed bool
}

func newQueue() *queue {
	q := &queue{}
	q.cond = sync.NewCond(&q.mu)
	return q
}

// push waits for free space. It returns false when the queue is closed.
func (q *queue) push(c chunk) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.bytes >= queueBytes && !q.closed {
		q.cond.Wait()
	}
	if q.closed {
		return false
	}
	q.chunks = append(q.chunks, c)
	q.bytes += len(c.data)
	q.cond.Broadcast()
	return true
}

// pop waits for a chunk. It returns false when the queue is closed.
func (q *queue) pop() (chunk, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.chunks) == 0 && !q.closed {
		q.cond.Wait()
	}
	if q.closed {
		return chunk{}, false
	}
	c := q.chunks[0]
	q.chunks = q.chunks[1:]
	q.bytes -= len(c.data)
	q.cond.Broadcast()
	return c, true
}

// close discards the queued chunks and wakes the waiting goroutines.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.cond.Broadcast()
}

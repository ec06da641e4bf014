package link

import (
	"sync"
	"time"
)

// queueBytes bounds what one direction of a connection holds. It is above
// 1 Gbit/s times 100 ms, so that the delay does not limit the throughput.
const queueBytes = 16 << 20

// chunk is a piece of a stream and the time when it arrives at the far end.
type chunk struct {
	data []byte
	due  time.Time
	end  ending
}

// ending tells how a stream ended with a chunk.
type ending int

const (
	endNone  ending = iota
	endClean        // the sender closed its side
	endReset        // the connection broke
)

// queue holds the chunks that are on their way. A reader of the near end
// pushes, a writer to the far end pops.
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

// push waits for room and returns false when the queue is closed.
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

// pop waits for a chunk and returns false when the queue is closed.
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

// close drops what is queued and wakes both sides.
func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.cond.Broadcast()
}

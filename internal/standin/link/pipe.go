package link

import (
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/tcpstate"
)

const (
	readBufferBytes = 32 << 10
	// maxShaperLead is how far a reader may exceed the capacity before it
	// pauses, so that a saturated link applies backpressure to the sender.
	maxShaperLead = 50 * time.Millisecond
)

// direction is the direction of a byte stream.
type direction int

const (
	forward direction = iota // from the listener to the target
	reverse
)

// kernelSleepSpan is how long before its end a wait switches to preciseSleep. It
// is longer than the error of a Go timer, and short because it blocks a thread.
const kernelSleepSpan = 2 * time.Millisecond

// proxiedConn is one proxied connection.
type proxiedConn struct {
	link             *link
	client, upstream *net.TCPConn
	done             chan struct{}
	closeOnce        sync.Once
	droppedBytes     atomic.Bool // reverse bytes were dropped, so the stream has a gap
	// writeEnded reports for each direction that its writer has ended the stream.
	writeEnded [2]atomic.Bool
}

// reset closes both connections immediately with a TCP reset.
func (p *proxiedConn) reset() {
	p.closeOnce.Do(func() {
		close(p.done)
		for _, c := range []*net.TCPConn{p.client, p.upstream} {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	})
}

// run relays both directions until both have ended.
func (p *proxiedConn) run() {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.relay(forward, p.client, p.upstream) }()
	go func() { defer wg.Done(); p.relay(reverse, p.upstream, p.client) }()
	wg.Wait()
	p.closeOnce.Do(func() {
		close(p.done)
		_ = p.client.Close()
		_ = p.upstream.Close()
	})
}

// relay copies the bytes of one direction from src to dst.
func (p *proxiedConn) relay(d direction, src, dst *net.TCPConn) {
	q := newQueue()
	stop := make(chan struct{})
	go func() {
		select {
		case <-p.done:
		case <-stop:
		}
		q.close()
	}()
	read := make(chan struct{})
	go func() {
		defer close(read)
		p.readChunks(d, src, q)
	}()
	p.writeChunks(d, dst, q)
	close(stop)
	<-read
}

// readChunks reads src and queues each chunk with the time when it is due.
func (p *proxiedConn) readChunks(d direction, src *net.TCPConn, q *queue) {
	var last time.Time
	buf := make([]byte, readBufferBytes)
	for {
		n, err := src.Read(buf)
		now := time.Now()
		passed := p.link.shaper(d).reserve(n, now)
		due := passed.Add(p.link.currentState().Delay.Std())
		// Bytes must stay in order when the delay is reduced.
		if due.Before(last) {
			due = last
		}
		last = due
		c := chunk{data: slices.Clone(buf[:n]), due: due, end: p.streamEndOf(d, src, err)}
		if !q.push(c) || c.end != endNone {
			return
		}
		if ahead := passed.Sub(now) - maxShaperLead; ahead > 0 && !p.sleep(ahead) {
			return
		}
	}
}

// streamEndOf returns how reading src ended. After a reset whose error the goroutine
// that writes to src has got, reading returns io.EOF too.
func (p *proxiedConn) streamEndOf(d direction, src *net.TCPConn, err error) streamEnd {
	if err == nil {
		return endNone
	}
	if !errors.Is(err, io.EOF) {
		return endReset
	}
	failed, err := tcpstate.Failed(src)
	// After the end of both directions a connection looks failed. Then nothing is
	// written to src, and reading it gets its errors.
	if p.writeEnded[1-d].Load() || !failed && err == nil {
		return endEOF
	}
	return endReset
}

// closeWrite ends the stream to dst.
func (p *proxiedConn) closeWrite(d direction, dst *net.TCPConn) {
	p.writeEnded[d].Store(true)
	_ = dst.CloseWrite()
}

// writeChunks writes each queued chunk to dst when it is due.
func (p *proxiedConn) writeChunks(d direction, dst *net.TCPConn, q *queue) {
	for {
		c, ok := q.pop()
		if !ok || !p.sleepUntil(c.due) || !p.waitUnfrozen(d) {
			return
		}
		written := p.write(d, dst, c.data)
		if written && c.end != endNone && d == reverse && p.droppedBytes.Load() {
			// The end of the stream cannot arrive after dropped bytes.
			<-p.done
			return
		}
		if !written || c.end == endReset {
			p.reset()
			return
		}
		if c.end == endEOF {
			p.closeWrite(d, dst)
			return
		}
	}
}

// write writes data to dst, subject to the faults of the link. It returns false
// when the connection must be reset.
func (p *proxiedConn) write(d direction, dst *net.TCPConn, data []byte) bool {
	if len(data) == 0 {
		return true
	}
	if d == reverse && p.link.currentState().DropReverse {
		p.droppedBytes.Store(true)
		return true
	}
	if p.droppedBytes.Load() && d == reverse {
		return false
	}
	allowed, last := p.link.limitBytes(d, len(data))
	// Bytes are counted before the write, because the peer may respond to them
	// before the write returns.
	p.link.count(d, allowed)
	n, err := dst.Write(data[:allowed])
	p.link.count(d, n-allowed)
	if last {
		p.closeGracefully(d, dst)
	}
	return err == nil && !last
}

// closeGracefully sends FIN and waits, so that the receiver gets all bytes; an
// immediate reset could discard them.
func (p *proxiedConn) closeGracefully(d direction, dst *net.TCPConn) {
	p.closeWrite(d, dst)
	p.sleep(closeGrace)
}

// closeGrace is the time that the receiver has to read the last bytes before
// the connection is reset.
const closeGrace = 20 * time.Millisecond

// waitUnfrozen waits while the direction is frozen. It returns false when the
// connection is closed.
func (p *proxiedConn) waitUnfrozen(d direction) bool {
	for {
		frozen, changed := p.link.frozen(d)
		if !frozen {
			return true
		}
		select {
		case <-changed:
		case <-p.done:
			return false
		}
	}
}

// sleepUntil waits until due, with a resolution well below 1 ms. It returns
// false when the connection is closed.
func (p *proxiedConn) sleepUntil(due time.Time) bool {
	if !p.sleep(time.Until(due) - kernelSleepSpan) {
		return false
	}
	// A signal interrupts the sleep. Without the loop, a link with a delay of
	// 55 ms delivered bytes up to 2 ms early.
	for left := time.Until(due); left > 0; left = time.Until(due) {
		preciseSleep(left)
	}
	return true
}

func (p *proxiedConn) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.done:
		return false
	}
}

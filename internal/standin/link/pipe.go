package link

import (
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	readBytes = 32 << 10
	// shaperHorizon is how far ahead of the capacity a reader may run before
	// it stops reading, so that a full link pushes back on the sender.
	shaperHorizon = 50 * time.Millisecond
)

// direction of a pipe.
type direction int

const (
	forward direction = iota // from the listener to the target
	reverse
)

// preciseSpan is the end of a wait that is slept in the kernel. It is longer
// than the error of a Go timer, and short, because it blocks a thread.
const preciseSpan = 2 * time.Millisecond

// pair is one proxied connection.
type pair struct {
	link      *link
	near, far *net.TCPConn
	done      chan struct{}
	once      sync.Once
	lostBytes atomic.Bool // dropped bytes: the stream has a gap
}

// reset breaks both connections at once.
func (p *pair) reset() {
	p.once.Do(func() {
		close(p.done)
		for _, c := range []*net.TCPConn{p.near, p.far} {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	})
}

// run carries both directions until both have ended.
func (p *pair) run() {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.carry(forward, p.near, p.far) }()
	go func() { defer wg.Done(); p.carry(reverse, p.far, p.near) }()
	wg.Wait()
	p.once.Do(func() {
		close(p.done)
		_ = p.near.Close()
		_ = p.far.Close()
	})
}

// carry moves the bytes of one direction.
func (p *pair) carry(d direction, src, dst *net.TCPConn) {
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
		p.fill(d, src, q)
	}()
	p.deliver(d, dst, q)
	close(stop)
	<-read
}

// fill reads the near end and stamps each chunk with its arrival time.
func (p *pair) fill(d direction, src *net.TCPConn, q *queue) {
	var last time.Time
	buf := make([]byte, readBytes)
	for {
		n, err := src.Read(buf)
		now := time.Now()
		passed := p.link.shaper(d).reserve(n, now)
		due := passed.Add(p.link.current().Delay.Std())
		// A delay that was lowered must not let bytes overtake others.
		if due.Before(last) {
			due = last
		}
		last = due
		c := chunk{data: slices.Clone(buf[:n]), due: due, end: endingOf(err)}
		if !q.push(c) || c.end != endNone {
			return
		}
		if ahead := passed.Sub(now) - shaperHorizon; ahead > 0 && !p.sleep(ahead) {
			return
		}
	}
}

func endingOf(err error) ending {
	switch {
	case err == nil:
		return endNone
	case errors.Is(err, io.EOF):
		return endClean
	default:
		return endReset
	}
}

// deliver writes chunks to the far end when they are due.
func (p *pair) deliver(d direction, dst *net.TCPConn, q *queue) {
	for {
		c, ok := q.pop()
		if !ok || !p.sleepUntil(c.due) || !p.waitThaw(d) {
			return
		}
		whole := p.write(d, dst, c.data)
		if whole && c.end != endNone && d == reverse && p.lostBytes.Load() {
			// After lost bytes no end of the stream can arrive either.
			<-p.done
			return
		}
		if !whole || c.end == endReset {
			p.reset()
			return
		}
		if c.end == endClean {
			_ = dst.CloseWrite()
			return
		}
	}
}

// write returns false when the connection must break.
func (p *pair) write(d direction, dst *net.TCPConn, data []byte) bool {
	if len(data) == 0 {
		return true
	}
	if d == reverse && p.link.current().DropReverse {
		p.lostBytes.Store(true)
		return true
	}
	if p.lostBytes.Load() && d == reverse {
		return false
	}
	allowed, last := p.link.take(d, len(data))
	n, err := dst.Write(data[:allowed])
	p.link.count(d, n)
	if last {
		p.closeAfter(dst)
	}
	return err == nil && !last
}

// closeAfter ends the stream in order, so that the far end gets the bytes
// before the end; a reset could overtake them.
func (p *pair) closeAfter(dst *net.TCPConn) {
	_ = dst.CloseWrite()
	p.sleep(closeGrace)
}

// closeGrace is the time for the far end to read the last bytes before the
// connection is reset.
const closeGrace = 20 * time.Millisecond

// waitThaw waits while the direction is frozen.
func (p *pair) waitThaw(d direction) bool {
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

// sleepUntil waits for a time with a resolution well below 1 ms.
func (p *pair) sleepUntil(due time.Time) bool {
	if !p.sleep(time.Until(due) - preciseSpan) {
		return false
	}
	// Repeated, since a signal ends the sleep early: without the loop, bytes
	// left a link of 55 ms up to 2 ms before their time.
	for left := time.Until(due); left > 0; left = time.Until(due) {
		preciseSleep(left)
	}
	return true
}

func (p *pair) sleep(d time.Duration) bool {
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

package link

import (
	"sync"
	"time"
)

// shaper limits the rate of one direction of a group. Chunks are sent one at a
// time in the order of their reservations.
type shaper struct {
	mu            sync.Mutex
	bitsPerSecond int64
	busyUntil     time.Time
}

// reserve reserves capacity for n bytes and returns when they have been sent.
func (s *shaper) reserve(n int, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.bitsPerSecond <= 0 {
		return now
	}
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	nanos := float64(n) * 8 * float64(time.Second) / float64(s.bitsPerSecond)
	s.busyUntil = s.busyUntil.Add(time.Duration(nanos))
	return s.busyUntil
}

func (s *shaper) set(bitsPerSecond int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bitsPerSecond = bitsPerSecond
}

// group is a capacity that links share, per direction.
type group struct {
	forward shaper
	reverse shaper
}

func (g *group) set(bitsPerSecond int64) {
	g.forward.set(bitsPerSecond)
	g.reverse.set(bitsPerSecond)
}

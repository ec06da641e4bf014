package link

import (
	"sync"
	"time"
)

// shaper is the capacity of one direction of a group. Chunks pass one after
// the other at the given rate, in the order of their reservations.
type shaper struct {
	mu            sync.Mutex
	bitsPerSecond int64
	busyUntil     time.Time
}

// reserve returns when a chunk of n bytes has passed.
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

// group is the capacity that links share, each way.
type group struct {
	forward shaper
	reverse shaper
}

func (g *group) set(bitsPerSecond int64) {
	g.forward.set(bitsPerSecond)
	g.reverse.set(bitsPerSecond)
}

package membership

import "time"

// Fence decides whether this process may still use the share of its seat. A
// process that was replaced while it was paused does not know it when it
// resumes, and its successor uses the share.
//
// The platform's instance list is no evidence: it lags without a known bound
// and names no incarnation, so it looks the same with and without a successor.
type Fence struct {
	self    uint64
	newest  uint64 // highest incarnation known at this seat
	waiting bool
	since   time.Time // questions asked before it do not count
}

// NewFence returns the seat of a process that has just started.
func NewFence(self uint64) *Fence { return &Fence{self: self, newest: self} }

// ObserveIncarnation takes the newest incarnation of this seat that a peer knows, at any
// time; 0 says nothing.
func (s *Fence) ObserveIncarnation(newest uint64) { s.newest = max(s.newest, newest) }

// HandlePause takes a pause that was noticed at now. safe is the earliest time after
// its start at which a successor uses the share; after a shorter pause there
// cannot be a successor that does.
func (s *Fence) HandlePause(now time.Time, pause, safe time.Duration) {
	if pause < safe {
		return
	}
	s.waiting = true
	s.since = now
}

// HandleConfirmation takes the answer of a peer to a question asked at a time. Only the
// answer to a question that was asked after the pause can end the wait: an
// older one may have been on its way since before the successor started.
func (s *Fence) HandleConfirmation(asked time.Time, newest uint64) {
	s.ObserveIncarnation(newest)
	if newest == s.self && s.newest == s.self && asked.After(s.since) {
		s.waiting = false
	}
}

// Fenced reports whether a confirmation by a peer is needed before work may
// be admitted.
func (s *Fence) Fenced() bool { return s.waiting || s.Replaced() }

// Replaced reports whether a newer process is known at this seat. It stays so.
func (s *Fence) Replaced() bool { return s.newest > s.self }

// NewestIncarnation returns the highest incarnation known at this seat.
func (s *Fence) NewestIncarnation() uint64 { return s.newest }

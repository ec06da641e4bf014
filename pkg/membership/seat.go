package membership

import "time"

// Fence decides whether this process may still admit requests for its entry
// instance. A process that was replaced while it was paused does not know this
// when it resumes, and its successor already uses the same slots.
//
// The platform's instance list cannot show a replacement: it lags without a
// known bound and does not name the incarnation.
type Fence struct {
	self              uint64
	newest            uint64 // highest known incarnation of this entry instance
	needsConfirmation bool
	pauseEnd          time.Time // answers to earlier queries do not count
}

// NewFence returns the fence of a process with the incarnation self that has
// just started.
func NewFence(self uint64) *Fence { return &Fence{self: self, newest: self} }

// ObserveIncarnation records the newest incarnation of this entry instance that
// a peer knows; 0 means that it knows none.
func (f *Fence) ObserveIncarnation(newest uint64) { f.newest = max(f.newest, newest) }

// HandlePause processes a pause of this process that was detected at now.
// minTakeover is the shortest time from the start of a pause until a successor
// could use the slots; a shorter pause is ignored.
func (f *Fence) HandlePause(now time.Time, pause, minTakeover time.Duration) {
	if pause < minTakeover {
		return
	}
	f.needsConfirmation = true
	f.pauseEnd = now
}

// HandleConfirmation processes a peer's answer to the query for the newest
// incarnation that was sent at the given time. Only a query sent after the
// pause can lift the fence: an earlier one may have been answered before the
// successor started.
func (f *Fence) HandleConfirmation(sentAt time.Time, newest uint64) {
	f.ObserveIncarnation(newest)
	if newest == f.self && f.newest == f.self && sentAt.After(f.pauseEnd) {
		f.needsConfirmation = false
	}
}

// Fenced reports whether no requests may be admitted, because this process was
// replaced or a peer has yet to confirm that it was not.
func (f *Fence) Fenced() bool { return f.needsConfirmation || f.Replaced() }

// Replaced reports whether a newer incarnation of this entry instance is known.
// Once true, it stays true.
func (f *Fence) Replaced() bool { return f.newest > f.self }

// NewestIncarnation returns the highest known incarnation of this entry instance.
func (f *Fence) NewestIncarnation() uint64 { return f.newest }

// Package shift limits how much traffic of a contract service may change its
// serving region from one window to the next. It is pure: times are
// arguments, and one goroutine at a time may use a Limiter.
//
// # Windows and counts
//
// A window W is divided into 10 sub-windows that start at multiples of W/10
// since the Unix epoch. Window j is made of the sub-windows j to j+9; the
// previous window is j-10 to j-1. Each window that starts at a sub-window is
// compared with its previous one, so consecutive windows overlap by nine
// tenths. Seats agree on the start of windows as far as their clocks agree. A request counts in the sub-window in which Reserve was called. It
// counts as remote if its region is not its home region.
//
// # Bound
//
// Let c be the allowance of this seat per window: the contract's cap C divided
// by the number of configured seats n. In each window j, both hold:
//
//  1. The increases of the remote counts over all pairs (home, region), added
//     up, are at most the integer allowance of the window. Moving work from
//     one remote region to another is therefore an increase too.
//  2. The returns over all homes, added up, are at most that allowance. The
//     return of a home is the smaller of the fall in its remote count, less the
//     requests of that home that were refused in the window, and the rise in
//     its home-served count, and at least 0. A fall in demand does not raise
//     the home-served count, so it is no return; neither is growth that is
//     served at home while the remote count stays. Requests that the remote
//     region had no room for and that were refused have not returned either:
//     without this, a full remote region kept its former requests from being
//     served anywhere although the home region was free again.
//
// Reservations that are not committed yet count against the seat on either
// side of a comparison: as traffic in the current window and as no traffic in
// the previous one. Growth of demand that is served remotely is an increase
// like any other.
//
// The increases of the seats add up to at most C, whatever the seats know of
// each other, because the remote count of a pair is the sum of the counts of
// the seats. Returns are bounded for each incarnation: when a seat dies, its
// remote traffic ends with it, which counts as a fall in the demand of that
// seat, and callers that move to another seat are new demand there.
//
// # Fractions
//
// Counts are integers, so a seat with allowance c may use floor(c) in each
// window. If c is below 1, E = floor(n*c) seats have one request each, in turn.
// Turns are assigned to the starts of windows in epochs of 20 sub-windows, so
// in every window exactly E seats have a turn and the sum over seats never
// exceeds C. A seat without Config.Instances gets no turn. With C below 1 no
// request may shift at all.
//
// A seat with c of 1 or more gets no turn: an increase of floor(c)+1 in one
// window could not return in a later one without a turn, and until then every
// request of that home was refused (seen in the demo).
//
// # Start and changes
//
// An incarnation makes no increase before one whole window after its start has
// passed, because its predecessor may have used the allowance. A raised cap
// counts for windows that start 3 s or more after the change, when every seat
// has lowered its own; a lowered cap counts at once. A changed window length
// starts the count again, as for a new incarnation.
package shift

import (
	"math"
	"time"
)

// SubWindows is the number of sub-windows of a window.
const SubWindows = 10

const (
	// ring covers the current and the previous window of every comparison.
	ring = 2 * SubWindows
	// spread is the time within which all seats have seen a changed cap.
	spread = 3 * time.Second
	// turnEpoch is the length of a turn in sub-windows. It is longer than a
	// window because a request lies in 10 windows and all must have the turn.
	turnEpoch = 2 * SubWindows
)

// Key names a service of a contract.
type Key struct{ Customer, Service string }

// Config holds the fixed parameters of a Limiter.
type Config struct {
	// Start is when this incarnation started.
	Start time.Time
	// NoPredecessor states that no earlier incarnation shifted traffic within
	// the last window.
	NoPredecessor bool
	// Index is the index of this seat in the sorted list of configured seats,
	// and Instances their number. They assign fractions of a request; 0 seats
	// leave fractions unused.
	Index, Instances int
}

// Limiter bounds the shifts of one seat.
type Limiter struct {
	cfg  Config
	keys map[Key]*counter
	now  time.Time
}

// NewLimiter returns a Limiter that knows no cap. Without a cap a service must
// not be served outside its home region.
func NewLimiter(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, keys: make(map[Key]*counter), now: cfg.Start}
}

// Reservation is one counted request. Commit or Cancel ends it.
type Reservation struct {
	counter *counter
	pair    pair
	bucket  int64
	done    bool
	// Remote says whether the request is served outside its home region.
	Remote bool
}

// SetInstances changes the place of this seat when the list of seats has changed.
// Until every seat has seen the change, turns for fractions may overlap by one
// request per seat.
func (l *Limiter) SetInstances(seat, seats int) { l.cfg.Index, l.cfg.Instances = seat, seats }

// SetCap sets the allowance of this seat per window: the cap of the contract
// divided by the number of configured seats.
func (l *Limiter) SetCap(key Key, perWindow float64, window time.Duration) {
	c := l.keys[key]
	if c != nil && c.window == window {
		c.setCap(perWindow, l.now)
		return
	}
	sub := window / SubWindows
	if sub <= 0 {
		delete(l.keys, key)
		return
	}
	start := l.cfg.Start
	if c != nil && l.now.After(start) {
		start = l.now
	}
	fresh := &counter{window: window, sub: sub, cap: perWindow, pairs: make(map[pair]*counts), refused: make(map[string]*counts)}
	fresh.first = fresh.bucketOf(start) + SubWindows
	if c == nil && l.cfg.NoPredecessor {
		fresh.first = math.MinInt64
	}
	fresh.current = fresh.bucketOf(start)
	l.keys[key] = fresh
}

// advance moves the clock, never backwards.
func (l *Limiter) advance(now time.Time) {
	if now.After(l.now) {
		l.now = now
	}
}

// Reserve counts a request that is about to be sent to a region, or reports
// that it would exceed the bound. Requests served in their home region must be
// reserved too (region equal to home), since returns are judged by them.
func (l *Limiter) Reserve(now time.Time, key Key, home, region string) (Reservation, bool) {
	l.advance(now)
	c := l.keys[key]
	if c == nil {
		return Reservation{Remote: home != region}, home == region
	}
	c.advance(l.now)
	p := pair{home, region}
	if !c.allows(p, l.cfg) {
		return Reservation{}, false
	}
	c.at(p).pending[slot(c.current)]++
	return Reservation{counter: c, pair: p, bucket: c.current, Remote: home != region}, true
}

// ReturnBlocked reports whether serving a request at home would exceed the
// bound on returns, and names the region that has served most of this home's
// requests in the last window. It counts nothing.
func (l *Limiter) ReturnBlocked(now time.Time, key Key, home string) (region string, ok bool) {
	l.advance(now)
	c := l.keys[key]
	if c == nil {
		return "", false
	}
	c.advance(l.now)
	if c.allows(pair{home, home}, l.cfg) {
		return "", false
	}
	return c.busiest(home), true
}

// RecordRefused counts a request that was served nowhere.
func (l *Limiter) RecordRefused(now time.Time, key Key, home string) {
	l.advance(now)
	c := l.keys[key]
	if c == nil {
		return
	}
	c.advance(l.now)
	n := c.refused[home]
	if n == nil {
		n = new(counts)
		c.refused[home] = n
	}
	n.committed[slot(c.current)]++
}

// Commit confirms that the request was accepted in the region.
func (r *Reservation) Commit() { r.end(true) }

// Cancel takes the request out of the count, because the region certainly did
// not run it. A request whose outcome is unknown is committed.
func (r *Reservation) Cancel() { r.end(false) }

func (r *Reservation) end(committed bool) {
	c := r.counter
	if r.done || c == nil {
		return
	}
	r.done = true
	if r.bucket <= c.current-ring {
		return // its sub-window has left the ring
	}
	n := c.at(r.pair)
	n.pending[slot(r.bucket)]--
	if committed {
		n.committed[slot(r.bucket)]++
	}
}

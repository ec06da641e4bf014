// Package shift limits how much traffic of a contract service may change its
// serving region from one window to the next. It reads no clock: times are
// arguments. A Limiter is not safe for concurrent use.
//
// # Windows and counts
//
// A window W is divided into 10 sub-windows that start at multiples of W/10
// since the Unix epoch. Window j is made of the sub-windows j to j+9; the
// previous window is j-10 to j-1. Each window that starts at a sub-window is
// compared with its previous one, so consecutive windows overlap by nine
// tenths. Entry instances agree on the start of windows as far as their clocks
// agree. A request counts in the sub-window in which Reserve was called. It
// counts as remote if its region is not its home region.
//
// # Bound
//
// Let c be the allowance of this entry instance per window: the contract's cap
// C divided by the number n of configured entry instances. In each window j,
// both hold:
//
//  1. The increases of the remote counts over all pairs (home, region), added
//     up, are at most the integer allowance of the window. Moving traffic from
//     one remote region to another is therefore an increase too.
//  2. The returns over all homes, added up, are at most that allowance. The
//     return of a home is the smaller of the fall in its remote count, less the
//     requests of that home that were refused in the window, and the rise in
//     its home-served count, and at least 0. A fall in demand does not raise
//     the home-served count, so it is no return; neither is growth that is
//     served at home while the remote count stays the same. Requests that were
//     refused because the remote region was full have not returned either. If
//     they counted as returns, they would be refused everywhere even when the
//     home region has free slots again.
//
// Reservations that are not committed yet are counted in the way that is worse
// for the bound: for an increase, as traffic of the current window and as none
// of the previous one. Growth of demand that is served remotely is an increase
// like any other.
//
// The increases of all entry instances add up to at most C without any
// communication, because the remote count of a pair is the sum of their counts.
// Returns are bounded for each incarnation: when an entry instance dies, its
// remote traffic ends with it, which counts as a fall in its demand, and callers
// that move to another instance are new demand there.
//
// # Fractions
//
// Counts are integers, so an entry instance with allowance c may use floor(c) in
// each window. If c is below 1, E = floor(n*c) instances may use one request
// each, in rotation. The rotation advances every 20 sub-windows, by the start of
// the window, so in every window exactly E instances have a turn and their sum
// never exceeds C. An instance without Config.Instances gets no turn. With C
// below 1 no request may shift at all.
//
// With c of 1 or more there are no turns: an increase of floor(c)+1 in one
// window could not return in a later window without a turn, and until the next
// turn every request of that home would be refused.
//
// # Start and changes
//
// An incarnation makes no increase before one whole window after its start has
// passed, because its predecessor may have used the allowance. A raised cap
// applies to windows that start 3 s or more after the change, when every entry
// instance has applied it; a lowered cap applies at once. A changed window
// length resets the counts, as for a new incarnation.
package shift

import (
	"math"
	"time"
)

// SubWindows is the number of sub-windows of a window.
const SubWindows = 10

const (
	// ringSize is the number of sub-windows kept: the current and the previous
	// window of every comparison.
	ringSize = 2 * SubWindows
	// capPropagation is the time within which all entry instances have applied
	// a changed cap.
	capPropagation = 3 * time.Second
	// rotationPeriod is the length of a turn in sub-windows. It is longer than a
	// window because a request belongs to 10 windows, which all need the turn.
	rotationPeriod = 2 * SubWindows
)

// Key identifies a service of a contract.
type Key struct{ Customer, Service string }

// Config holds the fixed parameters of a Limiter.
type Config struct {
	// Start is when this incarnation started.
	Start time.Time
	// NoPredecessor states that no earlier incarnation shifted traffic within
	// the last window.
	NoPredecessor bool
	// Index is the position of this entry instance in the sorted list of
	// configured entry instances, and Instances their number. They determine
	// the turns for fractions of a request; without Instances, fractions stay
	// unused.
	Index, Instances int
}

// Limiter bounds the traffic shifts of one entry instance.
type Limiter struct {
	cfg  Config
	keys map[Key]*counter
	now  time.Time
}

// NewLimiter returns a Limiter without caps. A service without a cap must not be
// served outside its home region.
func NewLimiter(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, keys: make(map[Key]*counter), now: cfg.Start}
}

// Reservation is one counted request. It ends with Commit or Cancel.
type Reservation struct {
	counter   *counter
	pair      pair
	subWindow int64
	done      bool
	// Remote says whether the request is served outside its home region.
	Remote bool
}

// SetInstances sets Config.Index and Config.Instances when the list of entry
// instances has changed. Until every instance has seen the change, turns for
// fractions may overlap by one request per instance.
func (l *Limiter) SetInstances(index, instances int) { l.cfg.Index, l.cfg.Instances = index, instances }

// SetCap sets the allowance of this entry instance per window: the cap of the
// contract divided by the number of configured entry instances.
func (l *Limiter) SetCap(key Key, perWindow float64, window time.Duration) {
	c := l.keys[key]
	if c != nil && c.window == window {
		c.setCap(perWindow, l.now)
		return
	}
	subWindow := window / SubWindows
	if subWindow <= 0 {
		delete(l.keys, key)
		return
	}
	start := l.cfg.Start
	if c != nil && l.now.After(start) {
		start = l.now
	}
	fresh := &counter{window: window, subWindow: subWindow, cap: perWindow, pairs: make(map[pair]*counts), refused: make(map[string]*counts)}
	fresh.firstIncrease = fresh.subWindowOf(start) + SubWindows
	if c == nil && l.cfg.NoPredecessor {
		fresh.firstIncrease = math.MinInt64
	}
	fresh.current = fresh.subWindowOf(start)
	l.keys[key] = fresh
}

// advance sets the current time, which never goes back.
func (l *Limiter) advance(now time.Time) {
	if now.After(l.now) {
		l.now = now
	}
}

// Reserve counts a request that is about to be sent to a region, or reports
// false if it would exceed the bound. Requests served in their home region must
// be reserved too (region equal to home), since returns are computed from them.
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
	c.countsOf(p).pending[ringIndex(c.current)]++
	return Reservation{counter: c, pair: p, subWindow: c.current, Remote: home != region}, true
}

// ReturnBlocked reports whether serving a request at home would exceed the
// bound on returns, and returns the remote region that has served most requests
// of this home in the last and the current window. It counts nothing.
func (l *Limiter) ReturnBlocked(now time.Time, key Key, home string) (region string, blocked bool) {
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

// RecordRefused counts a request that no region served.
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
	n.committed[ringIndex(c.current)]++
}

// Commit confirms that the request was accepted in the region.
func (r *Reservation) Commit() { r.end(true) }

// Cancel removes the request from the count. It is only for requests that the
// region certainly did not run; one with an unknown outcome must be committed.
func (r *Reservation) Cancel() { r.end(false) }

func (r *Reservation) end(committed bool) {
	c := r.counter
	if r.done || c == nil {
		return
	}
	r.done = true
	if r.subWindow <= c.current-ringSize {
		return // its sub-window has left the ring
	}
	n := c.countsOf(r.pair)
	n.pending[ringIndex(r.subWindow)]--
	if committed {
		n.committed[ringIndex(r.subWindow)]++
	}
}

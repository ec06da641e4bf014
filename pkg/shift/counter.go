package shift

import (
	"math"
	"time"
)

type pair struct{ home, region string }

func (p pair) remote() bool { return p.home != p.region }

// counts holds the requests of a pair by sub-window.
type counts struct {
	committed, pending [ring]int
}

// counter holds the counts of one service.
type counter struct {
	window, sub time.Duration
	cap         float64
	lowCap      float64 // cap of windows that start before raiseAt
	raiseAt     int64
	first       int64 // first sub-window in which an increase is allowed
	current     int64
	pairs       map[pair]*counts
	refused     map[string]*counts // by home; served nowhere
}

func slot(bucket int64) int { return int(((bucket % ring) + ring) % ring) }

func (c *counter) bucketOf(t time.Time) int64 {
	n, sub := t.UnixNano(), int64(c.sub)
	b := n / sub
	if n%sub < 0 {
		b--
	}
	return b
}

func (c *counter) setCap(perWindow float64, now time.Time) {
	if perWindow == c.cap {
		return
	}
	c.advance(now)
	low := c.cap
	if c.current < c.raiseAt {
		low = min(c.cap, c.lowCap)
	}
	c.cap = perWindow
	c.lowCap = min(low, perWindow)
	c.raiseAt = c.bucketOf(now.Add(spread)) + 1
}

func (c *counter) at(p pair) *counts {
	n := c.pairs[p]
	if n == nil {
		n = new(counts)
		c.pairs[p] = n
	}
	return n
}

// advance clears the sub-windows that time has entered.
func (c *counter) advance(now time.Time) {
	to := c.bucketOf(now)
	if to <= c.current {
		return
	}
	from := max(c.current+1, to-ring+1)
	clearBuckets(c.pairs, from, to)
	clearBuckets(c.refused, from, to)
	c.current = to
}

// clearBuckets empties the sub-windows from..to and drops empty counts.
func clearBuckets[K comparable](all map[K]*counts, from, to int64) {
	for k, n := range all {
		for b := from; b <= to; b++ {
			n.committed[slot(b)], n.pending[slot(b)] = 0, 0
		}
		if *n == (counts{}) {
			delete(all, k)
		}
	}
}

// allowance returns the integer allowance of the window that starts at a
// sub-window.
func (c *counter) allowance(start int64, cfg Config) int {
	perWindow := c.cap
	if start < c.raiseAt {
		perWindow = c.lowCap
	}
	if perWindow <= 0 {
		return 0
	}
	// The small term absorbs the rounding of C/n, which would otherwise lose
	// a whole request.
	const rounding = 1e-9
	base := math.Floor(perWindow + rounding)
	if cfg.Instances <= 0 || base >= 1 {
		return int(base)
	}
	extra := int64(math.Floor(float64(cfg.Instances)*(perWindow-base) + rounding))
	n := int64(cfg.Instances)
	epoch := floorDiv(start, turnEpoch)
	place := ((int64(cfg.Index)-epoch*extra)%n + n) % n
	if place < extra {
		return int(base) + 1
	}
	return int(base)
}

func floorDiv(a, b int64) int64 {
	q := a / b
	if a%b < 0 {
		q--
	}
	return q
}

// allows reports whether one more request of a pair keeps the bound in every
// window that contains the current sub-window.
func (c *counter) allows(p pair, cfg Config) bool {
	if p.remote() && c.current < c.first {
		return false
	}
	if !p.remote() && !c.anyRemote() {
		return true // nothing can return
	}
	for j := c.current - SubWindows + 1; j <= c.current; j++ {
		var ok bool
		if p.remote() {
			ok = c.increase(j, p) <= c.allowance(j, cfg)
		} else {
			ok = c.returns(j, p.home) <= c.allowance(j, cfg)
		}
		if !ok {
			return false
		}
	}
	return true
}

// anyRemote reports whether a request was served outside its home region within
// the counts that are kept.
func (c *counter) anyRemote() bool {
	for p := range c.pairs {
		if p.remote() {
			return true
		}
	}
	return false
}

// increase adds up the rises of the remote counts in window j, with one more
// request of a pair. A pair whose count falls does not offset another one.
func (c *counter) increase(j int64, add pair) int {
	sum := 0
	seen := false
	for p, n := range c.pairs {
		if !p.remote() {
			continue
		}
		rise := n.upper(j, c.current) - n.lower(j-SubWindows, j-1)
		if p == add {
			seen = true
			rise++
		}
		sum += max(0, rise)
	}
	if !seen {
		sum++
	}
	return sum
}

// returns adds up the returns of window j, with one more request that is
// served in its home region. A home to which the request adds no return may
// pass although others have used the allowance.
func (c *counter) returns(j int64, add string) int {
	type change struct{ fall, rise int }
	homes := make(map[string]change)
	for p, n := range c.pairs {
		h := homes[p.home]
		if p.remote() {
			h.fall += n.upper(j-SubWindows, j-1) - n.lower(j, c.current)
		} else {
			h.rise += n.upper(j, c.current) - n.lower(j-SubWindows, j-1)
		}
		homes[p.home] = h
	}
	for home, n := range c.refused {
		h := homes[home]
		h.fall -= n.lower(j, c.current)
		homes[home] = h
	}
	before := max(0, min(homes[add].fall, homes[add].rise))
	after := max(0, min(homes[add].fall, homes[add].rise+1))
	if after == before {
		return 0
	}
	sum := after - before
	for _, h := range homes {
		sum += max(0, min(h.fall, h.rise))
	}
	return sum
}

// busiest returns the remote region with most requests of a home in the last
// and the current window.
func (c *counter) busiest(home string) string {
	best, most := "", 0
	for p, n := range c.pairs {
		if p.home != home || !p.remote() {
			continue
		}
		sum := n.upper(c.current-ring+1, c.current)
		if sum > most || sum == most && sum > 0 && p.region < best {
			best, most = p.region, sum
		}
	}
	return best
}

// upper counts committed and pending requests of the sub-windows from..to.
func (n *counts) upper(from, to int64) int {
	sum := 0
	for b := from; b <= to; b++ {
		sum += n.committed[slot(b)] + n.pending[slot(b)]
	}
	return sum
}

// lower counts committed requests alone.
func (n *counts) lower(from, to int64) int {
	sum := 0
	for b := from; b <= to; b++ {
		sum += n.committed[slot(b)]
	}
	return sum
}

package shift

import (
	"math"
	"time"
)

// pair is a home region and the region that serves its requests.
type pair struct{ home, region string }

func (p pair) remote() bool { return p.home != p.region }

// counts holds the requests of a pair in a ring of sub-windows.
type counts struct {
	committed, pending [ringSize]int
}

// counter holds the counts of one service.
type counter struct {
	window, subWindow time.Duration
	cap               float64
	lowCap            float64 // cap of windows that start before raiseAt
	raiseAt           int64
	firstIncrease     int64 // first sub-window in which an increase is allowed
	current           int64 // current sub-window
	pairs             map[pair]*counts
	refused           map[string]*counts // by home; served in no region
}

func ringIndex(subWindow int64) int { return int(((subWindow % ringSize) + ringSize) % ringSize) }

// subWindowOf returns the number of a time's sub-window since the Unix epoch.
func (c *counter) subWindowOf(t time.Time) int64 {
	n, subWindow := t.UnixNano(), int64(c.subWindow)
	b := n / subWindow
	if n%subWindow < 0 {
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
	c.raiseAt = c.subWindowOf(now.Add(capPropagation)) + 1
}

func (c *counter) countsOf(p pair) *counts {
	n := c.pairs[p]
	if n == nil {
		n = new(counts)
		c.pairs[p] = n
	}
	return n
}

// advance clears the sub-windows that have begun since the last call.
func (c *counter) advance(now time.Time) {
	to := c.subWindowOf(now)
	if to <= c.current {
		return
	}
	from := max(c.current+1, to-ringSize+1)
	clearSubWindows(c.pairs, from, to)
	clearSubWindows(c.refused, from, to)
	c.current = to
}

// clearSubWindows clears the sub-windows from..to and deletes empty counts.
func clearSubWindows[K comparable](all map[K]*counts, from, to int64) {
	for k, n := range all {
		for b := from; b <= to; b++ {
			n.committed[ringIndex(b)], n.pending[ringIndex(b)] = 0, 0
		}
		if *n == (counts{}) {
			delete(all, k)
		}
	}
}

// allowance returns the integer allowance of the window that starts at a given
// sub-window.
func (c *counter) allowance(start int64, cfg Config) int {
	perWindow := c.cap
	if start < c.raiseAt {
		perWindow = c.lowCap
	}
	if perWindow <= 0 {
		return 0
	}
	// Without this term, the rounding error of C/n could lose a whole request.
	const rounding = 1e-9
	base := math.Floor(perWindow + rounding)
	if cfg.Instances <= 0 || base >= 1 {
		return int(base)
	}
	turns := int64(math.Floor(float64(cfg.Instances)*(perWindow-base) + rounding))
	n := int64(cfg.Instances)
	period := floorDiv(start, rotationPeriod)
	position := ((int64(cfg.Index)-period*turns)%n + n) % n
	if position < turns {
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

// allows reports whether the bound still holds after one more request of a pair,
// in every window that contains the current sub-window.
func (c *counter) allows(p pair, cfg Config) bool {
	if p.remote() && c.current < c.firstIncrease {
		return false
	}
	if !p.remote() && !c.hasRemote() {
		return true // nothing can return
	}
	for j := c.current - SubWindows + 1; j <= c.current; j++ {
		var ok bool
		if p.remote() {
			ok = c.remoteIncrease(j, p) <= c.allowance(j, cfg)
		} else {
			ok = c.totalReturns(j, p.home) <= c.allowance(j, cfg)
		}
		if !ok {
			return false
		}
	}
	return true
}

// hasRemote reports whether any kept count is of requests served outside their
// home region.
func (c *counter) hasRemote() bool {
	for p := range c.pairs {
		if p.remote() {
			return true
		}
	}
	return false
}

// remoteIncrease adds up the increases of the remote counts in window j, with
// one more request of a pair. A pair whose count falls does not offset another.
func (c *counter) remoteIncrease(j int64, add pair) int {
	sum := 0
	seen := false
	for p, n := range c.pairs {
		if !p.remote() {
			continue
		}
		rise := n.upperBound(j, c.current) - n.lowerBound(j-SubWindows, j-1)
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

// totalReturns adds up the returns of window j, with one more request that is
// served in its home region. If the request is not a return, the result is 0, so
// that it is allowed even when other homes have used up the allowance.
func (c *counter) totalReturns(j int64, add string) int {
	type change struct{ fall, rise int }
	homes := make(map[string]change)
	for p, n := range c.pairs {
		h := homes[p.home]
		if p.remote() {
			h.fall += n.upperBound(j-SubWindows, j-1) - n.lowerBound(j, c.current)
		} else {
			h.rise += n.upperBound(j, c.current) - n.lowerBound(j-SubWindows, j-1)
		}
		homes[p.home] = h
	}
	for home, n := range c.refused {
		h := homes[home]
		h.fall -= n.lowerBound(j, c.current)
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

// busiest returns the remote region that served most requests of a home in the
// last and the current window.
func (c *counter) busiest(home string) string {
	best, most := "", 0
	for p, n := range c.pairs {
		if p.home != home || !p.remote() {
			continue
		}
		sum := n.upperBound(c.current-ringSize+1, c.current)
		if sum > most || sum == most && sum > 0 && p.region < best {
			best, most = p.region, sum
		}
	}
	return best
}

// upperBound counts the committed and pending requests of sub-windows from..to.
func (n *counts) upperBound(from, to int64) int {
	sum := 0
	for b := from; b <= to; b++ {
		sum += n.committed[ringIndex(b)] + n.pending[ringIndex(b)]
	}
	return sum
}

// lowerBound counts only the committed requests of sub-windows from..to.
func (n *counts) lowerBound(from, to int64) int {
	sum := 0
	for b := from; b <= to; b++ {
		sum += n.committed[ringIndex(b)]
	}
	return sum
}

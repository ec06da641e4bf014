// Package audit checks a log of served requests against the bound that package
// shift defines. It shares no code with the limiter: it computes the counts of
// each window from the records.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Record is one request. Time is when the region was chosen.
type Record struct {
	Time time.Time
	Home string
	// Region served the request; empty when it was refused.
	Region string
	// Incarnation identifies the process that chose the region. Returns are
	// checked for each incarnation; records without one count as the same.
	Incarnation string
}

// Violation is one window in which the bound did not hold.
type Violation struct {
	Start time.Time // of the later window
	Kind  string    // "increase" or "return"
	Count int
}

func (v Violation) String() string {
	return fmt.Sprintf("window from %s: %s of %d", v.Start.Format(time.RFC3339Nano), v.Kind, v.Count)
}

// Report is the result of a check.
type Report struct {
	Windows    int // pairs of adjacent windows that were compared
	Violations []Violation
	// MaxIncrease and MaxReturn are the largest values over all windows.
	MaxIncrease, MaxReturn int
	// MaxReturnCombined is the largest return over all incarnations together.
	// It is not bounded: callers that move from a dead entry instance to
	// another are a fall in demand at the one and new demand at the other.
	MaxReturnCombined int
}

const subWindows = 10

// group identifies the records that are counted together.
type group struct{ incarnation, home, region string }

// Check compares every window that starts at a multiple of window/10 with the
// previous one. limit is the cap of the contract in requests per window. The
// records are of one service and may be in any order.
func Check(records []Record, limit float64, window time.Duration) Report {
	var report Report
	if len(records) == 0 || window < subWindows {
		return report
	}
	sub := int64(window / subWindows)
	counts := make(map[group]map[int64]int)
	first, last := records[0].Time.UnixNano()/sub, records[0].Time.UnixNano()/sub
	for _, r := range records {
		b := r.Time.UnixNano() / sub
		first, last = min(first, b), max(last, b)
		g := group{r.Incarnation, r.Home, r.Region}
		if counts[g] == nil {
			counts[g] = make(map[int64]int)
		}
		counts[g][b]++
	}
	for j := first - subWindows + 1; j <= last; j++ {
		report.compare(time.Unix(0, j*sub), changes(counts, j), limit)
	}
	return report
}

// refused is the region of requests that no region served.
const refused = ""

// changes returns the change of each group's count in the window that starts
// at sub-window j, and the count itself for refused requests.
func changes(counts map[group]map[int64]int, j int64) map[group]int {
	out := make(map[group]int, len(counts))
	for g, buckets := range counts {
		for i := range int64(subWindows) {
			out[g] += buckets[j+i]
			if g.region != refused {
				out[g] -= buckets[j-1-i]
			}
		}
	}
	return out
}

func (r *Report) compare(start time.Time, change map[group]int, limit float64) {
	r.Windows++
	increased := increase(change)
	returned := returns(change, func(g group) string { return g.incarnation + "\x00" + g.home })
	combined := returns(change, func(g group) string { return g.home })
	r.MaxIncrease = max(r.MaxIncrease, increased)
	r.MaxReturn = max(r.MaxReturn, returned)
	r.MaxReturnCombined = max(r.MaxReturnCombined, combined)
	if float64(increased) > limit {
		r.Violations = append(r.Violations, Violation{start, "increase", increased})
	}
	if float64(returned) > limit {
		r.Violations = append(r.Violations, Violation{start, "return", returned})
	}
}

// increase adds up the increases of all pairs of home and remote region. Changes
// of a pair are first added up over all incarnations.
func increase(change map[group]int) int {
	pairs := make(map[group]int)
	for g, n := range change {
		if g.home != g.region && g.region != refused {
			pairs[group{home: g.home, region: g.region}] += n
		}
	}
	sum := 0
	for _, n := range pairs {
		sum += max(0, n)
	}
	return sum
}

// returns adds up min(fall of the remote count less refused requests, rise of
// the home-served count). Changes for which by returns the same key are first
// added up.
func returns(change map[group]int, by func(group) string) int {
	fall, rise := make(map[string]int), make(map[string]int)
	for g, n := range change {
		if g.home == g.region {
			rise[by(g)] += n
		} else { // refused requests reduce the fall
			fall[by(g)] -= n
		}
	}
	sum := 0
	for home, n := range fall {
		sum += max(0, min(n, rise[home]))
	}
	return sum
}

// Sort sorts records by time.
func Sort(records []Record) {
	slices.SortStableFunc(records, func(a, b Record) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
}

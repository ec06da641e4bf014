// Package audit checks a log of served requests against the shift bound that
// package shift defines. It shares no code with the limiter: it counts each
// window anew from the records.
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
	// Incarnation names the process that chose the region. Returns are judged
	// for each incarnation; records without a name count as one.
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
	// MaxReturnCombined is the largest return when incarnations are not told
	// apart. It is not bounded: callers that move from a dead seat to another
	// one are a fall in demand at one seat and new demand at the other.
	MaxReturnCombined int
}

const subWindows = 10

type group struct{ incarnation, home, region string }

// Check compares every window that starts at a multiple of window/10 with the
// one before it. limit is the cap C of the contract in requests per window.
// The records of one service are given in any order.
func Check(records []Record, limit float64, window time.Duration) Report {
	var report Report
	if len(records) == 0 || window < subWindows {
		return report
	}
	sub := int64(window / subWindows)
	at := make(map[group]map[int64]int)
	first, last := records[0].Time.UnixNano()/sub, records[0].Time.UnixNano()/sub
	for _, r := range records {
		b := r.Time.UnixNano() / sub
		first, last = min(first, b), max(last, b)
		g := group{r.Incarnation, r.Home, r.Region}
		if at[g] == nil {
			at[g] = make(map[int64]int)
		}
		at[g][b]++
	}
	for j := first - subWindows + 1; j <= last; j++ {
		report.add(time.Unix(0, j*sub), changes(at, j), limit)
	}
	return report
}

// refused is the region of requests that were served nowhere.
const refused = ""

// changes returns the change of each group's count in the window that starts
// at sub-window j, and the count itself for refused requests.
func changes(at map[group]map[int64]int, j int64) map[group]int {
	out := make(map[group]int, len(at))
	for g, buckets := range at {
		for i := range int64(subWindows) {
			out[g] += buckets[j+i]
			if g.region != refused {
				out[g] -= buckets[j-1-i]
			}
		}
	}
	return out
}

func (r *Report) add(start time.Time, change map[group]int, limit float64) {
	r.Windows++
	up := increase(change)
	back := returns(change, func(g group) string { return g.incarnation + "\x00" + g.home })
	across := returns(change, func(g group) string { return g.home })
	r.MaxIncrease = max(r.MaxIncrease, up)
	r.MaxReturn = max(r.MaxReturn, back)
	r.MaxReturnCombined = max(r.MaxReturnCombined, across)
	if float64(up) > limit {
		r.Violations = append(r.Violations, Violation{start, "increase", up})
	}
	if float64(back) > limit {
		r.Violations = append(r.Violations, Violation{start, "return", back})
	}
}

// increase adds up the rises of all pairs of home and remote region, over all
// incarnations.
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
// the home-served count) over the homes that by tells apart.
func returns(change map[group]int, by func(group) string) int {
	fall, rise := make(map[string]int), make(map[string]int)
	for g, n := range change {
		if g.home == g.region {
			rise[by(g)] += n
		} else { // a refused request explains a fall as well
			fall[by(g)] -= n
		}
	}
	sum := 0
	for home, n := range fall {
		sum += max(0, min(n, rise[home]))
	}
	return sum
}

// Sort orders records by time, for reports.
func Sort(records []Record) {
	slices.SortStableFunc(records, func(a, b Record) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
}

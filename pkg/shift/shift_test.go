package shift

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dandelionrack/dandelionrack/pkg/shift/audit"
)

var (
	epoch = time.Unix(1_800_000_000, 0)
	key   = Key{"sarafu", "salio"}
)

const window = 10 * time.Second

func at(d time.Duration) time.Time { return epoch.Add(d) }

func limiter(perWindow float64) *Limiter {
	l := NewLimiter(Config{Start: epoch, NoPredecessor: true})
	l.SetCap(key, perWindow, window)
	return l
}

// send reserves and commits up to n requests and returns how many passed.
func send(l *Limiter, now time.Time, home, region string, n int) int {
	for i := range n {
		r, ok := l.Reserve(now, key, home, region)
		if !ok {
			return i
		}
		r.Commit()
	}
	return n
}

// Guards against remote traffic that grows by more than the cap in one window,
// and against a cap that bounds the total instead of the growth.
func TestGrowthPerWindow(t *testing.T) {
	l := limiter(5)
	require.Equal(t, 5, send(l, at(0), "dar", "mwanza", 20))
	require.Equal(t, 0, send(l, at(9*time.Second), "dar", "mwanza", 20))
	require.Equal(t, 10, send(l, at(10*time.Second), "dar", "mwanza", 20))
	require.Equal(t, 15, send(l, at(20*time.Second), "dar", "mwanza", 20))
	require.Equal(t, 5, send(l, at(45*time.Second), "dar", "mwanza", 20), "the last window was empty")
}

// Guards against a cap that applies to each pair of regions separately, so that
// their sum exceeds the contract.
func TestPairsShareTheCap(t *testing.T) {
	l := limiter(5)
	require.Equal(t, 3, send(l, at(0), "dar", "mwanza", 3))
	require.Equal(t, 2, send(l, at(0), "arusha", "mwanza", 20))
	require.Equal(t, 0, send(l, at(0), "dar", "arusha", 20))
}

// Guards against requests that count as traffic of the previous window although
// the region refused them.
func TestCancelledReservation(t *testing.T) {
	l := limiter(1)
	r, ok := l.Reserve(at(0), key, "dar", "mwanza")
	require.True(t, ok)
	require.Equal(t, 1, send(l, at(10*time.Second), "dar", "mwanza", 9), "an open reservation is no past traffic")
	r.Cancel()
	r.Commit()
	require.Equal(t, 2, send(l, at(20*time.Second), "dar", "mwanza", 9))
}

// Guards against traffic that returns home all at once, and against a fall in
// demand that counts as a return.
func TestReturnHome(t *testing.T) {
	l := limiter(5)
	require.Equal(t, 5, send(l, at(0), "dar", "mwanza", 20))
	require.Equal(t, 10, send(l, at(10*time.Second), "dar", "mwanza", 20))
	require.Equal(t, 5, send(l, at(20*time.Second), "dar", "dar", 20))
	region, blocked := l.ReturnBlocked(at(20*time.Second), key, "dar")
	require.True(t, blocked)
	require.Equal(t, "mwanza", region)
	require.Equal(t, 20, send(l, at(20*time.Second), "arusha", "arusha", 20), "another home")
	require.Equal(t, 5, send(l, at(20*time.Second), "dar", "mwanza", 5))
	require.Equal(t, 20, send(l, at(20*time.Second), "dar", "dar", 20), "the fall is down to the cap")

	l = limiter(5)
	send(l, at(0), "dar", "mwanza", 5)
	send(l, at(0), "dar", "dar", 50)
	require.Equal(t, 50, send(l, at(10*time.Second), "dar", "dar", 50), "less demand, none of it moved")
}

// Guards against returns that are computed as if pending reservations were no
// traffic of the previous window, or were traffic of the current one.
func TestReturnWithOpenReservations(t *testing.T) {
	l := limiter(5)
	send(l, at(0), "dar", "mwanza", 5)
	var open []Reservation
	reserve := func(d time.Duration, n int) {
		for range n {
			r, ok := l.Reserve(at(d), key, "dar", "mwanza")
			require.True(t, ok)
			open = append(open, r)
		}
	}
	reserve(10*time.Second, 10)
	require.Equal(t, 5, send(l, at(20*time.Second), "dar", "dar", 20))
	reserve(20*time.Second, 5)
	require.Equal(t, 0, send(l, at(20*time.Second), "dar", "dar", 20))
	for i := range open {
		open[i].Commit()
	}
	require.Equal(t, 20, send(l, at(20*time.Second), "dar", "dar", 20))
}

// Guards against an allowance that the predecessor may have used already.
func TestStartWithoutAllowance(t *testing.T) {
	l := NewLimiter(Config{Start: epoch.Add(50 * time.Millisecond)})
	require.Equal(t, 0, send(l, at(time.Minute), "dar", "mwanza", 1), "no cap is known")
	l = NewLimiter(Config{Start: epoch.Add(50 * time.Millisecond)})
	l.SetCap(key, 5, window)
	require.Equal(t, 0, send(l, at(9999*time.Millisecond), "dar", "mwanza", 1))
	require.Equal(t, 1, send(l, at(9999*time.Millisecond), "dar", "dar", 1))
	require.Equal(t, 5, send(l, at(10*time.Second), "dar", "mwanza", 9))
}

// Guards against a raised cap that is used before all entry instances have
// applied it, and against a lowered cap that does not apply at once.
func TestChangeOfCap(t *testing.T) {
	l := limiter(2)
	send(l, at(0), "dar", "dar", 1)
	l.SetCap(key, 4, window)
	require.Equal(t, 2, send(l, at(3*time.Second), "dar", "mwanza", 9))
	require.Equal(t, 6, send(l, at(13*time.Second), "dar", "mwanza", 9))
	l.SetCap(key, 1, window)
	require.Equal(t, 7, send(l, at(23*time.Second), "dar", "mwanza", 9))
}

// Guards against a home region that has free slots again but gets no requests:
// the remote region is full, and the fall of its count is taken for a return.
func TestReturnWhileRemoteIsFull(t *testing.T) {
	l := limiter(5)
	for i := range 40 { // the home region is down: the remote count grows
		send(l, at(time.Duration(i)*time.Second), "dar", "mwanza", 10)
	}
	refused := 0
	for i := 40; i < 80; i++ { // home is back, the remote region takes nothing
		now := at(time.Duration(i) * time.Second)
		for range 10 {
			if _, blocked := l.ReturnBlocked(now, key, "dar"); blocked {
				l.RecordRefused(now, key, "dar")
				refused++
				continue
			}
			require.Equal(t, 1, send(l, now, "dar", "dar", 1))
		}
	}
	require.Less(t, refused, 40, "of 400 requests; 20 were served remotely in the last window")
}

// Guards against an increase that exceeds the allowance of later windows: it
// could not return, and every request of that home would be refused.
func TestIncreaseCanReturn(t *testing.T) {
	for start := range 2 * ringSize {
		l := NewLimiter(Config{Start: epoch, NoPredecessor: true, Index: 0, Instances: 8})
		l.SetCap(key, 7.5, window)
		now := at(time.Duration(start) * time.Second)
		send(l, now, "dar", "dar", 5)
		for send(l, now, "dar", "mwanza", 1) == 1 {
		}
		// The load grows, and no further request is served remotely.
		for i := range 60 {
			now = now.Add(500 * time.Millisecond)
			require.Equal(t, 20, send(l, now, "dar", "dar", 20), "start %d, step %d", start, i)
		}
	}
}

// Guards against a fraction of a request that is never used, or that several
// entry instances use in the same window.
func TestFractionsRotate(t *testing.T) {
	const instances = 5
	total := 0
	for _, perInstance := range []float64{0.4, 0.1} {
		limit := perInstance * instances
		var log []audit.Record
		for index := range instances {
			l := NewLimiter(Config{Start: epoch, NoPredecessor: true, Index: index, Instances: instances})
			l.SetCap(key, perInstance, window)
			for now := epoch; now.Before(at(400 * time.Second)); now = now.Add(time.Second) {
				if send(l, now, "dar", "mwanza", 1) == 1 {
					log = append(log, audit.Record{Time: now, Home: "dar", Region: "mwanza", Incarnation: fmt.Sprint(index)})
				}
			}
		}
		require.Empty(t, audit.Check(log, limit, window).Violations)
		total += len(log)
	}
	require.Greater(t, total, 20)
}

// workload sends random requests through several limiters, with refusals, late
// responses and restarts, and records where they were served.
type workload struct {
	r             *rand.Rand
	limiters      []*Limiter
	incarnations  []string
	cap           float64
	log           []audit.Record
	lateResponses map[int64][]func() // by second
}

var regions = []string{"dar", "mwanza", "arusha"}

func (w *workload) start(i int, now time.Time) {
	w.limiters[i] = NewLimiter(Config{Start: now, Index: i, Instances: len(w.limiters)})
	w.limiters[i].SetCap(key, w.cap/float64(len(w.limiters)), window)
	w.incarnations[i] = fmt.Sprintf("%d@%d", i, now.UnixNano())
}

func (w *workload) request(i int, now time.Time, home, region string) {
	if away, blocked := w.limiters[i].ReturnBlocked(now, key, home); blocked && region == home {
		region = away
	}
	r, ok := w.limiters[i].Reserve(now, key, home, region)
	if !ok {
		w.limiters[i].RecordRefused(now, key, home)
		w.log = append(w.log, audit.Record{Time: now, Home: home, Incarnation: w.incarnations[i]})
		return
	}
	record := audit.Record{Time: now, Home: home, Region: region, Incarnation: w.incarnations[i]}
	switch w.r.IntN(4) {
	case 0:
		r.Cancel()
	case 1, 2: // the response comes later
		served := w.r.IntN(2) == 0
		if served {
			w.log = append(w.log, record)
		}
		due := now.Unix() + w.r.Int64N(25)
		w.lateResponses[due] = append(w.lateResponses[due], func() { r.end(served) })
	default:
		r.Commit()
		w.log = append(w.log, record)
	}
}

func (w *workload) tick(now time.Time, rate int, remote float64) {
	for i := range w.limiters {
		if w.r.IntN(150) == 0 {
			w.start(i, now)
		}
		for range w.r.IntN(rate + 1) {
			home := regions[w.r.IntN(len(regions))]
			region := home
			if w.r.Float64() < remote {
				region = regions[w.r.IntN(len(regions))]
			}
			w.request(i, now, home, region)
		}
	}
	for _, end := range w.lateResponses[now.Unix()] {
		end()
	}
	delete(w.lateResponses, now.Unix())
}

// Guards against a sum over all entry instances that changes by more than the
// cap from one window to the next, under random demand and restarts.
func TestSumOverInstancesStaysUnderCap(t *testing.T) {
	moved, returned := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := &workload{cap: rapid.Float64Range(0, 60).Draw(t, "cap")}
		w.r = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		w.lateResponses = make(map[int64][]func())
		n := rapid.IntRange(1, 5).Draw(t, "n")
		w.limiters, w.incarnations = make([]*Limiter, n), make([]string, n)
		for i := range w.limiters {
			w.start(i, epoch)
		}
		now := epoch
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			rate := rapid.IntRange(0, 12).Draw(t, "rate")
			remote := rapid.Float64Range(0, 1).Draw(t, "remote")
			for range rapid.IntRange(1, 300).Draw(t, "length") {
				now = now.Add(time.Duration(w.r.IntN(700)) * time.Millisecond)
				w.tick(now, rate, remote)
			}
		}
		report := audit.Check(w.log, w.cap, window)
		require.Empty(t, report.Violations)
		moved, returned = moved+report.MaxIncrease, returned+report.MaxReturn
	})
	require.Positive(t, moved)
	require.Positive(t, returned)
}

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

// Guards against a shift that grows by more than the cap in one window, and
// against a cap that does not allow growth on top of the last window.
func TestGrowthPerWindow(t *testing.T) {
	l := limiter(5)
	require.Equal(t, 5, send(l, at(0), "dar", "mwanza", 20))
	require.Equal(t, 0, send(l, at(9*time.Second), "dar", "mwanza", 20))
	require.Equal(t, 10, send(l, at(10*time.Second), "dar", "mwanza", 20))
	require.Equal(t, 15, send(l, at(20*time.Second), "dar", "mwanza", 20))
	require.Equal(t, 5, send(l, at(45*time.Second), "dar", "mwanza", 20), "the last window was empty")
}

// Guards against a cap that each pair of regions has for itself, so that their
// sum exceeds the contract.
func TestPairsShareTheCap(t *testing.T) {
	l := limiter(5)
	require.Equal(t, 3, send(l, at(0), "dar", "mwanza", 3))
	require.Equal(t, 2, send(l, at(0), "arusha", "mwanza", 20))
	require.Equal(t, 0, send(l, at(0), "dar", "arusha", 20))
}

// Guards against requests that count as last window's traffic although the
// region refused them.
func TestCancelledReservation(t *testing.T) {
	l := limiter(1)
	r, ok := l.Reserve(at(0), key, "dar", "mwanza")
	require.True(t, ok)
	require.Equal(t, 1, send(l, at(10*time.Second), "dar", "mwanza", 9), "an open reservation is no past traffic")
	r.Cancel()
	r.Commit()
	require.Equal(t, 2, send(l, at(20*time.Second), "dar", "mwanza", 9))
}

// Guards against traffic that returns home at once, and against a fall in
// demand that is taken for a return.
func TestReturnHome(t *testing.T) {
	l := limiter(5)
	require.Equal(t, 5, send(l, at(0), "dar", "mwanza", 20))
	require.Equal(t, 10, send(l, at(10*time.Second), "dar", "mwanza", 20))
	require.Equal(t, 5, send(l, at(20*time.Second), "dar", "dar", 20))
	region, away := l.ReturnBlocked(at(20*time.Second), key, "dar")
	require.True(t, away)
	require.Equal(t, "mwanza", region)
	require.Equal(t, 20, send(l, at(20*time.Second), "arusha", "arusha", 20), "another home")
	require.Equal(t, 5, send(l, at(20*time.Second), "dar", "mwanza", 5))
	require.Equal(t, 20, send(l, at(20*time.Second), "dar", "dar", 20), "the fall is down to the cap")

	l = limiter(5)
	send(l, at(0), "dar", "mwanza", 5)
	send(l, at(0), "dar", "dar", 50)
	require.Equal(t, 50, send(l, at(10*time.Second), "dar", "dar", 50), "less demand, none of it moved")
}

// Guards against returns that are judged as if open reservations had already
// been refused in the last window, or served in this one.
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

// Guards against a raised cap that is used before other seats have lowered
// theirs, and a lowered one that waits.
func TestChangeOfCap(t *testing.T) {
	l := limiter(2)
	send(l, at(0), "dar", "dar", 1)
	l.SetCap(key, 4, window)
	require.Equal(t, 2, send(l, at(3*time.Second), "dar", "mwanza", 9))
	require.Equal(t, 6, send(l, at(13*time.Second), "dar", "mwanza", 9))
	l.SetCap(key, 1, window)
	require.Equal(t, 7, send(l, at(23*time.Second), "dar", "mwanza", 9))
}

// Guards against a home region that is free again but gets nothing, because the
// remote region has become full and the fall of its count is taken for a return.
func TestReturnWhileRemoteIsFull(t *testing.T) {
	l := limiter(5)
	for i := range 40 { // the home region is down: the remote count grows
		send(l, at(time.Duration(i)*time.Second), "dar", "mwanza", 10)
	}
	refused := 0
	for i := 40; i < 80; i++ { // home is back, the remote region takes nothing
		now := at(time.Duration(i) * time.Second)
		for range 10 {
			if _, away := l.ReturnBlocked(now, key, "dar"); away {
				l.RecordRefused(now, key, "dar")
				refused++
				continue
			}
			require.Equal(t, 1, send(l, now, "dar", "dar", 1))
		}
	}
	require.Less(t, refused, 40, "of 400 requests; 20 were served away in the last window")
}

// Guards against an increase that is too large to return: until it could, every
// request of that home was refused.
func TestIncreaseCanReturn(t *testing.T) {
	for start := range 2 * ring {
		l := NewLimiter(Config{Start: epoch, NoPredecessor: true, Index: 0, Instances: 8})
		l.SetCap(key, 7.5, window)
		now := at(time.Duration(start) * time.Second)
		send(l, now, "dar", "dar", 5)
		for send(l, now, "dar", "mwanza", 1) == 1 {
		}
		// The load grows, and nothing is sent away any more.
		for i := range 60 {
			now = now.Add(500 * time.Millisecond)
			require.Equal(t, 20, send(l, now, "dar", "dar", 20), "start %d, step %d", start, i)
		}
	}
}

// Guards against a fraction of a request that is lost for ever or that several
// seats use in the same window.
func TestFractionsTakeTurns(t *testing.T) {
	const seats = 5
	total := 0
	for _, perSeat := range []float64{0.4, 0.1} {
		limit := perSeat * seats
		var log []audit.Record
		for seat := range seats {
			l := NewLimiter(Config{Start: epoch, NoPredecessor: true, Index: seat, Instances: seats})
			l.SetCap(key, perSeat, window)
			for now := epoch; now.Before(at(400 * time.Second)); now = now.Add(time.Second) {
				if send(l, now, "dar", "mwanza", 1) == 1 {
					log = append(log, audit.Record{Time: now, Home: "dar", Region: "mwanza", Incarnation: fmt.Sprint(seat)})
				}
			}
		}
		require.Empty(t, audit.Check(log, limit, window).Violations)
		total += len(log)
	}
	require.Greater(t, total, 20)
}

// demand drives several seats with random demand, refusals, late answers and
// restarts, and logs what was served.
type demand struct {
	r     *rand.Rand
	seats []*Limiter
	names []string
	c     float64
	log   []audit.Record
	late  map[int64][]func() // by second
}

var regions = []string{"dar", "mwanza", "arusha"}

func (d *demand) start(i int, now time.Time) {
	d.seats[i] = NewLimiter(Config{Start: now, Index: i, Instances: len(d.seats)})
	d.seats[i].SetCap(key, d.c/float64(len(d.seats)), window)
	d.names[i] = fmt.Sprintf("%d@%d", i, now.UnixNano())
}

func (d *demand) request(i int, now time.Time, home, region string) {
	if away, stay := d.seats[i].ReturnBlocked(now, key, home); stay && region == home {
		region = away
	}
	r, ok := d.seats[i].Reserve(now, key, home, region)
	if !ok {
		d.seats[i].RecordRefused(now, key, home)
		d.log = append(d.log, audit.Record{Time: now, Home: home, Incarnation: d.names[i]})
		return
	}
	record := audit.Record{Time: now, Home: home, Region: region, Incarnation: d.names[i]}
	switch d.r.IntN(4) {
	case 0:
		r.Cancel()
	case 1, 2: // the answer comes later
		served := d.r.IntN(2) == 0
		if served {
			d.log = append(d.log, record)
		}
		due := now.Unix() + d.r.Int64N(25)
		d.late[due] = append(d.late[due], func() { r.end(served) })
	default:
		r.Commit()
		d.log = append(d.log, record)
	}
}

func (d *demand) tick(now time.Time, rate int, remote float64) {
	for i := range d.seats {
		if d.r.IntN(150) == 0 {
			d.start(i, now)
		}
		for range d.r.IntN(rate + 1) {
			home := regions[d.r.IntN(len(regions))]
			region := home
			if d.r.Float64() < remote {
				region = regions[d.r.IntN(len(regions))]
			}
			d.request(i, now, home, region)
		}
	}
	for _, end := range d.late[now.Unix()] {
		end()
	}
	delete(d.late, now.Unix())
}

// Guards against a sum over the seats that changes by more than the cap from
// one window to the next, for random demand and restarts of seats.
func TestSumOverSeatsStaysUnderCap(t *testing.T) {
	moved, returned := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		d := &demand{c: rapid.Float64Range(0, 60).Draw(t, "cap")}
		d.r = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		d.late = make(map[int64][]func())
		n := rapid.IntRange(1, 5).Draw(t, "n")
		d.seats, d.names = make([]*Limiter, n), make([]string, n)
		for i := range d.seats {
			d.start(i, epoch)
		}
		now := epoch
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			rate := rapid.IntRange(0, 12).Draw(t, "rate")
			remote := rapid.Float64Range(0, 1).Draw(t, "remote")
			for range rapid.IntRange(1, 300).Draw(t, "length") {
				now = now.Add(time.Duration(d.r.IntN(700)) * time.Millisecond)
				d.tick(now, rate, remote)
			}
		}
		report := audit.Check(d.log, d.c, window)
		require.Empty(t, report.Violations)
		moved, returned = moved+report.MaxIncrease, returned+report.MaxReturn
	})
	require.Positive(t, moved)
	require.Positive(t, returned)
}

package placement

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// manyInstances resembles the payout service of a deployment of 115 entry instances:
// each hears from a server once in ten seconds, and objects are few against servers.
// instances is the number in each of three regions.
func manyInstances(seed uint64, instances int) simConfig {
	servers := map[string]int{"north": 8, "centre": 37, "south": 37}
	return simConfig{
		seed: seed, serversByRegion: servers, slots: 9, queue: 27, cacheSize: 26,
		cold: 1200 * time.Millisecond, warm: 360 * time.Millisecond,
		objective: 980 * time.Millisecond, limit: 5 * time.Second, remoteRoundTrip: 110 * time.Millisecond,
		objectsPerRegion: 170, instances: instances, length: 20 * time.Second,
		rate:         func(r string, t time.Duration) float64 { return 320 * wave(t, float64(len(r))/3) },
		tellSlowdown: true, reportEvery: time.Second, reportDelay: 2 * time.Millisecond,
	}
}

// unevenServers gives each server a speed of its own, between 0.7 and 1.6 times the
// usual service time.
func unevenServers(s *sim) {
	for _, srv := range s.servers {
		srv.slowdown = 0.7 + 0.9*s.random.Float64()
	}
}

// silent is the same without reports: servers do not say how slow they are.
func silent(c simConfig) simConfig {
	c.tellSlowdown, c.reportEvery = false, 0
	return c
}

type evenness struct {
	busiest float64 // busiest server over the mean
	p99     time.Duration
	share   float64 // in the objective
	refused float64 // or lost
}

func (e evenness) String() string {
	return fmt.Sprintf("busiest/mean %.2f, p99 %v, in objective %.3f, refused %.3f", e.busiest, e.p99.Round(time.Millisecond), e.share, e.refused)
}

func play(c simConfig) evenness {
	s := newSim(c)
	s.run()
	sum, most := 0.0, 0.0
	for _, srv := range s.servers {
		sum += srv.busy
		most = max(most, srv.busy)
	}
	slices.Sort(s.latencies)
	requests, refused := 0, 0
	for _, w := range s.windows {
		requests += w.requests
		refused += w.refused + w.lost
	}
	return evenness{
		refused: float64(refused) / float64(requests), busiest: most / sum * float64(len(s.servers)), share: s.share(0, c.length),
		p99: s.latencies[len(s.latencies)*99/100],
	}
}

// Guards against servers that are overrun in turns while others idle, because what an
// instance knows of a server is old and many choose at the same moment. Load: 8, 58, 115
// and 300 instances; servers of uneven speed; one that turns slow; one that lies.
func TestEvenLoad(t *testing.T) {
	for _, row := range []struct {
		name    string
		perArea int // instances of a region
		delay   time.Duration
		prepare func(*sim)
	}{
		{"8 instances", 3, 50 * time.Millisecond, unevenServers},
		{"58 instances", 19, 50 * time.Millisecond, unevenServers},
		{"115 instances", 38, 50 * time.Millisecond, unevenServers},
		{"115 instances, reports 2 s late", 38, 2 * time.Second, unevenServers},
		{"300 instances", 100, 50 * time.Millisecond, unevenServers},
		{"one turns slow", 38, 50 * time.Millisecond, func(s *sim) {
			s.after(8*time.Second, func() { s.byID["south-3"].slowdown = 6 })
		}},
		{"one says that it is idle and fast", 38, 50 * time.Millisecond, func(s *sim) {
			unevenServers(s)
			s.byID["south-3"].said = 0.1
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := manyInstances(1, row.perArea)
			c.prepare, c.reportDelay = row.prepare, row.delay
			before, after := play(silent(c)), play(c)
			t.Logf("before: %v", before)
			t.Logf("after:  %v", after)
			require.Less(t, after.busiest, before.busiest)
			require.Less(t, float64(after.p99), 1.05*float64(before.p99))
			require.Greater(t, after.share, before.share)
			require.LessOrEqual(t, after.refused, before.refused+0.005)
		})
	}
}

// Guards against moved shares that swing: with reports of any age, the share of the
// busiest server settles.
func TestMovedShareSettles(t *testing.T) {
	for _, delay := range []time.Duration{50 * time.Millisecond, time.Second, 2 * time.Second} {
		c := manyInstances(1, 38)
		c.reportDelay, c.length = delay, 40*time.Second
		c.rate = func(string, time.Duration) float64 { return 320 }
		var shares []float64
		c.prepare = func(s *sim) {
			b := s.balancers["south"][0]
			for at := 20 * time.Second; at < c.length; at += 500 * time.Millisecond {
				s.after(at, func() {
					sum := 0.0
					for _, srv := range b.byService["s"] {
						if srv.local {
							sum += srv.even.moved
						}
					}
					shares = append(shares, sum/37)
				})
			}
		}
		newSim(c).run()
		lowest, highest := math.Inf(1), 0.0
		for _, v := range shares {
			lowest, highest = min(lowest, v), max(highest, v)
		}
		require.Less(t, highest-lowest, 0.15, "reports %v late: mean moved share %.2f to %.2f", delay, lowest, highest)
	}
}

// Guards against reports that are no loads, and against a server without recent reports
// that keeps its objects away for good.
func TestLoadReports(t *testing.T) {
	b := New("north")
	b.Update([]Server{{ID: "a", Service: "s", Addr: "a", Region: "north", Slots: 9}})
	s := b.servers["a"]
	for _, bad := range []LoadReport{
		{Server: serverKey("a"), Load: math.NaN()}, {Server: serverKey("a"), Load: -1}, {Server: serverKey("a"), Load: math.Inf(1)},
		{Server: serverKey("a"), Load: 5, Slowdown: math.NaN()}, {Server: serverKey("a"), Load: 5, Slowdown: 1e9}, {Server: 1, Load: 5},
	} {
		b.RecordLoads(epoch, []LoadReport{bad})
		require.True(t, s.even.knownAt.IsZero(), "%+v", bad)
	}
	for i := range 40 {
		b.RecordLoads(at(time.Duration(i)*100*time.Millisecond), []LoadReport{{Server: serverKey("a"), Load: 30, Slowdown: 2}})
	}
	now := at(4 * time.Second)
	require.True(t, b.movesObject(now, s, "o", 0))
	require.InDelta(t, 2, s.even.currentSlowdown(now), 0.01)
	require.False(t, b.movesObject(now.Add(loadTTL), s, "o", 0))
	require.Zero(t, s.even.currentSlowdown(now.Add(loadTTL)))
}

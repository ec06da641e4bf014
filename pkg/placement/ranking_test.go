package placement

import (
	"cmp"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dandelionrack/dandelionrack/internal/rendezvous"
)

// fleetServers returns the servers of a service of the planned size: 549 in three
// regions, 54 of them in the first.
func fleetServers() []Server {
	return testServers(549, func(i int, s *Server) {
		s.Region = []string{"north", "south", "east"}[min(2, (i+5)/60%3)]
	})
}

// Guards against rankings that differ from those of a new instance after servers
// have come and gone, or once all servers that a ranking holds are unavailable.
func TestRankingsFollowTheServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := testServers(40, func(i int, s *Server) { s.Region = []string{"north", "south"}[i%2] })
		b := New("north")
		for range rapid.IntRange(1, 8).Draw(t, "updates") {
			var present []Server
			for _, s := range all {
				if rapid.Bool().Draw(t, "present") {
					present = append(present, s)
				}
			}
			if rapid.Bool().Draw(t, "restart") && len(present) > 0 {
				present[0].StartTime = at(time.Duration(rapid.IntRange(0, 3).Draw(t, "start")) * time.Second)
			}
			b.Update(present)
			for i := range 5 {
				object := fmt.Sprint("o", i)
				for _, region := range []string{"north", "south"} {
					var want, got []string
					for _, s := range present {
						if s.Region == region {
							want = append(want, s.ID)
						}
					}
					slices.SortFunc(want, func(x, y string) int {
						return cmp.Compare(rendezvous.Weight("svc", object, y), rendezvous.Weight("svc", object, x))
					})
					for s := range b.ranked("svc", object, region == "north") {
						got = append(got, s.ID)
						require.Same(t, b.servers[s.ID], s, "no server of an earlier process")
					}
					require.Equal(t, want, got)
				}
			}
		}
	})
}

// Guards against memory and work that grow with servers times objects: on the large
// site an instance knows 1,209 servers and some 1,100 objects, has 184 MB and 0.16
// cores, and 138 servers join on a quiet day.
func BenchmarkFleet(b *testing.B) {
	const objects = 1123
	servers := fleetServers()
	names := make([]string, objects)
	for i := range names {
		names[i] = fmt.Sprint("object-", i)
	}
	var before, after runtime.MemStats
	for range b.N {
		runtime.GC()
		runtime.ReadMemStats(&before)
		bal := New("north")
		bal.Update(servers)
		start := time.Now()
		for _, name := range names {
			c, _ := bal.Choose(epoch, testRequest(name))
			bal.Done(epoch, c, Result{Outcome: Abandoned})
		}
		b.ReportMetric(float64(time.Since(start).Nanoseconds())/objects, "ns/first-choice")
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/objects, "B/object")
		start = time.Now()
		bal.Update(servers[1:])
		for _, name := range names {
			c, _ := bal.Choose(epoch, testRequest(name))
			bal.Done(epoch, c, Result{Outcome: Abandoned})
		}
		b.ReportMetric(float64(time.Since(start).Microseconds()), "us/server-change")
		runtime.KeepAlive(bal)
	}
}

package placement

import (
	"testing"
	"time"
)

// smallServers resembles the busiest service of the Hesabu deployment: small
// servers, few of them in one region, and an objective that a cold response just
// misses.
func smallServers(seed uint64) simConfig {
	return simConfig{
		seed:            seed,
		serversByRegion: map[string]int{"arusha": 2, "dar": 6, "mwanza": 6},
		slots:           3, queue: 9, cacheSize: 47,
		cold: 240 * time.Millisecond, warm: 72 * time.Millisecond,
		objective: 230 * time.Millisecond, limit: 1200 * time.Millisecond, remoteRoundTrip: 70 * time.Millisecond,
		objectsPerRegion: 98, instances: 4, length: 30 * time.Second,
		rate: func(r string, t time.Duration) float64 { return 78 * wave(t, float64(len(r))/3) },
	}
}

// slowService resembles the third service of the grown Kallitexnis deployment:
// the route's timeout is about the time of a cold response.
func slowService(seed uint64) simConfig {
	return simConfig{
		seed:            seed,
		serversByRegion: map[string]int{"attiki": 10, "makedonia": 10, "kriti": 10},
		slots:           9, queue: 18, cacheSize: 40, cachesAtEnd: true,
		cold: 3024 * time.Millisecond, warm: 907 * time.Millisecond,
		objective: 1480 * time.Millisecond, limit: 3 * time.Second, remoteRoundTrip: 110 * time.Millisecond,
		objectsPerRegion: 260, instances: 5, length: 40 * time.Second,
		rate: func(string, time.Duration) float64 { return 48 },
	}
}

// atLoad sets a constant rate as a ratio of the capacity of all servers with
// warm caches.
func atLoad(base func(uint64) simConfig, ratio float64) func(uint64) simConfig {
	return func(seed uint64) simConfig {
		c := base(seed)
		slots := sum(c.serversByRegion) * c.slots
		perRegion := ratio * float64(slots) / c.warm.Seconds() / float64(len(c.serversByRegion))
		c.rate = func(string, time.Duration) float64 { return perRegion }
		return c
	}
}

// BenchmarkPatterns reports the outcomes of the requests of each load pattern. It
// compares two versions of the balancer in seconds, without the users' bench.
func BenchmarkPatterns(b *testing.B) {
	for _, p := range []struct {
		name string
		cfg  func(uint64) simConfig
	}{
		{"catalogue", skewedRegions},
		{"catalogue/burst", burst},
		{"catalogue/load=0.75", atLoad(skewedRegions, 0.75)},
		{"catalogue/load=1.0", atLoad(skewedRegions, 1)},
		{"catalogue/load=1.5", atLoad(skewedRegions, 1.5)},
		{"catalogue/slow", slowServer},
		{"ledger", slowService},
		{"salio", smallServers},
		{"salio/load=1.3", atLoad(smallServers, 1.3)},
	} {
		b.Run(p.name, func(b *testing.B) {
			var total window
			for i := range b.N {
				s := newSim(p.cfg(uint64(i%5) + 1))
				s.run()
				for _, w := range s.windows {
					total.requests += w.requests
					total.inObjective += w.inObjective
					total.late += w.late
					total.refused += w.refused
					total.lost += w.lost
				}
			}
			requests := float64(total.requests)
			b.ReportMetric(float64(total.inObjective)/requests, "in-objective")
			b.ReportMetric(float64(total.late)/requests, "late")
			b.ReportMetric(float64(total.refused)/requests, "refused")
			b.ReportMetric(float64(total.lost)/requests, "lost")
		})
	}
}

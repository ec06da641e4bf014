package bench

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
	"github.com/dandelionrack/dandelionrack/pkg/config"
)

// balancer picks a backend server for a request. done must be called when the
// request has ended.
type balancer interface {
	pick(servers []config.BackendServer) (server config.BackendServer, done func())
}

// randomBalancer picks each server with equal probability.
type randomBalancer struct{}

func (randomBalancer) pick(servers []config.BackendServer) (config.BackendServer, func()) {
	return servers[rand.IntN(len(servers))], func() {}
}

// exactBalancer picks the server with the smallest share of slots in use by its
// own counts. They are exact if it is the only client, so requests do not queue
// below capacity, and its latency is the lower bound that the system is compared
// with.
type exactBalancer struct {
	mu       sync.Mutex
	inFlight map[string]int
}

func newExactBalancer() *exactBalancer { return &exactBalancer{inFlight: map[string]int{}} }

func (b *exactBalancer) pick(servers []config.BackendServer) (config.BackendServer, func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := leastLoaded(servers, b.inFlight)
	b.inFlight[best.ID]++
	return best, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.inFlight[best.ID]--
	}
}

// leastLoaded returns the server with the smallest share of slots in use, and a
// random one of several that are equal.
func leastLoaded(servers []config.BackendServer, inFlight map[string]int) config.BackendServer {
	best, lowest, ties := servers[0], math.Inf(1), 0
	for _, s := range servers {
		load := float64(inFlight[s.ID]) / float64(s.Slots)
		switch {
		case load < lowest:
			best, lowest, ties = s, load, 1
		case load == lowest:
			ties++
			if rand.IntN(ties) == 0 {
				best = s
			}
		}
	}
	return best
}

const (
	// reportLag is the age of the load reports that leastReportedBalancer uses.
	reportLag = time.Second
	// reportInterval is the time between two reports.
	reportInterval = 100 * time.Millisecond
)

// leastReportedBalancer picks the server whose load report of reportLag ago shows
// the least load.
type leastReportedBalancer struct {
	mu      sync.Mutex
	reports []loadReport // oldest first
}

type loadReport struct {
	at       time.Time
	inFlight map[string]int
}

// poll collects reports until ctx ends. If reading a report fails, the previous
// one stays in use.
func (b *leastReportedBalancer) poll(ctx context.Context, read func(context.Context) (map[string]backendstandin.Stats, error)) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		if stats, err := read(ctx); err == nil {
			b.add(time.Now(), stats)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (b *leastReportedBalancer) add(now time.Time, stats map[string]backendstandin.Stats) {
	report := loadReport{at: now, inFlight: make(map[string]int, len(stats))}
	for id, s := range stats {
		report.inFlight[id] = s.InFlight
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports = append(b.reports, report)
	// Keep the newest report that is at least reportLag old, and all newer ones.
	for len(b.reports) > 1 && now.Sub(b.reports[1].at) >= reportLag {
		b.reports = slices.Delete(b.reports, 0, 1)
	}
}

func (b *leastReportedBalancer) pick(servers []config.BackendServer) (config.BackendServer, func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var inFlight map[string]int
	if len(b.reports) > 0 {
		inFlight = b.reports[0].inFlight
	}
	return leastLoaded(servers, inFlight), func() {}
}

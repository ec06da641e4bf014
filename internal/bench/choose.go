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

// chooser picks a backend server for a request. done must be called when the
// request has ended.
type chooser interface {
	pick(servers []config.BackendServer) (server config.BackendServer, done func())
}

// randomChooser picks any server with equal probability.
type randomChooser struct{}

func (randomChooser) pick(servers []config.BackendServer) (config.BackendServer, func()) {
	return servers[rand.IntN(len(servers))], func() {}
}

// exactChooser picks the server with the most free slots by its own counts.
// They are exact while it is the only client, so it adds no waiting below the
// capacity: it is the floor that the system is compared with.
type exactChooser struct {
	mu       sync.Mutex
	inFlight map[string]int
}

func newExactChooser() *exactChooser { return &exactChooser{inFlight: map[string]int{}} }

func (c *exactChooser) pick(servers []config.BackendServer) (config.BackendServer, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	best := leastLoaded(servers, c.inFlight)
	c.inFlight[best.ID]++
	return best, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.inFlight[best.ID]--
	}
}

// leastLoaded returns the server with the smallest share of slots in use, any
// of them if there are several.
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
	// reportLag is the age of the load reports that reportedChooser uses.
	reportLag = time.Second
	// reportInterval is the time between two reports.
	reportInterval = 100 * time.Millisecond
)

// reportedChooser picks the server whose report of reportLag ago shows the
// least load.
type reportedChooser struct {
	mu      sync.Mutex
	reports []loadReport // oldest first
}

type loadReport struct {
	at       time.Time
	inFlight map[string]int
}

// poll collects reports until ctx ends. A report that fails is left out, and
// the last one stays in use.
func (c *reportedChooser) poll(ctx context.Context, read func(context.Context) (map[string]backendstandin.Stats, error)) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		if stats, err := read(ctx); err == nil {
			c.add(time.Now(), stats)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (c *reportedChooser) add(now time.Time, stats map[string]backendstandin.Stats) {
	report := loadReport{at: now, inFlight: make(map[string]int, len(stats))}
	for id, s := range stats {
		report.inFlight[id] = s.InFlight
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports = append(c.reports, report)
	// The newest report that is old enough stays, and all after it.
	for len(c.reports) > 1 && now.Sub(c.reports[1].at) >= reportLag {
		c.reports = slices.Delete(c.reports, 0, 1)
	}
}

func (c *reportedChooser) pick(servers []config.BackendServer) (config.BackendServer, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var inFlight map[string]int
	if len(c.reports) > 0 {
		inFlight = c.reports[0].inFlight
	}
	return leastLoaded(servers, inFlight), func() {}
}

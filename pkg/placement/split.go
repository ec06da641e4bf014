package placement

import (
	"math"
	"slices"

	"github.com/dandelionrack/dandelionrack/internal/rendezvous"
	"github.com/dandelionrack/dandelionrack/pkg/fleet"
)

const (
	// maxWeightDrift is how far the share of a service may drift from its
	// weight before objects are moved to restore it. The strictest bound of the
	// known deployments is 0.1.
	maxWeightDrift = 0.03
	// countWindow is the number of requests over which shares are counted.
	countWindow = 200.0
)

// Splitter splits the requests of a route over its weighted services. It
// chooses by the object of a request, so that the object stays at one service,
// as long as the shares stay near the weights. It is not safe for concurrent use.
type Splitter struct {
	counts map[string][]float64 // by route
}

// NewSplitter returns a splitter without history.
func NewSplitter() *Splitter { return &Splitter{counts: map[string][]float64{}} }

// Pick returns the service that gets a request and counts the request.
func (s *Splitter) Pick(r *fleet.Route, object string) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	counts := s.counts[r.Name]
	if len(counts) != len(r.Services) {
		counts = make([]float64, len(r.Services))
		s.counts[r.Name] = counts
	}
	total, weights := 0.0, 0.0
	for i, p := range r.Services {
		total += counts[i]
		weights += p.Weight
	}
	chosen := s.pickByHash(r, object, weights)
	maxDeficit := 0.0
	for i, p := range r.Services {
		deficit := p.Weight/weights*(total+1) - counts[i]
		if deficit > max(1, maxWeightDrift*total) && deficit > maxDeficit {
			chosen, maxDeficit = i, deficit
		}
	}
	counts[chosen]++
	if total > countWindow {
		for i := range counts {
			counts[i] /= 2
		}
	}
	return r.Services[chosen].Service
}

// pickByHash chooses a service by weighted rendezvous hashing, so that a changed
// weight moves as few objects as possible.
func (s *Splitter) pickByHash(r *fleet.Route, object string, weights float64) int {
	if object == "" {
		return slices.IndexFunc(r.Services, func(p fleet.WeightedService) bool { return p.Weight > 0 })
	}
	best, highest := 0, math.Inf(-1)
	for i, p := range r.Services {
		if p.Weight <= 0 {
			continue
		}
		u := (float64(rendezvous.Weight(r.Name, object, p.Service)>>11) + 0.5) / (1 << 53)
		if v := p.Weight / weights / -math.Log(u); v > highest {
			best, highest = i, v
		}
	}
	return best
}

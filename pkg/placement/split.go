package placement

import (
	"math"
	"slices"

	"github.com/dandelionrack/dandelionrack/internal/rendezvous"
	"github.com/dandelionrack/dandelionrack/pkg/fleet"
)

const (
	// partDrift is how far the share of a part may drift from its weight
	// before objects are moved for it. The tightest bound of the sites is 0.1.
	partDrift = 0.03
	// partMemory is the number of requests over which shares are counted.
	partMemory = 200.0
)

// Splitter chooses the part of a route for each request. A request's object
// decides, so that the object stays at one part, as long as the shares of the
// parts stay near their weights. It is pure; one goroutine at a time may use it.
type Splitter struct {
	counts map[string][]float64 // by route
}

// NewSplitter returns a splitter without history.
func NewSplitter() *Splitter { return &Splitter{counts: map[string][]float64{}} }

// Pick returns the service that gets a request, and counts it.
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
	chosen := s.byObject(r, object, weights)
	most := 0.0
	for i, p := range r.Services {
		missing := p.Weight/weights*(total+1) - counts[i]
		if missing > max(1, partDrift*total) && missing > most {
			chosen, most = i, missing
		}
	}
	counts[chosen]++
	if total > partMemory {
		for i := range counts {
			counts[i] /= 2
		}
	}
	return r.Services[chosen].Service
}

// byObject draws a part by weighted rendezvous, so that a changed weight moves
// as few objects as possible.
func (s *Splitter) byObject(r *fleet.Route, object string, weights float64) int {
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

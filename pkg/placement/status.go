package placement

import (
	"cmp"
	"slices"
	"time"
)

// Status is what is believed of a server.
type Status struct {
	ID          string  `json:"id"`
	Service     string  `json:"service"`
	Slots       int     `json:"slots"`
	InFlight    int     `json:"in_flight"`
	Load        int     `json:"load"` // with the requests of other instances
	Slowdown    float64 `json:"speed"`
	Ejected     bool    `json:"ejected"`
	Cold        bool    `json:"cold"`
	WarmObjects int     `json:"warm_objects"`
}

// Snapshot returns the state of all servers in id order.
func (b *Balancer) Snapshot(now time.Time) []Status {
	out := make([]Status, 0, len(b.servers))
	for _, s := range b.servers {
		out = append(out, Status{
			ID: s.ID, Service: s.Service, Slots: s.Slots, InFlight: len(s.flights), Load: s.load(now),
			Slowdown: s.speedNow(now), Ejected: now.Before(s.ejected), Cold: now.Before(s.ColdUntil), WarmObjects: len(s.warm),
		})
	}
	slices.SortFunc(out, func(x, y Status) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// RemoteShares returns, by service, the share of objects that are placed in other
// regions.
func (b *Balancer) RemoteShares() map[string]float64 {
	out := make(map[string]float64, len(b.spreads))
	for service, s := range b.spreads {
		out[service] = s.share
	}
	return out
}

package placement

import (
	"cmp"
	"slices"
	"time"
)

// Status is the balancer's view of a server.
type Status struct {
	ID          string  `json:"id"`
	Service     string  `json:"service"`
	Slots       int     `json:"slots"`
	InFlight    int     `json:"in_flight"` // sent by this instance
	Load        int     `json:"load"`      // including requests of other instances
	Slowdown    float64 `json:"speed"`
	Ejected     bool    `json:"ejected"`
	Cold        bool    `json:"cold"`
	WarmObjects int     `json:"warm_objects"`
	// Moved is the share of the server's objects that is moved to other servers, and
	// Said how slow the server says that it is; both are absent without even load.
	Moved float64 `json:"moved,omitempty"`
	Said  float64 `json:"said_speed,omitempty"`
	// Limit is the rate that the server takes from all instances, and Share that
	// of this one; both are absent if it has named no limit.
	Limit float64 `json:"limit,omitempty"`
	Share float64 `json:"share,omitempty"`
}

// Snapshot returns the status of all servers in id order.
func (b *Balancer) Snapshot(now time.Time) []Status {
	out := make([]Status, 0, len(b.servers))
	for _, s := range b.servers {
		status := Status{
			ID: s.ID, Service: s.Service, Slots: s.Slots, InFlight: len(s.pending), Load: s.load(now),
			Slowdown: s.currentSlowdown(now), Ejected: now.Before(s.ejectedUntil), Cold: now.Before(s.ColdUntil), WarmObjects: len(s.warmObjects),
			Moved: s.even.moved, Said: s.even.currentSlowdown(now),
		}
		if s.RateLimit != nil {
			status.Limit, status.Share = s.RateLimit.PerSecond, s.RateLimit.Share
		}
		out = append(out, status)
	}
	slices.SortFunc(out, func(x, y Status) int { return cmp.Compare(x.ID, y.ID) })
	return out
}

// RemoteShares returns, by service, the share of objects placed in other regions.
func (b *Balancer) RemoteShares() map[string]float64 {
	out := make(map[string]float64, len(b.remoteShares))
	for service, s := range b.remoteShares {
		out[service] = s.share
	}
	return out
}

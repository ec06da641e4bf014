package placement

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Even load. The rendezvous hash gives some servers far more objects than others, and an
// instance among many hardly ever hears from the server that it is about to choose. So
// the instances of a region tell each other which servers are loaded (Loads,
// RecordLoads), and each server has a share of its objects that is moved to the next
// server of their rankings. All instances compute these shares from about the same
// reports, and the shares change slowly against the age of the reports: instances that
// know the same old figure move the same few objects, each to another server, instead of
// all requests to the same one.
//
// It is in force for a service whose servers say how slow they are at the moment.

const (
	// loadTimeConstant is the time constant of a server's mean load, and minLoadWeight
	// the smallest weight of a report in it.
	loadTimeConstant = time.Second
	minLoadWeight    = 0.15
	// loadTTL is how long a mean load is used.
	loadTTL = 4 * time.Second
	// moveRate is the change of the moved share per second and unit of utilization above
	// or below the target. A server at twice its slots loses a third of its objects in
	// a second, at which time its reports show the effect.
	moveRate = 0.3
	maxMoved = 0.9
	// A server may have targetExcess times the mean utilization of its group, and at
	// least minTarget: below that hardly any request waits for a slot.
	targetExcess = 1.15
	minTarget    = 0.65
	maxTarget    = 1.3
	// spareLoadFactor is the load per slot that late requests may add to a server for
	// each unit of utilization that its group has left.
	spareLoadFactor = 2.0
	// minSpareLoad is the least that they may add. A queue of a slot's length delays an
	// answer by one service time; most of its credit would be lost with a refusal.
	minSpareLoad = 1.0
	// Objects are moved at the full rate up to roomyUtilization of the group and no more
	// from fullUtilization on: a moved object is cold, which costs three times the work.
	roomyUtilization = 0.6
	fullUtilization  = 0.9
	// unknownUtilization is assumed of servers without a recent report. Only loaded
	// servers are reported.
	unknownUtilization = 0.4
	// Servers with at least reportedUtilization or reportedSlowdown are reported to
	// peers, at most maxLoadReports of those that this instance has heard from within
	// loadReportAge.
	reportedUtilization = 0.6
	reportedSlowdown    = 1.3
	maxLoadReports      = 24
	loadReportAge       = 1200 * time.Millisecond
)

// evenState is the state of one server.
type evenState struct {
	key      uint32 // identifies the server in reports
	load     float64
	slowdown float64 // mean of what the server says; 0: nothing
	knownAt  time.Time
	heardAt  time.Time // last response to this instance
	moved    float64   // share of its objects that is moved
	movedAt  time.Time
}

// LoadReport is the mean load of a server, for other entry instances of the region.
type LoadReport struct {
	Server   uint32  // hash of its id
	Load     float64 // requests running and waiting
	Slowdown float64 // 0: unknown
}

// serverKey returns the key of a server in reports.
func serverKey(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum32()
}

// observe adds a report to the mean load of a server.
func (e *evenState) observe(now time.Time, load, slowdown float64) {
	age := now.Sub(e.knownAt)
	weight := max(minLoadWeight, 1-math.Exp(-age.Seconds()/loadTimeConstant.Seconds()))
	if age >= loadTTL {
		weight = 1
	}
	e.load += weight * (load - e.load)
	if slowdown > 0 {
		if e.slowdown == 0 {
			e.slowdown = slowdown
		}
		e.slowdown += weight * (slowdown - e.slowdown)
	}
	e.knownAt = now
}

// observeLoad records what a server says in a response.
func (b *Balancer) observeLoad(now time.Time, s *server, r Result) {
	if r.Slowdown > 0 && !b.even[s.Service] {
		b.even[s.Service] = true
	}
	if !b.even[s.Service] {
		return
	}
	s.even.heardAt = now
	s.even.observe(now, float64(r.Load), r.Slowdown)
	b.updateMoved(now, s)
}

// updateMoved adapts the moved share of a server to its load.
func (b *Balancer) updateMoved(now time.Time, s *server) {
	e := &s.even
	dt := min(now.Sub(e.movedAt), loadTimeConstant)
	e.movedAt = now
	excess := e.load/float64(max(1, s.usableSlots())) - b.targetUtilization(s)
	change := max(-1, min(1, excess))
	if room := (fullUtilization - b.meanUtilization(s)) / (fullUtilization - roomyUtilization); change > 0 {
		change *= max(0, min(1, room))
	}
	e.moved = min(maxMoved, max(0, e.moved+moveRate*change*dt.Seconds()))
}

// spareLoadPerSlot returns by how much the load of a server, per slot, may exceed that of
// a server without even load before late requests are refused there. A queue at one
// server is served while the others of its group have room: objects are moved from it.
func (b *Balancer) spareLoadPerSlot(s *server) float64 {
	if !b.even[s.Service] {
		return 0
	}
	return max(minSpareLoad, spareLoadFactor*(1-b.meanUtilization(s)))
}

// meanUtilization returns the mean utilization of a server's group.
func (b *Balancer) meanUtilization(s *server) float64 {
	share := b.remoteShares[s.Service]
	switch {
	case share == nil:
		return unknownUtilization
	case s.local:
		return share.localMean
	default:
		return share.remoteMean
	}
}

// targetUtilization returns the utilization above which a server's objects are moved.
func (b *Balancer) targetUtilization(s *server) float64 {
	return min(maxTarget, max(minTarget, targetExcess*b.meanUtilization(s)))
}

// utilization returns the server's part of the mean utilization of its group.
func (e *evenState) utilization(now time.Time, slots int) float64 {
	if now.Sub(e.knownAt) >= loadTTL {
		return unknownUtilization
	}
	return e.load / float64(max(1, slots))
}

// movesObject reports whether an object is moved from a server to the next one of its
// ranking, given the server's weight in the ranking.
func (b *Balancer) movesObject(now time.Time, s *server, object string, weight uint64) bool {
	if object == "" || !b.even[s.Service] || s.even.moved == 0 {
		return false
	}
	if now.Sub(s.even.knownAt) >= loadTTL {
		return false
	}
	// The high bits are those by which the server ranks first.
	return float64(weight&math.MaxUint32)/(1<<32) < s.even.moved
}

// currentSlowdown returns how slow a server says that it is; 0 if it does not.
func (e *evenState) currentSlowdown(now time.Time) float64 {
	if now.Sub(e.knownAt) >= loadTTL {
		return 0
	}
	return e.slowdown
}

// Loads returns the servers that peers of the region should know of, the most loaded
// first.
func (b *Balancer) Loads(now time.Time) []LoadReport {
	var loaded []*server
	for service := range b.even {
		for _, s := range b.byService[service] {
			e := &s.even
			if now.Sub(e.heardAt) > loadReportAge {
				continue
			}
			if e.moved > 0 || e.slowdown >= reportedSlowdown || e.load >= reportedUtilization*float64(s.Slots) {
				loaded = append(loaded, s)
			}
		}
	}
	perSlot := func(s *server) float64 { return s.even.load / float64(s.Slots) }
	slices.SortFunc(loaded, func(x, y *server) int { return cmp.Compare(perSlot(y), perSlot(x)) })
	out := make([]LoadReport, 0, min(maxLoadReports, len(loaded)))
	for _, s := range loaded[:min(maxLoadReports, len(loaded))] {
		out = append(out, LoadReport{Server: s.even.key, Load: s.even.load, Slowdown: s.even.slowdown})
	}
	return out
}

// maxReportedLoad bounds the load in a report.
const maxReportedLoad = 1 << 20

// RecordLoads applies the reports of another entry instance of the region.
func (b *Balancer) RecordLoads(now time.Time, reports []LoadReport) {
	if len(reports) == 0 {
		return
	}
	byKey := make(map[uint32]LoadReport, len(reports))
	for _, r := range reports {
		if r.Load >= 0 && r.Load <= maxReportedLoad && r.Slowdown >= 0 && r.Slowdown <= maxSlowdown {
			byKey[r.Server] = r
		}
	}
	for _, s := range b.servers {
		r, ok := byKey[s.even.key]
		if !ok {
			continue
		}
		b.even[s.Service] = true
		s.even.observe(now, r.Load, r.Slowdown)
		b.updateMoved(now, s)
		if now.Sub(s.loadReportedAt) >= loadTimeConstant {
			s.othersLoad = max(0, r.Load-float64(len(s.pending)))
			s.othersLoadMean, s.loadReportedAt = s.othersLoad, now
		}
	}
}

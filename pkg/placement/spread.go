package placement

import (
	"time"

	"github.com/dandelionrack/dandelionrack/internal/rendezvous"
)

const (
	// spreadTick is the least time between two steps of a spread.
	spreadTick = 100 * time.Millisecond
	// spreadUp and spreadDown bound how fast the far share of a service moves,
	// per second. The sites allow 15 % of a region's requests to change their
	// region within 2 s; this gives out two thirds of that.
	spreadUp   = 0.05
	spreadDown = 0.04
	// spreadDrift is the speed at which the share falls without a reason to
	// keep it.
	spreadDrift = 0.01
	// busy is the utilization of the own region above which objects move to
	// other regions, and idle the one below which they come back. At 0.8 the
	// wait for a slot is still short against the work.
	busy = 0.8
	idle = 0.55
	// spreadGap is by how much the regions' utilizations must differ before
	// objects move; less is noise.
	spreadGap = 0.1
	// loadMemory is the time constant of the utilization.
	loadMemory = 500 * time.Millisecond
	// spillRatio is the share of requests that may leave the group of regions
	// that the spread says, because no server there can take them; with
	// spreadUp it stays below the allowed shift.
	spillRatio = 0.02
	spillMost  = 1.0
)

// spread is the share of a service's objects that are placed in other regions.
// An object is far if its hash is below the share, so a small change of the
// share moves few objects, and entry instances with about the same share agree
// on most.
type spread struct {
	share     float64
	near, far float64 // moving utilization
	at        time.Time
	spill     float64 // tokens
}

// newSpread starts with the share that suits equal demand in all regions.
func newSpread(now time.Time, nearSlots, farSlots, regions int) *spread {
	s := &spread{at: now, spill: spillMost}
	if total := nearSlots + farSlots; total > 0 {
		s.share = max(0, 1-float64(nearSlots)/float64(total)*float64(max(1, regions)))
	}
	return s
}

// step moves the share by the utilization of the own and the other regions.
func (s *spread) step(now time.Time, near, far utilization) {
	dt := now.Sub(s.at)
	if dt < spreadTick {
		return
	}
	s.at = now
	dt = min(dt, loadMemory)
	weight := float64(dt) / float64(loadMemory)
	s.near += weight * (near.ratio() - s.near)
	s.far += weight * (far.ratio() - s.far)
	switch {
	case near.slots == 0:
		s.share = 1
	case far.slots == 0:
		s.share = 0
	case s.near > busy && s.near > s.far+spreadGap:
		s.share = min(1, s.share+spreadUp*dt.Seconds())
	case s.near < idle || s.far > s.near+spreadGap:
		s.share = max(0, s.share-spreadDown*dt.Seconds())
	default:
		// Without a difference objects come home slowly: regions that are all
		// full must not swap their objects.
		s.share = max(0, s.share-spreadDrift*dt.Seconds())
	}
}

func (s *spread) isFar(service, object string) bool {
	return s.share > 0 && float64(rendezvous.Weight(service, object, "")>>11)/(1<<53) < s.share
}

// request pays in, takeSpill takes out.
func (s *spread) request() { s.spill = min(spillMost, s.spill+spillRatio) }

func (s *spread) takeSpill() { s.spill = max(0, s.spill-1) }

// utilization is the load of a group of servers.
type utilization struct {
	load  float64
	slots int
}

func (u utilization) ratio() float64 {
	if u.slots == 0 {
		return 0
	}
	return u.load / float64(u.slots)
}

// spreadOf returns the spread of a service after its next step.
func (b *Balancer) spreadOf(now time.Time, service string) *spread {
	s := b.spreads[service]
	if s != nil && now.Sub(s.at) < spreadTick {
		return s
	}
	var near, far utilization
	regions := map[string]bool{}
	for _, srv := range b.byService[service] {
		regions[srv.Region] = true
		if now.Before(srv.ejected) {
			continue
		}
		u := &far
		if srv.Region == b.region {
			u = &near
		}
		u.slots += srv.Slots
		u.load += float64(srv.load(now))
	}
	if s == nil {
		s = newSpread(now, near.slots, far.slots, len(regions))
		b.spreads[service] = s
		return s
	}
	s.step(now, near, far)
	return s
}

package placement

import (
	"time"

	"github.com/dandelionrack/dandelionrack/internal/rendezvous"
)

const (
	// shareUpdateInterval is the minimum time between updates of a share.
	shareUpdateInterval = 100 * time.Millisecond
	// shareIncreaseRate and shareDecreaseRate are the speeds, per second, at
	// which the remote share of a service changes. The known deployments allow
	// 15 % of a region's requests to change their serving region within 2 s;
	// this uses two thirds of that.
	shareIncreaseRate = 0.05
	shareDecreaseRate = 0.04
	// shareDecayRate is the speed, per second, at which the share falls when
	// utilization gives no reason to keep it.
	shareDecayRate = 0.01
	// highUtilization is the utilization of the local region above which
	// objects move to other regions, and lowUtilization the one below which
	// they move back. At 0.8 the wait for a slot is still short against the
	// service time.
	highUtilization = 0.8
	lowUtilization  = 0.55
	// minUtilizationGap is the difference between the regions' utilizations
	// that moves objects; smaller ones are noise.
	minUtilizationGap = 0.1
	// utilizationTimeConstant is the time constant of the moving averages of
	// the utilization.
	utilizationTimeConstant = 500 * time.Millisecond
	// spillRatio is the share of requests that may leave the group of regions
	// in which their object is placed, because no server there can take them.
	// Together with shareIncreaseRate it stays below the allowed shift.
	spillRatio     = 0.02
	maxSpillTokens = 1.0
)

// remoteShare controls the share of a service's objects that are placed in other
// regions. An object is remote if its hash is below the share, so a small change
// of the share moves few objects, and entry instances with about the same share
// agree on most.
type remoteShare struct {
	share                               float64
	localUtilization, remoteUtilization float64 // moving averages
	updatedAt                           time.Time
	spillTokens                         float64
}

// newRemoteShare starts with the share that suits equal demand in all regions.
func newRemoteShare(now time.Time, localSlots, remoteSlots, regions int) *remoteShare {
	s := &remoteShare{updatedAt: now, spillTokens: maxSpillTokens}
	if total := localSlots + remoteSlots; total > 0 {
		s.share = max(0, 1-float64(localSlots)/float64(total)*float64(max(1, regions)))
	}
	return s
}

// update adjusts the share to the utilization of the local and other regions.
func (s *remoteShare) update(now time.Time, local, remote utilization) {
	dt := now.Sub(s.updatedAt)
	if dt < shareUpdateInterval {
		return
	}
	s.updatedAt = now
	dt = min(dt, utilizationTimeConstant)
	weight := float64(dt) / float64(utilizationTimeConstant)
	s.localUtilization += weight * (local.ratio() - s.localUtilization)
	s.remoteUtilization += weight * (remote.ratio() - s.remoteUtilization)
	switch {
	case local.slots == 0:
		s.share = 1
	case remote.slots == 0:
		s.share = 0
	case s.localUtilization > highUtilization && s.localUtilization > s.remoteUtilization+minUtilizationGap:
		s.share = min(1, s.share+shareIncreaseRate*dt.Seconds())
	case s.localUtilization < lowUtilization || s.remoteUtilization > s.localUtilization+minUtilizationGap:
		s.share = max(0, s.share-shareDecreaseRate*dt.Seconds())
	default:
		// Without a clear difference, objects move back slowly: regions that
		// are all full must not exchange objects.
		s.share = max(0, s.share-shareDecayRate*dt.Seconds())
	}
}

func (s *remoteShare) isRemote(service, object string) bool {
	return s.share > 0 && float64(rendezvous.Weight(service, object, "")>>11)/(1<<53) < s.share
}

// addSpillTokens grants the tokens for one request, spendSpillToken takes one.
func (s *remoteShare) addSpillTokens() { s.spillTokens = min(maxSpillTokens, s.spillTokens+spillRatio) }

func (s *remoteShare) spendSpillToken() { s.spillTokens = max(0, s.spillTokens-1) }

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

// remoteShareOf returns the up-to-date remote share of a service.
func (b *Balancer) remoteShareOf(now time.Time, service string) *remoteShare {
	s := b.remoteShares[service]
	if s != nil && now.Sub(s.updatedAt) < shareUpdateInterval {
		return s
	}
	var local, remote utilization
	regions := map[string]bool{}
	for _, srv := range b.byService[service] {
		regions[srv.Region] = true
		if now.Before(srv.ejectedUntil) {
			continue
		}
		u := &remote
		if srv.Region == b.region {
			u = &local
		}
		u.slots += srv.Slots
		u.load += float64(srv.load(now))
	}
	if s == nil {
		s = newRemoteShare(now, local.slots, remote.slots, len(regions))
		b.remoteShares[service] = s
		return s
	}
	s.update(now, local, remote)
	return s
}

package placement

import (
	"time"

	"github.com/dandelionrack/dandelionrack/internal/rendezvous"
)

const (
	// shareUpdateInterval is the minimum time between updates of a share.
	shareUpdateInterval = 100 * time.Millisecond
	// shareIncreaseRate and shareDecreaseRate are the speeds, per second, at
	// which the remote share of a service changes, in units of the share of a
	// region's requests that may change their serving region within 2 s. The
	// increase uses two thirds of that.
	shareIncreaseRate = 1.0 / 3
	shareDecreaseRate = 4.0 / 15
	// shareDecayRate is the speed at which the share falls when utilization
	// gives no reason to keep it, in the same unit.
	shareDecayRate = 1.0 / 15
	// defaultMaxShift is the allowed shift unless SetMaxShift sets one, and
	// maxMaxShift the largest that is used: utilization is measured over half a
	// second, and faster changes would overshoot.
	defaultMaxShift = 0.15
	maxMaxShift     = 0.3
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
	// Together with shareIncreaseRate it stays below the allowed shift, in whose
	// units it is.
	spillRatio     = 2.0 / 15
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
	// localMean and remoteMean are the mean utilizations that even load compares with.
	localMean, remoteMean float64
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
func (s *remoteShare) update(now time.Time, local, remote utilization, maxShift float64) {
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
		s.share = min(1, s.share+maxShift*shareIncreaseRate*dt.Seconds())
	case s.localUtilization < lowUtilization || s.remoteUtilization > s.localUtilization+minUtilizationGap:
		s.share = max(0, s.share-maxShift*shareDecreaseRate*dt.Seconds())
	default:
		// Without a clear difference, objects move back slowly: regions that
		// are all full must not exchange objects.
		s.share = max(0, s.share-maxShift*shareDecayRate*dt.Seconds())
	}
}

func (s *remoteShare) isRemote(service, object string) bool {
	return s.share > 0 && float64(rendezvous.Weight(service, object, "")>>11)/(1<<53) < s.share
}

// addSpillTokens grants the tokens for one request, spendSpillToken takes one.
func (s *remoteShare) addSpillTokens(maxShift float64) {
	s.spillTokens = min(maxSpillTokens, s.spillTokens+maxShift*spillRatio)
}

func (s *remoteShare) spendSpillToken() { s.spillTokens = max(0, s.spillTokens-1) }

// utilization is the load of a group of servers.
type utilization struct {
	load  float64
	slots int
	// sum is that of the utilizations of single servers, with even load.
	sum     float64
	servers int
}

func (u utilization) mean() float64 { return u.sum / float64(max(1, u.servers)) }

func (u utilization) ratio() float64 {
	if u.slots == 0 {
		return 0
	}
	return u.load / float64(u.slots)
}

// SetMaxShift sets the share of a region's requests that may change their serving
// region within 2 s.
func (b *Balancer) SetMaxShift(share float64) { b.maxShift = min(share, maxMaxShift) }

// remoteShareOf returns the up-to-date remote share of a service.
func (b *Balancer) remoteShareOf(now time.Time, service string) *remoteShare {
	s := b.remoteShares[service]
	if s != nil && now.Sub(s.updatedAt) < shareUpdateInterval {
		return s
	}
	var local, remote utilization
	even := b.even[service]
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
		u.slots += srv.usableSlots()
		u.load += float64(srv.load(now))
		if even {
			u.servers++
			u.sum += srv.even.utilization(now, srv.usableSlots())
		}
	}
	if s == nil {
		s = newRemoteShare(now, local.slots, remote.slots, len(regions))
		b.remoteShares[service] = s
		return s
	}
	s.update(now, local, remote, b.maxShift)
	s.localMean, s.remoteMean = local.mean(), remote.mean()
	return s
}

package lookup

import (
	"cmp"
	"hash/fnv"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/membership"
)

// unknownDelay ranks regions without a listed link after all others.
const unknownDelay = time.Duration(math.MaxInt64)

// Distance classes, nearest first.
const (
	sameFailureDomain = iota
	sameRegion
	otherRegion
)

type candidate struct {
	entry config.EntryInstance
	class int
	delay time.Duration
}

// Ranking holds the entry instances in order of their distance from one failure
// domain: those in the domain, then in its region, then by link delay. It is
// immutable, so that one Ranking serves many lookups.
type Ranking struct {
	groups [][]config.EntryInstance // entry instances at equal distance; nearest first
	total  int
}

// NewRanking ranks the ready entry instances. If none is ready, it ranks those
// in the states unknown and not ready; if there are none of these either, it
// ranks all others.
//
// The origin is a failure domain or a region; a name that is both means the
// failure domain. If origin is empty, the failure domain of self is used. Self
// counts as ready if stateOf has no state for it.
func NewRanking(dep *config.Deployment, origin string, stateOf func(entry string) membership.State, self string) *Ranking {
	if origin == "" {
		origin = failureDomainOf(dep, self)
	}
	sorted := measureDistances(dep, origin, mostAvailable(dep, stateOf, self))
	slices.SortFunc(sorted, compareCandidates)
	r := &Ranking{total: len(sorted)}
	for i, c := range sorted {
		if i == 0 || compareDistance(sorted[i-1], c) != 0 {
			r.groups = append(r.groups, nil)
		}
		last := len(r.groups) - 1
		r.groups[last] = append(r.groups[last], c.entry)
	}
	return r
}

// Top returns at most n entry instances for a client, best first. Entry instances
// at equal distance are rotated by a hash of the client address, to spread the
// load over them. If there are more than n entry instances, each distance except
// the last gets at most half of the remaining places, so that the result includes
// entry instances outside the client's own failure domain.
func (r *Ranking) Top(client netip.Addr, n int) []config.EntryInstance {
	hash := hashAddr(client)
	out := make([]config.EntryInstance, 0, min(n, r.total))
	for i, group := range r.groups {
		take := min(len(group), n-len(out))
		if r.total > n && i < len(r.groups)-1 {
			take = min(take, (n-len(out)+1)/2)
		}
		first := int(hash % uint64(len(group)))
		for k := range take {
			out = append(out, group[(first+k)%len(group)])
		}
	}
	return out
}

// Rank returns all entry instances for a client, best first.
func Rank(
	dep *config.Deployment,
	origin string,
	stateOf func(entry string) membership.State,
	self string,
	client netip.Addr,
) []config.EntryInstance {
	r := NewRanking(dep, origin, stateOf, self)
	return r.Top(client, r.total)
}

// availabilityTier orders states by how likely the entry instance is to respond;
// 0 is the most likely.
func availabilityTier(s membership.State) int {
	switch s {
	case membership.StateReady:
		return 0
	case membership.StateNotReady, membership.StateUnknown:
		return 1
	default:
		return 2
	}
}

// mostAvailable returns the entry instances of the best non-empty tier.
func mostAvailable(dep *config.Deployment, stateOf func(string) membership.State, self string) []config.EntryInstance {
	const tiers = 3
	var byTier [tiers][]config.EntryInstance
	for _, e := range dep.EntryInstances {
		state := stateOf(e.ID)
		if e.ID == self && (state == membership.StateUnknown || state == "") {
			state = membership.StateReady
		}
		n := availabilityTier(state)
		byTier[n] = append(byTier[n], e)
	}
	for _, entries := range byTier {
		if len(entries) > 0 {
			return entries
		}
	}
	return nil
}

func measureDistances(dep *config.Deployment, origin string, entries []config.EntryInstance) []candidate {
	region := dep.RegionOf(origin)
	if region == "" {
		// The target of a client block may also be a region.
		region = origin
	}
	delays := linkDelays(dep, region)
	out := make([]candidate, 0, len(entries))
	for _, e := range entries {
		c := candidate{entry: e, class: otherRegion}
		r := dep.RegionOf(e.FailureDomain)
		switch {
		case e.FailureDomain == origin:
			c.class = sameFailureDomain
		case r == region && region != "":
			c.class = sameRegion
		default:
			c.delay = unknownDelay
			if d, ok := delays[r]; ok {
				c.delay = d
			}
		}
		out = append(out, c)
	}
	return out
}

func linkDelays(dep *config.Deployment, region string) map[string]time.Duration {
	delays := make(map[string]time.Duration)
	for _, l := range dep.Links {
		switch region {
		case l.A:
			delays[l.B] = l.OneWayDelay.Std()
		case l.B:
			delays[l.A] = l.OneWayDelay.Std()
		}
	}
	return delays
}

func compareDistance(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.delay, b.delay))
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(compareDistance(a, b), cmp.Compare(a.entry.ID, b.entry.ID))
}

func failureDomainOf(dep *config.Deployment, entry string) string {
	for _, e := range dep.EntryInstances {
		if e.ID == entry {
			return e.FailureDomain
		}
	}
	return ""
}

// hashAddr returns the same hash in every process, so that a client gets the same
// order from every entry instance.
func hashAddr(client netip.Addr) uint64 {
	h := fnv.New64a()
	bytes := client.Unmap().As16()
	_, _ = h.Write(bytes[:])
	sum := h.Sum64()
	// The low bits of an FNV hash depend little on the first bytes of the input.
	return sum ^ sum>>32
}

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

// unknownDelay ranks regions without a listed link behind all others.
const unknownDelay = time.Duration(math.MaxInt64)

// Distance classes, nearest first.
const (
	sameDomain = iota
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
	runs  [][]config.EntryInstance // of equal distance, nearest first
	total int
}

// NewRanking ranks the ready entry instances. If none is ready, it ranks those
// in the states unknown and not ready; if there are none of these either, it
// ranks all others.
//
// The parameter from is a failure domain or a region; a name that is both means
// the failure domain. If from is empty, the failure domain of self is used. Self
// counts as ready when peers has no state for it.
func NewRanking(dep *config.Deployment, from string, peers func(entry string) membership.State, self string) *Ranking {
	if from == "" {
		from = domainOf(dep, self)
	}
	sorted := measure(dep, from, usable(dep, peers, self))
	slices.SortFunc(sorted, compare)
	o := &Ranking{total: len(sorted)}
	for i, c := range sorted {
		if i == 0 || compareDistance(sorted[i-1], c) != 0 {
			o.runs = append(o.runs, nil)
		}
		last := len(o.runs) - 1
		o.runs[last] = append(o.runs[last], c.entry)
	}
	return o
}

// Top returns at most n entry instances for a client, best first. Those of
// equal distance are rotated by a hash of the client's address, so that load
// spreads over them. When there are more than n, a distance gets at most half
// of the places that are left, so that the answer names entry instances outside
// the client's own failure domain.
func (o *Ranking) Top(client netip.Addr, n int) []config.EntryInstance {
	hash := hashOf(client)
	out := make([]config.EntryInstance, 0, min(n, o.total))
	for i, run := range o.runs {
		take := min(len(run), n-len(out))
		if o.total > n && i < len(o.runs)-1 {
			take = min(take, (n-len(out)+1)/2)
		}
		first := int(hash % uint64(len(run)))
		for k := range take {
			out = append(out, run[(first+k)%len(run)])
		}
	}
	return out
}

// Rank returns all entry instances for a client, best first.
func Rank(
	dep *config.Deployment,
	from string,
	peers func(entry string) membership.State,
	self string,
	client netip.Addr,
) []config.EntryInstance {
	o := NewRanking(dep, from, peers, self)
	return o.Top(client, o.total)
}

// tier orders states by how likely the entry instance answers.
func tier(s membership.State) int {
	switch s {
	case membership.StateReady:
		return 0
	case membership.StateNotReady, membership.StateUnknown:
		return 1
	default:
		return 2
	}
}

// usable returns the entry instances of the best tier that has any.
func usable(dep *config.Deployment, peers func(string) membership.State, self string) []config.EntryInstance {
	const tiers = 3
	var byTier [tiers][]config.EntryInstance
	for _, e := range dep.EntryInstances {
		state := peers(e.ID)
		if e.ID == self && (state == membership.StateUnknown || state == "") {
			state = membership.StateReady
		}
		n := tier(state)
		byTier[n] = append(byTier[n], e)
	}
	for _, entries := range byTier {
		if len(entries) > 0 {
			return entries
		}
	}
	return nil
}

func measure(dep *config.Deployment, from string, entries []config.EntryInstance) []candidate {
	region := dep.RegionOf(from)
	if region == "" {
		// The target of a client block may also be a region.
		region = from
	}
	delays := delaysFrom(dep, region)
	out := make([]candidate, 0, len(entries))
	for _, e := range entries {
		c := candidate{entry: e, class: otherRegion}
		r := dep.RegionOf(e.FailureDomain)
		switch {
		case e.FailureDomain == from:
			c.class = sameDomain
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

func delaysFrom(dep *config.Deployment, region string) map[string]time.Duration {
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

func compare(a, b candidate) int {
	return cmp.Or(compareDistance(a, b), cmp.Compare(a.entry.ID, b.entry.ID))
}

func domainOf(dep *config.Deployment, entry string) string {
	for _, e := range dep.EntryInstances {
		if e.ID == entry {
			return e.FailureDomain
		}
	}
	return ""
}

// hashOf is the same in every process, so that a client keeps its order of
// entry instances whichever of them it asks.
func hashOf(client netip.Addr) uint64 {
	h := fnv.New64a()
	bytes := client.Unmap().As16()
	_, _ = h.Write(bytes[:])
	sum := h.Sum64()
	// The low bits of FNV alone depend little on the early bytes.
	return sum ^ sum>>32
}

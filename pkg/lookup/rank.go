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

// Rank returns the entry instances for a client, best first: ready ones in
// the client's failure domain, then in its region, then by link delay.
// Entry instances of equal distance are rotated by a hash of the client's
// address, so that load spreads over them. Without any ready one it returns
// those that are unknown or not ready; without those, all others.
//
// If from is empty, the failure domain of self is used. Self counts as ready
// when peers has no state for it.
func Rank(
	dep *config.Deployment,
	from string,
	peers func(entry string) membership.State,
	self string,
	client netip.Addr,
) []config.EntryInstance {
	if from == "" {
		from = domainOf(dep, self)
	}
	found := usable(dep, peers, self)
	candidates := measure(dep, from, found)
	slices.SortFunc(candidates, compare)
	rotate(candidates, hashOf(client))
	out := make([]config.EntryInstance, len(candidates))
	for i, c := range candidates {
		out[i] = c.entry
	}
	return out
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

// rotate shifts each run of equal distance by the hash.
func rotate(sorted []candidate, hash uint64) {
	for start := 0; start < len(sorted); {
		end := start + 1
		for end < len(sorted) && compareDistance(sorted[start], sorted[end]) == 0 {
			end++
		}
		run := sorted[start:end]
		n := int(hash % uint64(len(run)))
		turned := slices.Concat(run[n:], run[:n])
		copy(run, turned)
		start = end
	}
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

// Package routing orders the places that a request may be sent to. It is pure:
// the caller passes the ages of heartbeats and a source of randomness.
//
// Order: this entry's own share, other seats of the same failure domain, other
// failure domains of the same region, at most Input.MaxFullPeers seats of the own
// domain that report no free slot, other regions by delay. Peers whose heartbeat
// is older than StaleAfter follow after all of these in the same order. Within a
// group, peers with more free slots tend to come first: each place goes to the
// better of two peers drawn by weight. Entries that send at the same time
// therefore do not all choose the peer that was best in the latest heartbeat.
package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Ages of heartbeats.
const (
	// StaleAfter is five heartbeat intervals. The free slots of an older
	// report say little.
	StaleAfter = time.Second
	// SilentAfter is the age at which a peer is not tried at all.
	SilentAfter = 3 * time.Second
)

// State is what is known of a peer.
type State int

// States of a peer. Only a ready peer is a candidate.
const (
	StateReady State = iota
	StateNotReady
	StateLeaving
	StateSilent
	StateGone
)

// Reasons for which a place is no candidate.
const (
	ReasonNotReady         = "peer_not_ready"
	ReasonLeaving          = "peer_leaving"
	ReasonSilent           = "peer_silent"
	ReasonGone             = "peer_gone"
	ReasonAlreadyTried     = "already_tried"
	ReasonRegionNotAllowed = "region_not_allowed"
	ReasonShiftOrLinkLimit = "shift_or_link_limit"
	ReasonNoFreeSlot       = "no_free_slot"
	ReasonRegionReserve    = "region_reserve"
	ReasonDeadline         = "deadline"
	ReasonOtherRegion      = "bound_to_other_region"
)

// Peer is another entry instance as known from its heartbeats.
type Peer struct {
	Entry, FailureDomain, Region string
	// Free is the number of free slots for the service.
	Free         int
	HeartbeatAge time.Duration // of the heartbeat
	State        State
}

// Self is the entry instance that decides.
type Self struct {
	Entry, FailureDomain, Region string
}

// Input is everything that the order depends on.
type Input struct {
	Self       Self
	Service    string
	HomeRegion string
	// AllowedRegions lists where the contract lets the service run; empty
	// means everywhere.
	AllowedRegions []string
	// OnlyRegion binds the request to one region, for a request that must not
	// return home yet (shift.Limiter.ReturnBlocked); empty binds to none.
	OnlyRegion string
	Peers      []Peer
	LocalFree  int
	// Delay is the one-way delay between two regions; nil means zero.
	Delay func(a, b string) time.Duration
	// Permitted says whether shift cap and link budget allow a region now;
	// nil permits all. It must not count anything.
	Permitted func(region string) bool
	// Exclude lists entry instances that were tried already.
	Exclude []string
	// TimeLeft is the time until the deadline, 0 if unknown, and ServiceTime the
	// recent time that a server needs.
	TimeLeft, ServiceTime time.Duration
	// RegionReserve is the number of free slots that another region keeps for
	// its own callers: only a region that reports more is used.
	RegionReserve int
	// MaxFullPeers is the number of seats of the own failure domain that are asked
	// although their latest heartbeat reports no free slot. With few slots a
	// share is full and free again several times between two heartbeats.
	MaxFullPeers int
	// Rand draws the order within a group; nil orders by free slots.
	Rand *rand.Rand
}

// Candidate is a place that the request may be sent to.
type Candidate struct {
	Entry, FailureDomain, Region string
	Local                        bool // this entry's own share
	Free                         int
	Stale                        bool
}

// Exclusion says why a place is no candidate.
type Exclusion struct {
	Entry, Region, Reason string
}

// Candidates returns the places to try, best first.
func Candidates(in Input) []Candidate {
	candidates, _ := Plan(in)
	return candidates
}

// Plan returns the places to try, best first, and why the others are left out.
// The own share comes first even without a free slot, since only it can queue.
func Plan(in Input) ([]Candidate, []Exclusion) {
	var out []Candidate
	var excluded []Exclusion
	self := Peer{Entry: in.Self.Entry, FailureDomain: in.Self.FailureDomain, Region: in.Self.Region, Free: in.LocalFree}
	if reason := in.regionReason(self); reason != "" {
		excluded = append(excluded, Exclusion{self.Entry, self.Region, reason})
	} else if slices.Contains(in.Exclude, self.Entry) {
		excluded = append(excluded, Exclusion{self.Entry, self.Region, ReasonAlreadyTried})
	} else {
		out = append(out, Candidate{self.Entry, self.FailureDomain, self.Region, true, self.Free, false})
	}
	free := in.regionFree()
	groups := make(map[group][]Peer)
	full := in.askFull()
	for _, p := range in.Peers {
		reason := in.reason(p, free)
		if reason == ReasonNoFreeSlot && full[p.Entry] {
			reason = ""
		}
		if reason != "" {
			excluded = append(excluded, Exclusion{p.Entry, p.Region, reason})
			continue
		}
		g := in.groupOf(p)
		groups[g] = append(groups[g], p)
	}
	for _, g := range sortedGroups(groups) {
		for _, p := range draw(groups[g], in.Rand) {
			out = append(out, Candidate{p.Entry, p.FailureDomain, p.Region, false, p.Free, g.stale})
		}
	}
	return out, excluded
}

// askFull chooses the seats to ask although they report no free slot.
func (in Input) askFull() map[string]bool {
	var full []string
	for _, p := range in.Peers {
		if p.FailureDomain == in.Self.FailureDomain && p.Free <= 0 && p.HeartbeatAge <= StaleAfter {
			full = append(full, p.Entry)
		}
	}
	if in.Rand != nil {
		in.Rand.Shuffle(len(full), func(i, j int) { full[i], full[j] = full[j], full[i] })
	}
	out := make(map[string]bool, in.MaxFullPeers)
	for _, id := range full[:min(len(full), in.MaxFullPeers)] {
		out[id] = true
	}
	return out
}

// regionFree adds up the known free slots of each region.
func (in Input) regionFree() map[string]int {
	free := make(map[string]int)
	for _, p := range in.Peers {
		if p.State == StateReady && p.HeartbeatAge <= SilentAfter {
			free[p.Region] += max(0, p.Free)
		}
	}
	return free
}

func (in Input) delay(region string) time.Duration {
	if in.Delay == nil || region == in.Self.Region {
		return 0
	}
	return in.Delay(in.Self.Region, region)
}

// regionReason says why the region of a place cannot be used.
func (in Input) regionReason(p Peer) string {
	switch {
	case len(in.AllowedRegions) > 0 && !slices.Contains(in.AllowedRegions, p.Region):
		return ReasonRegionNotAllowed
	case in.OnlyRegion != "" && p.Region != in.OnlyRegion:
		return ReasonOtherRegion
	case in.Permitted != nil && !in.Permitted(p.Region):
		return ReasonShiftOrLinkLimit
	case in.TimeLeft > 0 && 2*in.delay(p.Region)+in.ServiceTime > in.TimeLeft:
		return ReasonDeadline
	}
	return ""
}

// reason says why a peer is no candidate, or returns "".
func (in Input) reason(p Peer, free map[string]int) string {
	switch {
	case slices.Contains(in.Exclude, p.Entry):
		return ReasonAlreadyTried
	case p.State == StateNotReady:
		return ReasonNotReady
	case p.State == StateLeaving:
		return ReasonLeaving
	case p.State == StateGone:
		return ReasonGone
	case p.State == StateSilent || p.HeartbeatAge > SilentAfter:
		return ReasonSilent
	}
	if r := in.regionReason(p); r != "" {
		return r
	}
	if p.Free <= 0 {
		return ReasonNoFreeSlot
	}
	if p.Region != in.Self.Region && free[p.Region] <= in.RegionReserve {
		return ReasonRegionReserve
	}
	return ""
}

// group is a set of peers that are equally near.
type group struct {
	stale bool
	tier  int // 1 same domain, 2 same region, 3 full, 4 other region
	delay time.Duration
	// region keeps regions of equal delay apart, so that an order by region
	// stays stable.
	region string
}

func (in Input) groupOf(p Peer) group {
	g := group{stale: p.HeartbeatAge > StaleAfter, region: p.Region}
	switch {
	case p.Region != in.Self.Region:
		g.tier = 4
		g.delay = in.delay(p.Region)
	case p.Free <= 0:
		g.tier = 3
	case p.FailureDomain != in.Self.FailureDomain:
		g.tier = 2
	default:
		g.tier = 1
	}
	return g
}

func sortedGroups(groups map[group][]Peer) []group {
	order := make([]group, 0, len(groups))
	for g := range groups {
		order = append(order, g)
	}
	slices.SortFunc(order, func(a, b group) int {
		if a.stale != b.stale {
			if b.stale {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.delay, b.delay), cmp.Compare(a.region, b.region))
	})
	return order
}

// draw orders peers: each place goes to the one with more free slots of two
// that are drawn by weight.
func draw(peers []Peer, r *rand.Rand) []Peer {
	rest := slices.Clone(peers)
	slices.SortFunc(rest, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Free, a.Free), cmp.Compare(a.Entry, b.Entry))
	})
	if r == nil {
		return rest
	}
	out := make([]Peer, 0, len(rest))
	for len(rest) > 0 {
		// rest is sorted by free slots, so the lower index is the better one.
		i := min(weighted(rest, r), weighted(rest, r))
		out = append(out, rest[i])
		rest = slices.Delete(rest, i, i+1)
	}
	return out
}

// weighted draws an index with a probability in proportion to the free slots.
func weighted(peers []Peer, r *rand.Rand) int {
	sum := 0
	for _, p := range peers {
		sum += weight(p)
	}
	n := r.IntN(sum)
	for i, p := range peers {
		if n -= weight(p); n < 0 {
			return i
		}
	}
	return len(peers) - 1
}

// weight of a peer in the draw; peers that report no free slot are drawn alike.
func weight(p Peer) int { return max(p.Free, 1) }

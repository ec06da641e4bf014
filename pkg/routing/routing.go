// Package routing orders the entry instances that a request may be sent to. It
// reads no clock: the caller passes the ages of heartbeats and a source of
// randomness.
//
// Order: this entry instance, peers of the same failure domain, other failure
// domains of the same region, at most Input.MaxFullPeers peers of the own
// failure domain that report no free slot, other regions by delay. Peers whose
// heartbeat is older than StaleAfter follow after all of these in the same
// order. Within a group, peers with more free slots tend to come first: each
// position goes to the better of two peers drawn at random, weighted by free
// slots. Entry instances that send at the same time therefore do not all choose
// the peer that was best in the latest heartbeat.
package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Limits on the age of a heartbeat.
const (
	// StaleAfter is five heartbeat intervals. The free slots of an older
	// heartbeat are unreliable.
	StaleAfter = time.Second
	// SilentAfter is the age above which a peer is not tried at all.
	SilentAfter = 3 * time.Second
)

// State is the state of a peer.
type State int

// States of a peer. Only a ready peer is a candidate.
const (
	StateReady State = iota
	StateNotReady
	StateLeaving
	StateSilent
	StateGone
)

// Reasons for which an entry instance is no candidate.
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

// Peer is another entry instance as described by its heartbeats.
type Peer struct {
	Entry, FailureDomain, Region string
	// Free is the number of free slots for the service.
	Free         int
	HeartbeatAge time.Duration
	State        State
}

// Self is the entry instance that routes the request.
type Self struct {
	Entry, FailureDomain, Region string
}

// Input holds everything that the order depends on.
type Input struct {
	Self       Self
	Service    string
	HomeRegion string
	// AllowedRegions lists where the contract lets the service run; empty
	// means everywhere.
	AllowedRegions []string
	// OnlyRegion restricts the request to one region, because it must not
	// return to its home region yet (shift.Limiter.ReturnBlocked); empty means
	// no restriction.
	OnlyRegion string
	Peers      []Peer
	LocalFree  int
	// Delay is the one-way delay between two regions; nil means zero.
	Delay func(a, b string) time.Duration
	// Permitted reports whether the shift cap and the link budget allow a
	// region now; nil permits all. It must not count the request.
	Permitted func(region string) bool
	// Exclude lists entry instances that were tried already.
	Exclude []string
	// TimeLeft is the time until the deadline, 0 if unknown, and ServiceTime
	// the recent service time of a request.
	TimeLeft, ServiceTime time.Duration
	// RegionReserve is the number of free slots that another region keeps for
	// its own callers: only a region that reports more is used.
	RegionReserve int
	// MaxFullPeers limits how many peers of the own failure domain are
	// candidates although their latest heartbeat reports no free slot. With few
	// slots, a peer is full and free again several times between heartbeats.
	MaxFullPeers int
	// Rand determines the order within a group; nil orders by free slots.
	Rand *rand.Rand
}

// Candidate is an entry instance that the request may be sent to.
type Candidate struct {
	Entry, FailureDomain, Region string
	Local                        bool // this entry instance itself
	Free                         int
	Stale                        bool
}

// Exclusion says why an entry instance is no candidate.
type Exclusion struct {
	Entry, Region, Reason string
}

// Candidates returns the entry instances to try, best first.
func Candidates(in Input) []Candidate {
	candidates, _ := Plan(in)
	return candidates
}

// Plan returns the entry instances to try, best first, and why the others are
// excluded. Self comes first even without a free slot, since only it can queue
// the request.
func Plan(in Input) ([]Candidate, []Exclusion) {
	var out []Candidate
	var excluded []Exclusion
	self := Peer{Entry: in.Self.Entry, FailureDomain: in.Self.FailureDomain, Region: in.Self.Region, Free: in.LocalFree}
	if reason := in.regionExclusion(self); reason != "" {
		excluded = append(excluded, Exclusion{self.Entry, self.Region, reason})
	} else if slices.Contains(in.Exclude, self.Entry) {
		excluded = append(excluded, Exclusion{self.Entry, self.Region, ReasonAlreadyTried})
	} else {
		out = append(out, Candidate{self.Entry, self.FailureDomain, self.Region, true, self.Free, false})
	}
	free := in.freeSlotsByRegion()
	groups := make(map[group][]Peer)
	full := in.fullPeers()
	for _, p := range in.Peers {
		reason := in.exclusionReason(p, free)
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
		for _, p := range shuffleByFreeSlots(groups[g], in.Rand) {
			out = append(out, Candidate{p.Entry, p.FailureDomain, p.Region, false, p.Free, g.stale})
		}
	}
	return out, excluded
}

// fullPeers chooses the peers to try although they report no free slot.
func (in Input) fullPeers() map[string]bool {
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

// freeSlotsByRegion adds up the reported free slots of each region.
func (in Input) freeSlotsByRegion() map[string]int {
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

// regionExclusion returns why the region of a peer cannot be used, or "".
func (in Input) regionExclusion(p Peer) string {
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

// exclusionReason returns why a peer is no candidate, or "".
func (in Input) exclusionReason(p Peer, free map[string]int) string {
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
	if r := in.regionExclusion(p); r != "" {
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

// group identifies peers of equal preference.
type group struct {
	stale bool
	tier  int // 1 same failure domain, 2 same region, 3 full, 4 other region
	delay time.Duration
	// region separates regions of equal delay, so that their order is stable.
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

// shuffleByFreeSlots orders peers: each position goes to the one with more free
// slots of two that are drawn by weight.
func shuffleByFreeSlots(peers []Peer, r *rand.Rand) []Peer {
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
		i := min(weightedIndex(rest, r), weightedIndex(rest, r))
		out = append(out, rest[i])
		rest = slices.Delete(rest, i, i+1)
	}
	return out
}

// weightedIndex draws an index with a probability proportional to the weights.
func weightedIndex(peers []Peer, r *rand.Rand) int {
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

// weight is the number of free slots, but at least 1, so that peers without a
// free slot can be drawn too.
func weight(p Peer) int { return max(p.Free, 1) }

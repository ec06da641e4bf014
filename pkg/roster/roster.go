// Package roster tracks the other entry instances: which are alive, which are
// ready for clients, and which follow the store. A follower reads the changes of
// the store and sends them to the other members of its region. The package does
// no I/O and reads no clock.
package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/rendezvous"
	"github.com/dandelionrack/dandelionrack/pkg/fleet"
)

const (
	// LivenessTimeout is how long a member counts as alive after a heartbeat. It
	// is two and a half heartbeat intervals; the platform requires a dead member
	// to leave the directory within its stability window (4 s) plus 3 s.
	LivenessTimeout = 2500 * time.Millisecond
	// maxStoreResponseAge is the age of its last store response up to which a
	// member counts as a follower: one long poll of 2 s, the extra 1 s of
	// its timeout, and a delayed heartbeat.
	maxStoreResponseAge = 3500 * time.Millisecond
	// maxStandbys is the number of members that watch each follower of the store:
	// two, so that the region has a follower in time even if the first standby
	// fails together with the follower. More would cost heartbeats.
	maxStandbys = 2
	// The first standby takes over from a follower from which it has heard nothing
	// for silenceShare of fleet.Bounds.Propagation, the next one a step later. The
	// rest of the bound is for the first response of the store and the way to all
	// members. A follower sends heartbeats to its standbys at intervals of
	// standbyHeartbeatShare, so that two must be lost or late for a false takeover.
	silenceShare          = 0.4
	standbyHeartbeatShare = 0.15
	takeoverStepShare     = 0.08
	// Members that are no standbys hear less often from the follower. They take
	// over if there is none for LivenessTimeout plus fallbackShare of the bound,
	// and two steps more for each better rank, up to maxTakeoverRank: the follower
	// and its standbys have failed together.
	fallbackShare   = 0.8
	maxTakeoverRank = 5
	// The shares apply to bounds in this range. A shorter bound would need more
	// heartbeats than a small machine can send; a longer one would delay
	// registrations, which have no bound of their own.
	minBound = 500 * time.Millisecond
	maxBound = 2500 * time.Millisecond
	// A follower that reports that it no longer follows is replaced at once by
	// the first member by rank, and a step later by the next one if the first
	// has no answer of the store by then: a round trip between regions takes
	// 110 ms. Only lossCandidates members do so, because most losses are outages
	// of the whole store, in which each member's calls are refused.
	lossCandidates = 3
	// standbyRefresh is how often a follower chooses its standbys anew.
	standbyRefresh = 100 * time.Millisecond
	// peersPerDomain is the number of heartbeat peers in each other failure
	// domain of the region: two, so that the loss of one member leaves an
	// address for clients. peersPerRegion is the number in each other region:
	// one, because traffic between regions is expensive and every member of the
	// region has a peer there.
	peersPerDomain = 2
	peersPerRegion = 1
	// minAddrs is the minimum number of addresses in a directory response, if
	// that many are ready: a client whose only address fails has none left
	// until the response expires.
	minAddrs = 2
	// maxAddrs is the maximum number of addresses that clients accept.
	maxAddrs = 64
	// unresponsiveTTL is how long a member that missed a heartbeat is avoided
	// when heartbeat peers are chosen, and one that lost the store when standbys are.
	unresponsiveTTL = 10 * time.Second
	// memberTTL is how long a member is remembered after its last heartbeat to
	// anyone. At 540 members, some learn of a heartbeat after 3 minutes; see
	// RefreshInterval.
	memberTTL = 5 * time.Minute
	// RefreshInterval is the time between two requests of a member to one of its
	// peers for the ids of the members that this one knows. 300 take 10 KB.
	RefreshInterval = 20 * time.Second
)

// State is the state of a member.
type State int

// States of a member.
const (
	NotReady State = iota
	Ready
	Leaving
)

// Status is what a member reports about itself.
type Status struct {
	State State
	// StoreResponseAge is the age of the last response that the member got from
	// the store; negative if there was none.
	StoreResponseAge time.Duration
	// Following says that the member follows the store for its region.
	Following bool
	// StandbyRank is the place of the receiver among the standbys of the member,
	// from 1; 0 if it is none.
	StandbyRank int
}

func (s Status) follows() bool {
	return s.Following && s.State != Leaving && s.StoreResponseAge >= 0 && s.StoreResponseAge <= maxStoreResponseAge
}

type member struct {
	fleet.Member
	status            Status
	lastHeartbeat     time.Time // zero: never
	refused           bool      // its address refused a connection
	aliveAt           time.Time // last known to be alive, by its heartbeat to anyone
	missedHeartbeatAt time.Time // last unanswered heartbeat
	lostStoreAt       time.Time // when it last reported that it no longer follows the store; zero while it follows
}

// Roster is one entry instance's list of members. It is not safe for concurrent
// use.
type Roster struct {
	self    fleet.Member
	status  Status
	members map[string]*member

	timing         timing
	following      bool
	followerSeenAt time.Time // when a follower of the region was last heard
	checkedAt      time.Time // last call of FollowsStore
	// lossReportedAt is when a follower last reported that it no longer
	// follows, and zero once the region has a follower again.
	lossReportedAt time.Time
	// standbyRank is StandbyRank as the last follower that was heard has set it.
	standbyRank int
	// standbys are the standbys of this instance, chosen at standbysAt.
	standbys   []string
	standbysAt time.Time
}

// timing holds the times of the takeover for the bounds of the deployment.
type timing struct {
	silence          time.Duration // of a follower, until its first standby takes over
	standbyHeartbeat time.Duration // interval of a follower's heartbeats to its standbys
	step             time.Duration // between two members that may take over
	fallback         time.Duration // without a follower, until the first other member takes over
}

func newTiming(b fleet.Bounds) timing {
	bound := min(max(b.Propagation(), minBound), maxBound)
	share := func(f float64) time.Duration { return time.Duration(f * float64(bound)) }
	return timing{
		silence: share(silenceShare), standbyHeartbeat: share(standbyHeartbeatShare),
		step: share(takeoverStepShare), fallback: LivenessTimeout + share(fallbackShare),
	}
}

// New returns a roster that contains only the instance itself.
func New(self fleet.Member) *Roster {
	// A new instance follows the store until it learns of a follower with a
	// better rank. Otherwise there would be no follower after all instances
	// have started together.
	return &Roster{
		self: self, status: Status{StoreResponseAge: -1}, members: map[string]*member{}, following: true,
		timing: newTiming(fleet.DefaultBounds()),
	}
}

// SetBounds sets the bounds of the deployment, from which the times of a takeover
// follow.
func (r *Roster) SetBounds(b fleet.Bounds) { r.timing = newTiming(b) }

// TakeoverStep is the time between two members that may take over from a follower.
// FollowsStore is to be called at least once in this time.
func (r *Roster) TakeoverStep() time.Duration { return r.timing.step }

// SetSelf sets the status of the instance itself.
func (r *Roster) SetSelf(s Status) { r.status = s }

// Add adds a member. It is not alive before its first heartbeat.
func (r *Roster) Add(now time.Time, m fleet.Member) {
	if m.ID == r.self.ID || m.ID == "" || m.PeerAddr == "" {
		return
	}
	old := r.members[m.ID]
	if old != nil && old.Incarnation >= m.Incarnation {
		return
	}
	r.members[m.ID] = &member{Member: m, aliveAt: now}
}

// KnownMember is a member with the time since it was last known to be alive.
type KnownMember struct {
	fleet.Member
	Age time.Duration
}

// Known returns all members, for a peer that passes them to Refresh.
func (r *Roster) Known(now time.Time) []KnownMember {
	var out []KnownMember
	for _, m := range r.Peers(now) {
		out = append(out, KnownMember{m, max(0, now.Sub(r.members[m.ID].aliveAt))})
	}
	return out
}

// Refresh records a member that a peer knows. Most members exchange no heartbeats with
// this one, and are remembered because others do. It reports false if the member is
// alive and not known here, and k lacks its address.
func (r *Roster) Refresh(now time.Time, k KnownMember) bool {
	aliveAt := now.Add(-k.Age)
	if now.Sub(aliveAt) > memberTTL || k.ID == r.self.ID {
		return true
	}
	r.Add(aliveAt, k.Member)
	m := r.members[k.ID]
	if m == nil || m.Incarnation < k.Incarnation {
		return k.ID == "" || k.PeerAddr != ""
	}
	if m.Incarnation == k.Incarnation && aliveAt.After(m.aliveAt) {
		m.aliveAt = aliveAt
	}
	return true
}

// RecordHeartbeat records a heartbeat of a member and reports whether the member
// was unknown or not alive before.
func (r *Roster) RecordHeartbeat(now time.Time, m fleet.Member, s Status) bool {
	r.Add(now, m)
	known := r.members[m.ID]
	if known == nil || known.Incarnation > m.Incarnation {
		return false
	}
	wasAlive := known.alive(now)
	switch {
	case s.follows():
		known.lostStoreAt = time.Time{}
		if known.Region == r.self.Region {
			r.followerSeenAt, r.standbyRank = now, s.StandbyRank
			r.following = r.following && !rankedBefore(known.Member, r.self)
		}
	case known.status.follows():
		known.lostStoreAt = now
		if known.Region == r.self.Region {
			r.lossReportedAt = now
		}
	}
	known.lastHeartbeat, known.aliveAt, known.status, known.refused = now, now, s, false
	return !wasAlive
}

// RecordConnectionRefused records that the address of a member refuses
// connections: no process listens there.
func (r *Roster) RecordConnectionRefused(id string) {
	if m := r.members[id]; m != nil {
		m.refused = true
	}
}

func (m *member) alive(now time.Time) bool {
	return !m.refused && !m.lastHeartbeat.IsZero() && now.Sub(m.lastHeartbeat) < LivenessTimeout
}

// Peers returns the other members, alive or not, in id order. It removes those that
// were not known to be alive for memberTTL.
func (r *Roster) Peers(now time.Time) []fleet.Member {
	var out []fleet.Member
	for id, m := range r.members {
		if now.Sub(m.aliveAt) > memberTTL {
			delete(r.members, id)
			continue
		}
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b fleet.Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Alive reports whether a member is alive.
func (r *Roster) Alive(now time.Time, id string) bool {
	m := r.members[id]
	return m != nil && m.alive(now)
}

// ClientAddrs returns the addresses for a lookup: all ready members of the
// client's failure domain, and random ones of its region to reach minAddrs. Only
// if there are none, it returns members of other regions.
func (r *Roster) ClientAddrs(now time.Time, l fleet.Lookup, random *rand.Rand) []string {
	var sameDomain, sameRegion, otherRegions []string
	add := func(m fleet.Member) {
		switch {
		case m.FailureDomain == l.FailureDomain:
			sameDomain = append(sameDomain, m.ClientAddr)
		case m.Region == l.Region:
			sameRegion = append(sameRegion, m.ClientAddr)
		default:
			otherRegions = append(otherRegions, m.ClientAddr)
		}
	}
	if r.status.State == Ready {
		add(r.self)
	}
	for _, m := range r.members {
		if m.alive(now) && m.status.State == Ready {
			add(m.Member)
		}
	}
	out := fill(sameDomain, sameRegion, random)
	if len(out) == 0 {
		// Other regions are the last resort: clients of routes with allowed
		// regions must not be sent elsewhere.
		out = fill(nil, otherRegions, random)
	}
	return out[:min(len(out), maxAddrs)]
}

// fill adds random elements of more until there are minAddrs addresses.
func fill(out, more []string, random *rand.Rand) []string {
	slices.Sort(more)
	random.Shuffle(len(more), func(i, j int) { more[i], more[j] = more[j], more[i] })
	return append(out, more[:min(len(more), max(0, minAddrs-len(out)))]...)
}

// AnyRegion stands for all regions.
const AnyRegion = ""

// RegionRank returns the number of known members of a region, alive or not, and
// the rank of the instance itself among them in a rendezvous hash order of key;
// the rank is -1 if the instance belongs to another region.
func (r *Roster) RegionRank(region, key string) (size, rank int) {
	ownWeight := rendezvous.Weight(key, r.self.ID)
	rank = -1
	if r.self.Region == region || region == AnyRegion {
		size, rank = 1, 0
	}
	for _, m := range r.members {
		if m.Region != region && region != AnyRegion {
			continue
		}
		size++
		if rank >= 0 && rendezvous.Weight(key, m.ID) < ownWeight {
			rank++
		}
	}
	return size, rank
}

// FollowsStore reports whether the instance itself follows the store for its
// region. It stops when it hears of a follower with a better rank, and starts when
// no follower was heard for some time.
func (r *Roster) FollowsStore(now time.Time) bool {
	if r.followerSeenAt.IsZero() || now.Sub(r.checkedAt) > r.timing.silence/2 {
		// After a pause of its own, the instance has heard nobody for long.
		r.followerSeenAt = now
	}
	r.checkedAt = now
	silence := now.Sub(r.followerSeenAt)
	if r.following || r.status.State == Leaving || silence < r.timing.silence && r.lossReportedAt.IsZero() {
		return r.following
	}
	rank := 0
	for _, m := range r.members {
		if m.Region != r.self.Region {
			continue
		}
		if rankedBefore(m.Member, r.self) {
			rank++
		}
		if m.status.follows() && r.inContact(now, m) {
			r.lossReportedAt = time.Time{}
		}
	}
	r.following = silence >= r.takeoverAfter(rank) || r.replacesLostFollower(now, rank)
	return r.following
}

// inContact reports whether a member was heard recently enough for a follower: a
// standby hears more often from one than other members do.
func (r *Roster) inContact(now time.Time, m *member) bool {
	return m.alive(now) && (r.standbyRank == 0 || now.Sub(m.lastHeartbeat) < r.timing.silence)
}

// takeoverAfter returns how long the region must be without a follower until the
// instance takes over. rank is that of the instance among all members of the region.
func (r *Roster) takeoverAfter(rank int) time.Duration {
	if r.standbyRank > 0 {
		return r.timing.silence + time.Duration(r.standbyRank-1)*r.timing.step
	}
	return r.timing.fallback + 2*r.timing.step*time.Duration(min(rank, maxTakeoverRank))
}

// Standbys returns the members that replace this instance if it follows the store and
// falls silent, in order. It exchanges heartbeats with its whole region and knows who is
// alive; others remember dead members for minutes. The first standby belongs to another
// failure domain if possible, because a domain may fail as a whole.
func (r *Roster) Standbys(now time.Time) []string {
	if !r.following || r.status.State == Leaving {
		return nil
	}
	if !r.standbysAt.IsZero() && now.Sub(r.standbysAt) < standbyRefresh {
		return r.standbys
	}
	r.standbysAt = now
	var candidates []*member
	for _, m := range r.members {
		if m.Region == r.self.Region && m.alive(now) && m.status.State != Leaving && !m.missedHeartbeatAt.After(m.lastHeartbeat) {
			candidates = append(candidates, m)
		}
	}
	r.standbys = nil
	for len(candidates) > 0 && len(r.standbys) < maxStandbys {
		first := len(r.standbys) == 0
		best := slices.MinFunc(candidates, func(a, b *member) int {
			return cmp.Or(
				compareBool(a.lostStore(now), b.lostStore(now)),
				compareBool(first && a.FailureDomain == r.self.FailureDomain, first && b.FailureDomain == r.self.FailureDomain),
				compareBool(rankedBefore(b.Member, a.Member), rankedBefore(a.Member, b.Member)),
			)
		})
		r.standbys = append(r.standbys, best.ID)
		candidates = slices.DeleteFunc(candidates, func(m *member) bool { return m == best })
	}
	return r.standbys
}

// StandbyRank returns the place of a member among Standbys, from 1; 0 if it is none.
func (r *Roster) StandbyRank(now time.Time, id string) int {
	return 1 + slices.Index(r.Standbys(now), id)
}

// HeartbeatInterval returns the interval of heartbeats to a member, given that to
// members that are no standbys.
func (r *Roster) HeartbeatInterval(now time.Time, id string, regular time.Duration) time.Duration {
	if r.StandbyRank(now, id) > 0 {
		return min(regular, r.timing.standbyHeartbeat)
	}
	return regular
}

// lostStore reports whether the member has recently lost the store.
func (m *member) lostStore(now time.Time) bool {
	return !m.lostStoreAt.IsZero() && now.Sub(m.lostStoreAt) < unresponsiveTTL
}

// replacesLostFollower reports whether the instance takes over from a follower of
// its region that has reported the loss of the store. rank is that of the instance
// among all members of the region; those that have lost the store or do not
// respond are passed over.
func (r *Roster) replacesLostFollower(now time.Time, rank int) bool {
	if r.lossReportedAt.IsZero() {
		return false
	}
	for _, m := range r.members {
		if m.Region == r.self.Region && rankedBefore(m.Member, r.self) && (m.lostStore(now) || r.unresponsive(now, m.ID)) {
			rank--
		}
	}
	return rank < lossCandidates && now.Sub(r.lossReportedAt) >= r.timing.step*time.Duration(rank)
}

// RanksFirst reports whether no responsive member of the region ranks before the
// instance for following the store.
func (r *Roster) RanksFirst(now time.Time) bool {
	for _, m := range r.members {
		if m.Region == r.self.Region && rankedBefore(m.Member, r.self) && !r.unresponsive(now, m.ID) {
			return false
		}
	}
	return true
}

// rankedBefore orders the members of a region that may follow the store. A
// follower sends all changes to its region, so members with the fastest network
// links come first: machines of one deployment have 10 to 200 Mbit/s.
func rankedBefore(a, b fleet.Member) bool {
	if a.LinkMbps != b.LinkMbps {
		return a.LinkMbps > b.LinkMbps
	}
	return rendezvous.Weight("store", a.ID) < rendezvous.Weight("store", b.ID)
}

// LostFollower reports whether the region has lost its follower and the instance
// may have to replace it.
func (r *Roster) LostFollower() bool { return !r.following && !r.lossReportedAt.IsZero() }

// HeartbeatPeers returns the members with which the instance exchanges
// heartbeats: all of its failure domain, peersPerDomain of every other failure
// domain of its region, and peersPerRegion of every other region, chosen by
// rendezvous hash. A follower exchanges heartbeats with its whole region, and in
// other regions with those that rank first for following the store, which pass
// changes on to their region even when they have lost the store.
func (r *Roster) HeartbeatPeers(now time.Time) []fleet.Member {
	groups := map[string][]fleet.Member{}
	var out []fleet.Member
	for _, m := range r.Peers(now) {
		switch {
		case m.FailureDomain == r.self.FailureDomain, m.Region == r.self.Region && r.following:
			out = append(out, m)
		case m.Region == r.self.Region:
			groups["d/"+m.FailureDomain] = append(groups["d/"+m.FailureDomain], m)
		default:
			groups["r/"+m.Region] = append(groups["r/"+m.Region], m)
		}
	}
	for key, group := range groups {
		slices.SortFunc(group, func(a, b fleet.Member) int {
			// Unresponsive members come last, so that a dead peer is
			// replaced.
			if c := compareBool(r.unresponsive(now, a.ID), r.unresponsive(now, b.ID)); c != 0 {
				return c
			}
			if r.following && key[0] == 'r' {
				return compareBool(rankedBefore(b, a), rankedBefore(a, b))
			}
			return cmp.Compare(rendezvous.Weight(r.self.ID, a.ID), rendezvous.Weight(r.self.ID, b.ID))
		})
		n := peersPerDomain
		if key[0] == 'r' {
			n = peersPerRegion
		}
		out = append(out, group[:min(n, len(group))]...)
	}
	return out
}

// unresponsive reports whether a member refused a connection, or recently missed
// a heartbeat and is not alive.
func (r *Roster) unresponsive(now time.Time, id string) bool {
	m := r.members[id]
	return m == nil || m.refused || !m.missedHeartbeatAt.IsZero() && now.Sub(m.missedHeartbeatAt) < unresponsiveTTL && !m.alive(now)
}

// RecordMissedHeartbeat records that a member did not answer a heartbeat.
func (r *Roster) RecordMissedHeartbeat(now time.Time, id string) {
	if m := r.members[id]; m != nil {
		m.missedHeartbeatAt = now
	}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Package roster knows the other entry instances: which are alive, which are
// ready for clients, and which few follow the store on behalf of all. It is
// pure.
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
	// LivenessTimeout is how long a member counts as alive after it was heard. It is
	// two and a half heartbeats; the platform wants a dead one out of the
	// directory within its stability window (4 s) and 3 s.
	LivenessTimeout = 2500 * time.Millisecond
	// storeFresh is the age of its last store answer up to which a member
	// counts as a follower of the store: one waiting call of 2 s, the time
	// limit of 1 s beyond it, and a heartbeat that comes late.
	storeFresh = 3500 * time.Millisecond
	// takeOver is how long the members of a region hear of no follower before
	// the first of them by rank follows the store, and takeOverStep how much
	// longer each next one waits. lastPlace bounds the wait.
	takeOver     = 2 * time.Second
	takeOverStep = 400 * time.Millisecond
	lastPlace    = 5
	// domainLinks is the number of members of each other failure domain of
	// the region that an instance exchanges heartbeats with, and regionLinks
	// the same for each other region. Two, so that the loss of one member
	// leaves an address to name to clients; across regions one, because its
	// bytes are dear and every member of a region has its own.
	domainLinks = 2
	regionLinks = 1
	// minAddrs is the number of addresses that an answer of the directory
	// holds at least, if there are as many: a client whose only address
	// fails has none left until its answer expires.
	minAddrs = 2
	// maxAddrs is what clients take of an answer at most.
	maxAddrs = 64
	// silentFor is how long a member that did not answer is passed over for
	// another link.
	silentFor = 10 * time.Second
	// forgetAfter is how long a silent member is remembered.
	forgetAfter = 2 * time.Minute
)

// State is the state of a member.
type State int

// States of a member.
const (
	NotReady State = iota
	Ready
	Leaving
)

// Status is what a member says of itself.
type Status struct {
	State State
	// StoreResponseAge is the age of its last own answer of the store; negative if it
	// has none.
	StoreResponseAge time.Duration
	// Following says that it follows the store for its region.
	Following bool
}

func (s Status) follows() bool {
	return s.Following && s.State != Leaving && s.StoreResponseAge >= 0 && s.StoreResponseAge <= storeFresh
}

type member struct {
	fleet.Member
	status  Status
	heardAt time.Time // zero: never
	gone    bool      // its address refused a connection
	addedAt time.Time
	askedAt time.Time // last heartbeat without an answer
}

// Roster is the list of one entry instance. One goroutine at a time may use it.
type Roster struct {
	self    fleet.Member
	status  Status
	members map[string]*member

	following  bool
	followerAt time.Time // a follower was last heard of
}

// New returns a roster that knows only the instance itself.
func New(self fleet.Member) *Roster {
	// A new instance follows the store until it hears of a follower that comes
	// before it. Otherwise nobody would after all have started together.
	return &Roster{self: self, status: Status{StoreResponseAge: -1}, members: map[string]*member{}, following: true}
}

// SetSelf sets the state of the instance itself.
func (r *Roster) SetSelf(s Status) { r.status = s }

// Add takes in a member that is known by name only. It is not alive until it
// is heard.
func (r *Roster) Add(now time.Time, m fleet.Member) {
	if m.ID == r.self.ID || m.ID == "" || m.PeerAddr == "" {
		return
	}
	old := r.members[m.ID]
	if old != nil && old.Incarnation >= m.Incarnation {
		return
	}
	r.members[m.ID] = &member{Member: m, addedAt: now}
}

// RecordHeartbeat takes in a message of a member, and reports whether it was unknown or
// not alive before.
func (r *Roster) RecordHeartbeat(now time.Time, m fleet.Member, s Status) bool {
	r.Add(now, m)
	k := r.members[m.ID]
	if k == nil || k.Incarnation > m.Incarnation {
		return false
	}
	before := k.alive(now)
	k.heardAt, k.status, k.gone = now, s, false
	return !before
}

// RecordConnectionRefused records that the address of a member refuses connections: no process
// listens there.
func (r *Roster) RecordConnectionRefused(id string) {
	if m := r.members[id]; m != nil {
		m.gone = true
	}
}

func (m *member) alive(now time.Time) bool {
	return !m.gone && !m.heardAt.IsZero() && now.Sub(m.heardAt) < LivenessTimeout
}

// Peers returns the other members, alive or not, in id order. Members that
// were silent for a long time are forgotten.
func (r *Roster) Peers(now time.Time) []fleet.Member {
	var out []fleet.Member
	for id, m := range r.members {
		if now.Sub(m.heardAt) > forgetAfter && now.Sub(m.addedAt) > forgetAfter {
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

// ClientAddrs answers a lookup: ready members of the client's failure domain, filled
// up from its region, then from elsewhere. random draws the fill.
func (r *Roster) ClientAddrs(now time.Time, l fleet.Lookup, random *rand.Rand) []string {
	var own, near, far []string
	add := func(m fleet.Member) {
		switch {
		case m.FailureDomain == l.FailureDomain:
			own = append(own, m.ClientAddr)
		case m.Region == l.Region:
			near = append(near, m.ClientAddr)
		default:
			far = append(far, m.ClientAddr)
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
	out := fill(own, near, random)
	if len(out) == 0 {
		// Another region only if there is nothing else: clients of routes
		// with allowed regions must not be sent away.
		out = fill(nil, far, random)
	}
	return out[:min(len(out), maxAddrs)]
}

// fill adds a random choice of more until there are minAddrs addresses.
func fill(out, more []string, random *rand.Rand) []string {
	slices.Sort(more)
	random.Shuffle(len(more), func(i, j int) { more[i], more[j] = more[j], more[i] })
	return append(out, more[:min(len(more), max(0, minAddrs-len(out)))]...)
}

// RegionRank returns the number of known members of a region, alive or not,
// and the place of the instance itself among them in an order by key; -1 if it
// is of another region.
func (r *Roster) RegionRank(region, key string) (size, place int) {
	mine := rendezvous.Weight(key, r.self.ID)
	place = -1
	if r.self.Region == region {
		size, place = 1, 0
	}
	for _, m := range r.members {
		if m.Region != region {
			continue
		}
		size++
		if place >= 0 && rendezvous.Weight(key, m.ID) < mine {
			place++
		}
	}
	return size, place
}

// FollowsStore reports whether the instance itself follows the store for its
// region. It does until it hears of a follower that comes before it by rank,
// and begins when it has heard of no follower for some time.
func (r *Roster) FollowsStore(now time.Time) bool {
	place := 0
	for _, m := range r.members {
		if m.Region != r.self.Region {
			continue
		}
		before := followsBefore(m.Member, r.self)
		if before {
			place++
		}
		if m.alive(now) && m.status.follows() {
			r.followerAt = now
			r.following = r.following && !before
		}
	}
	if r.followerAt.IsZero() {
		r.followerAt = now
	}
	if !r.following && r.status.State != Leaving {
		wait := takeOver + takeOverStep*time.Duration(min(place, lastPlace))
		if now.Sub(r.followerAt) >= wait {
			r.following = true
		}
	}
	return r.following
}

// followsBefore orders the members of a region that may follow the store. A
// follower sends all changes to its region, so those with the largest links
// come first: machines of one deployment have 10 to 200 Mbit/s.
func followsBefore(a, b fleet.Member) bool {
	if a.LinkMbps != b.LinkMbps {
		return a.LinkMbps > b.LinkMbps
	}
	return rendezvous.Weight("store", a.ID) < rendezvous.Weight("store", b.ID)
}

// HeartbeatPeers returns the members that the instance exchanges heartbeats with: all of
// its failure domain, a few of every other one of its region and fewer of every
// other region, chosen by rank for this instance. A follower of the store has
// links to its whole region.
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
			// Members that are alive come first, so that a dead one is
			// replaced.
			return cmp.Or(
				compareBool(r.silent(now, a.ID), r.silent(now, b.ID)),
				cmp.Compare(rendezvous.Weight(r.self.ID, a.ID), rendezvous.Weight(r.self.ID, b.ID)),
			)
		})
		n := domainLinks
		if key[0] == 'r' {
			n = regionLinks
		}
		out = append(out, group[:min(n, len(group))]...)
	}
	return out
}

// silent reports whether a member was asked and did not answer.
func (r *Roster) silent(now time.Time, id string) bool {
	m := r.members[id]
	return m == nil || m.gone || !m.askedAt.IsZero() && now.Sub(m.askedAt) < silentFor && !m.alive(now)
}

// RecordMissedHeartbeat records that a heartbeat to a member stayed without an answer.
func (r *Roster) RecordMissedHeartbeat(now time.Time, id string) {
	if m := r.members[id]; m != nil {
		m.askedAt = now
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

// Package roster knows the other entry instances: which are alive, which are
// ready for clients, and which few follow the store on behalf of all. It is
// pure.
package roster

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
)

const (
	// AliveFor is how long a member counts as alive after it was heard. It is
	// two and a half heartbeats; the platform wants a dead one out of the
	// directory within its stability window (4 s) and 3 s.
	AliveFor = 2500 * time.Millisecond
	// storeFresh is the age of the last answer of the store above which
	// a member does not follow the store for others. It covers one waiting
	// call and the delay of a heartbeat.
	storeFresh = 8 * time.Second
	// minAddrs is the number of addresses that an answer of the directory
	// holds at least, if there are as many: a client whose only address
	// fails has none left until its answer expires.
	minAddrs = 2
	// maxAddrs is what clients take of an answer at most.
	maxAddrs = 64
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
	// StoreAge is the age of its last own answer of the store; negative if it
	// has none.
	StoreAge time.Duration
}

type member struct {
	fleet.Member
	status  Status
	heardAt time.Time // zero: never
	gone    bool      // its address refused a connection
	addedAt time.Time
}

// Roster is the list of one entry instance. One goroutine at a time may use it.
type Roster struct {
	self    fleet.Member
	status  Status
	members map[string]*member
}

// New returns a roster that knows only the instance itself.
func New(self fleet.Member) *Roster {
	return &Roster{self: self, status: Status{StoreAge: -1}, members: map[string]*member{}}
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

// Heard takes in a message of a member, and reports whether it was unknown or
// not alive before.
func (r *Roster) Heard(now time.Time, m fleet.Member, s Status) bool {
	r.Add(now, m)
	k := r.members[m.ID]
	if k == nil || k.Incarnation > m.Incarnation {
		return false
	}
	before := k.alive(now)
	k.heardAt, k.status, k.gone = now, s, false
	return !before
}

// Refused records that the address of a member refuses connections: no process
// listens there.
func (r *Roster) Refused(id string) {
	if m := r.members[id]; m != nil {
		m.gone = true
	}
}

func (m *member) alive(now time.Time) bool {
	return !m.gone && !m.heardAt.IsZero() && now.Sub(m.heardAt) < AliveFor
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

// Addrs answers a lookup: ready members of the client's failure domain, filled
// up from its region, then from elsewhere. random draws the fill.
func (r *Roster) Addrs(now time.Time, l fleet.Lookup, random *rand.Rand) []string {
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

// RegionSize returns the number of known members of a region, alive or not,
// and the place of the instance itself among them in an order by key; -1 if it
// is of another region.
func (r *Roster) RegionSize(region, key string) (size, place int) {
	mine := rank(key, r.self.ID)
	place = -1
	if r.self.Region == region {
		size, place = 1, 0
	}
	for _, m := range r.members {
		if m.Region != region {
			continue
		}
		size++
		if place >= 0 && rank(key, m.ID) < mine {
			place++
		}
	}
	return size, place
}

// FollowsStore reports whether the instance itself follows the store: in each
// region the first alive member by rank whose store answers does. An instance
// that hears of nobody who does follows it itself.
func (r *Roster) FollowsStore(now time.Time) bool {
	mine := rank("store", r.self.ID)
	for _, m := range r.members {
		if m.Region != r.self.Region || !m.alive(now) || m.status.State == Leaving {
			continue
		}
		if m.status.StoreAge < 0 || m.status.StoreAge > storeFresh {
			continue
		}
		if rank("store", m.ID) < mine {
			return false
		}
	}
	return true
}

func rank(key, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key + "\x00" + id)) // a hash never fails
	return h.Sum64()
}

package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func instance(id, domain, region string) fleet.Member {
	return fleet.Member{ID: id, Incarnation: 1, FailureDomain: domain, Region: region, ClientAddr: id, PeerAddr: id}
}

func random() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

var ready = Status{State: Ready}

// Guards against answers that name an instance which is dead, leaving or not
// ready, and against clients that are sent out of their region.
func TestAddrs(t *testing.T) {
	r := New(instance("self", "a", "north"))
	r.SetSelf(ready)
	for _, m := range []fleet.Member{
		instance("same", "a", "north"), instance("near", "b", "north"), instance("far", "c", "south"),
	} {
		r.RecordHeartbeat(epoch, m, ready)
	}
	r.RecordHeartbeat(epoch, instance("leaving", "a", "north"), Status{State: Leaving})
	r.RecordHeartbeat(epoch, instance("starting", "a", "north"), Status{})
	r.Add(epoch, instance("never-heard", "a", "north"))
	lookup := func(now time.Time, domain, region string) []string {
		return r.ClientAddrs(now, fleet.Lookup{FailureDomain: domain, Region: region}, random())
	}
	require.ElementsMatch(t, []string{"self", "same"}, lookup(epoch, "a", "north"))
	require.Contains(t, lookup(epoch, "b", "north"), "near")
	require.Len(t, lookup(epoch, "b", "north"), minAddrs, "filled up from the region")
	require.Equal(t, []string{"far"}, lookup(epoch, "c", "south"), "never filled up from another region")
	require.NotEmpty(t, lookup(epoch, "x", "nowhere"), "another region if there is nothing else")

	require.Equal(t, []string{"self"}, lookup(at(LivenessTimeout), "a", "north"), "nobody was heard for too long")
	r.RecordHeartbeat(at(LivenessTimeout), instance("near", "b", "north"), ready)
	r.RecordConnectionRefused("near")
	require.Equal(t, []string{"self"}, lookup(at(LivenessTimeout), "b", "north"), "no process listens there")
	r.SetSelf(Status{State: Leaving})
	require.Empty(t, lookup(at(LivenessTimeout), "a", "north"))
}

// Guards against an old run of an instance that is taken for the new one.
func TestOlderIncarnation(t *testing.T) {
	r := New(instance("self", "a", "north"))
	newer := instance("peer", "a", "north")
	newer.Incarnation, newer.ClientAddr = 2, "new"
	r.RecordHeartbeat(epoch, newer, ready)
	require.False(t, r.RecordHeartbeat(epoch, instance("peer", "a", "north"), Status{State: Leaving}))
	require.Equal(t, []string{"new"}, r.ClientAddrs(epoch, fleet.Lookup{FailureDomain: "a", Region: "north"}, random()))
}

// mesh is a set of instances that exchange heartbeats over their links.
type mesh struct {
	rosters map[string]*Roster
	members map[string]fleet.Member
	dead    map[string]bool
	noStore map[string]time.Time // since when the store does not answer
}

func newMesh(regions, domains, perDomain int) *mesh {
	m := &mesh{rosters: map[string]*Roster{}, members: map[string]fleet.Member{}, dead: map[string]bool{}, noStore: map[string]time.Time{}}
	for r := range regions {
		for d := range domains {
			for i := range perDomain {
				id := fmt.Sprintf("r%d-d%d-%d", r, d, i)
				m.members[id] = instance(id, fmt.Sprintf("r%d-d%d", r, d), fmt.Sprintf("r%d", r))
				m.rosters[id] = New(m.members[id])
			}
		}
	}
	for _, r := range m.rosters {
		for _, other := range m.members {
			r.Add(epoch, other)
		}
	}
	return m
}

func (m *mesh) status(now time.Time, id string) Status {
	s := Status{State: Ready, Following: m.rosters[id].following}
	if since, ok := m.noStore[id]; ok {
		s.StoreResponseAge = now.Sub(since)
	}
	return s
}

// beat lets every instance exchange one heartbeat over each of its links and
// returns the number of exchanges and of followers of the store.
func (m *mesh) beat(now time.Time) (exchanges int, followers map[string][]string) {
	for id, r := range m.rosters {
		if m.dead[id] {
			continue
		}
		r.FollowsStore(now)
		for _, to := range r.HeartbeatPeers(now) {
			if m.dead[to.ID] {
				r.RecordMissedHeartbeat(now, to.ID)
				continue
			}
			exchanges++
			m.rosters[to.ID].RecordHeartbeat(now, m.members[id], m.status(now, id))
			r.RecordHeartbeat(now, to, m.status(now, to.ID))
		}
	}
	followers = map[string][]string{}
	for id, r := range m.rosters {
		if !m.dead[id] && r.FollowsStore(now) {
			followers[r.self.Region] = append(followers[r.self.Region], id)
		}
	}
	return exchanges, followers
}

// Guards against a region in which nobody follows the store, or in which many
// do for long: at the start, after the death of a follower, and when the store
// turns a follower away.
func TestOneFollowerInEachRegion(t *testing.T) {
	for _, size := range []int{1, 2, 10} {
		m := newMesh(3, 3, size)
		now := epoch
		var followers map[string][]string
		run := func(d time.Duration) {
			for end := now.Add(d); now.Before(end); now = now.Add(500 * time.Millisecond) {
				_, followers = m.beat(now)
			}
		}
		_, followers = m.beat(now)
		for region := range 3 {
			require.NotEmpty(t, followers[fmt.Sprint("r", region)], "size %d: at the start", size)
		}
		run(3 * time.Second)
		for region := range 3 {
			require.Len(t, followers[fmt.Sprint("r", region)], 1, "size %d", size)
		}
		m.dead[followers["r0"][0]] = true
		cut := followers["r1"][0]
		m.noStore[cut] = now
		run(12 * time.Second)
		require.Len(t, followers["r0"], 1, "size %d: after a death", size)
		require.Contains(t, [][]string{followers["r1"]}, followers["r1"])
		working := 0
		for _, id := range followers["r1"] {
			if id != cut {
				working++
			}
		}
		require.Equal(t, 1, working, "size %d: after the store turned one away", size)
	}
}

// Guards against messages that grow with the square of the instances: at 66
// and 90 instances the full mesh cost 0.3 of the worth in bytes.
func TestLinksPerInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions, domains := rapid.IntRange(1, 4).Draw(t, "regions"), rapid.IntRange(1, 3).Draw(t, "domains")
		size := rapid.IntRange(1, 30).Draw(t, "instances in a domain")
		m := newMesh(regions, domains, size)
		for _, r := range m.rosters {
			r.following = false // as all are but one in each region
			require.LessOrEqual(t, len(r.HeartbeatPeers(epoch)), size-1+domainLinks*(domains-1)+regionLinks*(regions-1))
		}
	})
}

// Guards against a link that stays with a dead member of another failure domain.
func TestDeadMemberIsReplaced(t *testing.T) {
	r := New(instance("self", "a", "north"))
	r.following = false
	for i := range 5 {
		r.Add(epoch, instance(fmt.Sprint("b", i), "b", "north"))
	}
	first := r.HeartbeatPeers(epoch)
	require.Len(t, first, domainLinks)
	r.RecordMissedHeartbeat(at(time.Second), first[0].ID)
	for _, m := range r.HeartbeatPeers(at(time.Second)) {
		require.NotEqual(t, first[0].ID, m.ID)
	}
}

// Guards against cold quotas that add up to more than intended: each member of
// a region has a place of its own, whatever it knows to be alive.
func TestRegionPlaces(t *testing.T) {
	m := newMesh(2, 2, 4)
	places := map[int]bool{}
	for _, r := range m.rosters {
		size, place := r.RegionRank("r0", "server")
		require.Equal(t, 8, size)
		if r.self.Region != "r0" {
			require.Equal(t, -1, place)
			continue
		}
		require.False(t, places[place])
		places[place] = true
	}
	require.Len(t, places, 8)
}

// Guards against a follower of the store on a machine of 10 Mbit/s beside
// machines of 200: it sends all changes to its region.
func TestLargeLinksFollowTheStore(t *testing.T) {
	small, large, medium := instance("small", "a", "north"), instance("large", "a", "north"), instance("medium", "b", "north")
	small.LinkMbps, large.LinkMbps, medium.LinkMbps = 10, 200, 40
	follows := func(self fleet.Member, others ...fleet.Member) bool {
		r := New(self)
		r.SetSelf(ready)
		for _, m := range others {
			r.RecordHeartbeat(epoch, m, Status{State: Ready, Following: true})
		}
		return r.FollowsStore(epoch)
	}
	require.True(t, follows(large, small, medium))
	require.False(t, follows(small, large, medium))
	require.False(t, follows(medium, large, small))
	require.True(t, follows(medium, small))
}

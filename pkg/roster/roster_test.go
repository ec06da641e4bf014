package roster

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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

// Guards against responses with an instance that is dead, leaving or not ready,
// and against clients that are sent out of their region.
func TestClientAddrs(t *testing.T) {
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
	require.Len(t, lookup(epoch, "b", "north"), minAddrs, "completed from the region")
	require.Equal(t, []string{"far"}, lookup(epoch, "c", "south"), "never completed from another region")
	require.NotEmpty(t, lookup(epoch, "x", "nowhere"), "other regions as the last resort")

	require.Equal(t, []string{"self"}, lookup(at(LivenessTimeout), "a", "north"), "no heartbeat within LivenessTimeout")
	r.RecordHeartbeat(at(LivenessTimeout), instance("near", "b", "north"), ready)
	r.RecordConnectionRefused("near")
	require.Equal(t, []string{"self"}, lookup(at(LivenessTimeout), "b", "north"), "no process listens there")
	r.SetSelf(Status{State: Leaving})
	require.Empty(t, lookup(at(LivenessTimeout), "a", "north"))
}

// Guards against messages of an earlier process that replace the state of the
// current one.
func TestOlderIncarnation(t *testing.T) {
	r := New(instance("self", "a", "north"))
	newer := instance("peer", "a", "north")
	newer.Incarnation, newer.ClientAddr = 2, "new"
	r.RecordHeartbeat(epoch, newer, ready)
	require.False(t, r.RecordHeartbeat(epoch, instance("peer", "a", "north"), Status{State: Leaving}))
	require.Equal(t, []string{"new"}, r.ClientAddrs(epoch, fleet.Lookup{FailureDomain: "a", Region: "north"}, random()))
}

// mesh is a set of instances that exchange heartbeats with their peers.
type mesh struct {
	rosters     map[string]*Roster
	members     map[string]fleet.Member
	dead        map[string]bool
	storeLostAt map[string]time.Time // when the store stopped answering
}

func newMesh(regions, domains, perDomain int) *mesh {
	m := &mesh{rosters: map[string]*Roster{}, members: map[string]fleet.Member{}, dead: map[string]bool{}, storeLostAt: map[string]time.Time{}}
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
	if since, ok := m.storeLostAt[id]; ok {
		s.StoreResponseAge = now.Sub(since)
	}
	return s
}

// exchangeHeartbeats lets every instance exchange one heartbeat with each of its
// peers. It returns the number of exchanges and the followers by region.
func (m *mesh) exchangeHeartbeats(now time.Time) (exchanges int, followers map[string][]string) {
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

// Guards against a region without a follower, or with several for long: at the
// start, after a follower has died, and when the store stops answering one.
func TestOneFollowerInEachRegion(t *testing.T) {
	for _, size := range []int{1, 2, 10} {
		m := newMesh(3, 3, size)
		now := epoch
		var followers map[string][]string
		run := func(d time.Duration) {
			for end := now.Add(d); now.Before(end); now = now.Add(500 * time.Millisecond) {
				_, followers = m.exchangeHeartbeats(now)
			}
		}
		_, followers = m.exchangeHeartbeats(now)
		for region := range 3 {
			require.NotEmpty(t, followers[fmt.Sprint("r", region)], "size %d: at the start", size)
		}
		run(3 * time.Second)
		for region := range 3 {
			require.Len(t, followers[fmt.Sprint("r", region)], 1, "size %d", size)
		}
		m.dead[followers["r0"][0]] = true
		cut := followers["r1"][0]
		m.storeLostAt[cut] = now
		run(12 * time.Second)
		require.Len(t, followers["r0"], 1, "size %d: after a follower died", size)
		require.LessOrEqual(t, len(followers["r1"]), 2, "size %d: the one without the store and its replacement", size)
		working := 0
		for _, id := range followers["r1"] {
			if id != cut {
				working++
			}
		}
		require.Equal(t, 1, working, "size %d: after the store stopped answering one", size)
	}
}

// Guards against traffic that grows with the square of the number of instances:
// at 66 and 90 instances a full mesh cost 0.3 of the bench score.
func TestHeartbeatPeersAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions, domains := rapid.IntRange(1, 4).Draw(t, "regions"), rapid.IntRange(1, 3).Draw(t, "domains")
		size := rapid.IntRange(1, 30).Draw(t, "instances in a domain")
		m := newMesh(regions, domains, size)
		for _, r := range m.rosters {
			r.following = false // as for all but one instance in each region
			require.LessOrEqual(t, len(r.HeartbeatPeers(epoch)), size-1+peersPerDomain*(domains-1)+peersPerRegion*(regions-1))
		}
	})
}

// Guards against a dead member of another failure domain that stays a heartbeat
// peer.
func TestDeadMemberIsReplaced(t *testing.T) {
	r := New(instance("self", "a", "north"))
	r.following = false
	for i := range 5 {
		r.Add(epoch, instance(fmt.Sprint("b", i), "b", "north"))
	}
	first := r.HeartbeatPeers(epoch)
	require.Len(t, first, peersPerDomain)
	r.RecordMissedHeartbeat(at(time.Second), first[0].ID)
	for _, m := range r.HeartbeatPeers(at(time.Second)) {
		require.NotEqual(t, first[0].ID, m.ID)
	}
}

// Guards against cold quotas with too large a sum: each member of a region has a
// rank of its own, whichever members it considers alive.
func TestRegionRanksAreDistinct(t *testing.T) {
	m := newMesh(2, 2, 4)
	ranks := map[int]bool{}
	for _, r := range m.rosters {
		size, rank := r.RegionRank("r0", "server")
		require.Equal(t, 8, size)
		if r.self.Region != "r0" {
			require.Equal(t, -1, rank)
			continue
		}
		require.False(t, ranks[rank])
		ranks[rank] = true
	}
	require.Len(t, ranks, 8)
}

// Guards against a follower on a 10 Mbit/s machine while others have 200 Mbit/s:
// a follower sends all changes to its region.
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

// Guards against a region that waits for the silence of a follower which has
// reported the loss of the store, and against a takeover by all members when the
// store is lost for all.
func TestReportedLossIsTakenOver(t *testing.T) {
	const members = 10
	var all []fleet.Member
	for i := range members {
		all = append(all, instance(fmt.Sprint("e", i), "a", "north"))
	}
	slices.SortFunc(all, func(a, b fleet.Member) int { return compareBool(rankedBefore(b, a), rankedBefore(a, b)) })
	const follower = 0
	following, lost := Status{State: Ready, Following: true}, Status{State: Ready}
	rosters := map[int]*Roster{}
	for i := 1; i < members; i++ {
		r := New(all[i])
		for _, m := range all {
			r.Add(epoch, m)
		}
		r.SetSelf(ready)
		r.RecordHeartbeat(epoch, all[follower], following)
		require.False(t, r.FollowsStore(epoch), "e%d", i)
		r.RecordHeartbeat(at(time.Second), all[follower], lost)
		rosters[i] = r
	}
	for i, r := range rosters {
		takesOverAt := time.Second + time.Duration(i-1)*r.timing.step
		if i > lossCandidates {
			require.False(t, r.FollowsStore(at(2*time.Second)), "rank %d", i)
			continue
		}
		require.Equal(t, i == 1, r.FollowsStore(at(time.Second)), "rank %d", i)
		if i > 1 {
			require.False(t, r.FollowsStore(at(takesOverAt-time.Millisecond)), "rank %d", i)
		}
		require.True(t, r.FollowsStore(at(takesOverAt)), "rank %d", i)
	}
	r := rosters[4]
	r.RecordHeartbeat(at(1100*time.Millisecond), all[1], following)
	require.False(t, r.FollowsStore(at(1100*time.Millisecond)))
	require.False(t, r.LostFollower(), "the region has a follower again")
}

// Guards against shares of budgets that grow with the age of an instance: it exchanges
// heartbeats with few of the others, and forgot the rest after memberTTL. With 63
// members, some knew 14. Guards also against dead members that are remembered for ever.
func TestMembersAreRemembered(t *testing.T) {
	m := newMesh(3, 3, 7)
	pick := random()
	refreshAt := map[string]time.Time{}
	now, ids := epoch, slices.Sorted(maps.Keys(m.rosters))
	run := func(until time.Time, check func()) {
		for ; now.Before(until); now = now.Add(2 * time.Second) {
			m.exchangeHeartbeats(now)
			for _, id := range ids {
				if m.dead[id] || now.Before(refreshAt[id]) {
					continue
				}
				peers := m.rosters[id].HeartbeatPeers(now)
				if peer := peers[pick.IntN(len(peers))].ID; !m.dead[peer] {
					refreshAt[id] = now.Add(RefreshInterval)
					for _, k := range m.rosters[peer].Known(now) {
						m.rosters[id].Refresh(now, k)
					}
				}
			}
			check()
		}
	}
	run(epoch.Add(2*memberTTL), func() {
		for _, id := range ids {
			size, _ := m.rosters[id].RegionRank(AnyRegion, "server")
			require.Equal(t, len(ids), size, "%s after %v", id, now.Sub(epoch))
		}
	})
	m.dead[ids[0]] = true
	run(now.Add(memberTTL+2*time.Second), func() {})
	for _, id := range ids[1:] {
		require.NotContains(t, m.rosters[id].Peers(now), m.members[ids[0]])
	}
}

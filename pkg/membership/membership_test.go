package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

var t0 = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

func newMembers(ids ...string) *Members {
	m := New(Config{Self: "self"})
	entries := []config.EntryInstance{{ID: "self", PeerAddr: "self:1"}}
	for _, id := range ids {
		entries = append(entries, config.EntryInstance{ID: id, PeerAddr: id + ":1"})
	}
	m.SetPeers(t0, entries)
	return m
}

func newHeartbeat(incarnation, sequence uint64) *Heartbeat {
	return &Heartbeat{Incarnation: incarnation, Sequence: sequence, State: StateReady}
}

// Guards against a delayed heartbeat, of an old incarnation or of the current
// one, that replaces a newer one in any order of arrival.
func TestNewestHeartbeatIsKept(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMembers("a")
		var best Heartbeat
		for i := range rapid.IntRange(1, 40).Draw(rt, "n") {
			hb := newHeartbeat(rapid.Uint64Range(1, 4).Draw(rt, "incarnation"), rapid.Uint64Range(1, 6).Draw(rt, "sequence"))
			hb.ConfigVersion = hb.Incarnation*100 + hb.Sequence
			newer := hb.ConfigVersion > best.ConfigVersion
			require.Equal(rt, newer, m.HandleHeartbeat(at(i), "a", hb))
			if newer {
				best = *hb
			}
			require.Equal(rt, best.ConfigVersion, m.Peer("a").ConfigVersion)
			require.Equal(rt, best.Incarnation, m.Peer("a").Incarnation)
		}
	})
}

// Guards against a paused or briefly unreachable peer that counts as gone, so
// that its slots are lent while it still uses them. Compares ProvablyGone with
// its definition after random events.
func TestProvablyGoneNeedsContinuousFreshRefusals(t *testing.T) {
	const refused, failed, heard = 0, 1, 2
	rapid.Check(t, func(rt *rapid.T) {
		m := newMembers("a")
		now, sequence := 0, uint64(0)
		first, last := -1, -1
		for range rapid.IntRange(1, 40).Draw(rt, "n") {
			now += rapid.SampledFrom([]int{1, 100, 200, 499, 500, 501, 1000}).Draw(rt, "step")
			gone := first >= 0 && last-first >= 1000 && now-last <= 500
			require.Equal(rt, gone, m.ProvablyGone(at(now), "a"))
			require.Equal(rt, gone, m.Peer("a").State == StateGone)
			switch rapid.SampledFrom([]int{refused, refused, refused, refused, failed, heard}).Draw(rt, "kind") {
			case refused:
				m.HandleFailure(at(now), "a", true)
				if first < 0 || now-last > 500 {
					first = now
				}
				last = now
			case failed:
				m.HandleFailure(at(now), "a", false)
				first, last = -1, -1
			case heard:
				sequence++
				m.HandleHeartbeat(at(now), "a", newHeartbeat(1, sequence))
				first, last = -1, -1
			}
		}
	})
}

// Guards against a peer that stays ready after its heartbeats stop.
func TestSilentPeer(t *testing.T) {
	m := newMembers("a")
	require.Equal(t, StateUnknown, m.Peer("a").State)
	m.HandleHeartbeat(at(0), "a", newHeartbeat(1, 1))
	require.Equal(t, StateReady, m.Peers(at(1000))[0].State)
	status := m.Peers(at(1500))[0]
	require.Equal(t, StateSilent, status.State)
	require.Equal(t, at(1000), status.Since)
	m.HandleFailure(at(9000), "a", false)
	require.False(t, m.ProvablyGone(at(9000), "a"))
	m.HandleHeartbeat(at(9100), "a", newHeartbeat(1, 2))
	require.Equal(t, StateReady, m.Peer("a").State)
	var to []State
	for _, e := range m.Events(at(9100)) {
		if e.Kind == EventState {
			to = append(to, e.To)
		}
	}
	require.Equal(t, []State{StateReady, StateSilent, StateReady}, to)
	require.Empty(t, m.Events(at(9100)))
}

// Guards against a new incarnation that counts as leaving because the lagging
// list still shows the end of its predecessor.
func TestInstanceListDoesNotMarkNextIncarnation(t *testing.T) {
	m := newMembers("a")
	leaving := []platform.Instance{
		{ID: "a", Kind: "entry", State: platform.InstanceLeaving},
		{ID: "s1", Kind: "backend", State: platform.InstanceLeaving},
	}
	m.HandleHeartbeat(at(0), "a", newHeartbeat(1, 1))
	m.HandleInstanceList(at(1), leaving)
	require.Equal(t, StateLeaving, m.Peer("a").State)
	m.HandleHeartbeat(at(2), "a", newHeartbeat(2, 1))
	m.HandleInstanceList(at(3), leaving)
	require.Equal(t, StateReady, m.Peer("a").State)
	require.Equal(t, map[string]string{"s1": "platform instance list"}, m.LeavingServers(at(3)))
	m.HandleInstanceList(at(4), nil)
	require.Empty(t, m.LeavingServers(at(4)))
}

// Guards against a crashed incarnation that counts as having left cleanly
// because an earlier one did.
func TestCleanLeaveCountsForOneIncarnation(t *testing.T) {
	m := newMembers("a")
	m.HandleHeartbeat(at(0), "a", newHeartbeat(1, 1))
	m.HandleLeave(at(1), "a", 1, false)
	require.Equal(t, StateLeaving, m.Peer("a").State)
	require.False(t, m.LeftCleanly("a"))
	m.HandleLeave(at(2), "a", 1, true)
	require.True(t, m.LeftCleanly("a"))
	require.Equal(t, StateLeaving, m.Peers(at(5000))[0].State)
	m.HandleHeartbeat(at(5001), "a", newHeartbeat(2, 1))
	require.True(t, m.LeftCleanly("a"), "the predecessor left cleanly")
	m.HandleLeave(at(5002), "a", 1, true)
	m.HandleHeartbeat(at(5003), "a", newHeartbeat(3, 1))
	require.False(t, m.LeftCleanly("a"), "incarnation 2 did not leave")
}

// Guards against reports of a silent peer that keep a backend server out of
// use, and against peers or events that grow without bound.
func TestReportsAndBounds(t *testing.T) {
	m := newMembers("a")
	hb := newHeartbeat(1, 1)
	hb.LeavingServers = []string{"s1"}
	m.HandleHeartbeat(at(0), "a", hb)
	hb.LeavingServers[0] = "changed by the caller"
	require.Equal(t, map[string]string{"s1": "reported by entry instance a"}, m.LeavingServers(at(500)))
	require.Empty(t, m.LeavingServers(at(2000)))
	for i := range 2 * maxEvents {
		require.False(t, m.HandleHeartbeat(at(2000+i), "stranger", newHeartbeat(uint64(i), 1)))
	}
	require.Len(t, m.Peers(at(9000)), 1)
	require.Len(t, m.Events(at(9000)), maxEvents)
	require.False(t, m.HandleHeartbeat(at(9000), "self", newHeartbeat(1, 1)))
}

// Guards against a peer that counts as gone because of refusals at the address
// that it had before.
func TestMovedPeerStartsWithoutRefusals(t *testing.T) {
	m := newMembers("a")
	for ms := 0; ms <= 1200; ms += 200 {
		m.HandleFailure(at(ms), "a", true)
	}
	require.True(t, m.ProvablyGone(at(1200), "a"))
	m.SetPeers(at(1201), []config.EntryInstance{{ID: "a", PeerAddr: "a:2"}})
	require.False(t, m.ProvablyGone(at(1201), "a"))
}

package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

func input(peers ...Peer) Input {
	return Input{
		Self: Self{"e1", "dar-a", "dar"}, HomeRegion: "dar", Peers: peers, LocalFree: 1, RegionReserve: 2,
		Delay: func(_, b string) time.Duration {
			return map[string]time.Duration{"mwanza": 35 * ms, "arusha": 20 * ms}[b]
		},
	}
}

func names(list []Candidate) (out []string) {
	for _, c := range list {
		out = append(out, c.Entry)
	}
	return out
}

// Guards against a distant region that is tried before a near one, and against
// an old report that is trusted like a fresh one.
func TestOrder(t *testing.T) {
	in := input(
		Peer{"far", "mwanza-a", "mwanza", 9, 0, StateReady},
		Peer{"near", "arusha-a", "arusha", 3, 0, StateReady},
		Peer{"region", "dar-b", "dar", 1, 0, StateReady},
		Peer{"stale", "dar-a", "dar", 9, 1100 * ms, StateReady},
		Peer{"domain", "dar-a", "dar", 1, 900 * ms, StateReady},
	)
	got := Candidates(in)
	require.Equal(t, []string{"e1", "domain", "region", "near", "far", "stale"}, names(got))
	require.True(t, got[0].Local)
	require.True(t, got[5].Stale)
}

// Guards against a place that must not be used, and against a trace that does
// not say why a place was left out.
func TestExclusions(t *testing.T) {
	in := input(
		Peer{"silent", "dar-a", "dar", 9, 0, StateSilent},
		Peer{"old", "dar-a", "dar", 9, 4 * time.Second, StateReady},
		Peer{"gone", "dar-a", "dar", 9, 0, StateGone},
		Peer{"leaving", "dar-a", "dar", 9, 0, StateLeaving},
		Peer{"starting", "dar-a", "dar", 9, 0, StateNotReady},
		Peer{"full", "dar-a", "dar", 0, 0, StateReady},
		Peer{"tried", "dar-a", "dar", 9, 0, StateReady},
		Peer{"reserve", "arusha-a", "arusha", 2, 0, StateReady},
		Peer{"late", "mwanza-a", "mwanza", 9, 0, StateReady},
		Peer{"capped", "x-a", "x", 9, 0, StateReady},
		Peer{"barred", "y-a", "y", 9, 0, StateReady},
	)
	in.Exclude = []string{"tried"}
	in.AllowedRegions = []string{"dar", "arusha", "mwanza", "x"}
	in.Permitted = func(region string) bool { return region != "x" }
	in.TimeLeft, in.ServiceTime = 80*ms, 11*ms
	got, excluded := Plan(in)
	require.Equal(t, []string{"e1"}, names(got))
	reasons := map[string]string{}
	for _, e := range excluded {
		reasons[e.Entry] = e.Reason
	}
	require.Equal(t, map[string]string{
		"silent": ReasonSilent, "old": ReasonSilent, "gone": ReasonGone, "leaving": ReasonLeaving,
		"starting": ReasonNotReady, "full": ReasonNoFreeSlot, "tried": ReasonAlreadyTried,
		"reserve": ReasonRegionReserve, "late": ReasonDeadline, "capped": ReasonShiftOrLinkLimit, "barred": ReasonRegionNotAllowed,
	}, reasons)
}

// Guards against a request that returns home although it must stay away.
func TestOnlyRegion(t *testing.T) {
	in := input(Peer{"far", "mwanza-a", "mwanza", 9, 0, StateReady}, Peer{"near", "dar-b", "dar", 9, 0, StateReady})
	in.OnlyRegion = "mwanza"
	require.Equal(t, []string{"far"}, names(Candidates(in)))
}

// Guards against entries that all choose the same peer, and against a choice
// that ignores free slots.
func TestDrawSpreadsByFreeSlots(t *testing.T) {
	in := input(Peer{"a", "dar-a", "dar", 6, 0, StateReady}, Peer{"b", "dar-a", "dar", 3, 0, StateReady}, Peer{"c", "dar-a", "dar", 1, 0, StateReady})
	in.Rand = rand.New(rand.NewPCG(1, 2))
	first := map[string]int{}
	for range 1000 {
		got := names(Candidates(in))
		require.ElementsMatch(t, []string{"e1", "a", "b", "c"}, got)
		first[got[1]]++
	}
	require.Greater(t, first["a"], first["b"])
	require.Greater(t, first["b"], first["c"])
	require.Positive(t, first["c"])
}

// Guards against a request that waits for a service time although another seat
// of its domain has a slot that the last heartbeat did not show, and against an
// unbounded number of seats that are asked under overload.
func TestAskFullSeatsOfTheOwnDomain(t *testing.T) {
	in := input(
		Peer{"full-1", "dar-a", "dar", 0, 0, StateReady},
		Peer{"full-2", "dar-a", "dar", 0, 0, StateReady},
		Peer{"full-stale", "dar-a", "dar", 0, 1100 * ms, StateReady},
		Peer{"full-other", "dar-b", "dar", 0, 0, StateReady},
		Peer{"region", "dar-b", "dar", 1, 0, StateReady},
		Peer{"near", "arusha-a", "arusha", 3, 0, StateReady},
	)
	in.MaxFullPeers = 1
	require.Equal(t, []string{"e1", "region", "full-1", "near"}, names(Candidates(in)))
	in.Rand = rand.New(rand.NewPCG(1, 2))
	first := map[string]int{}
	for range 1000 {
		got := names(Candidates(in))
		require.Len(t, got, 4)
		first[got[2]]++
	}
	require.Len(t, first, 2)
	require.Greater(t, min(first["full-1"], first["full-2"]), 300)
}

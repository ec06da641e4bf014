package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/roster"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// Guards against members that only a peer hears and that are forgotten here, and
// against a new one whose address is never asked for.
func TestMembersAreRefreshed(t *testing.T) {
	g := &Ingress{roster: roster.New(fleet.Member{ID: "e1"})}
	peer := &Ingress{roster: roster.New(fleet.Member{ID: "e2"})}
	now := time.Now()
	known, unknown := fleet.Member{ID: "e3", Incarnation: 1, PeerAddr: "a"}, fleet.Member{ID: "e4", Incarnation: 1, PeerAddr: "b"}
	g.roster.Add(now.Add(-time.Minute), known)
	peer.roster.RecordHeartbeat(now, known, roster.Status{})
	ask := func(all bool) {
		response := &wire.ReplicaSync{}
		peer.addKnownMembers(response, all)
		g.recordKnown(time.Now(), response.GetKnown())
	}
	g.started = now.Add(-membersRequestPeriod)
	routine := &link{reached: true}

	all, refresh := g.membersToRequest(routine)
	require.False(t, all)
	require.True(t, refresh)
	ask(false)
	require.Less(t, g.roster.Known(now)[0].Age, 10*time.Second)
	all, refresh = g.membersToRequest(routine)
	require.False(t, all || refresh, "asked just before")

	peer.roster.RecordHeartbeat(now, unknown, roster.Status{})
	ask(false)
	require.Len(t, g.roster.Peers(now), 1, "the address is not known")
	g.membersRequestedAt = now.Add(-membersRequestInterval)
	all, _ = g.membersToRequest(routine)
	require.True(t, all)
	ask(all)
	require.Contains(t, g.roster.Peers(now), unknown)
}

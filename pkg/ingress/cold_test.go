package ingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/roster"
)

// Guards against too many requests to a cold server by instances that do not know
// each other: after all had restarted while the store was unreachable, each used the
// full rate (found by drsoak, seed 665662).
func TestColdQuotaOfUnknownMembers(t *testing.T) {
	g := &Ingress{roster: roster.New(fleet.Member{ID: "e0", Region: "north"})}
	g.instance.Store(&fleet.InstanceConfig{DomainRegions: map[string]string{"north-a": "north"}})
	doc := &fleet.Document{Services: map[string]fleet.Service{"s": {ColdPerSecond: 6}}}
	bounds := fleet.DefaultBounds()
	server := fleet.BackendServer{ID: "b", Service: "s", FailureDomain: "north-a"}
	require.Equal(t, 1, g.coldQuota(doc, bounds, server))
	g.membersRead.Store(true)
	most := 6*bounds.ColdOver + bounds.ColdSlack
	for members := 1; members < 30; members++ {
		quota := g.coldQuota(doc, bounds, server)
		// With more members than the rate allows, the first by rank get one each.
		require.LessOrEqual(t, float64(quota*min(members, int(most))), most, "%d members", members)
		g.roster.Add(time.Now(), fleet.Member{ID: fmt.Sprint("e", members), Region: "north", PeerAddr: "a"})
	}
}

package registry

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/replica"
)

// Guards against rows of an older copy of the store that count as changes: a server that
// drains or was removed and is used again, an evacuation that ends, servers that are
// dropped before they have registered again; and against such state that stays for good.
func TestRollback(t *testing.T) {
	drains := func(s *fleet.BackendServer) { s.Draining = true }
	usable := func(r *Registry, now time.Time) []string { return slices.Sorted(maps.Keys(serversByID(r.View(now)))) }
	r := newTestRegistry("drains", "removed", "new", "stays")
	r.ApplyServers(at(time.Second), []replica.Row{server("drains", drains), removed("removed")}, true)
	r.ApplyOperator(at(time.Second), []replica.Row{{Key: "out/b"}})
	require.Equal(t, []string{"new", "stays"}, usable(r, at(time.Second)))

	now := at(3 * time.Second)
	r.RecordRollback(now)
	r.ApplyServers(now, []replica.Row{server("drains", nil), server("removed", nil), server("stays", nil), removed("new")}, true)
	r.ApplyOperator(now, []replica.Row{{Key: "out/b", Removed: true}})
	require.Equal(t, []string{"new", "stays"}, usable(r, now), "a server that may register again stays")
	require.True(t, r.View(now).Evacuated["b"])

	now = now.Add(ExpiryGrace)
	require.Equal(t, []string{"stays"}, usable(r, now), "it has not registered again")
	now = now.Add(rollbackTTL)
	require.True(t, r.ViewOutdated(now))
	require.Equal(t, []string{"removed", "stays"}, usable(r, now), "the registration is still there")
	require.False(t, r.View(now).Evacuated["b"], "it was not requested again")
	r.ApplyServers(now.Add(time.Second), []replica.Row{server("drains", nil)}, true)
	require.Contains(t, usable(r, now.Add(time.Second)), "drains", "a row that is written later counts")
}

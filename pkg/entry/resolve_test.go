package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/claim"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
	"github.com/dandelionrack/dandelionrack/pkg/membership"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
)

// Guards against treating a silent, paused or unreachable process as dead, after which
// an operator could let its request run a second time.
func TestAliveReason(t *testing.T) {
	old := claim.Incarnation{Entry: "e2", Number: 5}
	for _, c := range []struct {
		name        string
		owner       claim.Incarnation
		heard       uint64        // incarnation of the last heartbeat
		silent      time.Duration // since then
		refusing    bool
		listed      bool
		listAge     time.Duration
		emptyList   bool
		dead        bool
		explanation string
	}{
		{name: "alive", owner: old, heard: 5, explanation: "is alive"},
		{name: "silent", owner: old, heard: 5, silent: time.Minute, explanation: "paused or cut off"},
		{name: "refused and listed", owner: old, heard: 5, silent: time.Minute, refusing: true, listed: true, explanation: "instance list"},
		{name: "refused and list old", owner: old, heard: 5, silent: time.Minute, refusing: true, listAge: time.Minute, explanation: "instance list"},
		{name: "refused and list empty", owner: old, heard: 5, silent: time.Minute, refusing: true, emptyList: true, explanation: "instance list"},
		{name: "unlisted but not refused", owner: old, heard: 5, silent: time.Minute, explanation: "paused or cut off"},
		{name: "refused and unlisted", owner: old, heard: 5, silent: time.Minute, refusing: true, dead: true},
		{name: "replaced", owner: old, heard: 6, dead: true},
		{name: "never heard", owner: old, explanation: "paused or cut off"},
		{name: "not configured", owner: claim.Incarnation{Entry: "e9", Number: 5}, explanation: "paused or cut off"},
		{name: "this one", owner: claim.Incarnation{Entry: "e1"}, explanation: "is alive"},
		{name: "own predecessor", owner: claim.Incarnation{Entry: "e1", Number: 1}, dead: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, err := New(Settings{ID: "e1", FailureDomain: "d1", PlatformURL: "http://127.0.0.1:1"}, hclog.NewNullLogger())
			require.NoError(t, err)
			if c.owner.Entry == "e1" && c.owner.Number == 0 {
				c.owner = e.self
			}
			now := time.Now()
			e.members.SetPeers(now.Add(-2*time.Minute), []config.EntryInstance{{ID: "e1"}, {ID: "e2"}})
			if c.heard != 0 {
				e.members.HandleHeartbeat(now.Add(-c.silent), "e2", &membership.Heartbeat{Incarnation: c.heard, Sequence: 1, State: membership.StateReady})
			}
			for at := now.Add(-3 * time.Second); c.refusing && at.Before(now); at = at.Add(200 * time.Millisecond) {
				e.members.HandleFailure(at, "e2", true)
			}
			e.platformEntries = map[string]bool{"e1": true, "e2": c.listed}
			if c.emptyList {
				e.platformEntries = nil
			}
			e.platformListReadAt = now.Add(-c.listAge)
			reason := e.aliveReason(c.owner)
			require.Equal(t, c.dead, reason == "", reason)
			require.Contains(t, reason, c.explanation)
		})
	}
}

// Guards against a resolution without a reason, an author or a usable answer,
// and against a conflict that loses its type.
func TestResolveRequests(t *testing.T) {
	good := operator.ResolveRequest{Key: newRequestID(), Reason: "ledger", Change: config.Change{ID: "c1", Author: "asha"}}
	require.NoError(t, checkResolve(good))
	for path, invalidate := range map[string]func(*operator.ResolveRequest){
		"key":           func(r *operator.ResolveRequest) { r.Key = "x" },
		"reason":        func(r *operator.ResolveRequest) { r.Reason = "" },
		"change.author": func(r *operator.ResolveRequest) { r.Change.Author = "" },
		"status":        func(r *operator.ResolveRequest) { r.Ran = true },
	} {
		bad := good
		invalidate(&bad)
		var invalid *findings.Error
		require.ErrorAs(t, checkResolve(bad), &invalid)
		require.Equal(t, path, invalid.Findings[0].Path)
	}
	withBody := good
	withBody.Body = []byte("x")
	require.Error(t, checkResolve(withBody), "a body of a request that did not run")

	var api *operator.Error
	err := resolveError(&claim.ResolveError{Refusal: claim.RefusedOwner, Version: 3, Resolution: &claim.Resolution{Author: "asha"}})
	require.ErrorAs(t, err, &api)
	require.Equal(t, http.StatusConflict, api.Status)
	require.Equal(t, operator.CodeConflict, api.Code)
	require.Equal(t, "owner_may_run", api.Claim.Reason)
	require.Equal(t, "asha", api.Claim.Resolution.Author)
}

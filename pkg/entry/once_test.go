package entry

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/claim"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// Guards against reporting "not run" because of the claim row of an earlier attempt,
// while the owner may still run the request whose reply was lost.
func TestNotRunRowCoversOnlyEarlierAttempts(t *testing.T) {
	b := newTestBed(t)
	e, _ := b.start(0, nil)
	b.configure(1)
	key, err := claim.ParseKey(uuid.Must(uuid.NewV7()).String())
	require.NoError(t, err)
	req := &request{view: e.currentView(), method: "POST", path: "/x", key: key, deadline: time.Now().Add(time.Second)}
	for _, c := range req.view.doc.Contracts {
		req.contract = c
		req.service, _ = c.FindService("weka")
	}
	row, err := json.Marshal(map[string]any{
		"state": "not_run", "entry": "e2", "incarnation": 1, "attempt": "a", "fingerprint": req.fingerprint(), "reason": "overload",
	})
	require.NoError(t, err)
	id := req.claimID()
	require.NoError(t, e.platform.Commit(context.Background(), platform.Tx{Puts: []platform.Put{{
		Key: "claim/" + id.Customer + "/" + id.Service + "/" + id.Key, Value: row,
	}}}))
	owner := claim.Incarnation{Entry: "e2", Number: 1}
	rep := e.replyFromTable(context.Background(), req, owner, false)
	require.True(t, rep.isNotRun(), rep.message)
	rep = e.replyFromTable(context.Background(), req, owner, true)
	require.Equal(t, ReasonOwnerUnreachable, rep.reason)
}

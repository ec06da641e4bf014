package claim

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/internal/wait"
)

// Guards against a commit that took effect before its context ended and is
// treated as "nothing written": the row would stay claimed, and a retry of the
// key would end unknown although the caller was told "not run".
func TestCommitAppliedAfterTimeout(t *testing.T) {
	table := newFakeTable()
	withManager(t, table, Config{}, func(t *testing.T, m *Manager) {
		table.mu.Lock()
		table.after = func(ctx context.Context) error { return wait.Sleep(ctx, time.Hour) }
		table.mu.Unlock()
		k := callerKey(time.Now())
		d := begin(m, k, 2*time.Second)
		require.Equal(t, NotRun, d.Verdict)
		require.Equal(t, 1, table.claimedRows(), "the write took effect")

		table.mu.Lock()
		table.after = nil
		table.mu.Unlock()
		require.NoError(t, m.Flush(context.Background()))
		require.Zero(t, table.claimedRows(), "the claim was not released")
		// Another entry instance can run the key now.
		other := NewManager(Config{Self: Incarnation{Entry: "entry-2", Number: 8}, Table: table})
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go func() { _ = other.Run(ctx) }()
		require.Equal(t, Run, begin(other, k, time.Second).Verdict)
	})
}

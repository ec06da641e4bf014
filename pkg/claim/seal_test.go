package claim

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// Guards against keys that end as unknown because of a graceful stop, and against
// "not run" after a kill or a stop that could not write every claim.
func TestSeal(t *testing.T) {
	down := func(context.Context) error { return platform.ErrUnavailable }
	for name, c := range map[string]struct {
		stop   func(*fakeTable, *Manager, context.Context) error
		fails  bool
		unsent Verdict // for a key that was never dispatched
		ran    Verdict // for a key that ran
	}{
		"kill": {func(*fakeTable, *Manager, context.Context) error { return nil }, false, Unknown, Unknown},
		"graceful stop": {func(_ *fakeTable, m *Manager, ctx context.Context) error {
			require.NoError(t, m.Flush(ctx))
			return m.Seal(ctx)
		}, false, NotRun, Recorded},
		"outage": {func(f *fakeTable, m *Manager, ctx context.Context) error {
			f.setBeforeCommit(down)
			_ = m.Flush(ctx)
			return m.Seal(ctx)
		}, true, Unknown, Unknown},
		"outage after flush": {func(f *fakeTable, m *Manager, ctx context.Context) error {
			require.NoError(t, m.Flush(ctx))
			f.setBeforeCommit(down)
			return m.Seal(ctx)
		}, true, Unknown, Recorded},
	} {
		t.Run(name, func(t *testing.T) {
			table := newFakeTable()
			withManager(t, table, Config{}, func(t *testing.T, m *Manager) {
				unsent, refused, ran := issuedKeyOf(m, time.Now()), issuedKeyOf(m, time.Now()), issuedKeyOf(m, time.Now())
				begin(m, refused, time.Second).Ticket.NotRun(ReasonOverload)
				runKey(t, m, ran, Result{Status: 200})
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				require.Equal(t, c.fails, c.stop(table, m, ctx) != nil)
				rows := map[string]platform.Row{}
				for key, r := range table.rows {
					rows[key] = r
				}
				other := NewManager(Config{Self: Incarnation{"entry-2", 3}, Table: &fakeTable{rows: rows}})
				require.Equal(t, c.unsent, other.Lookup(context.Background(), idOf(unsent)).Verdict)
				require.Equal(t, c.unsent, other.Lookup(context.Background(), idOf(refused)).Verdict)
				require.Equal(t, c.ran, other.Lookup(context.Background(), idOf(ran)).Verdict)
			})
		})
	}
}

// Guards against a dispatch after the seal, a seal while a ticket has not ended,
// and a seal that fails because its reply was lost.
func TestSealEndsDispatch(t *testing.T) {
	table := newFakeTable()
	withManager(t, table, Config{}, func(t *testing.T, m *Manager) {
		open := begin(m, issuedKeyOf(m, time.Now()), time.Second)
		require.ErrorIs(t, m.Seal(context.Background()), ErrUnwritten)
		require.Equal(t, ReasonNotReady, begin(m, issuedKeyOf(m, time.Now()), time.Second).Reason)
		open.Ticket.NotRun(ReasonOverload)
		replies := 0
		table.after = func(context.Context) error {
			if replies++; replies == 1 {
				return platform.ErrUnknownOutcome
			}
			return nil
		}
		require.NoError(t, m.Seal(context.Background()))
		require.Equal(t, 2, replies)
	})
}

// Guards against "not run" for a key whose row expired before the seal, and for a
// key whose row is written between the read and the decision.
func TestSealDoesNotCoverExpiredOrLateRows(t *testing.T) {
	table := newFakeTable()
	now := time.Now()
	owner := NewManager(Config{Self: Incarnation{"entry-1", 1}, Table: table})
	require.NoError(t, owner.Seal(context.Background()))
	other := NewManager(Config{Self: Incarnation{"entry-2", 1}, Table: table})
	old := mustParse(NewIssuedKey(owner.cfg.Self, now.Add(-MaxKeyAge-time.Minute)))
	require.Equal(t, Unknown, other.Lookup(context.Background(), idOf(old)).Verdict)

	late := mustParse(NewIssuedKey(owner.cfg.Self, now))
	r := &row{State: stateDone, Entry: "entry-1", Incarnation: 1, Result: &Result{Status: 200}}
	value, err := r.encode()
	require.NoError(t, err)
	table.setBeforeCommit(func(context.Context) error {
		key := idOf(late).rowKey()
		table.rows[key] = platform.Row{Key: key, Version: 1, Value: value}
		return nil
	})
	require.Equal(t, Recorded, other.Lookup(context.Background(), idOf(late)).Verdict)
}

// Guards against NeverRun for an entry-issued key that its owner claimed in the
// store and may run again, and against "not run" from a stale read.
func TestLookupOfNotRunRows(t *testing.T) {
	table := newFakeTable()
	owner := Incarnation{"entry-1", 1}
	other := NewManager(Config{Self: Incarnation{"entry-2", 1}, Table: table})
	put := func(k Key, s state) {
		r := (&stateMachine{self: owner, attempt: "a"}).newRow(s)
		r.Result = &Result{Status: 200}
		value, err := r.encode()
		require.NoError(t, err)
		require.NoError(t, table.apply(platform.Tx{Puts: []platform.Put{{Key: idOf(k).rowKey(), Value: value}}}))
	}
	issued := mustParse(NewIssuedKey(owner, time.Now()))
	put(issued, stateNotRun)
	require.Equal(t, Unknown, other.Lookup(context.Background(), idOf(issued)).Verdict)
	require.NoError(t, table.apply(platform.Tx{Puts: []platform.Put{{Key: sealRowKey(owner)}}}))
	d := other.Lookup(context.Background(), idOf(issued))
	require.Equal(t, NotRun, d.Verdict)
	require.True(t, d.NeverRun)

	k := callerKey(time.Now())
	put(k, stateNotRun)
	require.Equal(t, NotRun, other.Lookup(context.Background(), idOf(k)).Verdict)
	put(k, stateDone)
	table.lag = func() int { return 1 }
	require.Equal(t, Recorded, other.Lookup(context.Background(), idOf(k)).Verdict)
}

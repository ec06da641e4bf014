package claim

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

var remoteOwner = Incarnation{Entry: "owner", Number: 3}

// forwardedRun returns the outcome of a request forwarded by remoteOwner, whose
// claim it puts into the table.
func forwardedRun(t *testing.T, table *fakeTable, k Key) ForwardedOutcome {
	putRow(t, table, k, stateClaimed, "attempt")
	return ForwardedOutcome{
		ID: idOf(k), Attempt: AttemptRef{Owner: remoteOwner, AttemptID: "attempt", Version: 1}, Fingerprint: testFingerprint,
		Result: Result{Status: 201, Body: []byte("captured")},
	}
}

// putRow replaces the row of a key by one of remoteOwner.
func putRow(t *testing.T, table *fakeTable, k Key, s state, attempt string) {
	r := (&stateMachine{self: remoteOwner, attempt: attempt, fingerprint: testFingerprint}).newRow(s)
	if s == stateDone {
		r.Result = &Result{}
	}
	value, err := r.encode()
	require.NoError(t, err)
	key := idOf(k).rowKey()
	require.NoError(t, table.apply(platform.Tx{Puts: []platform.Put{{Key: key, Value: value}}}))
}

// Guards against a result that is lost in a store outage or a graceful stop, and
// against a second write for each forwarded request whose owner is alive.
func TestOutcomeOfDeadOwner(t *testing.T) {
	table := newFakeTable()
	var live atomic.Bool
	live.Store(true)
	withManager(t, table, Config{IsAlive: func(Incarnation) bool { return live.Load() }}, func(t *testing.T, m *Manager) {
		delivered, kept := callerKey(time.Now()), callerKey(time.Now())
		m.RecordOutcome(forwardedRun(t, table, delivered))
		time.Sleep(outcomeHoldTime + time.Second)
		require.Zero(t, m.Stats().OutcomesPending+int(m.Stats().Transactions))

		table.setBeforeCommit(func(context.Context) error { return platform.ErrUnavailable })
		m.RecordOutcome(forwardedRun(t, table, kept))
		live.Store(false)
		time.Sleep(10 * time.Minute)
		tries := m.Stats().Transactions
		require.Greater(t, tries, uint64(100))
		require.Less(t, tries, uint64(150), "no backoff")
		table.setBeforeCommit(nil)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		require.NoError(t, m.Flush(ctx))
		d := m.Lookup(context.Background(), idOf(kept))
		require.Equal(t, Recorded, d.Verdict)
		require.Equal(t, "captured", string(d.Result.Body))
		require.Equal(t, Unknown, m.Lookup(context.Background(), idOf(delivered)).Verdict)

		// A stop writes recent results at once, even if their owner is alive, and
		// leaves older ones to their live owners.
		live.Store(true)
		m.RecordOutcome(forwardedRun(t, table, delivered))
		time.Sleep(ownerWriteTime + time.Millisecond)
		tries = m.Stats().Transactions
		require.NoError(t, m.Flush(ctx))
		require.Equal(t, tries, m.Stats().Transactions)
		last := callerKey(time.Now())
		m.RecordOutcome(forwardedRun(t, table, last))
		require.NoError(t, m.Flush(ctx))
		require.Equal(t, Recorded, m.Lookup(context.Background(), idOf(last)).Verdict)
	})
}

// Guards against an outage in which memory grows without bound or writes are
// retried forever.
func TestOutcomesAreBounded(t *testing.T) {
	table := newFakeTable()
	table.setBeforeCommit(func(context.Context) error { return platform.ErrUnavailable })
	withManager(t, table, Config{}, func(t *testing.T, m *Manager) {
		run := forwardedRun(t, table, callerKey(time.Now()))
		run.Result.Body = make([]byte, MaxBodyBytes)
		run.Undelivered = true
		for range maxOutcomes {
			m.RecordOutcome(run)
		}
		require.LessOrEqual(t, m.outcomes.bytes, maxOutcomeBytes)
		require.Positive(t, m.Stats().OutcomesDropped)
		time.Sleep(outcomeRetention + time.Minute)
		require.Zero(t, m.Stats().OutcomesPending+m.outcomes.bytes)
	})
}

// Guards against a late result that replaces what the owner recorded, and against
// an "unknown" that stays although its owner only lost the connection.
func TestOutcomeConflicts(t *testing.T) {
	for _, c := range []struct {
		state   state
		attempt string
		want    Verdict
		lost    uint64
	}{
		{stateUnknown, "attempt", Recorded, 0},
		{stateNotRun, "attempt", NotRun, 1},
		{stateUnknown, "another", Unknown, 1},
		{stateClaimed, "another", Unknown, 1},
	} {
		table := newFakeTable()
		withManager(t, table, Config{}, func(t *testing.T, m *Manager) {
			k := callerKey(time.Now())
			run := forwardedRun(t, table, k)
			putRow(t, table, k, c.state, c.attempt)
			run.Undelivered = true
			m.RecordOutcome(run)
			require.NoError(t, m.Flush(context.Background()))
			require.Equal(t, c.want, m.Lookup(context.Background(), idOf(k)).Verdict, "%+v", c)
			require.Equal(t, c.lost, m.Stats().OutcomesLost, "%+v", c)
		})
	}
}

// Guards against an owner that keeps answering "unknown" although the executor
// wrote the result before or after the owner's own write, and against an owner
// that reports such a row as an invariant violation.
func TestOwnerUsesExecutorOutcome(t *testing.T) {
	for _, issued := range []bool{false, true} {
		for _, first := range []bool{false, true} {
			table := newFakeTable()
			withManager(t, table, Config{}, func(t *testing.T, m *Manager) {
				k := callerKey(time.Now())
				if issued {
					k = issuedKeyOf(m, time.Now())
				}
				d := begin(m, k, time.Second)
				require.NoError(t, d.Ticket.Dispatch(time.Now()))
				executor := NewManager(Config{Self: Incarnation{Entry: "executor"}, Table: table})
				executor.RecordOutcome(ForwardedOutcome{
					ID: idOf(k), Attempt: d.Ticket.AttemptRef(), Fingerprint: testFingerprint, Undelivered: true,
					Result: Result{Status: 201, Body: []byte("captured")},
				})
				write := func() {
					for g := executor.nextOutcomes(); g != nil; g = executor.nextOutcomes() {
						executor.completeOutcomes(g, table.Commit(context.Background(), g.tx))
					}
				}
				if first {
					write()
				}
				d.Ticket.Unknown("connection lost")
				require.NoError(t, m.Flush(context.Background()))
				write()
				require.Zero(t, m.Stats().Violations)
				d = begin(m, k, time.Second)
				require.Equal(t, Recorded, d.Verdict, "issued %v, first %v: %s", issued, first, d.Detail)
				require.Equal(t, "captured", string(d.Result.Body))
			})
		}
	}
}

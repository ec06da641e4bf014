package claim

import (
	"cmp"
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// Guards against a resolution that replaces a known outcome, that loses a race
// without an error, or that is written while a process may still run the request,
// and against a repeated command that conflicts with itself.
func TestResolveConflicts(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name   string
		state  state
		change func(*ResolveCommand)
		age    time.Duration                               // 0: old enough
		before func(t *testing.T, table *fakeTable, k Key) // just before the write
		want   Refusal
		says   string
	}{
		{name: "done", state: stateDone, want: RefusedSettled, says: "done with status 0"},
		{name: "not run", state: stateNotRun, want: RefusedSettled, says: "not_run"},
		{name: "live owner", state: stateClaimed, want: RefusedOwner, says: "lives",
			change: func(c *ResolveCommand) { c.AliveReason = func(Incarnation) string { return "it lives" } }},
		{name: "young", state: stateUnknown, age: 12 * time.Second, want: RefusedTooYoung, says: "13s"},
		{name: "other version", state: stateUnknown, want: RefusedChanged, says: "version 1, not 7",
			change: func(c *ResolveCommand) { c.Version = 7 }},
		{name: "large body", state: stateUnknown, want: RefusedTooLarge,
			change: func(c *ResolveCommand) { c.Result = &Result{Body: make([]byte, MaxBodyBytes+1)} }},
		{name: "late result", state: stateClaimed, want: RefusedChanged, says: "now done with status 0, written for entry instance owner",
			before: func(t *testing.T, table *fakeTable, k Key) { putRow(t, table, k, stateDone, "late") }},
		{name: "other operator", state: stateUnknown, want: RefusedChanged, says: "second resolved the claim as not run",
			before: func(t *testing.T, table *fakeTable, k Key) {
				m := NewManager(Config{Table: table})
				_, err := m.Resolve(ctx, ResolveCommand{ID: idOf(k), ChangeID: "change-2", Author: "second"})
				require.NoError(t, err)
			}},
		{name: "lost reply", state: stateUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newFakeTable()
			k := callerKey(time.Now())
			age := cmp.Or(c.age, 14*time.Second)
			putRow(t, table, k, c.state, newUUID(time.Now().Add(-age)).String())
			m := NewManager(Config{Table: table})
			command := ResolveCommand{
				ID: idOf(k), ChangeID: "change-1", Author: "first", Reason: "ledger", Timeout: 5 * time.Second,
				Result:      &Result{Status: 200, Body: []byte("paid")},
				AliveReason: func(Incarnation) string { return "" },
			}
			if c.change != nil {
				c.change(&command)
			}
			table.setBeforeCommit(func(context.Context) error {
				table.setBeforeCommit(nil)
				if c.before != nil {
					c.before(t, table, k)
				}
				return nil
			})
			if c.name == "lost reply" {
				table.after = func(context.Context) error { return platform.ErrUnknownOutcome }
			}
			_, err := m.Resolve(ctx, command)
			table.after = nil
			if c.want == "" {
				require.ErrorIs(t, err, platform.ErrUnknownOutcome)
				version, err := m.Resolve(ctx, command)
				require.NoError(t, err)
				require.Equal(t, uint64(2), version, "written twice")
				return
			}
			var refused *ResolveError
			require.True(t, errors.As(err, &refused), "%v", err)
			require.Equal(t, c.want, refused.Refusal, err)
			require.Contains(t, err.Error(), c.says)
		})
	}
}

// Guards against a resolution that later attempts ignore, that loses its audit
// trail, or that lets another request use the key.
func TestRetryAfterResolution(t *testing.T) {
	ctx := context.Background()
	for _, ran := range []bool{true, false} {
		table := newFakeTable()
		withManager(t, table, Config{}, func(t *testing.T, m *Manager) {
			k := callerKey(time.Now())
			putRow(t, table, k, stateUnknown, newUUID(time.Now()).String())
			time.Sleep(time.Minute)
			c := ResolveCommand{ID: idOf(k), ChangeID: "change-1", Author: "first", Reason: "ledger"}
			if ran {
				c.Result = &Result{Status: 200, Body: []byte("paid")}
			}
			_, err := m.Resolve(ctx, c)
			require.NoError(t, err)
			other := m.Begin(ctx, idOf(k), k, Fingerprint{1})
			require.Equal(t, ReasonKeyMismatch, other.Reason)
			d := begin(m, k, time.Second)
			if ran {
				require.Equal(t, Recorded, d.Verdict)
				require.Equal(t, "paid", string(d.Result.Body))
			} else {
				require.Equal(t, Run, d.Verdict, d.Detail)
				require.NoError(t, d.Ticket.Dispatch(time.Now()))
				d.Ticket.Done(Result{Status: 201})
				require.NoError(t, m.Flush(ctx))
			}
			list, err := m.Unresolved(ctx, 10, true)
			require.NoError(t, err)
			require.Len(t, list, 1)
			require.Equal(t, "first", list[0].Resolution.Author)
			require.Equal(t, "unknown", list[0].Resolution.From)
			open, err := m.Unresolved(ctx, 10, false)
			require.NoError(t, err)
			require.Empty(t, open)
		})
	}
}

// Guards against the owner of an entry-issued key that runs it after other entry
// instances have answered that it never runs, and against a late result of the
// owner that replaces the operator's resolution.
func TestOwnerConflictsWithResolution(t *testing.T) {
	for _, state := range []state{stateNotRun, stateDone} {
		m := stateMachine{self: remoteOwner, issued: true, fingerprint: testFingerprint, phase: claiming, attempt: "a"}
		m.nextWrite = m.newRow(stateClaimed)
		resolved := &row{State: state, Entry: remoteOwner.Entry, Incarnation: remoteOwner.Number, Attempt: "change-1", Fingerprint: testFingerprint,
			Result: &Result{Status: 200}, Resolution: &Resolution{ID: "change-1", Author: "first"}}
		retry := m
		retry.startWrite(time.Now())
		e := retry.writeConflicted(2, resolved)
		require.NotNil(t, e.decision, "taken over")
		require.Equal(t, state == stateNotRun, e.decision.NeverRun)

		late := m
		late.phase = dispatched
		late.nextWrite = nil
		late.finishWithResult(Result{Status: 500})
		late.startWrite(time.Now())
		e = late.writeConflicted(2, resolved)
		require.Empty(t, e.violation)
		require.Contains(t, e.lostResult, "result done came too late: first resolved the claim")
		require.Nil(t, late.nextWrite)
	}
}

// Guards against an evicted key that its owner runs after an operator resolved it
// as not run, and against "unknown" for such a key at another entry instance.
func TestResolvedKeyOfLiveOwner(t *testing.T) {
	table := newFakeTable()
	withManager(t, table, Config{MaxIssued: 1}, func(t *testing.T, owner *Manager) {
		ctx := context.Background()
		k := issuedKeyOf(owner, time.Now())
		d := begin(owner, k, time.Second)
		require.NoError(t, d.Ticket.Dispatch(time.Now()))
		d.Ticket.Unknown("connection lost")
		require.NoError(t, owner.Flush(ctx))
		time.Sleep(time.Minute)
		runKey(t, owner, issuedKeyOf(owner, time.Now()), Result{Status: 200}) // evicts k

		other := NewManager(Config{Self: Incarnation{Entry: "entry-2", Number: 8}, Table: table})
		_, err := other.Resolve(ctx, ResolveCommand{
			ID: idOf(k), ChangeID: newUUID(time.Now()).String(), Author: "first", Timeout: time.Second,
			AliveReason: func(Incarnation) string { return "it lives" },
		})
		require.NoError(t, err)
		for _, d := range []Decision{begin(owner, k, time.Second), other.Lookup(ctx, idOf(k))} {
			require.Equal(t, NotRun, d.Verdict, d.Detail)
			require.True(t, d.NeverRun)
		}
	})
}

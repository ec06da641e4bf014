package claim

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// withManager runs a test of a manager in virtual time. Eleven entry instances and
// the default write budget give a mean interval of 55 ms.
func withManager(t *testing.T, table platform.Table, cfg Config, test func(*testing.T, *Manager)) {
	synctest.Test(t, func(t *testing.T) {
		cfg.Self = Incarnation{Entry: "entry-1", Number: 7}
		cfg.Table = table
		cfg.EntryCount = func() int { return 11 }
		m := NewManager(cfg)
		ctx, cancel := context.WithCancel(context.Background())
		stopped := make(chan error, 1)
		go func() { stopped <- m.Run(ctx) }()
		test(t, m)
		cancel()
		require.ErrorIs(t, <-stopped, context.Canceled)
	})
}

func begin(m *Manager, k Key, timeout time.Duration) Decision {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return m.Begin(ctx, idOf(k), k, testFingerprint)
}

func runKey(t *testing.T, m *Manager, k Key, r Result) {
	t.Helper()
	d := begin(m, k, time.Second)
	require.Equal(t, Run, d.Verdict, d.Detail)
	require.NoError(t, d.Ticket.Dispatch(m.cfg.Now()))
	d.Ticket.Done(r)
}

// txRecorder is a table that records when transactions start and overlap.
type txRecorder struct {
	*fakeTable
	rtt         time.Duration
	mu          sync.Mutex
	starts      []time.Time
	openRows    map[string]bool // rows in a transaction in flight
	inFlight    int
	maxInFlight int
	sharedRows  int // rows that were in two transactions at once
}

func (f *txRecorder) Commit(ctx context.Context, tx platform.Tx) error {
	f.enter(tx)
	defer f.leave(tx)
	if err := wait.Sleep(ctx, f.rtt); err != nil {
		return err
	}
	return f.fakeTable.Commit(ctx, tx)
}

func (f *txRecorder) enter(tx platform.Tx) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, time.Now())
	f.inFlight++
	f.maxInFlight = max(f.maxInFlight, f.inFlight)
	for _, p := range tx.Puts {
		if f.openRows[p.Key] {
			f.sharedRows++
		}
		f.openRows[p.Key] = true
	}
}

func (f *txRecorder) leave(tx platform.Tx) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inFlight--
	for _, p := range tx.Puts {
		delete(f.openRows, p.Key)
	}
}

// Guards against a row in two transactions at once, too many transactions in
// flight, more transactions in any time span than the budget allows, and one
// transaction per key.
func TestGroupCommitTiming(t *testing.T) {
	for rtt, most := range map[time.Duration]int{
		2 * time.Millisecond:   txBurst,
		70 * time.Millisecond:  txBurst + 1,
		110 * time.Millisecond: txBurst + 2,
		time.Second:            maxInFlightTx,
	} {
		table := &txRecorder{fakeTable: newFakeTable(), rtt: rtt, openRows: map[string]bool{}}
		withManager(t, table, Config{}, func(t *testing.T, m *Manager) {
			var wg sync.WaitGroup
			for range 200 {
				wg.Go(func() {
					k := callerKey(time.Now())
					d := begin(m, k, time.Minute)
					require.NoError(t, d.Ticket.Dispatch(time.Now()))
					d.Ticket.Done(Result{Status: 200})
				})
				time.Sleep(time.Millisecond)
			}
			wg.Wait()
			require.NoError(t, m.Flush(context.Background()))
		})
		require.Less(t, len(table.starts), 14+txBurst)
		require.LessOrEqual(t, table.maxInFlight, most)
		require.Zero(t, table.sharedRows)
		requireBudget(t, table.starts, 55*time.Millisecond, txBurst)
	}
}

// requireBudget checks every time span between two starts: n starts take at least
// (n - burst) intervals. A rounding error of 1 ns per interval is allowed.
func requireBudget(t *testing.T, starts []time.Time, interval time.Duration, burst int) {
	t.Helper()
	for i := range starts {
		for j := i; j < len(starts); j++ {
			least := time.Duration(j-i+1-burst) * (interval - time.Nanosecond)
			require.GreaterOrEqual(t, starts[j].Sub(starts[i]), least, "starts %d to %d", i, j)
		}
	}
}

// Guards against a claim that waits after the start of another one although the
// write budget has room: without bursts it waits up to 55 ms here.
func TestClaimsInBurstDoNotWait(t *testing.T) {
	withManager(t, newFakeTable(), Config{}, func(t *testing.T, m *Manager) {
		for range 5 {
			for range 3 {
				started := time.Now()
				runKey(t, m, callerKey(time.Now()), Result{Status: 200})
				require.Zero(t, time.Since(started), "the claim waited")
				time.Sleep(time.Millisecond)
			}
			time.Sleep(5 * 55 * time.Millisecond)
		}
	})
}

// Guards against bursts of transactions to a failing store.
func TestNoBurstDuringOutage(t *testing.T) {
	table := &txRecorder{fakeTable: newFakeTable(), openRows: map[string]bool{}}
	table.setBeforeCommit(func(context.Context) error { return platform.ErrUnavailable })
	withManager(t, table, Config{}, func(t *testing.T, m *Manager) {
		for range 50 {
			begin(m, callerKey(time.Now()), 5*time.Second)
			time.Sleep(20 * time.Millisecond)
		}
	})
	require.Greater(t, len(table.starts), 3)
	requireBudget(t, table.starts[1:], 55*time.Millisecond, 1)
}

// Guards against claims that wait because results were written, and against
// results that wait without bound when no claims come.
func TestResultsDoNotDelayClaims(t *testing.T) {
	withManager(t, newFakeTable(), Config{}, func(t *testing.T, m *Manager) {
		first := callerKey(time.Now())
		runKey(t, m, first, Result{Status: 200})
		time.Sleep(60 * time.Millisecond)
		started := time.Now()
		runKey(t, m, callerKey(time.Now()), Result{Status: 200})
		require.Zero(t, time.Since(started), "the claim waited for a result")
		time.Sleep(maxResultDelay)
		require.Zero(t, m.Stats().Pending, "a result waited for more than maxResultDelay")
	})
}

// Guards against a short fault of the store that counts as several failures and
// ends attempts that could be retried.
func TestConcurrentFailuresCountOnce(t *testing.T) {
	table := newFakeTable()
	withManager(t, table, Config{}, func(t *testing.T, m *Manager) {
		healthy := time.Now().Add(300 * time.Millisecond)
		table.setBeforeCommit(func(ctx context.Context) error {
			if time.Now().Before(healthy) {
				_ = wait.Sleep(ctx, time.Until(healthy))
				return platform.ErrUnknownOutcome
			}
			return nil
		})
		var wg sync.WaitGroup
		for range maxInFlightTx {
			wg.Go(func() { runKey(t, m, callerKey(time.Now()), Result{Status: 200}) })
			time.Sleep(30 * time.Millisecond)
		}
		wg.Wait()
		require.EqualValues(t, maxInFlightTx, m.Stats().LostReplies)
	})
}

// Guards against a caller that waits past its deadline or gets a reason other than
// store_unavailable, and against a leftover claim that blocks a retry.
func TestStoreOutage(t *testing.T) {
	for name, down := range map[string]func(context.Context) error{
		"refused": func(context.Context) error { return platform.ErrUnavailable },
		"lost":    func(context.Context) error { return platform.ErrUnknownOutcome },
		"hangs":   func(ctx context.Context) error { return wait.Sleep(ctx, time.Hour) },
	} {
		t.Run(name, func(t *testing.T) {
			table := newFakeTable()
			withManager(t, table, Config{}, func(t *testing.T, m *Manager) {
				table.setBeforeCommit(down)
				k := callerKey(time.Now())
				started := time.Now()
				d := begin(m, k, 3*time.Second)
				require.Equal(t, NotRun, d.Verdict)
				require.Equal(t, ReasonStoreUnavailable, d.Reason)
				require.LessOrEqual(t, time.Since(started), 3*time.Second)
				runKey(t, m, issuedKeyOf(m, time.Now()), Result{Status: 200})
				table.setBeforeCommit(nil)
				require.NoError(t, m.Flush(context.Background()))
				runKey(t, m, k, Result{Status: 201})
				require.NoError(t, m.Flush(context.Background()))
				require.Equal(t, 201, begin(m, k, time.Second).Result.Status)
				require.Zero(t, table.reads)
			})
		})
	}
}

// Guards against a retry that runs while the request is in flight, and against
// "not run" for a retry whose deadline passes while the request may run.
func TestRetryWaitsForRequestInFlight(t *testing.T) {
	withManager(t, newFakeTable(), Config{}, func(t *testing.T, m *Manager) {
		for _, k := range []Key{callerKey(time.Now()), issuedKeyOf(m, time.Now())} {
			first := begin(m, k, time.Second)
			require.Equal(t, Run, first.Verdict)
			require.Equal(t, Unknown, begin(m, k, time.Second).Verdict)
			attached := make(chan Decision, 1)
			go func() { attached <- begin(m, k, time.Minute) }()
			synctest.Wait()
			require.NoError(t, first.Ticket.Dispatch(time.Now()))
			first.Ticket.Done(Result{Status: 200, Body: []byte("paid")})
			require.Equal(t, "paid", string((<-attached).Result.Body))
			other := m.Begin(context.Background(), idOf(k), k, FingerprintOf("POST", "/credit", nil))
			require.Equal(t, ReasonKeyMismatch, other.Reason)
		}
	})
}

// Guards against the use of an old claim by a process that was suspended.
func TestMaxDispatchDelay(t *testing.T) {
	table := newFakeTable()
	withManager(t, table, Config{}, func(t *testing.T, m *Manager) {
		k := callerKey(time.Now())
		late := begin(m, k, time.Second)
		time.Sleep(MaxDispatchDelay + time.Millisecond)
		require.ErrorIs(t, late.Ticket.Dispatch(time.Now()), ErrDispatchTooLate)
		late.Ticket.NotRun(ReasonDeadline)
		require.ErrorIs(t, late.Ticket.Dispatch(time.Now()), ErrNotGranted)
		require.NoError(t, m.Flush(context.Background()))
		require.Equal(t, NotRun, m.Lookup(context.Background(), idOf(k)).Verdict)
		runKey(t, m, k, Result{Status: 200})
	})
}

// Guards against a second run by a process that was suspended between accepting a
// key and claiming it until the row of an earlier run had expired.
func TestDispatchOfExpiredKey(t *testing.T) {
	now := time.Now()
	table := newFakeTable()
	m := NewManager(Config{Table: table, Now: func() time.Time { return now }})
	k := callerKey(now)
	ticket, started, _ := m.join(idOf(k), k, testFingerprint)
	require.True(t, started)
	g := m.nextGroup(now)
	now = now.Add(rowRetention + time.Second)
	m.completeGroup(g, table.Commit(context.Background(), g.tx))
	require.True(t, isClosed(ticket.granted))
	require.ErrorIs(t, ticket.Dispatch(now), ErrDispatchTooLate)

	k = callerKey(now)
	ticket, _, _ = m.join(idOf(k), k, testFingerprint)
	now = now.Add(rowRetention + time.Second)
	require.Empty(t, m.nextGroup(now).recs)
	require.Equal(t, ReasonKeyExpired, ticket.decision.Reason)
}

// Guards against unbounded memory, against a second run of an evicted key, and
// against a backward clock step that makes an old key acceptable again.
func TestIssuedKeyEviction(t *testing.T) {
	body := []byte(strings.Repeat("x", MaxBodyBytes))
	table := newFakeTable()
	var step atomic.Int64
	cfg := Config{MaxIssued: 8, MaxBytes: 4 * MaxBodyBytes}
	cfg.Now = func() time.Time { return time.Now().Add(time.Duration(step.Load())) }
	withManager(t, table, cfg, func(t *testing.T, m *Manager) {
		var keys []Key
		for range 12 {
			k := issuedKeyOf(m, time.Now())
			keys = append(keys, k)
			runKey(t, m, k, Result{Status: 200, Body: body})
			require.NoError(t, m.Flush(context.Background()))
			require.LessOrEqual(t, m.Stats().Issued, cfg.MaxIssued)
		}
		require.LessOrEqual(t, m.Stats().Bytes, cfg.MaxBytes)
		require.EqualValues(t, 4, m.Stats().Evicted)
		for _, k := range keys {
			require.Equal(t, body, begin(m, k, time.Second).Result.Body)
		}
		table.setBeforeCommit(func(context.Context) error { return platform.ErrUnavailable })
		time.Sleep(MaxKeyAge + time.Second)
		for _, k := range keys {
			require.Equal(t, ReasonKeyExpired, begin(m, k, time.Second).Reason)
		}
		for range 4 {
			runKey(t, m, issuedKeyOf(m, time.Now()), Result{Status: 200, Body: body})
		}
		require.Equal(t, ReasonOverload, begin(m, issuedKeyOf(m, time.Now()), time.Second).Reason)
		step.Store(int64(-MaxKeyAge))
		for _, k := range keys {
			require.Equal(t, ReasonKeyExpired, begin(m, k, time.Second).Reason)
		}
	})
}

// Guards against an outage after which old keys run again, or in which new keys
// need the store or memory grows without bound.
func TestIssuedKeyEvictionInOutage(t *testing.T) {
	table := newFakeTable()
	withManager(t, table, Config{MaxIssued: 8}, func(t *testing.T, m *Manager) {
		unused := issuedKeyOf(m, time.Now())
		old := issuedKeyOf(m, time.Now())
		runKey(t, m, old, Result{Status: 201})
		for range 8 {
			time.Sleep(time.Millisecond)
			runKey(t, m, issuedKeyOf(m, time.Now()), Result{Status: 200})
			require.NoError(t, m.Flush(context.Background()))
		}
		table.setBeforeCommit(func(context.Context) error { return platform.ErrUnavailable })
		for range 8 {
			time.Sleep(time.Millisecond)
			runKey(t, m, issuedKeyOf(m, time.Now()), Result{Status: 200})
		}
		refused := begin(m, issuedKeyOf(m, time.Now()), time.Second)
		require.Equal(t, ReasonOverload, refused.Reason)
		require.Equal(t, NotRun, refused.Verdict)
		for _, k := range []Key{old, unused} {
			d := begin(m, k, 5*time.Second)
			require.Equal(t, NotRun, d.Verdict)
			require.Equal(t, ReasonStoreUnavailable, d.Reason)
		}
		table.setBeforeCommit(nil)
		require.NoError(t, m.Flush(context.Background()))
		require.Equal(t, 201, begin(m, old, time.Second).Result.Status)
		runKey(t, m, unused, Result{Status: 202})
		require.NoError(t, m.Flush(context.Background()))
		require.Equal(t, 202, begin(m, unused, time.Second).Result.Status)
		runKey(t, m, issuedKeyOf(m, time.Now()), Result{Status: 200})
		require.Zero(t, m.Stats().Pending)
	})
}

// Guards against a caller-made key that runs again because the wall clock stepped
// back by more than rowRetention minus MaxKeyAge, and against new keys that are
// refused after a small step.
func TestWallClockStepsBack(t *testing.T) {
	table := newFakeTable()
	table.clock = time.Now
	var step atomic.Int64
	cfg := Config{Now: func() time.Time { return time.Now().Add(time.Duration(step.Load())) }}
	withManager(t, table, cfg, func(t *testing.T, m *Manager) {
		k := callerKey(time.Now())
		runKey(t, m, k, Result{Status: 200})
		require.NoError(t, m.Flush(context.Background()))
		time.Sleep(rowRetention + time.Minute)
		step.Store(int64(-25 * time.Hour))
		require.Equal(t, ReasonKeyExpired, begin(m, k, time.Second).Reason)
		runKey(t, m, callerKey(time.Now()), Result{Status: 200})
		step.Store(int64(-time.Minute))
		fresh := mustParse(m.NewKey())
		require.False(t, fresh.Created.Before(time.Now().Truncate(time.Millisecond)))
		runKey(t, m, fresh, Result{Status: 200})
	})
}

// Guards against a result that is kept in part, and against a retry that gets a
// status without a body as if it were the whole result.
func TestLargeResult(t *testing.T) {
	for name, r := range map[string]Result{
		"body":   {Status: 200, Body: make([]byte, MaxBodyBytes+1)},
		"header": {Status: 200, Header: http.Header{"A": {strings.Repeat("x", MaxHeaderBytes)}}},
		"binary": {Status: 200, Header: http.Header{"A": {"\xc3"}}},
	} {
		t.Run(name, func(t *testing.T) {
			withManager(t, newFakeTable(), Config{}, func(t *testing.T, m *Manager) {
				k := callerKey(time.Now())
				runKey(t, m, k, r)
				require.NoError(t, m.Flush(context.Background()))
				d := begin(m, k, time.Second)
				require.Equal(t, ReasonRecordedWithoutBody, d.Reason)
				require.Equal(t, &Result{Status: 200, Truncated: true}, d.Result)
			})
		})
	}
}

// Guards against keys without a conflict that are starved by a steady stream of
// retries of finished keys.
func TestConflictsDoNotStarveClaims(t *testing.T) {
	withManager(t, newFakeTable(), Config{}, func(t *testing.T, m *Manager) {
		old := callerKey(time.Now())
		runKey(t, m, old, Result{Status: 200})
		require.NoError(t, m.Flush(context.Background()))
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() {
			for ctx.Err() == nil {
				begin(m, old, time.Second)
			}
		})
		started := time.Now()
		runKey(t, m, callerKey(time.Now()), Result{Status: 200})
		require.Less(t, time.Since(started), 250*time.Millisecond)
		cancel()
		wg.Wait()
	})
}

// Guards against a list that misses claims beyond the first page or contains
// claims of live entry instances.
func TestUnresolved(t *testing.T) {
	table := newFakeTable()
	put := func(s state, owner Incarnation) {
		r := (&stateMachine{self: owner, attempt: "a"}).newRow(s)
		r.Result = &Result{}
		value, err := r.encode()
		require.NoError(t, err)
		key := idOf(callerKey(time.Now())).rowKey()
		table.rows[key] = platform.Row{Key: key, Version: 1, Value: value}
	}
	live, dead := Incarnation{"entry-2", 1}, Incarnation{"entry-3", 1}
	for range 2*scanPageSize + 1 {
		put(stateDone, dead)
		put(stateClaimed, live)
	}
	put(stateClaimed, dead)
	put(stateUnknown, live)
	m := NewManager(Config{Table: table, ReadBudget: 1e6, IsAlive: func(i Incarnation) bool { return i == live }})
	found, err := m.Unresolved(context.Background(), 10, false)
	require.NoError(t, err)
	require.Len(t, found, 2)
	require.Equal(t, "sarafu", found[0].ID.Customer)
	require.LessOrEqual(t, table.reads, 6)
}

package claim

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/internal/wait"
)

// Parameters of the latency model: a store in another region and a fast backend
// server.
const (
	modelRoundTrip = 110 * time.Millisecond
	modelService   = 40 * time.Millisecond
	modelInterval  = 55 * time.Millisecond // eleven entry instances, 200 transactions/s
	modelKeys      = 2000
)

// modelResult holds the measurements of one run of the model.
type modelResult struct {
	claimLatencies []time.Duration // from Begin to Run
	tx             uint64
	rows           uint64
	duration       time.Duration
	// meanClaimedRows is the mean number of rows that a kill would leave claimed.
	meanClaimedRows float64
}

func (f *modelResult) quantile(q float64) time.Duration {
	slices.Sort(f.claimLatencies)
	return f.claimLatencies[int(q*float64(len(f.claimLatencies)-1))].Round(time.Millisecond)
}

// runLatencyModel runs one of eleven entry instances in virtual time, so the
// results do not depend on the machine. Callers arrive by a Poisson process.
func runLatencyModel(t *testing.T, perSecond float64) *modelResult {
	f := &modelResult{}
	table := newFakeTable()
	table.before = func(ctx context.Context) error { return wait.Sleep(ctx, modelRoundTrip/2) }
	table.after = table.before
	synctest.Test(t, func(t *testing.T) {
		m := NewManager(Config{Self: Incarnation{"entry-1", 7}, Table: table, EntryCount: func() int { return 11 }})
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = m.Run(ctx) }()
		random := rand.New(rand.NewPCG(1, 2))
		started := time.Now()
		var wg sync.WaitGroup
		for range modelKeys {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			f.meanClaimedRows += float64(table.claimedRows()) / modelKeys
			wg.Go(func() { runModelKey(t, m, f) })
		}
		wg.Wait()
		f.duration = time.Since(started)
		f.tx, f.rows = m.Stats().Transactions, m.Stats().Rows
		require.NoError(t, m.Flush(ctx))
		cancel()
		synctest.Wait()
	})
	return f
}

var modelMu sync.Mutex

func runModelKey(t *testing.T, m *Manager, f *modelResult) {
	k := callerKey(time.Now())
	arrived := time.Now()
	d := begin(m, k, 5*time.Second)
	modelMu.Lock()
	f.claimLatencies = append(f.claimLatencies, time.Since(arrived))
	modelMu.Unlock()
	if d.Verdict != Run || d.Ticket.Dispatch(time.Now()) != nil {
		t.Error(d.Verdict, d.Reason, d.Detail)
		return
	}
	time.Sleep(modelService)
	d.Ticket.Done(Result{Status: 200})
}

// Guards against claims that wait for the previous transaction or for the write of
// results: a claim waits at most one interval and one round trip.
func TestClaimLatency(t *testing.T) {
	for _, perSecond := range []float64{1, 5, 10, 20, 50, 100} {
		f := runLatencyModel(t, perSecond)
		seconds := f.duration.Seconds()
		t.Logf("%3.0f keys/s: claim p50 %v p99 %v max %v, %.1f tx/s, %.1f rows/tx, %.1f claimed rows at a kill",
			perSecond, f.quantile(.5), f.quantile(.99), f.quantile(1),
			float64(f.tx)/seconds, float64(f.rows)/float64(f.tx), f.meanClaimedRows)
		require.LessOrEqual(t, f.quantile(1), modelRoundTrip+modelInterval)
	}
}

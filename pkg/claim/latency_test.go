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

// Sizes of the latency model: the store of another region and a short run of
// the backend server.
const (
	modelRoundTrip = 110 * time.Millisecond
	modelService   = 40 * time.Millisecond
	modelInterval  = 55 * time.Millisecond // eleven entries, 200 transactions/s
	modelKeys      = 2000
)

// modelFigures are the times of one run of the model.
type modelFigures struct {
	claim []time.Duration // from Begin to Run
	tx    uint64
	rows  uint64
	took  time.Duration
	// exposed is the mean number of keys that a kill would leave claimed.
	exposed float64
}

func (f *modelFigures) quantile(q float64) time.Duration {
	slices.Sort(f.claim)
	return f.claim[int(q*float64(len(f.claim)-1))].Round(time.Millisecond)
}

// modelLatency runs one of eleven entries in virtual time, so its figures do
// not depend on the machine. Callers arrive by a Poisson process.
func modelLatency(t *testing.T, perSecond float64) *modelFigures {
	f := &modelFigures{}
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
			f.exposed += float64(table.claimedRows()) / modelKeys
			wg.Go(func() { modelKey(t, m, f) })
		}
		wg.Wait()
		f.took = time.Since(started)
		f.tx, f.rows = m.Stats().Transactions, m.Stats().Rows
		require.NoError(t, m.Flush(ctx))
		cancel()
		synctest.Wait()
	})
	return f
}

var modelLock sync.Mutex

func modelKey(t *testing.T, m *Manager, f *modelFigures) {
	k := callerKey(time.Now())
	arrived := time.Now()
	d := begin(m, k, 5*time.Second)
	modelLock.Lock()
	f.claim = append(f.claim, time.Since(arrived))
	modelLock.Unlock()
	if d.Verdict != Run || d.Ticket.Dispatch(time.Now()) != nil {
		t.Error(d.Verdict, d.Reason, d.Detail)
		return
	}
	time.Sleep(modelService)
	d.Ticket.Done(Result{Status: 200})
}

// Guards against claims that wait for the transaction before them, or for the
// writing of results: a claim waits one interval and one round trip at most.
func TestClaimLatency(t *testing.T) {
	for _, perSecond := range []float64{1, 5, 10, 20, 50, 100} {
		f := modelLatency(t, perSecond)
		seconds := f.took.Seconds()
		t.Logf("%3.0f keys/s: claim p50 %v p99 %v max %v, %.1f tx/s, %.1f rows/tx, %.1f claimed rows at a kill",
			perSecond, f.quantile(.5), f.quantile(.99), f.quantile(1),
			float64(f.tx)/seconds, float64(f.rows)/float64(f.tx), f.exposed)
		require.LessOrEqual(t, f.quantile(1), modelRoundTrip+modelInterval)
	}
}

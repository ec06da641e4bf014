package claim

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// BenchmarkCommit measures one of eleven entry instances: each key is claimed,
// dispatched and recorded. Group size 1 is one transaction per write.
func BenchmarkCommit(b *testing.B) {
	for _, rtt := range []time.Duration{2, 70, 110} {
		for _, group := range []int{1, 16, 64, 256} {
			b.Run(fmt.Sprintf("rtt=%dms/group=%d", rtt, group), func(b *testing.B) {
				benchmarkCommit(b, rtt*time.Millisecond, group)
			})
		}
	}
}

func benchmarkCommit(b *testing.B, rtt time.Duration, group int) {
	table := newFakeTable()
	table.setBeforeCommit(func(ctx context.Context) error { return wait.Sleep(ctx, rtt) })
	m := NewManager(Config{Table: table, MaxGroupSize: group, EntryCount: func() int { return 11 }})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = m.Run(ctx) }()
	var wg errgroup.Group
	wg.SetLimit(2 * group)
	started := time.Now()
	for range b.N {
		wg.Go(func() error {
			benchmarkKey(b, ctx, m)
			return nil
		})
	}
	_ = wg.Wait()
	if err := m.Flush(ctx); err != nil {
		b.Fatal(err)
	}
	seconds := time.Since(started).Seconds()
	b.ReportMetric(float64(b.N)/seconds, "keys/s")
	b.ReportMetric(float64(m.Stats().Transactions)/seconds, "tx/s")
}

func benchmarkKey(b *testing.B, ctx context.Context, m *Manager) {
	k := callerKey(time.Now())
	d := m.Begin(ctx, idOf(k), k, testFingerprint)
	if d.Verdict != Run || d.Ticket.Dispatch(time.Now()) != nil {
		b.Error(d.Verdict, d.Reason, d.Detail)
		return
	}
	d.Ticket.Done(Result{Status: 200, Body: []byte("paid")})
}

// discardTable accepts every transaction after a round trip and stores no row, so
// that the heap holds the manager's records only.
type discardTable struct{ platform.Table }

func (discardTable) Commit(ctx context.Context, _ platform.Tx) error {
	return wait.Sleep(ctx, 2*time.Millisecond)
}

// BenchmarkIssuedKeys measures one of eight entry instances that serves
// entry-issued keys with MaxIssued keys in memory: accepted keys per second, and
// heap bytes per key in memory. It stops when no key was accepted for three
// seconds. Run it with -benchtime=1x.
func BenchmarkIssuedKeys(b *testing.B) {
	const measured = 10 * time.Second
	for range b.N {
		heap := heapInUse()
		self := Incarnation{Entry: "entry-1", Number: 7}
		m := NewManager(Config{Self: self, Table: discardTable{}, EntryCount: func() int { return 8 }})
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = m.Run(ctx) }()
		for range defaultMaxIssued {
			benchmarkIssued(ctx, m)
		}
		started := time.Now()
		last, accepted := started, 0
		for time.Since(started) < measured && time.Since(last) < 3*time.Second {
			if benchmarkIssued(ctx, m) {
				last = time.Now()
				accepted++
			} else {
				time.Sleep(time.Millisecond)
			}
		}
		b.ReportMetric(float64(accepted)/time.Since(started).Seconds(), "keys/s")
		b.ReportMetric(float64(m.Stats().Transactions)/time.Since(started).Seconds(), "tx/s")
		if err := m.Flush(ctx); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(heapInUse()-heap)/float64(m.Stats().Issued), "heap-B/key")
		cancel()
	}
}

func benchmarkIssued(ctx context.Context, m *Manager) bool {
	k := issuedKeyOf(m, time.Now())
	d := m.Begin(ctx, idOf(k), k, testFingerprint)
	if d.Verdict != Run || d.Ticket.Dispatch(time.Now()) != nil {
		return false
	}
	d.Ticket.Done(Result{Status: 200, Body: []byte("paid")})
	return true
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

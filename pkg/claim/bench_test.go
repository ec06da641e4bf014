package claim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// BenchmarkCommit measures one of eleven entries: each key is claimed,
// dispatched and recorded. Group 1 is one transaction per write.
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
	table.behave(func(ctx context.Context) error { return sleep(ctx, rtt) })
	m := NewManager(Config{Table: table, MaxGroup: group, Entries: func() int { return 11 }})
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
	d := m.Begin(ctx, idOf(k), k, testFP)
	if d.Verdict != Run || d.Ticket.Dispatch(time.Now()) != nil {
		b.Error(d.Verdict, d.Reason, d.Detail)
		return
	}
	d.Ticket.Done(Result{Status: 200, Body: []byte("paid")})
}

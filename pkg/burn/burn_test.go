package burn

import (
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dandelionrack/dandelionrack/pkg/config"
)

var t0 = time.Unix(1_700_000_000, 0)

// Guards against responses that stay in a window too long, leave it early or
// are lost when a bucket is reused, by comparison with a full history.
func TestWindowsMatchHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := New(Config{})
		type response struct {
			at   time.Time
			good bool
		}
		var history []response
		now := t0
		for range rapid.IntRange(1, 60).Draw(rt, "n") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 9, 60, 299, 3600, 21600}).Draw(rt, "step")) * time.Second)
			good := rapid.Bool().Draw(rt, "good")
			c.Record(now, "k", "s", good)
			history = append(history, response{now, good})
		}
		got := c.Snapshot(now).Series[0].Windows
		for window, width := range map[Window]time.Duration{Window5m: fineWidth, Window1h: wideWidth, Window6h: wideWidth} {
			length, _ := time.ParseDuration(string(window))
			start := now.Truncate(width).Add(width - length)
			var want Counts
			for _, r := range history {
				if r.at.Before(start) {
					continue
				}
				if r.good {
					want.Good++
				} else {
					want.Bad++
				}
			}
			require.Equal(rt, want, got[window], "window %s", window)
		}
	})
}

// Guards against a burn rate that differs from bad share / error budget, a
// service without traffic that is omitted, and a report that cannot be encoded
// without an error budget.
func TestReport(t *testing.T) {
	a, b := New(Config{}), New(Config{})
	for i := range 1000 {
		a.Record(t0, "k", "catalogue", i != 0)
		b.Record(t0.Add(time.Second), "k", "catalogue", i > 2)
	}
	b.Record(t0, "k", "strict", false)
	b.Record(t0, "removed", "s", true)
	data, err := json.Marshal(a.Snapshot(t0))
	require.NoError(t, err)
	var fromPeer Snapshot
	require.NoError(t, json.Unmarshal(data, &fromPeer))
	merged := Merge(fromPeer, b.Snapshot(t0.Add(time.Second)))
	doc := &config.Document{Contracts: map[string]*config.Contract{"k": {Services: []config.Service{
		{Name: "catalogue", Objective: config.Objective{Availability: 0.999}},
		{Name: "quiet", Objective: config.Objective{Availability: 0.99}},
		{Name: "strict", Objective: config.Objective{Availability: 1}},
	}}}}
	report := Report(merged, doc)
	_, err = json.Marshal(report)
	require.NoError(t, err)
	require.Len(t, report.Services, 4)
	for _, w := range report.Services[0].Windows {
		require.EqualValues(t, 4, w.Bad)
		require.InDelta(t, 2, *w.BurnRate, 1e-9)
	}
	require.Zero(t, *report.Services[1].Windows[0].BurnRate)
	require.Nil(t, report.Services[2].Windows[0].BurnRate)
	require.Equal(t, "removed", report.Services[3].Customer)
}

// Guards against memory that grows with each new name, and against data races.
func TestSeriesAreBounded(t *testing.T) {
	c := New(Config{MaxSeries: 3})
	var wg sync.WaitGroup
	for i := range 10 {
		wg.Go(func() {
			c.Record(t0, "k", fmt.Sprint(i), true)
			c.Snapshot(t0)
		})
	}
	wg.Wait()
	snap := c.Snapshot(t0)
	require.Len(t, snap.Series, 3)
	require.EqualValues(t, 7, snap.Dropped)
}

// Guards against a record older than the ring that overwrites current counts.
func TestOldRecordChangesNothing(t *testing.T) {
	c := New(Config{})
	c.Record(t0, "k", "s", true)
	c.Record(t0.Add(-6*time.Hour), "k", "s", false)
	require.Equal(t, Counts{Good: 1}, c.Snapshot(t0).Series[0].Windows[Window6h])
}

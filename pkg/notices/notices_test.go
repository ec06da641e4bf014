package notices

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	first  = Process{ID: "i-1", Addr: "10.0.0.1:80", StartTime: 1_000}
	second = Process{ID: "i-1", Addr: "10.0.0.1:80", StartTime: 2_000}
)

// Guards against a notice that outlives its process or is lost with a response or
// report that does not repeat it.
func TestLeavingEndsWithTheProcess(t *testing.T) {
	b := NewBook()
	require.True(t, b.Record(start, start, first, fleet.ResponseHead{Leaving: true}))
	require.False(t, b.Record(start, start, first, fleet.ResponseHead{Leaving: true}))
	require.False(t, b.Record(start, start, first, fleet.ResponseHead{}))
	require.False(t, b.Merge(start, Report{Process: first, LimitAge: -1}))
	require.True(t, b.Of(start, first).Leaving)
	require.False(t, b.Of(start, second).Leaving)

	heard := NewBook()
	for _, r := range b.Reports(start) {
		require.True(t, heard.Merge(start, r))
	}
	require.True(t, heard.Of(start, first).Leaving)
}

// Guards against notices of ended processes that are kept for ever, and against
// losing one while the registration is missing.
func TestPruneForgetsEndedProcesses(t *testing.T) {
	b := NewBook()
	b.Record(start, start, first, fleet.ResponseHead{Leaving: true})
	b.Prune(start.Add(recordTTL))
	require.True(t, b.Of(start.Add(recordTTL), first).Leaving)
	b.Prune(start.Add(2*recordTTL + time.Second))
	require.Empty(t, b.Reports(start))
}

func limited(perSecond float64) fleet.ResponseHead {
	return fleet.ResponseHead{FromBackend: true, Success: true, LimitState: fleet.Limited, Limit: perSecond}
}

// Guards against a limit that is lost to a response which was overtaken, to a
// refusal, an error or an unreadable one, and against one that never ends.
func TestLimitEndsWithALaterResponse(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	b := NewBook()
	require.True(t, b.Record(at(100), at(50), first, limited(4.6)))
	for _, row := range []struct {
		sentAt int
		head   fleet.ResponseHead
	}{
		{90, fleet.ResponseHead{FromBackend: true, Success: true}},
		{110, fleet.ResponseHead{}},
		{110, fleet.ResponseHead{FromBackend: true}},
		{110, fleet.ResponseHead{FromBackend: true, Success: true, LimitState: fleet.LimitUnreadable}},
	} {
		require.False(t, b.Record(at(200), at(row.sentAt), first, row.head))
		require.Equal(t, Notice{Limited: true, Limit: 4.6}, b.Of(at(200), first))
	}
	require.False(t, b.Of(at(200), second).Limited)
	require.True(t, b.Record(at(300), at(290), first, limited(5)))
	require.True(t, b.Record(at(400), at(310), first, fleet.ResponseHead{FromBackend: true, Success: true}))
	require.False(t, b.Of(at(400), first).Limited)
}

// Guards against a report that is older than what an instance knows, and against one
// that is not a rate.
func TestLatestStatementOnALimitCounts(t *testing.T) {
	here, peer := NewBook(), NewBook()
	peer.Record(start, start, first, limited(4))
	passOn := func(from, to *Book, now time.Time) bool {
		reports := from.Reports(now)
		require.Len(t, reports, 1)
		return to.Merge(now.Add(20*time.Millisecond), reports[0])
	}
	now := start.Add(time.Second)
	require.True(t, passOn(peer, here, now))
	require.False(t, passOn(here, peer, now.Add(time.Second)), "what comes back is not news")
	require.True(t, here.Record(now.Add(2*time.Second), now.Add(1900*time.Millisecond), first, fleet.ResponseHead{FromBackend: true, Success: true}))
	require.False(t, passOn(peer, here, now.Add(3*time.Second)))
	require.True(t, passOn(here, peer, now.Add(4*time.Second)))
	require.False(t, peer.Of(now, first).Limited)
	require.Empty(t, peer.Reports(now.Add(time.Minute)))
	for _, bad := range []float64{-1, math.NaN(), math.Inf(1)} {
		require.False(t, peer.Merge(now.Add(time.Minute), Report{Process: first, Notice: Notice{Limited: true, Limit: bad}}))
	}
}

package notices

import (
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
	require.True(t, b.Record(start, first, fleet.ResponseHead{Leaving: true}))
	require.False(t, b.Record(start, first, fleet.ResponseHead{Leaving: true}))
	require.False(t, b.Record(start, first, fleet.ResponseHead{}))
	require.False(t, b.Merge(start, Report{Process: first}))
	require.True(t, b.Of(start, first).Leaving)
	require.False(t, b.Of(start, second).Leaving)

	heard := NewBook()
	for _, r := range b.Reports() {
		require.True(t, heard.Merge(start, r))
	}
	require.True(t, heard.Of(start, first).Leaving)
}

// Guards against notices of ended processes that are kept for ever, and against
// losing one while the registration is missing.
func TestPruneForgetsEndedProcesses(t *testing.T) {
	b := NewBook()
	b.Record(start, first, fleet.ResponseHead{Leaving: true})
	b.Prune(start.Add(recordTTL))
	require.True(t, b.Of(start.Add(recordTTL), first).Leaving)
	b.Prune(start.Add(2*recordTTL + time.Second))
	require.Empty(t, b.Reports())
}

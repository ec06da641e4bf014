package main

import (
	"bytes"
	"context"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a measurement that no longer runs after a change in the packages
// it measures. The sizes are too small for meaningful results.
func TestCommandsRunAtSmallSizes(t *testing.T) {
	var out bytes.Buffer
	r := &report{format: "text", w: &out}
	for _, c := range []interface {
		Run(ctx context.Context, out *report) error
	}{
		&heartbeatsCommand{Nodes: []int{3}, Services: 1, Duration: 300 * time.Millisecond},
		&lookupCommand{Blocks: []int{50}, Entries: []int{4}, Lookups: 100},
		&documentCommand{Blocks: []int{10}, Contracts: []int{2}, Servers: []int{2}, Entries: []int{2}},
		&pushCommand{Peers: []int{2}, Blocks: []int{10}, Rounds: 2},
		&blocksCommand{Blocks: []int{6000}, MaxRun: 4, Peers: 3},
	} {
		require.NoError(t, c.Run(t.Context(), r))
	}
	require.NotContains(t, out.String(), "FAILED")
	require.Contains(t, out.String(), "streams, 3 nodes")
	require.Contains(t, out.String(), "one change")
}

// Guards against CPU time or memory read from the wrong fields of /proc.
func TestReadUsage(t *testing.T) {
	for start := time.Now(); time.Since(start) < 100*time.Millisecond; {
		_ = sampleBlocks(100, 1)
	}
	u, err := readUsage(os.Getpid())
	require.NoError(t, err)
	// Up to two clock ticks are lost: user and system time are each rounded down.
	require.InDelta(t, selfCPU().Seconds(), u.cpu.Seconds(), 3*clockTick.Seconds())
	require.Greater(t, u.resident, 1e6)
	require.GreaterOrEqual(t, u.residentPeak, u.resident)
}

// Guards against missing or repeated blocks, with which a measurement has another
// size than its title says.
func TestSampleBlocksCount(t *testing.T) {
	seen := map[string]bool{}
	for _, b := range sampleBlocks(5000, defaultMaxRun) {
		seen[b.Prefix] = true
	}
	require.Len(t, seen, 5000)
}

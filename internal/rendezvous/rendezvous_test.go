package rendezvous

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an order that differs between versions of the program: entry
// instances of both versions run side by side during a rollout.
func TestWeightIsStable(t *testing.T) {
	require.Equal(t, uint64(17401775047412406801), Weight("server", "seat"))
	require.Equal(t, uint64(16558593709083248765), Weight("service", "object", "server"))
	require.NotEqual(t, Weight("a", "bc"), Weight("ab", "c"))
}

// Guards against an uneven distribution over names that differ only in their
// last character.
func TestShortNamesSpread(t *testing.T) {
	const keys, names = 3000, 6
	first := map[string]int{}
	for k := range keys {
		best, top := "", uint64(0)
		for n := range names {
			name := fmt.Sprint("entry-", n)
			if w := Weight(fmt.Sprint("key-", k), name); w >= top {
				best, top = name, w
			}
		}
		first[best]++
	}
	for name, n := range first {
		require.InDelta(t, keys/names, n, keys/names/5, name)
	}
	require.Len(t, first, names)
}

// Guards against two ways to weigh that disagree.
func TestPrefix(t *testing.T) {
	var sum uint64
	require.Equal(t, Weight("service", "object", "server"), NewPrefix("service", "object").Weight("server"))
	require.Equal(t, Weight("server", "seat"), NewPrefix("server").Weight("seat"))
	require.Zero(t, testing.AllocsPerRun(10, func() { sum += NewPrefix("service", "object").Weight("server") }))
}

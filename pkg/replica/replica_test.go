package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

func row(key string, version uint64) Row {
	return Row{Key: key, Version: version, Value: []byte{byte(version)}}
}

// Guards against a row that reverts because a stale copy arrives later.
func TestStaleRowsChangeNothing(t *testing.T) {
	table := New()
	require.Len(t, table.Merge(epoch, Batch{Full: true, Version: 10, Rows: []Row{row("a", 9), row("b", 4)}}), 2)
	require.Empty(t, table.Merge(epoch, Batch{After: 3, Version: 8, Rows: []Row{row("a", 8)}}))
	got, ok := table.Get("a")
	require.True(t, ok)
	require.EqualValues(t, 9, got.Version)
	require.EqualValues(t, 10, table.Version())
}

// Guards against a snapshot that lags behind the change feed: it must neither
// remove newer rows nor restore removed ones.
func TestStaleSnapshot(t *testing.T) {
	table := New()
	table.Merge(epoch, Batch{Full: true, Version: 10, Rows: []Row{row("old", 3), row("gone", 4)}})
	table.Merge(epoch, Batch{After: 10, Version: 20, Rows: []Row{row("new", 15), {Key: "gone", Version: 18, Removed: true}}})
	changed := table.Merge(epoch, Batch{Full: true, Version: 12, Rows: []Row{row("gone", 4)}})
	require.Equal(t, []Row{{Key: "old", Version: 12, Removed: true}}, changed)
	_, ok := table.Get("gone")
	require.False(t, ok)
	_, ok = table.Get("new")
	require.True(t, ok)
}

// Guards against a copy that counts as complete although it lacks the changes
// between its version and the start of a batch.
func TestGapDoesNotCountAsComplete(t *testing.T) {
	table := New()
	table.Merge(epoch, Batch{After: 0, Version: 5, Rows: []Row{row("a", 5)}})
	require.False(t, table.Initialized(), "changes alone do not make a complete table")
	table.Merge(epoch, Batch{Full: true, Version: 5, Rows: []Row{row("a", 5)}})
	table.Merge(epoch, Batch{After: 7, Version: 9, Rows: []Row{row("b", 9)}})
	require.EqualValues(t, 5, table.Version())
	_, ok := table.Get("b")
	require.True(t, ok, "the row itself is merged")
}

// Guards against a copy that misses a removal because its source has pruned the
// tombstone.
func TestPrunedTombstoneNeedsFullBatch(t *testing.T) {
	table := New()
	table.Merge(epoch, Batch{Full: true, Version: 5, Rows: []Row{row("a", 3), row("b", 4)}})
	table.Merge(epoch, Batch{After: 5, Version: 8, Rows: []Row{{Key: "a", Version: 8, Removed: true}}})
	require.False(t, table.Since(epoch, 5).Full)
	late := epoch.Add(TombstoneTTL + time.Second)
	b := table.Since(late, 5)
	require.True(t, b.Full)
	require.Equal(t, []Row{row("b", 4)}, b.Rows)
	require.Empty(t, table.Merge(late, Batch{Rows: []Row{row("a", 3)}}), "a removed row is not restored after its tombstone was pruned")
}

// Guards against a removed row that stays in one copy, because the copy that it
// pulls from started from a snapshot and has no record of the removal (found by
// TestCopiesConverge, -rapid.seed=16439894224798633450).
func TestSnapshotHasNoHistory(t *testing.T) {
	old, fresh := New(), New()
	old.Merge(epoch, Batch{Full: true, Version: 12, Rows: []Row{row("a", 3), row("c", 12)}})
	fresh.Merge(epoch, Batch{Full: true, Version: 20, Rows: []Row{row("a", 20)}})
	old.Merge(epoch, fresh.Since(epoch, old.Version()))
	require.Equal(t, map[string]uint64{"a": 20}, present(old))
}

// Guards against copies that differ after the same history arrived in different
// pieces, orders and repetitions.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, version := New(), uint64(1)
		source.Merge(epoch, Batch{Full: true, Version: 1})
		copies := []*Table{New(), New(), New()}
		seen := map[int]map[string]uint64{0: {}, 1: {}, 2: {}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			version++
			r := row(key, version)
			if rapid.Bool().Draw(t, "remove") {
				r = Row{Key: key, Version: version, Removed: true}
			}
			source.Merge(epoch, Batch{After: version - 1, Version: version, Rows: []Row{r}})
			i := rapid.IntRange(0, 2).Draw(t, "to")
			from := source
			if rapid.Bool().Draw(t, "from a peer") {
				from = copies[rapid.IntRange(0, 2).Draw(t, "peer")]
			}
			after := copies[i].Version()
			if after > 0 && rapid.Bool().Draw(t, "overlap") {
				after--
			}
			for _, c := range copies[i].Merge(epoch, from.Since(epoch, after)) {
				require.Greater(t, c.Version, seen[i][c.Key], "a row reverted")
				seen[i][c.Key] = c.Version
			}
		}
		for _, c := range copies {
			c.Merge(epoch, source.Since(epoch, c.Version()))
			require.Equal(t, present(source), present(c))
		}
	})
}

func present(t *Table) map[string]uint64 {
	out := map[string]uint64{}
	t.Each(func(r Row) { out[r.Key] = r.Version })
	return out
}

package platform

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

type modelRow struct {
	version uint64
	value   string
	expires time.Time
}

type snapshot struct {
	at   time.Time
	rows map[string]modelRow
}

// Guards against partially applied transactions, writes despite a failed
// condition, rows that outlive their TTL, and stale reads of a state that never
// existed.
func TestStoreAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		now := time.Unix(1_000_000, 0)
		model := map[string]modelRow{}
		history := []snapshot{{now, maps.Clone(model)}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "ms")) * time.Millisecond)
			expire(model, now)
			tx := drawTx(t)
			failed := s.commit(tx, now)
			applyModel(t, model, tx, failed, now)
			history = append(history, snapshot{now, maps.Clone(model)})
			when := now.Add(-time.Duration(rapid.IntRange(0, int(historyRetention/time.Millisecond)).Draw(t, "age")) * time.Millisecond)
			requireState(t, s, history, when)
			requireState(t, s, history, now)
		}
	})
}

func drawTx(t *rapid.T) platform.Tx {
	keys := rapid.Permutation([]string{"a", "b", "c", "d"}).Draw(t, "keys")
	var tx platform.Tx
	for _, key := range keys[:rapid.IntRange(0, 2).Draw(t, "conditions")] {
		version := uint64(rapid.IntRange(0, 3).Draw(t, "version"))
		tx.Conditions = append(tx.Conditions, platform.Condition{Key: key, Version: version})
	}
	puts := rapid.IntRange(0, 3).Draw(t, "puts")
	for _, key := range keys[:puts] {
		tx.Puts = append(tx.Puts, platform.Put{
			Key: key, Value: []byte(rapid.StringMatching(`[a-z]{3}`).Draw(t, "value")),
			TTL: time.Duration(rapid.IntRange(0, 30).Draw(t, "ttl")) * time.Second,
		})
	}
	if rapid.Bool().Draw(t, "delete") {
		tx.Deletes = keys[puts : puts+1]
	}
	return tx
}

func expire(model map[string]modelRow, now time.Time) {
	maps.DeleteFunc(model, func(_ string, r modelRow) bool {
		return !r.expires.IsZero() && !now.Before(r.expires)
	})
}

func applyModel(t *rapid.T, model map[string]modelRow, tx platform.Tx, failed []platform.Row, now time.Time) {
	wrong := 0
	for _, c := range tx.Conditions {
		if model[c.Key].version != c.Version {
			wrong++
		}
	}
	require.Len(t, failed, wrong)
	if wrong > 0 {
		return
	}
	for _, p := range tx.Puts {
		r := modelRow{version: model[p.Key].version + 1, value: string(p.Value)}
		if p.TTL > 0 {
			r.expires = now.Add(p.TTL)
		}
		model[p.Key] = r
	}
	for _, key := range tx.Deletes {
		delete(model, key)
	}
}

func requireState(t *rapid.T, s *store, history []snapshot, when time.Time) {
	want := map[string]modelRow{}
	for _, h := range history {
		if !h.at.After(when) {
			want = maps.Clone(h.rows)
		}
	}
	expire(want, when)
	rows := s.list("", "", 100, when)
	require.Len(t, rows, len(want))
	for _, row := range rows {
		require.Equal(t, want[row.Key].version, row.Version)
		require.Equal(t, want[row.Key].value, string(row.Value))
	}
}

package configstore_test

import (
	"context"
	"math/rand"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// faultyTable is a table that keeps all previous values of its rows. If faults is
// set, it loses requests and replies, fails reads and returns stale values.
type faultyTable struct {
	mu     sync.Mutex
	rows   map[string][]platform.Row
	random *rand.Rand
	faults bool
	// afterCommit, if set, is called once after the next commit with writes, and the
	// reply to that commit is lost.
	afterCommit func()
}

func newTable(seed int64, faults bool) *faultyTable {
	return &faultyTable{rows: map[string][]platform.Row{}, random: rand.New(rand.NewSource(seed)), faults: faults}
}

func (t *faultyTable) chance(percent int) bool {
	return t.faults && t.random.Intn(100) < percent
}

func (t *faultyTable) newest(key string) platform.Row {
	if all := t.rows[key]; len(all) > 0 {
		return all[len(all)-1]
	}
	return platform.Row{Key: key}
}

func (t *faultyTable) Commit(_ context.Context, tx platform.Tx) error {
	time.Sleep(time.Millisecond)
	hook, err := t.commit(tx)
	if hook != nil {
		hook()
		return platform.ErrUnknownOutcome
	}
	return err
}

func (t *faultyTable) commit(tx platform.Tx) (func(), error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.chance(10) {
		return nil, platform.ErrUnavailable
	}
	if t.chance(10) {
		return nil, platform.ErrUnknownOutcome
	}
	var failed []platform.Row
	for _, c := range tx.Conditions {
		if row := t.newest(c.Key); row.Version != c.Version {
			failed = append(failed, row)
		}
	}
	if failed != nil {
		return nil, &platform.ConflictError{Rows: failed}
	}
	for _, p := range tx.Puts {
		row := platform.Row{Key: p.Key, Version: t.newest(p.Key).Version + 1, Value: p.Value}
		t.rows[p.Key] = append(t.rows[p.Key], row)
	}
	if t.chance(20) {
		return nil, platform.ErrUnknownOutcome
	}
	hook := t.afterCommit
	if len(tx.Puts) > 0 {
		t.afterCommit = nil
		return hook, nil
	}
	return nil, nil
}

func (t *faultyTable) Get(_ context.Context, key string) (platform.Row, error) {
	time.Sleep(time.Millisecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.chance(10) {
		return platform.Row{}, platform.ErrUnavailable
	}
	row := t.newest(key)
	if t.chance(30) {
		// Returns any earlier state, including that before the row existed.
		if n := t.random.Intn(int(row.Version) + 1); n > 0 {
			row = t.rows[key][n-1]
		} else {
			row.Version = 0
		}
	}
	if row.Version == 0 {
		return platform.Row{}, platform.ErrNotFound
	}
	return row, nil
}

func (t *faultyTable) List(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []platform.Row
	for key := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, t.newest(key))
		}
	}
	slices.SortFunc(out, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return out[:min(limit, len(out))], nil
}

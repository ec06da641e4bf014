package platform

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// historyRetention is the maximum age of stale reads.
const historyRetention = time.Minute

// sweepInterval is the minimum interval between removals of expired rows.
const sweepInterval = time.Second

// revision is one state of a row. An absent row has version 0.
type revision struct {
	at      time.Time
	version uint64
	value   []byte
	expires time.Time // zero: never
}

func (r revision) present(now time.Time) bool {
	return r.version > 0 && (r.expires.IsZero() || now.Before(r.expires))
}

// store holds the rows of the table with the recent history of each row. It is
// not safe for concurrent use.
type store struct {
	rows      map[string][]revision // oldest first
	lastSweep time.Time
}

func newStore() *store { return &store{rows: map[string][]revision{}} }

// rowAt returns a row as of the given time. An expired row is absent.
func (s *store) rowAt(key string, when time.Time) (platform.Row, bool) {
	revisions := s.rows[key]
	for i := len(revisions) - 1; i >= 0; i-- {
		r := revisions[i]
		if r.at.After(when) {
			continue
		}
		return platform.Row{Key: key, Version: r.version, Value: r.value}, r.present(when)
	}
	return platform.Row{}, false
}

// list returns the rows with a key prefix as of the given time, in key order,
// starting after a key.
func (s *store) list(prefix, after string, limit int, when time.Time) []platform.Row {
	var keys []string
	for key := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	out := []platform.Row{}
	for _, key := range keys {
		if len(out) == limit {
			break
		}
		if row, ok := s.rowAt(key, when); ok {
			out = append(out, row)
		}
	}
	return out
}

// commit applies a transaction, or returns the current rows whose condition
// failed.
func (s *store) commit(tx platform.Tx, now time.Time) []platform.Row {
	if failed := s.check(tx.Conditions, now); len(failed) > 0 {
		return failed
	}
	for _, p := range tx.Puts {
		old, _ := s.current(p.Key, now)
		r := revision{at: now, version: old + 1, value: slices.Clone(p.Value)}
		if p.TTL > 0 {
			r.expires = now.Add(p.TTL)
		}
		s.add(p.Key, r, now)
	}
	for _, key := range tx.Deletes {
		s.add(key, revision{at: now}, now)
	}
	s.sweep(now)
	return nil
}

func (s *store) check(conditions []platform.Condition, now time.Time) []platform.Row {
	var failed []platform.Row
	for _, c := range conditions {
		version, value := s.current(c.Key, now)
		if version != c.Version {
			failed = append(failed, platform.Row{Key: c.Key, Version: version, Value: value})
		}
	}
	return failed
}

// current returns the version and value of a row; the version of an absent row
// is 0.
func (s *store) current(key string, now time.Time) (uint64, []byte) {
	row, ok := s.rowAt(key, now)
	if !ok {
		return 0, nil
	}
	return row.Version, row.Value
}

// add appends a revision and removes those that are too old for stale reads.
func (s *store) add(key string, r revision, now time.Time) {
	s.rows[key] = prune(append(s.rows[key], r), now)
}

func prune(revisions []revision, now time.Time) []revision {
	first := 0
	for i, r := range revisions {
		if !r.at.After(now.Add(-historyRetention)) {
			first = i
		}
	}
	return slices.Clone(revisions[first:])
}

// sweep removes rows that have been absent for the whole retained history.
func (s *store) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < sweepInterval {
		return
	}
	s.lastSweep = now
	for key, revisions := range s.rows {
		last := revisions[len(revisions)-1]
		absent := !last.present(now.Add(-historyRetention)) && !last.at.After(now.Add(-historyRetention))
		if absent {
			delete(s.rows, key)
		}
	}
}

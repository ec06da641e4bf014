// Package replica merges copies of the rows of a store table that arrive from
// several sources: snapshots, change feeds and other entry instances, in any
// order and possibly stale. It is pure.
//
// Every row carries the version of the transaction that wrote it. A table knows
// the version up to which it is complete. A row never goes back to an older
// version, and a stale snapshot removes nothing that was written after it.
package replica

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// TombstoneTTL is how long a removed row is remembered. A source that is older
// than this needs a snapshot. The store keeps 20 s of history by default.
const TombstoneTTL = 60 * time.Second

// Row is one row, or the trace of a removed one.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
	Removed bool
}

// Batch is a set of rows from one source.
type Batch struct {
	Rows []Row
	// After and Version say that the rows are all changes with a version
	// above After up to Version. A Full batch holds all rows of the table as
	// of Version; its After is not used.
	After, Version uint64
	Full           bool
}

type entry struct {
	Row
	removedAt time.Time
}

// Table is the merged copy of one table. One goroutine at a time may use it.
type Table struct {
	rows    map[string]entry
	version uint64
	known   bool
	// history is the version after which all removals are known. Before it
	// lie the version of a snapshot and of the last forgotten tombstone.
	history uint64
	// digest is the sum of the digests of all present rows.
	digest uint64
	// lagging is when a newer copy with other rows was first heard of; zero if
	// none was since the version last grew.
	lagging time.Time
	asked   asking
}

// New returns an empty table that is complete up to no version.
func New() *Table { return &Table{rows: make(map[string]entry)} }

// Initialized reports whether the table was ever complete.
func (t *Table) Initialized() bool { return t.known }

// Version returns the version up to which the table is complete.
func (t *Table) Version() uint64 { return t.version }

// Merge takes in a batch and returns the rows that changed, in key order.
func (t *Table) Merge(now time.Time, b Batch) []Row {
	t.prune(now)
	var changed []Row
	// A row that the table was complete without has been removed since. A full
	// batch that is newer says otherwise, and heals a copy that is wrong.
	var from uint64
	if t.known && !(b.Full && b.Version >= t.version) {
		from = t.version
	}
	for _, r := range b.Rows {
		if t.put(now, r, from) {
			changed = append(changed, r)
		}
	}
	if b.Full {
		changed = append(changed, t.removeAbsent(now, b)...)
		if b.Version > t.version {
			t.history = max(t.history, b.Version)
		}
	}
	if b.Full || t.known && b.After <= t.version {
		t.advance(b.Version)
		t.known = true
	}
	sortRows(changed)
	return changed
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
}

func (t *Table) advance(version uint64) {
	if version > t.version {
		t.version = version
		t.lagging = time.Time{}
	}
}

// put takes in a row. One of which nothing is known must be newer than a version.
func (t *Table) put(now time.Time, r Row, from uint64) bool {
	old, ok := t.rows[r.Key]
	if ok && old.Version >= r.Version {
		return false
	}
	if !ok && r.Version <= from {
		return false
	}
	t.set(now, r)
	return !r.Removed || ok && !old.Removed
}

// set replaces a row.
func (t *Table) set(now time.Time, r Row) {
	e := entry{Row: r}
	if old, ok := t.rows[r.Key]; ok && !old.Removed {
		t.digest -= rowDigest(old.Row)
	}
	if r.Removed {
		e.Value = nil
		e.removedAt = now
	} else {
		t.digest += rowDigest(r)
	}
	t.rows[r.Key] = e
}

// removeAbsent removes the rows that a full batch does not hold, unless they
// were written after it.
func (t *Table) removeAbsent(now time.Time, b Batch) []Row {
	present := make(map[string]bool, len(b.Rows))
	for _, r := range b.Rows {
		present[r.Key] = true
	}
	var removed []Row
	for key, e := range t.rows {
		if e.Removed || present[key] || e.Version > b.Version {
			continue
		}
		gone := Row{Key: key, Version: b.Version, Removed: true}
		t.set(now, gone)
		removed = append(removed, gone)
	}
	return removed
}

// Since returns the changes after a version for another copy. If the removals
// since then are not known, the batch is full.
func (t *Table) Since(now time.Time, after uint64) Batch {
	t.prune(now)
	return t.batch(Batch{After: after, Version: t.version, Full: after < t.history || after == 0}, after)
}

// batch adds the rows: all present ones if b is full, else those that changed
// after a version.
func (t *Table) batch(b Batch, after uint64) Batch {
	for _, e := range t.rows {
		if b.Full && !e.Removed || !b.Full && e.Version > after {
			b.Rows = append(b.Rows, e.Row)
		}
	}
	sortRows(b.Rows)
	return b
}

// prune forgets old tombstones.
func (t *Table) prune(now time.Time) {
	for key, e := range t.rows {
		if e.Removed && now.Sub(e.removedAt) > TombstoneTTL {
			t.history = max(t.history, e.Version)
			delete(t.rows, key)
		}
	}
}

// Get returns a row that is present.
func (t *Table) Get(key string) (Row, bool) {
	e, ok := t.rows[key]
	return e.Row, ok && !e.Removed
}

// Each calls f for every present row in key order.
func (t *Table) Each(f func(Row)) {
	for _, key := range slices.Sorted(maps.Keys(t.rows)) {
		if e := t.rows[key]; !e.Removed {
			f(e.Row)
		}
	}
}

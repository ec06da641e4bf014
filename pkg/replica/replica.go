// Package replica keeps copies of store tables. It merges rows from several
// sources, namely snapshots, the change feed and other entry instances, in any
// order and possibly stale. It does no I/O and reads no clock.
//
// Every row carries the version of the transaction that wrote it, and a table
// records the version up to which it is complete. A row never reverts to an
// older version, and a stale snapshot removes nothing that was written after it.
package replica

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// TombstoneTTL is how long a removed row is remembered. A copy that is further
// behind needs a snapshot. The store keeps 20 s of history by default.
const TombstoneTTL = 60 * time.Second

// Row is a row, or the tombstone of a removed one.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
	Removed bool
}

// Batch is a set of rows from one source.
type Batch struct {
	Rows []Row
	// The batch contains all changes with versions above After and up to
	// Version. A Full batch contains all rows of the table as of Version and
	// does not use After.
	After, Version uint64
	Full           bool
	// StoreTime is the store's steady clock at the time of its response; 0 if
	// unknown.
	StoreTime time.Duration
}

type entry struct {
	Row
	removedAt time.Time
}

// Table is the merged copy of one table. It is not safe for concurrent use.
type Table struct {
	rows        map[string]entry
	version     uint64
	initialized bool
	// historyStart is the version after which all removals are known: that of
	// the last snapshot, pruned tombstone or copy with an equal digest.
	historyStart uint64
	// digest is the sum of the digests of all present rows.
	digest uint64
	// laggingSince is when a newer copy with different rows was first observed
	// since the version last increased; zero if there was none.
	laggingSince time.Time
	pulls        pullCount
}

// New returns an empty table that is not yet initialized.
func New() *Table { return &Table{rows: make(map[string]entry)} }

// Initialized reports whether the table was ever complete, which takes a full
// batch.
func (t *Table) Initialized() bool { return t.initialized }

// Version returns the version up to which the table is complete.
func (t *Table) Version() uint64 { return t.version }

// Merge applies a batch and returns the rows that changed, in key order.
func (t *Table) Merge(now time.Time, b Batch) []Row {
	t.prune(now)
	var changed []Row
	// An unknown row is stale if its version is not above the one up to which
	// the table is complete: it was removed since. A full batch that is not
	// older than the table overrides this and repairs a wrong copy.
	var staleUpTo uint64
	if t.initialized && !(b.Full && b.Version >= t.version) {
		staleUpTo = t.version
	}
	for _, r := range b.Rows {
		if t.put(now, r, staleUpTo) {
			changed = append(changed, r)
		}
	}
	if b.Full {
		changed = append(changed, t.removeAbsent(now, b)...)
		if b.Version > t.version {
			t.historyStart = max(t.historyStart, b.Version)
		}
	}
	if b.Full || t.initialized && b.After <= t.version {
		t.advance(b.Version)
		t.initialized = true
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
		t.laggingSince = time.Time{}
	}
}

// put applies a row and reports whether the table changed. A row with an unknown
// key must be newer than staleUpTo.
func (t *Table) put(now time.Time, r Row, staleUpTo uint64) bool {
	old, ok := t.rows[r.Key]
	if ok && old.Version >= r.Version {
		return false
	}
	if !ok && r.Version <= staleUpTo {
		return false
	}
	t.set(now, r)
	return !r.Removed || ok && !old.Removed
}

// set replaces a row and updates the digest.
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

// removeAbsent removes the rows that a full batch does not contain, unless they
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
		tombstone := Row{Key: key, Version: b.Version, Removed: true}
		t.set(now, tombstone)
		removed = append(removed, tombstone)
	}
	return removed
}

// Since returns the changes after a version for another copy. If not all
// removals since then are known, the batch is full.
func (t *Table) Since(now time.Time, after uint64) Batch {
	t.prune(now)
	return t.batch(Batch{After: after, Version: t.version, Full: after < t.historyStart || after == 0}, after)
}

// batch adds the rows to b: all present ones if b is full, otherwise those that
// changed after a version.
func (t *Table) batch(b Batch, after uint64) Batch {
	for _, e := range t.rows {
		if b.Full && !e.Removed || !b.Full && e.Version > after {
			b.Rows = append(b.Rows, e.Row)
		}
	}
	sortRows(b.Rows)
	return b
}

// prune deletes old tombstones.
func (t *Table) prune(now time.Time) {
	for key, e := range t.rows {
		if e.Removed && now.Sub(e.removedAt) > TombstoneTTL {
			t.historyStart = max(t.historyStart, e.Version)
			delete(t.rows, key)
		}
	}
}

// Get returns a row and whether it is present.
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

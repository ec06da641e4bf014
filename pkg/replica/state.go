package replica

import (
	"strconv"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/rendezvous"
)

const (
	// lagLimit is how long a copy waits for the changes that it lacks before
	// it asks for all rows: one heartbeat. Changes arrive within one, unless
	// no peer knows all removals since this copy's version.
	lagLimit = time.Second
	// askInterval and askMost bound the requests for all rows: 363
	// registrations take 90 KB, and a new instance has up to 100 peers. Three,
	// so that two peers that are away or new themselves cost no time.
	askInterval = time.Second
	askMost     = 3
)

// State says what a copy of a table holds. Copies exchange it, and then only the
// rows that one lacks.
type State struct {
	Version uint64
	// Digest tells copies with different rows apart. Versions cannot: they are
	// counted over all tables of the store, so a copy with an older version may
	// lack nothing.
	Digest uint64
	// SendAll asks for all rows.
	SendAll bool
}

// asking bounds the requests for all rows.
type asking struct {
	began time.Time
	count int
}

// State returns what the copy holds.
func (t *Table) State() State { return State{Version: t.version, Digest: t.digest} }

// Ask returns the state for a peer, with a request for all rows if the table is
// unknown or has lacked changes for too long.
func (t *Table) Ask(now time.Time) State {
	s := t.State()
	s.SendAll = t.mayAsk(now)
	return s
}

func (t *Table) mayAsk(now time.Time) bool {
	if t.known && (t.lagging.IsZero() || now.Sub(t.lagging) < lagLimit) {
		return false
	}
	if now.Sub(t.asked.began) >= askInterval {
		t.asked = asking{began: now}
	}
	t.asked.count++
	return t.asked.count <= askMost
}

// Heard takes in the state of another copy, after the rows that came with it. A
// copy with the same rows is as complete as the other one.
func (t *Table) Heard(now time.Time, other State) {
	if !t.known || other.Version <= t.version {
		return
	}
	if other.Digest == t.digest {
		t.advance(other.Version)
		// A row may have come and gone in between.
		t.history = other.Version
		return
	}
	if t.lagging.IsZero() {
		t.lagging = now
	}
}

// For returns what a copy in a given state lacks. If not all removals since its
// version are known, it gets the known changes, which do not make it complete;
// it asks for all rows if nothing else does.
func (t *Table) For(now time.Time, other State) (Batch, bool) {
	switch {
	case !t.known || other.Version > t.version:
		return Batch{}, false
	case other.SendAll:
		return t.Since(now, 0), true
	case other.Version == 0 || other.Version == t.version || other.Digest == t.digest:
		return Batch{}, false
	}
	t.prune(now)
	b := t.batch(Batch{After: max(other.Version, t.history), Version: t.version}, other.Version)
	return b, len(b.Rows) > 0 || b.After == other.Version
}

func rowDigest(r Row) uint64 {
	return rendezvous.Weight(r.Key, strconv.FormatUint(r.Version, 10))
}

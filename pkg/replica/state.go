package replica

import (
	"strconv"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/rendezvous"
)

const (
	// PullDelay is how long a copy waits for the changes that it lacks before
	// it asks a peer for them. Followers of the store send changes at once, and
	// they have arrived by then, unless a follower is cut off: a round trip
	// between regions takes 110 ms.
	PullDelay = 250 * time.Millisecond
	// pullAllAfter is how long it waits before it asks for all rows: its peers
	// do not know all removals since its version.
	pullAllAfter = 1250 * time.Millisecond
	// askInterval and askMost bound the requests of both kinds: 363
	// registrations take 90 KB, and an instance has up to 100 peers. Three, so
	// that two peers that are away or lack them too cost no time.
	askInterval = time.Second
	askMost     = 3
)

// Pull is a request for rows.
type Pull int

// Requests for rows.
const (
	PullNone    Pull = iota
	PullChanges      // since the version of the State
	PullAll
)

// State says what a copy of a table holds. Copies exchange it, and then only the
// rows that one lacks.
type State struct {
	Version uint64
	// Digest tells copies with different rows apart. Versions cannot: they are
	// counted over all tables of the store, so a copy with an older version may
	// lack nothing.
	Digest uint64
	Pull   Pull
}

// asking bounds the requests for rows.
type asking struct {
	began time.Time
	count int
}

// State returns what the copy holds.
func (t *Table) State() State { return State{Version: t.version, Digest: t.digest} }

// StateFor returns the state for a peer that was in a given state when it was last
// heard, with a request for rows if the copy has lacked some for too long.
func (t *Table) StateFor(now time.Time, peer State) State {
	s := t.State()
	waited := t.Lag(now)
	switch {
	case waited < PullDelay || t.known && (peer.Version <= t.version || peer.Digest == t.digest):
		return s
	case !t.known || waited >= pullAllAfter:
		s.Pull = PullAll
	default:
		s.Pull = PullChanges
	}
	if now.Sub(t.asked.began) >= askInterval {
		t.asked = asking{began: now}
	}
	if t.asked.count++; t.asked.count > askMost {
		s.Pull = PullNone
	}
	return s
}

// Lag returns how long the copy has lacked rows; 0 if it lacks none that it
// knows of. An unknown copy lacks all since the first question.
func (t *Table) Lag(now time.Time) time.Duration {
	if !t.known && t.lagging.IsZero() {
		t.lagging = now
	}
	if t.lagging.IsZero() {
		return 0
	}
	return now.Sub(t.lagging)
}

// ObservePeer takes in the state of another copy, after the rows that came with it. A
// copy with the same rows is as complete as the other one. It reports whether
// the copy has just begun to lag.
func (t *Table) ObservePeer(now time.Time, other State) bool {
	if !t.known || other.Version <= t.version {
		return false
	}
	if other.Digest == t.digest {
		t.advance(other.Version)
		// A row may have come and gone in between.
		t.history = other.Version
		return false
	}
	if !t.lagging.IsZero() {
		return false
	}
	t.lagging = now
	return true
}

// RespondToPull returns the rows that a peer has asked for.
func (t *Table) RespondToPull(now time.Time, peer State) (Batch, bool) {
	switch {
	case !t.known || peer.Version > t.version || peer.Pull == PullNone:
		return Batch{}, false
	case peer.Pull == PullAll:
		return t.Since(now, 0), true
	}
	return t.ChangesFor(now, peer)
}

// ChangesFor returns what a copy in a given state lacks. If not all removals since its
// version are known, these are the known changes, which do not make it complete;
// it asks for all rows if nothing else does.
func (t *Table) ChangesFor(now time.Time, peer State) (Batch, bool) {
	if !t.known || peer.Version == 0 || peer.Version >= t.version || peer.Digest == t.digest {
		return Batch{}, false
	}
	t.prune(now)
	b := t.batch(Batch{After: max(peer.Version, t.history), Version: t.version}, peer.Version)
	return b, len(b.Rows) > 0 || b.After == peer.Version
}

func rowDigest(r Row) uint64 {
	return rendezvous.Weight(r.Key, strconv.FormatUint(r.Version, 10))
}

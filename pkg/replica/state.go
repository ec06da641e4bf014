package replica

import (
	"strconv"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/rendezvous"
)

const (
	// PullDelay is how long a copy waits for missing changes before it pulls
	// them from a peer. Followers of the store send changes at once, and these
	// have arrived by then unless a follower is cut off: a round trip between
	// regions takes 110 ms.
	PullDelay = 250 * time.Millisecond
	// StartPullDelay is how long a copy that was never complete waits before it
	// pulls all rows. Followers of the store send them to instances that have
	// none: with the members read from the store that takes three round trips.
	StartPullDelay = 600 * time.Millisecond
	// pullAllDelay is how long a copy waits before it pulls all rows: by then
	// it is clear that its peers do not know all removals since its version.
	pullAllDelay = 1250 * time.Millisecond
	// maxPulls bounds the pulls of both kinds in each pullInterval: 363
	// registrations take 90 KB, and an instance has up to 100 peers. With three,
	// two peers that are unreachable or lack the rows too cause no delay.
	pullInterval = time.Second
	maxPulls     = 3
)

// Pull is the kind of rows that a copy requests from another one.
type Pull int

// Kinds of requested rows.
const (
	PullNone    Pull = iota
	PullChanges      // since the version of the State
	PullAll
)

// State summarizes a copy of a table. Copies exchange their states, and then only
// the rows that one of them lacks.
type State struct {
	Version uint64
	// Digest differs between copies with different rows. Comparing versions is
	// not enough: they count the transactions of all tables of the store, so a
	// copy with an older version may lack nothing.
	Digest uint64
	Pull   Pull
}

// pullCount counts the pulls in the current interval.
type pullCount struct {
	windowStart time.Time
	count       int
}

// State returns the state of the copy, without a pull.
func (t *Table) State() State { return State{Version: t.version, Digest: t.digest} }

// StateFor returns the state to send to a peer, given the peer's last known state.
// It includes a pull if the copy has lacked rows for too long.
func (t *Table) StateFor(now time.Time, peer State) State {
	s := t.State()
	lag := t.Lag(now)
	switch {
	case !t.initialized && lag < StartPullDelay || lag < PullDelay || t.initialized && (peer.Version <= t.version || peer.Digest == t.digest):
		return s
	case !t.initialized || lag >= pullAllDelay:
		s.Pull = PullAll
	default:
		s.Pull = PullChanges
	}
	if now.Sub(t.pulls.windowStart) >= pullInterval {
		t.pulls = pullCount{windowStart: now}
	}
	if t.pulls.count++; t.pulls.count > maxPulls {
		s.Pull = PullNone
	}
	return s
}

// Lag returns how long the copy has lacked rows; 0 if it is not known to lack any.
// A copy that is not initialized lags since the first call.
func (t *Table) Lag(now time.Time) time.Duration {
	if !t.initialized && t.laggingSince.IsZero() {
		t.laggingSince = now
	}
	if t.laggingSince.IsZero() {
		return 0
	}
	return now.Sub(t.laggingSince)
}

// ObservePeer processes the state of another copy, after the rows that came with
// it have been merged. A copy with the same rows is as complete as the other one.
// It reports whether the copy has just begun to lag.
func (t *Table) ObservePeer(now time.Time, other State) bool {
	if !t.initialized || other.Version <= t.version {
		return false
	}
	if other.Digest == t.digest {
		t.advance(other.Version)
		// A row may have been added and removed in between.
		t.historyStart = other.Version
		return false
	}
	if !t.laggingSince.IsZero() {
		return false
	}
	t.laggingSince = now
	return true
}

// RespondToPull returns the rows that a peer has requested, if any.
func (t *Table) RespondToPull(now time.Time, peer State) (Batch, bool) {
	switch {
	case !t.initialized || peer.Version > t.version || peer.Pull == PullNone:
		return Batch{}, false
	case peer.Pull == PullAll:
		return t.Since(now, 0), true
	}
	return t.ChangesFor(now, peer)
}

// ChangesFor returns the rows that a copy in a given state lacks. If not all
// removals since its version are known, the batch has only the known changes and
// does not make the copy complete; it then pulls all rows unless it becomes
// complete otherwise.
func (t *Table) ChangesFor(now time.Time, peer State) (Batch, bool) {
	if !t.initialized || peer.Version == 0 || peer.Version >= t.version || peer.Digest == t.digest {
		return Batch{}, false
	}
	if Era(peer.Version) < Era(t.version) {
		return t.Since(now, 0), true // what the store no longer has is not among the changes
	}
	t.prune(now)
	b := t.batch(Batch{After: max(peer.Version, t.historyStart), Version: t.version}, peer.Version)
	return b, len(b.Rows) > 0 || b.After == peer.Version
}

func rowDigest(r Row) uint64 {
	return rendezvous.Weight(r.Key, strconv.FormatUint(r.Version, 10))
}

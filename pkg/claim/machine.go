package claim

import (
	"time"

	"github.com/go-faster/errors"
)

// MaxDispatchDelay is the longest time between sending a claim write and the
// dispatch. It stops an entry that was paused from using an old claim.
const MaxDispatchDelay = 5 * time.Second

// Errors of Ticket.Dispatch. After either one the request must not be sent.
var (
	ErrDispatchTooLate = errors.New("claim: dispatch limit passed")
	ErrNotGranted      = errors.New("claim: ticket has ended or was dispatched before")
)

type phase int

const (
	claiming   phase = iota // the claim is to be written
	granted                 // the row is ours, or the key is entry-issued
	dispatched              // sent to a backend server
	finished                // ended; ending tells how
)

// machine is the state of one key in one incarnation. Its methods take
// messages and return effects; it does no I/O and reads no clock.
type machine struct {
	self Incarnation
	// issued means that the key was issued by this incarnation, the only one
	// that may run it.
	issued bool
	// inMemory means that the claim is held in memory only: an issued key that
	// is newer than every evicted one.
	inMemory bool
	fp       Fingerprint
	phase    phase
	attempt  string
	sentAt   time.Time // when the claim of this attempt was first sent
	ending   *row      // set in phase finished
	// resolution is kept in the rows of later attempts, as an audit trail.
	resolution *Resolution

	// version is the row version that the next write is conditional on.
	version uint64
	// held means that the row is known to hold an unfinished claim of ours.
	held bool
	// doubt means that an earlier write may have landed or may still land.
	doubt    bool
	want     *row // next write, or nil
	inFlight *row
	failures int // failed writes of this attempt
}

// effects tells the manager what follows from a message.
type effects struct {
	grant    bool      // the ticket may be dispatched
	answer   *Decision // ends the ticket
	violated string    // a broken assumption to log
	lost     string    // a result that an operator's resolution replaced
}

func (m *machine) newRow(s state) *row {
	return &row{
		State:       s,
		Entry:       m.self.Entry,
		Incarnation: m.self.Number,
		Attempt:     m.attempt,
		Fingerprint: m.fp,
		Resolution:  m.resolution,
	}
}

// start begins a new attempt of a new key, or of a key that ended not run.
func (m *machine) start(attempt string) effects {
	m.attempt = attempt
	m.sentAt = time.Time{}
	m.ending = nil
	m.failures = 0
	if m.inMemory {
		m.phase = granted
		return effects{grant: true}
	}
	m.phase = claiming
	m.want = m.newRow(stateClaimed)
	return effects{}
}

// settled reports whether nothing is left to write.
func (m *machine) settled() bool { return m.want == nil && m.inFlight == nil }

// canRestart reports whether a new attempt may start.
func (m *machine) canRestart() bool {
	return m.phase == finished && m.ending.State == stateNotRun
}

// take returns the row to write now, or nil.
func (m *machine) take(now time.Time) *row {
	if m.want == nil || m.inFlight != nil {
		return nil
	}
	if m.phase == claiming && m.sentAt.IsZero() {
		m.sentAt = now
	}
	m.inFlight = m.want
	return m.inFlight
}

// committed handles a write that took effect.
func (m *machine) committed() effects {
	m.version++
	return m.landed()
}

// landed handles the knowledge that the row holds the write in flight.
func (m *machine) landed() effects {
	written := m.inFlight
	m.inFlight = nil
	m.doubt = false
	m.failures = 0
	m.held = written.State == stateClaimed
	if m.want == written {
		m.want = nil
	}
	if m.phase == claiming && written.State == stateClaimed && written.Attempt == m.attempt {
		m.phase = granted
		return effects{grant: true}
	}
	return effects{}
}

// failed handles a write that certainly (unknown false) or possibly had no
// effect. An attempt gives up after limit failures.
func (m *machine) failed(unknown bool, limit int) effects {
	m.inFlight = nil
	m.doubt = m.doubt || unknown
	m.failures++
	if m.phase == claiming {
		if m.failures < limit {
			return effects{}
		}
		return m.abandon(ReasonStoreUnavailable, "the claim could not be written")
	}
	m.dropNeedlessFence()
	return effects{}
}

// unsent ends an attempt that waited while the store was unavailable.
func (m *machine) unsent() effects {
	if m.phase != claiming {
		return effects{}
	}
	return m.abandon(ReasonStoreUnavailable, "the store is unavailable")
}

// unwritable handles a row that cannot be encoded. It is not tried again.
func (m *machine) unwritable(detail string) effects {
	m.inFlight = nil
	m.want = nil
	e := effects{}
	if m.phase == claiming {
		e = m.abandon(ReasonStoreUnavailable, detail)
		m.want = nil
	}
	e.violated = detail
	return e
}

// abandon ends an attempt whose claim is not known to be written. A write
// that is in doubt is fenced: the not_run row makes the version condition of
// a delayed claim write fail, or replaces a claim that has landed.
func (m *machine) abandon(reason, detail string) effects {
	e := m.finish(stateNotRun, reason, detail)
	m.dropNeedlessFence()
	return e
}

func (m *machine) dropNeedlessFence() {
	fence := m.phase == finished && m.ending.State == stateNotRun
	if fence && !m.held && !m.doubt && m.inFlight == nil {
		m.want = nil
	}
}

// finish ends the attempt without a result and asks for the row to be written.
func (m *machine) finish(s state, reason, detail string) effects {
	m.phase = finished
	m.ending = m.newRow(s)
	m.ending.Reason = reason
	m.ending.Detail = detail
	m.want = m.ending
	if m.inMemory && s == stateNotRun {
		// The owner may run the key again, so a copy could become false.
		m.want = nil
	}
	verdict := NotRun
	if s == stateUnknown {
		verdict = Unknown
	}
	return effects{answer: &Decision{Verdict: verdict, Reason: reason, Detail: detail}}
}

// done ends the attempt with a result. The waiting callers get the whole
// result; the record and the row hold what the limits allow.
func (m *machine) done(r Result) effects {
	m.phase = finished
	m.ending = m.newRow(stateDone)
	m.ending.Result = r.kept()
	m.want = m.ending
	return effects{answer: &Decision{Verdict: Recorded, Result: &r}}
}

// dispatch allows the request to be sent, once.
func (m *machine) dispatch(now time.Time) error {
	if m.phase != granted {
		return ErrNotGranted
	}
	if !m.inMemory && now.Sub(m.sentAt) > MaxDispatchDelay {
		return ErrDispatchTooLate
	}
	m.phase = dispatched
	return nil
}

// conflict handles the row that made the condition of the write fail. Row
// versions only grow, so no earlier write of ours can land after it.
func (m *machine) conflict(version uint64, stored *row) effects {
	written := m.inFlight
	m.inFlight = nil
	m.doubt = false
	m.version = version
	switch {
	case stored == nil: // expired; the next write inserts it
		m.held = false
		return effects{}
	case written.sameWrite(stored):
		m.inFlight = written
		return m.landed()
	case m.phase == claiming:
		return m.conflictClaiming(stored)
	case stored.owner() == m.self && stored.State == stateClaimed:
		// An earlier write of ours had landed; want replaces it.
		m.held = true
		return effects{}
	}
	return m.conflictFinished(stored)
}

func (m *machine) conflictClaiming(stored *row) effects {
	if stored.Fingerprint != m.fp {
		return m.yield(refuse(ReasonKeyMismatch, "the key was used for another request"))
	}
	switch {
	case stored.final():
		return m.yield(stored.finalDecision())
	case m.issued && stored.byHand():
		// Other entries have answered that this key is not run for good.
		return m.yield(Decision{Verdict: NotRun, Reason: stored.Reason, Detail: stored.Detail, NeverRun: true})
	case stored.State == stateNotRun, stored.owner() == m.self:
		// Not run, or our own claim that was never dispatched: take it over.
		m.held = stored.State == stateClaimed
		m.resolution = stored.Resolution
		m.want = m.newRow(stateClaimed)
		return effects{}
	}
	return m.yield(Decision{Verdict: PassTo, PassTo: stored.owner()})
}

// yield ends an attempt whose key is decided by a row that must stay.
func (m *machine) yield(d Decision) effects {
	m.phase = finished
	m.ending = m.newRow(stateNotRun)
	m.want = nil
	m.held = false
	return effects{answer: &d}
}

// conflictFinished handles a foreign or final row after this attempt ended.
func (m *machine) conflictFinished(stored *row) effects {
	ours := m.want
	m.held = false
	if m.adopts(stored) {
		m.ending = stored
		m.want = nil
		return effects{}
	}
	if m.ending.State == stateNotRun {
		m.want = nil
		return effects{}
	}
	m.want = nil
	if stored.byHand() {
		if stored.final() {
			m.ending = stored
		}
		if ours.State == stateUnknown {
			return effects{} // this entry instance knew nothing either
		}
		return effects{lost: "result " + string(ours.State) + " came too late: " + stored.resolved()}
	}
	return effects{violated: "result " + string(ours.State) + " found a row of " + stored.Entry}
}

// adopts reports whether a row replaces the end of this attempt: the result
// that the executor of this very attempt wrote, where the owner knows none.
func (m *machine) adopts(stored *row) bool {
	same := stored.owner() == m.self && stored.Attempt == m.attempt
	return same && stored.State == stateDone && m.ending.State == stateUnknown
}

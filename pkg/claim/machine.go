package claim

import (
	"time"

	"github.com/go-faster/errors"
)

// MaxDispatchDelay is the longest time between sending a claim write and the
// dispatch. It keeps a process that was suspended from using an old claim.
const MaxDispatchDelay = 5 * time.Second

// Errors of Ticket.Dispatch. After either of them the request must not be sent.
var (
	ErrDispatchTooLate = errors.New("claim: dispatch limit passed")
	ErrNotGranted      = errors.New("claim: ticket has ended or was dispatched before")
)

type phase int

const (
	claiming   phase = iota // the claim is not yet known to be written
	granted                 // the row is claimed by this attempt, or no row is needed
	dispatched              // the request may have been sent to a backend server
	finished                // the attempt has ended; finalRow holds the outcome
)

// stateMachine is the state of one key in one incarnation. Its methods handle
// events and return effects; it does no I/O and reads no clock.
type stateMachine struct {
	self Incarnation
	// issued means that the key was issued by this incarnation, the only one
	// that may run it.
	issued bool
	// inMemory means that the key is claimed without a write to the store: an
	// issued key that is newer than every evicted key.
	inMemory    bool
	fingerprint Fingerprint
	phase       phase
	attempt     string
	claimSentAt time.Time // when the claim of this attempt was first sent
	finalRow    *row      // set in phase finished
	// resolution is copied to the rows of later attempts as an audit trail.
	resolution *Resolution

	// version is the row version that the next write is conditional on.
	version uint64
	// claimStored means that the row is known to hold a claim of this incarnation
	// without an outcome.
	claimStored bool
	// inDoubt means that an earlier write may have taken effect or still may.
	inDoubt      bool
	nextWrite    *row // row to write next, or nil
	inFlight     *row // row of the write in flight, or nil
	failedWrites int  // failed writes of this attempt
}

// effects tells the manager what to do after an event.
type effects struct {
	grant      bool      // the ticket may be dispatched
	decision   *Decision // ends the ticket
	violation  string    // a violated invariant to log
	lostResult string    // describes a result that lost to an operator's resolution
}

func (m *stateMachine) newRow(s state) *row {
	return &row{
		State:       s,
		Entry:       m.self.Entry,
		Incarnation: m.self.Number,
		Attempt:     m.attempt,
		Fingerprint: m.fingerprint,
		Resolution:  m.resolution,
	}
}

// start begins an attempt of a new key, or of a key that ended not run.
func (m *stateMachine) start(attempt string) effects {
	m.attempt = attempt
	m.claimSentAt = time.Time{}
	m.finalRow = nil
	m.failedWrites = 0
	if m.inMemory {
		m.phase = granted
		return effects{grant: true}
	}
	m.phase = claiming
	m.nextWrite = m.newRow(stateClaimed)
	return effects{}
}

// fullyWritten reports whether nothing is left to write.
func (m *stateMachine) fullyWritten() bool { return m.nextWrite == nil && m.inFlight == nil }

// canRestart reports whether a new attempt may start.
func (m *stateMachine) canRestart() bool {
	return m.phase == finished && m.finalRow.State == stateNotRun
}

// startWrite returns the row to write now and marks it as in flight. It returns
// nil if there is nothing to write or a write is in flight.
func (m *stateMachine) startWrite(now time.Time) *row {
	if m.nextWrite == nil || m.inFlight != nil {
		return nil
	}
	if m.phase == claiming && m.claimSentAt.IsZero() {
		m.claimSentAt = now
	}
	m.inFlight = m.nextWrite
	return m.inFlight
}

// writeCommitted handles the commit of the write in flight.
func (m *stateMachine) writeCommitted() effects {
	m.version++
	return m.writeApplied()
}

// writeApplied handles the proof that the stored row is the write in flight.
func (m *stateMachine) writeApplied() effects {
	written := m.inFlight
	m.inFlight = nil
	m.inDoubt = false
	m.failedWrites = 0
	m.claimStored = written.State == stateClaimed
	if m.nextWrite == written {
		m.nextWrite = nil
	}
	if m.phase == claiming && written.State == stateClaimed && written.Attempt == m.attempt {
		m.phase = granted
		return effects{grant: true}
	}
	return effects{}
}

// writeFailed handles a write that had no effect, or that may have had one if
// unknown is set. An attempt gives up after limit failures.
func (m *stateMachine) writeFailed(unknown bool, limit int) effects {
	m.inFlight = nil
	m.inDoubt = m.inDoubt || unknown
	m.failedWrites++
	if m.phase == claiming {
		if m.failedWrites < limit {
			return effects{}
		}
		return m.abandon(ReasonStoreUnavailable, "the claim could not be written")
	}
	m.dropUnneededFence()
	return effects{}
}

// abandonUnsent ends an attempt whose claim was not sent because the store is
// unavailable.
func (m *stateMachine) abandonUnsent() effects {
	if m.phase != claiming {
		return effects{}
	}
	return m.abandon(ReasonStoreUnavailable, "the store is unavailable")
}

// encodingFailed handles a row that cannot be encoded. It is not retried.
func (m *stateMachine) encodingFailed(detail string) effects {
	m.inFlight = nil
	m.nextWrite = nil
	e := effects{}
	if m.phase == claiming {
		e = m.abandon(ReasonStoreUnavailable, detail)
		m.nextWrite = nil
	}
	e.violation = detail
	return e
}

// abandon ends an attempt whose claim is not known to be written. A write in
// doubt is fenced: the not_run row makes the version condition of a delayed
// claim write fail, or replaces a claim that has taken effect.
func (m *stateMachine) abandon(reason, detail string) effects {
	e := m.finish(stateNotRun, reason, detail)
	m.dropUnneededFence()
	return e
}

// dropUnneededFence cancels the write of a not_run row if the store cannot hold a
// claim of this incarnation.
func (m *stateMachine) dropUnneededFence() {
	fence := m.phase == finished && m.finalRow.State == stateNotRun
	if fence && !m.claimStored && !m.inDoubt && m.inFlight == nil {
		m.nextWrite = nil
	}
}

// finish ends the attempt without a result and schedules the write of its row.
func (m *stateMachine) finish(s state, reason, detail string) effects {
	m.phase = finished
	m.finalRow = m.newRow(s)
	m.finalRow.Reason = reason
	m.finalRow.Detail = detail
	m.nextWrite = m.finalRow
	if m.inMemory && s == stateNotRun {
		// The owner may run the key again, which would make the row false.
		m.nextWrite = nil
	}
	verdict := NotRun
	if s == stateUnknown {
		verdict = Unknown
	}
	return effects{decision: &Decision{Verdict: verdict, Reason: reason, Detail: detail}}
}

// finishWithResult ends the attempt with a result. The waiting callers get the
// whole result; memory and the row keep what the size limits allow.
func (m *stateMachine) finishWithResult(r Result) effects {
	m.phase = finished
	m.finalRow = m.newRow(stateDone)
	m.finalRow.Result = r.storedForm()
	m.nextWrite = m.finalRow
	return effects{decision: &Decision{Verdict: Recorded, Result: &r}}
}

// dispatch allows the request to be sent once.
func (m *stateMachine) dispatch(now time.Time) error {
	if m.phase != granted {
		return ErrNotGranted
	}
	if !m.inMemory && now.Sub(m.claimSentAt) > MaxDispatchDelay {
		return ErrDispatchTooLate
	}
	m.phase = dispatched
	return nil
}

// writeConflicted handles the stored row that made the condition of the write
// fail. Row versions only grow, so no earlier write of this incarnation can
// take effect any more.
func (m *stateMachine) writeConflicted(version uint64, stored *row) effects {
	written := m.inFlight
	m.inFlight = nil
	m.inDoubt = false
	m.version = version
	switch {
	case stored == nil: // the row has expired; the next write inserts it
		m.claimStored = false
		return effects{}
	case written.sameWrite(stored):
		m.inFlight = written
		return m.writeApplied()
	case m.phase == claiming:
		return m.claimConflicted(stored)
	case stored.owner() == m.self && stored.State == stateClaimed:
		// An earlier write of this incarnation took effect; nextWrite replaces it.
		m.claimStored = true
		return effects{}
	}
	return m.finalRowConflicted(stored)
}

func (m *stateMachine) claimConflicted(stored *row) effects {
	if stored.Fingerprint != m.fingerprint {
		return m.finishWithDecision(refuse(ReasonKeyMismatch, "the key was used for another request"))
	}
	switch {
	case stored.isFinal():
		return m.finishWithDecision(stored.finalDecision())
	case m.issued && stored.resolvedByOperator():
		// Other entry instances have answered that this key never runs.
		return m.finishWithDecision(Decision{Verdict: NotRun, Reason: stored.Reason, Detail: stored.Detail, NeverRun: true})
	case stored.State == stateNotRun, stored.owner() == m.self:
		// Not run, or a claim of this incarnation that was never dispatched.
		m.claimStored = stored.State == stateClaimed
		m.resolution = stored.Resolution
		m.nextWrite = m.newRow(stateClaimed)
		return effects{}
	}
	return m.finishWithDecision(Decision{Verdict: PassTo, PassTo: stored.owner()})
}

// finishWithDecision ends an attempt whose key is decided by a stored row that
// must not be replaced.
func (m *stateMachine) finishWithDecision(d Decision) effects {
	m.phase = finished
	m.finalRow = m.newRow(stateNotRun)
	m.nextWrite = nil
	m.claimStored = false
	return effects{decision: &d}
}

// finalRowConflicted handles a stored row of another incarnation, or one with an
// outcome, that conflicts with the final row of this attempt.
func (m *stateMachine) finalRowConflicted(stored *row) effects {
	rejected := m.nextWrite
	m.claimStored = false
	if m.acceptsExecutorResult(stored) {
		m.finalRow = stored
		m.nextWrite = nil
		return effects{}
	}
	if m.finalRow.State == stateNotRun {
		m.nextWrite = nil
		return effects{}
	}
	m.nextWrite = nil
	if stored.resolvedByOperator() {
		if stored.isFinal() {
			m.finalRow = stored
		}
		if rejected.State == stateUnknown {
			return effects{} // no result is lost: this attempt ended unknown
		}
		return effects{lostResult: "result " + string(rejected.State) + " came too late: " + stored.describeResolution()}
	}
	return effects{violation: "result " + string(rejected.State) + " conflicts with a row of " + stored.Entry}
}

// acceptsExecutorResult reports whether the stored row is the result that the
// executor of this attempt wrote, while the owner has none.
func (m *stateMachine) acceptsExecutorResult(stored *row) bool {
	same := stored.owner() == m.self && stored.Attempt == m.attempt
	return same && stored.State == stateDone && m.finalRow.State == stateUnknown
}

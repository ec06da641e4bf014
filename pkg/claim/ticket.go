package claim

import (
	"context"
	"time"
)

// Ticket is the right to dispatch one request once. Exactly one of Done,
// NotRun and Unknown must end it; later calls have no effect.
type Ticket struct {
	m        *Manager
	rec      *record
	granted  chan struct{} // closed when the ticket may be dispatched
	ended    chan struct{} // closed after decision is set
	decision Decision
}

func newTicket(m *Manager, rec *record) *Ticket {
	return &Ticket{m: m, rec: rec, granted: make(chan struct{}), ended: make(chan struct{})}
}

func (t *Ticket) end(d Decision) {
	t.decision = d
	close(t.ended)
}

// active reports whether the ticket has not ended. The caller holds m.mu.
func (t *Ticket) active() bool {
	return t.rec.ticket == t && t.rec.machine.phase != finished
}

// Dispatch must be called right before the request is sent. It fails with
// ErrDispatchTooLate if the claim is too old, and with ErrNotGranted if the ticket
// has ended or was dispatched before; the caller then calls NotRun. now must have
// the monotonic reading of time.Now, so that a clock step cannot extend the limit.
func (t *Ticket) Dispatch(now time.Time) error {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	if !t.active() {
		return ErrNotGranted
	}
	return t.rec.machine.dispatch(now)
}

// Done records the result of the run.
func (t *Ticket) Done(r Result) {
	t.finish(func(mc *stateMachine) effects { return mc.finishWithResult(r) })
}

// NotRun ends the ticket without a run. It is allowed only if the request was
// never dispatched, if no byte of it can have reached a backend server, or if the
// backend server itself answered that it did not run the request.
func (t *Ticket) NotRun(reason string) {
	t.finish(func(mc *stateMachine) effects { return mc.finish(stateNotRun, reason, "") })
}

// Unknown ends the ticket when the request may or may not have run.
func (t *Ticket) Unknown(detail string) {
	t.finish(func(mc *stateMachine) effects { return mc.finish(stateUnknown, "", detail) })
}

func (t *Ticket) finish(event func(*stateMachine) effects) {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	if !t.active() {
		return
	}
	t.m.apply(t.rec, event(&t.rec.machine))
}

// awaitClaim waits until the ticket is granted or ended, or ctx ends.
func (m *Manager) awaitClaim(ctx context.Context, t *Ticket) Decision {
	select {
	case <-t.ended:
		return t.decision
	case <-t.granted:
		return Decision{Verdict: Run, Ticket: t}
	case <-ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.active() {
		m.expire(t)
	}
	return t.decision
}

// expire ends the ticket of a caller whose deadline passed before it got the
// ticket. The caller holds m.mu.
func (m *Manager) expire(t *Ticket) {
	mc := &t.rec.machine
	if mc.phase == claiming {
		const detail = "the claim was not written before the deadline"
		m.apply(t.rec, mc.abandon(ReasonStoreUnavailable, detail))
		return
	}
	m.apply(t.rec, mc.finish(stateNotRun, ReasonDeadline, ""))
}

func awaitResult(ctx context.Context, t *Ticket) Decision {
	select {
	case <-t.ended:
		return t.decision
	case <-ctx.Done():
		return Decision{
			Verdict: Unknown,
			Reason:  ReasonDeadline,
			Detail:  "another attempt of the key is in flight",
		}
	}
}

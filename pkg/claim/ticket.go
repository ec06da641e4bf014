package claim

import (
	"context"
	"time"
)

// Ticket is the right to dispatch one request once. Exactly one of Done,
// NotRun and Unknown must end it; later calls have no effect.
type Ticket struct {
	m       *Manager
	rec     *record
	granted chan struct{} // closed when the ticket may be dispatched
	ended   chan struct{} // closed after outcome is set
	outcome Decision
}

func newTicket(m *Manager, rec *record) *Ticket {
	return &Ticket{m: m, rec: rec, granted: make(chan struct{}), ended: make(chan struct{})}
}

func (t *Ticket) end(d Decision) {
	t.outcome = d
	close(t.ended)
}

// live reports whether the ticket has not ended. The caller holds the lock.
func (t *Ticket) live() bool {
	return t.rec.ticket == t && t.rec.machine.phase != finished
}

// Dispatch must be called right before the request is sent. It fails with
// ErrDispatchLimit when the claim is too old, and with ErrNotGranted when the
// ticket was used before; the caller then calls NotRun. now needs the
// monotonic reading of time.Now, so that a clock step cannot extend the limit.
func (t *Ticket) Dispatch(now time.Time) error {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	if !t.live() {
		return ErrNotGranted
	}
	return t.rec.machine.dispatch(now)
}

// Done records the result of the run.
func (t *Ticket) Done(r Result) {
	t.finish(func(mc *machine) effects { return mc.done(r) })
}

// NotRun ends the ticket without a run. It is allowed only if the request was
// never dispatched, if no byte of it could have reached a backend server, or
// if the backend server itself said that it did not run it.
func (t *Ticket) NotRun(reason string) {
	t.finish(func(mc *machine) effects { return mc.finish(stateNotRun, reason, "") })
}

// Unknown ends the ticket when the request may or may not have run.
func (t *Ticket) Unknown(detail string) {
	t.finish(func(mc *machine) effects { return mc.finish(stateUnknown, "", detail) })
}

func (t *Ticket) finish(message func(*machine) effects) {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	if !t.live() {
		return
	}
	t.m.apply(t.rec, message(&t.rec.machine))
}

// awaitClaim waits until the ticket is granted or ended.
func (m *Manager) awaitClaim(ctx context.Context, t *Ticket) Decision {
	select {
	case <-t.ended:
		return t.outcome
	case <-t.granted:
		return Decision{Verdict: Run, Ticket: t}
	case <-ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if t.live() {
		m.expire(t)
	}
	return t.outcome
}

// expire ends the ticket of a caller whose deadline passed before it got the
// ticket. The caller holds the lock.
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
		return t.outcome
	case <-ctx.Done():
		return Decision{
			Verdict: Unknown,
			Reason:  ReasonDeadline,
			Detail:  "another attempt of the key is in flight",
		}
	}
}

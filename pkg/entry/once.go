package entry

import (
	"cmp"
	"context"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/claim"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/trace"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// recordGrace is how long after the caller's deadline an entry instance still waits
// for the response to an at-most-once request, so that it can record the outcome.
const recordGrace = time.Second

// serveAtMostOnce runs a request of a service that must run at most once.
//
// Invariant: between Begin and the end of the ticket, the request is sent to
// another backend server only if a refusal or a failed dial proves that it did not
// run at the previous one.
func (e *Entry) serveAtMostOnce(ctx context.Context, req *request) reply {
	decision := e.beginClaim(ctx, req)
	if decision.Verdict == claim.PassTo {
		return e.forwardToOwner(ctx, req, decision.PassTo)
	}
	if decision.Verdict != claim.Run {
		return e.claimReply(req, decision)
	}
	// The run continues when the caller disconnects, because its outcome must be
	// recorded.
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.deadline.Add(recordGrace))
	defer cancel()
	return e.runClaimed(runCtx, req, decision.Ticket)
}

func (e *Entry) beginClaim(ctx context.Context, req *request) claim.Decision {
	started := time.Now()
	d := e.claims.Begin(ctx, req.claimID(), req.key, req.fingerprint())
	e.recordSpan(req, trace.Span{Kind: "claim", Reason: d.Reason, Outcome: d.Verdict.String(), DurationUS: time.Since(started).Microseconds()})
	return d
}

func (e *Entry) runClaimed(ctx context.Context, req *request, ticket *claim.Ticket) reply {
	if err := ticket.Dispatch(time.Now()); err != nil {
		ticket.NotRun(string(ReasonDeadline))
		return notRun(ReasonDeadline, "claim could not be used in time: %v", err)
	}
	ref := ticket.AttemptRef()
	req.claim = &ref
	rep := e.dispatch(ctx, req)
	switch {
	case rep.answered():
		ticket.Done(claim.Result{Status: rep.status, Header: rep.header, Body: rep.body})
	case rep.isNotRun():
		ticket.NotRun(string(rep.reason))
		rep.appliesTo = AppliesToKey
	default:
		ticket.Unknown(string(rep.reason) + ": " + rep.message)
	}
	return rep
}

// claimReply returns the reply for a decision that does not run the request.
func (e *Entry) claimReply(req *request, d claim.Decision) reply {
	switch d.Verdict {
	case claim.Recorded:
		return reply{
			outcome: wire.Outcome_OUTCOME_RECORDED,
			reason:  Reason(d.Reason),
			message: recordedMessage(d),
			status:  d.Result.Status,
			header:  d.Result.Header,
			body:    d.Result.Body,
			entry:   e.settings.ID,
		}
	case claim.NotRun:
		rep := notRun(Reason(d.Reason), "%s", d.Detail)
		rep.appliesTo = AppliesToAttempt
		// A key issued by an instance that is stopping could not be used any more.
		ready := e.state() == wire.EntryState_ENTRY_STATE_READY
		if rep.reason == ReasonStoreUnavailable && !req.key.Issued && ready {
			rep.nextKey = e.claims.NewKey()
		}
		if d.NeverRun {
			rep.appliesTo = AppliesToKey
			rep.nextKey = e.claims.NewKey()
		}
		return rep
	default:
		return unknownOutcome(unknownReason(d), "%s", d.Detail)
	}
}

func recordedMessage(d claim.Decision) string {
	if d.Reason == "" {
		return ""
	}
	return "the request ran; its answer was too large to be kept"
}

// unknownReason returns the reason for an unknown outcome of an earlier attempt. The
// claim stores that reason only as free text.
func unknownReason(d claim.Decision) Reason {
	if d.Reason == claim.ReasonDeadline {
		return ReasonInProgress
	}
	return ReasonConnectionLost
}

// forwardToOwner forwards the request to the incarnation that holds its claim.
func (e *Entry) forwardToOwner(ctx context.Context, req *request, owner claim.Incarnation) reply {
	target, ok := req.view.entries[owner.Entry]
	if !ok {
		return e.replyFromTable(ctx, req, owner, false)
	}
	rep := e.callOwner(ctx, req, target, owner)
	// Only the owner knows whether the key has run. A refusal that names no entry
	// instance was made here, without an answer of the owner.
	if rep.entry == "" && !rep.answered() {
		return e.replyFromTable(ctx, req, owner, !rep.isNotRun())
	}
	return rep
}

const (
	// ownerRetryTimeout bounds the retries while a live owner cannot be reached.
	ownerRetryTimeout  = time.Second
	ownerRetryInterval = 20 * time.Millisecond
)

// callOwner forwards a request to the owner of its key. While the connection for
// requests is in backoff after a failed dial, nothing is sent, although heartbeats
// show that the owner is alive. The call is then retried, because the stored claim
// alone would only allow an unknown outcome.
func (e *Entry) callOwner(ctx context.Context, req *request, target config.EntryInstance, owner claim.Incarnation) reply {
	until := time.Now().Add(ownerRetryTimeout)
	for {
		rep := e.forward(ctx, req, forwardOptions{entry: target, owner: true})
		if rep.entry != "" || rep.reason != reasonPeerUnreachable && rep.reason != ReasonLinkBudget {
			return rep
		}
		if time.Now().After(until) || !e.incarnationAlive(owner) {
			return rep
		}
		if wait.Sleep(ctx, ownerRetryInterval) != nil {
			return rep
		}
	}
}

// replyFromTable returns a reply from the claim in the table service when the owner
// cannot be reached. maybeSent means that the owner may have received the request.
func (e *Entry) replyFromTable(ctx context.Context, req *request, owner claim.Incarnation, maybeSent bool) reply {
	d := e.claims.Lookup(ctx, req.claimID())
	found := d.Fingerprint != claim.Fingerprint{}
	if found && d.Fingerprint != req.fingerprint() {
		return notRun(ReasonKeyMismatch, "the key was used for another request")
	}
	// A row with state not run covers earlier attempts only: the owner can still run
	// a request that it may have received.
	if d.Verdict == claim.Recorded || d.NeverRun || d.Verdict == claim.NotRun && !maybeSent {
		return e.claimReply(req, d)
	}
	return unknownOutcome(ReasonOwnerUnreachable,
		"entry instance %s holds the claim and cannot be asked; the request may have run; stored claim: %s", owner.Entry, cmp.Or(d.Detail, d.Verdict.String()))
}

// serveAsOwner processes a request that a peer has forwarded because this
// incarnation holds, or may hold, its claim.
func (e *Entry) serveAsOwner(ctx context.Context, req *request) reply {
	decision := e.beginClaim(ctx, req)
	switch decision.Verdict {
	case claim.PassTo:
		// Not forwarded again: the peer has taken this process for its predecessor.
		return e.replyFromTable(ctx, req, decision.PassTo, false)
	case claim.Run:
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.deadline.Add(recordGrace))
		defer cancel()
		return e.runClaimed(runCtx, req, decision.Ticket)
	default:
		return e.claimReply(req, decision)
	}
}

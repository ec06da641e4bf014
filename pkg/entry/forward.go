package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/claim"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/peer"
	"github.com/dandelionrack/dandelionrack/pkg/trace"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// reasonPeerUnreachable marks a forward of which nothing was sent, so that another
// candidate can be tried. It is not reported to callers.
const reasonPeerUnreachable Reason = "peer_unreachable"

// forwardMargin is subtracted from the time that a peer gets, so that its refusal
// arrives before the deadline here. Otherwise an at-most-once request that is
// refused late would end with an unknown outcome.
const forwardMargin = 10 * time.Millisecond

// minForwardTime is the shortest remaining time with which a request is forwarded.
const minForwardTime = 5 * time.Millisecond

type forwardOptions struct {
	entry   config.EntryInstance
	attempt uint32
	owner   bool          // the peer owns the claim of the request
	maxWait time.Duration // for a slot; with 0 the request is not queued
	exclude []string
}

// forward sends a request to a peer and waits for the reply.
func (e *Entry) forward(ctx context.Context, req *request, o forwardOptions) reply {
	region := req.view.regionByDomain[o.entry.FailureDomain]
	margin := forwardMargin + 2*e.linkDelay(req.view, region)
	left := req.timeLeft(time.Now()) - margin
	if left < minForwardTime {
		return notRun(ReasonDeadline, "not enough time left to use entry instance %s", o.entry.ID)
	}
	bytes, ok := e.reserveRequest(region, req)
	if !ok {
		return notRun(ReasonLinkBudget, "the byte budget to region %s is used up", region)
	}
	started := time.Now()
	res, err := e.callPeer(ctx, o.entry.PeerAddr, &wire.Request{Call: &wire.Request_Forward{
		Forward: forwardMessage(req, o, left),
	}})
	rep := e.forwardResult(req, o, res, err)
	if size := int64(len(rep.body)); size > 0 && !req.memory.acquire(size) {
		rep = unknownOutcome(ReasonConnectionLost, "the answer of entry instance %s does not fit this entry instance's memory limit for bodies", o.entry.ID)
	}
	if rep.reason == reasonPeerUnreachable {
		e.settleLink(bytes, 0)
	}
	e.recordSpan(req, trace.Span{
		Kind:          "forward",
		Attempt:       int(o.attempt),
		Peer:          o.entry.ID,
		BackendServer: rep.server,
		Reason:        string(rep.reason),
		Outcome:       outcomeName(rep.outcome),
		DurationUS:    time.Since(started).Microseconds(),
	})
	return rep
}

func forwardMessage(req *request, o forwardOptions, left time.Duration) *wire.Forward {
	f := &wire.Forward{
		RequestId:      req.id,
		Attempt:        o.attempt,
		Customer:       req.contract.Customer,
		Service:        req.service.Name,
		HomeRegion:     req.homeRegion,
		ConfigVersion:  req.view.doc.Version,
		TimeoutMs:      left.Milliseconds(),
		Method:         req.method,
		Path:           []byte(req.path),
		Headers:        headersToWire(req.header),
		Body:           req.body,
		IdempotencyKey: req.key.Raw,
		Owner:          o.owner,
		MaxQueueMs:     o.maxWait.Milliseconds(),
		AtMostOnce:     !req.service.Idempotent,
		ExcludeServers: o.exclude,
	}
	if req.claim != nil {
		f.ClaimAttempt = req.claim.AttemptID
		f.ClaimVersion = req.claim.Version
		f.ClaimIncarnation = req.claim.Owner.Number
	}
	return f
}

// forwardResult converts the result of a peer call into a reply. An error counts as
// not run only if it proves that the peer cannot have processed the request.
func (e *Entry) forwardResult(req *request, o forwardOptions, res *wire.Response, err error) reply {
	if errors.Is(err, peer.ErrRefused) || errors.Is(err, peer.ErrNotSent) {
		e.recordContact(o.entry.ID, err)
		return notRun(reasonPeerUnreachable, "entry instance %s cannot be reached: %v", o.entry.ID, err)
	}
	if err != nil {
		return unknownOutcome(ReasonConnectionLost, "entry instance %s gave no answer: %v", o.entry.ID, err)
	}
	f := res.GetForward()
	if f == nil {
		return unknownOutcome(ReasonConnectionLost, "entry instance %s gave no usable answer: %s", o.entry.ID, res.GetError())
	}
	if f.GetRequestId() != req.id || f.GetAttempt() != o.attempt {
		e.metrics.mismatchedReplies.Add(1)
		return unknownOutcome(ReasonConnectionLost, "entry instance %s answered another request", o.entry.ID)
	}
	return replyFromWire(f)
}

func replyFromWire(f *wire.ForwardReply) reply {
	return reply{
		outcome: f.GetOutcome(),
		reason:  Reason(f.GetReason()),
		message: f.GetMessage(),
		status:  int(f.GetStatus()),
		header:  headersFromWire(f.GetHeaders()),
		body:    f.GetBody(),
		server:  f.GetBackendServer(),
		entry:   f.GetEntry(),

		appliesTo: AppliesTo(f.GetAppliesTo()),
	}
}

func headersToWire(h http.Header) []*wire.Header {
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		raw := make([][]byte, len(values))
		for i, v := range values {
			raw[i] = []byte(v)
		}
		out = append(out, &wire.Header{Name: name, Values: raw})
	}
	return out
}

func headersFromWire(hs []*wire.Header) http.Header {
	out := make(http.Header, len(hs))
	for _, h := range hs {
		name := http.CanonicalHeaderKey(h.GetName())
		for _, v := range h.GetValues() {
			out[name] = append(out[name], string(v))
		}
	}
	return out
}

// handleForward processes a request that a peer has forwarded.
func (e *Entry) handleForward(ctx context.Context, from string, f *wire.Forward) *wire.Response {
	e.inFlight.Add(1)
	defer e.inFlight.Done()
	rep := e.serveForward(ctx, from, f)
	return &wire.Response{Reply: &wire.Response_Forward{Forward: &wire.ForwardReply{
		RequestId:     f.GetRequestId(),
		Attempt:       f.GetAttempt(),
		Outcome:       rep.outcome,
		Reason:        string(rep.reason),
		Message:       rep.message,
		Status:        int32(rep.status),
		Headers:       headersToWire(rep.header),
		Body:          rep.body,
		BackendServer: rep.server,
		Entry:         e.settings.ID,
		AppliesTo:     string(rep.appliesTo),
	}}}
}

func (e *Entry) serveForward(ctx context.Context, from string, f *wire.Forward) reply {
	req, refused := e.forwardedRequest(f)
	if refused != nil && f.GetOwner() {
		// If this process has just replaced the owner, it does not know whether the
		// key has run.
		return unknownOutcome(ReasonOwnerUnreachable, "%s", refused.message)
	}
	if refused != nil {
		return *refused
	}
	defer req.memory.end()
	caller, deadline := ctx, req.deadline
	if f.GetAtMostOnce() {
		ctx = context.WithoutCancel(ctx)
		deadline = deadline.Add(recordGrace)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	rep := e.serveWithinLinkBudget(ctx, req, req.view.regionOf(from), f)
	if !f.GetOwner() {
		e.recordForwardedOutcome(req, from, f, rep, caller.Err() != nil)
	}
	return rep
}

// serveWithinLinkBudget takes the bytes of the response out of the link budget to
// the region that the request came from.
func (e *Entry) serveWithinLinkBudget(ctx context.Context, req *request, region string, f *wire.Forward) reply {
	if region == req.view.region {
		return e.serveLocally(ctx, req, f)
	}
	reserved, ok := e.reserveResponse(region, req)
	// The owner of a claim answers in any case, because only it knows whether the key
	// has run. The bytes are still counted.
	if !ok && !f.GetOwner() {
		return notRun(ReasonLinkBudget, "the byte budget for answers to region %s is used up", region)
	}
	rep := e.serveLocally(ctx, req, f)
	e.settleResponse(reserved, req, rep)
	return rep
}

func (e *Entry) serveLocally(ctx context.Context, req *request, f *wire.Forward) reply {
	if f.GetOwner() {
		return e.serveAsOwner(ctx, req)
	}
	return e.admitAndCall(ctx, req, admitOptions{
		attempt: f.GetAttempt(),
		maxWait: time.Duration(f.GetMaxQueueMs()) * time.Millisecond,
		exclude: f.GetExcludeServers(),
	})
}

// recordForwardedOutcome records the result of a request for the owner of its claim,
// so that it is not lost if the owner dies. undelivered means that the owner ended
// the call or the connection was lost.
func (e *Entry) recordForwardedOutcome(req *request, from string, f *wire.Forward, rep reply, undelivered bool) {
	if f.GetClaimAttempt() == "" || !rep.answered() {
		return
	}
	e.claims.RecordOutcome(claim.ForwardedOutcome{
		ID: req.claimID(),
		Attempt: claim.AttemptRef{
			Owner:     claim.Incarnation{Entry: from, Number: f.GetClaimIncarnation()},
			AttemptID: f.GetClaimAttempt(),
			Version:   f.GetClaimVersion(),
		},
		Fingerprint: req.fingerprint(),
		Result:      claim.Result{Status: rep.status, Header: rep.header, Body: rep.body},
		Undelivered: undelivered,
	})
}

// forwardedRequest builds the request from a peer's message and this instance's
// configuration.
func (e *Entry) forwardedRequest(f *wire.Forward) (*request, *reply) {
	v := e.currentView()
	if v == nil {
		return nil, newRefusal(ReasonNotReady, "no configuration known yet")
	}
	contract, ok := v.doc.Contracts[f.GetCustomer()]
	if !ok {
		// The request was valid at the peer, so this instance has another version of
		// the configuration. That is temporary and no fault of the request.
		return nil, newRefusal(ReasonNotReady, "customer %q has no contract at entry instance %s", f.GetCustomer(), e.settings.ID)
	}
	svc, ok := contract.FindService(f.GetService())
	if !ok {
		return nil, newRefusal(ReasonNotReady, "service %q is in no contract at entry instance %s", f.GetService(), e.settings.ID)
	}
	var key claim.Key
	if f.GetIdempotencyKey() != "" {
		parsed, err := claim.ParseKey(f.GetIdempotencyKey())
		if err != nil {
			return nil, newRefusal(ReasonKeyInvalid, "%v", err)
		}
		key = parsed
	}
	now := time.Now()
	return &request{
		id:         f.GetRequestId(),
		view:       v,
		contract:   contract,
		service:    svc,
		homeRegion: f.GetHomeRegion(),
		method:     f.GetMethod(),
		path:       string(f.GetPath()),
		header:     headersFromWire(f.GetHeaders()),
		body:       f.GetBody(),
		deadline:   now.Add(time.Duration(f.GetTimeoutMs()) * time.Millisecond),
		received:   now,
		key:        key,
		memory:     requestMemory{budget: e.buffers},
	}, nil
}

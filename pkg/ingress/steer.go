package ingress

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/placement"
	"github.com/dandelionrack/dandelionrack/pkg/upstream"
)

// forward sends the request to a backend server and retries on others while that is
// safe and within the retry budget. A non-idempotent request is retried only if it
// certainly did not run.
func (r *request) forward(ctx context.Context) reply {
	for {
		if stop := r.g.stopping.Load(); stop != nil && r.possibleRuns == 0 && !stop.accepts(time.Now(), r.deadline, r.route.Idempotent) {
			return r.finalReply(reasonStopping, nil, minRetryAfter)
		}
		choice, refusal := r.choose()
		if refusal != nil {
			return r.noServerReply(refusal)
		}
		res := r.send(ctx, choice)
		if res.final != nil {
			return *res.final
		}
		r.tried = append(r.tried, choice.Server.ID)
		r.triedAddrs = append(r.triedAddrs, choice.Server.Addr)
		if res.response != nil {
			r.failedResponse = res.response
		}
		if reason := r.noRetryReason(ctx, res); reason != "" {
			return r.finalReply(reason, res.err, minRetryAfter)
		}
		r.g.metrics.retries.Add(1)
	}
}

// choose selects a server that has not been tried yet. If there is none and an
// idempotent request may have run, it selects among all servers: the next response
// need not be lost as well, and that server is now warm for the object.
func (r *request) choose() (placement.Choice, *placement.Refusal) {
	now := time.Now()
	choice, refusal := r.g.selector.chooseServer(now, r.placementRequest(r.tried))
	if refusal == nil || r.possibleRuns == 0 || !r.route.Idempotent {
		return choice, refusal
	}
	if again, refused := r.g.selector.chooseServer(now, r.placementRequest(nil)); refused == nil {
		return again, nil
	}
	return choice, refusal
}

// placementRequest describes the request to the balancer.
func (r *request) placementRequest(exclude []string) placement.Request {
	objective := r.route.TargetLatency - clientRoundTrip
	return placement.Request{
		Service: r.service, Class: r.route.Name, Object: r.object(),
		AllowedRegions: r.regions, Exclude: exclude,
		UntilObjective: time.Until(r.arrived.Add(objective)), UntilDeadline: time.Until(r.serverDeadline()),
		InitialServiceTime: r.route.TargetLatency,
	}
}

// sendResult is the classified result of one attempt.
type sendResult struct {
	final      *reply             // set if no other attempt is to be made
	response   *upstream.Response // a failure that another attempt could improve
	sent       bool               // the request may have reached the server
	mayHaveRun bool               // the server may have run the request
	err        error
}

// exchangeResult is the unclassified result of one attempt.
type exchangeResult struct {
	response *upstream.Response
	head     fleet.ResponseHead // of the response that was read last
	timing   upstream.Timing
	err      error
}

// send sends the request to one server and classifies the result.
func (r *request) send(ctx context.Context, c placement.Choice) sendResult {
	g := r.g
	r.last = c
	if c.Warm {
		g.metrics.expectedWarm.Add(1)
	}
	if time.Now().Before(c.Server.ColdUntil) {
		g.metrics.coldSends.Add(1)
	}
	g.protocol.WriteForward(r.header, c.Server.ID, time.Until(r.serverDeadline()))
	x := r.exchange(ctx, c)
	result := placement.Result{Connect: x.timing.Connect, NewConnection: !x.timing.Reused}
	var res sendResult
	if x.err != nil {
		res = r.classifyError(ctx, x.err, &result)
	} else {
		res = classifyResponse(x.response, x.head, &result)
	}
	if res.sent {
		r.sendCount++
	}
	if res.mayHaveRun {
		r.possibleRuns++
	}
	if x.response != nil && !x.head.Misdirected {
		g.recordNotices(r, c.Server, x.timing.SentAt, x.head)
	}
	if g.selector.done(time.Now(), c, result) {
		// Peers must know before the server has started again.
		g.viewOutdated.Store(true)
		g.pushNow()
		g.log.writeLimited("refused", hclog.Info, "backend server may have restarted; limited until its registration is confirmed",
			"server", c.Server.ID, "request", r.head.ID, "start", c.Server.StartTime)
	}
	g.metrics.upstream.Add(outcomeNames[result.Outcome], 1)
	if res.final == nil || res.final.response == nil {
		g.log.writeLimited("send "+outcomeNames[result.Outcome], hclog.Info, "send failed",
			"request", r.head.ID, "server", c.Server.ID, "outcome", outcomeNames[result.Outcome], "sends", r.sendCount,
			"reused", x.timing.Reused, "in_flight", c.Load, "expected_ms", c.ExpectedLatency.Milliseconds(), "error", x.err)
	}
	return res
}

// exchange sends the request to one server.
func (r *request) exchange(ctx context.Context, c placement.Choice) exchangeResult {
	g := r.g
	var x exchangeResult
	x.response, x.timing, x.err = g.backends.Do(ctx, upstream.Request{
		Addr: c.Server.Addr, Method: r.http.Method, Target: r.target, Host: r.http.Host,
		Header: r.header, Body: r.body, Idempotent: r.route.Idempotent, Budget: g.bodyBudget,
		NewConnection: slices.Contains(r.triedAddrs, c.Server.Addr), Canceled: r.clientLeftBeforeSend,
		Matches: func(resp *http.Response) bool {
			x.head = g.protocol.ReadResponse(resp.StatusCode, resp.Header)
			return x.head.RequestID == r.head.ID
		},
	})
	if x.response != nil {
		r.acquired += x.response.Acquired
	}
	if x.timing.MismatchedResponses > 0 {
		g.metrics.mismatchedResponses.Add(int64(x.timing.MismatchedResponses))
		g.log.writeLimited("foreign", hclog.Warn, "skipped responses that belong to other requests",
			"request", r.head.ID, "server", c.Server.ID, "answers", x.timing.MismatchedResponses)
	}
	return x
}

var outcomeNames = map[placement.Outcome]string{
	placement.Served: "served", placement.Failed: "failed", placement.Shed: "shed",
	placement.Misdirected: "misdirected", placement.Broken: "broken",
	placement.Unreachable: "unreachable", placement.Abandoned: "abandoned",
}

func classifyResponse(response *upstream.Response, head fleet.ResponseHead, result *placement.Result) sendResult {
	result.LoadReported, result.Load, result.Slowdown = head.LoadReported, head.Load, head.Slowdown
	if head.Misdirected {
		result.Outcome = placement.Misdirected
		return sendResult{sent: true}
	}
	result.RetryAfter = head.RetryAfter
	switch {
	case head.NotRun:
		result.Outcome = placement.Shed
		return sendResult{sent: true}
	case response.Status < http.StatusMultipleChoices && !head.FromBackend:
		result.Outcome = placement.Broken
		return sendResult{sent: true, mayHaveRun: true, err: errors.New("successful response without a backend signature")}
	case response.Status >= http.StatusInternalServerError:
		result.Outcome = placement.Failed
		return sendResult{sent: true, mayHaveRun: true, response: response}
	default:
		result.Outcome = placement.Served
		return sendResult{sent: true, mayHaveRun: true, final: &reply{response: response, outcome: outcomeAnswered}}
	}
}

func (r *request) classifyError(ctx context.Context, err error, result *placement.Result) sendResult {
	var failed *upstream.Error
	sent := !errors.As(err, &failed) || failed.Sent
	if failed != nil {
		result.Refused, result.ClosedAtOnce = failed.Refused, failed.ClosedAtOnce
	}
	res := sendResult{sent: sent, mayHaveRun: sent, err: err}
	switch {
	case failed != nil && failed.Canceled:
		result.Outcome = placement.Abandoned
		res.final = &reply{
			status: http.StatusServiceUnavailable, outcome: outcomeNotRun, reason: reasonClientLeft, retryAfter: minRetryAfter, cause: err,
		}
	case r.clientLeft() && ctx.Err() != nil:
		result.Outcome = placement.Abandoned
		res.final = &reply{status: http.StatusServiceUnavailable, outcome: outcomeClientLeft, reason: reasonClientLeft, cause: err}
		if sent {
			res.final.status = http.StatusBadGateway
		}
	case ctx.Err() != nil:
		result.Outcome = placement.Abandoned
		res.final = r.timeoutReply(sent)
	case failed != nil && failed.Unreachable:
		result.Outcome = placement.Unreachable
	default:
		result.Outcome = placement.Broken
	}
	return res
}

// timeoutReply returns the reply for a request whose deadline has passed, or that is
// still in flight when the process is about to end.
func (r *request) timeoutReply(sent bool) *reply {
	if sent || r.possibleRuns > 0 {
		return &reply{status: http.StatusGatewayTimeout, outcome: outcomeUnknown, reason: r.endReason()}
	}
	return &reply{status: http.StatusServiceUnavailable, outcome: outcomeNotRun, reason: r.endReason(), retryAfter: minRetryAfter}
}

// noRetryReason returns why the request is not retried, or "" if it may be.
func (r *request) noRetryReason(ctx context.Context, res sendResult) string {
	switch {
	case res.mayHaveRun && !r.route.Idempotent:
		return reasonConnection
	case r.possibleRuns >= max(1, r.route.MaxAttempts) || r.sendCount >= maxSends:
		return reasonAttempts
	case r.clientLeft():
		return reasonClientLeft
	case ctx.Err() != nil:
		return r.endReason()
	case r.sendCount > 0 && !r.g.selector.allowRetry(time.Now(), r.service):
		r.g.metrics.retriesDenied.Add(1)
		return reasonRetryBudget
	}
	return ""
}

// finalReply returns the reply to a request that is not retried: a server's failed
// response if there is one, else whether the request may have run.
func (r *request) finalReply(reason string, cause error, retryAfter time.Duration) reply {
	switch {
	case r.failedResponse != nil:
		return reply{response: r.failedResponse, outcome: outcomeAnswered, reason: reason}
	case r.possibleRuns > 0:
		return reply{status: http.StatusBadGateway, outcome: outcomeUnknown, reason: reason, cause: cause}
	default:
		return reply{status: http.StatusServiceUnavailable, outcome: outcomeNotRun, reason: reason, cause: cause, retryAfter: retryAfter}
	}
}

// noServerReply returns the reply for a request for which no server was chosen.
func (r *request) noServerReply(f *placement.Refusal) reply {
	r.g.log.writeLimited("no server "+f.Reason, hclog.Info, "no server chosen", "request", r.head.ID, "service", r.service,
		"reason", f.Reason, "considered", f.Considered, "excluded", f.Excluded, "tried", len(r.tried))
	return r.finalReply(f.Reason, nil, max(f.RetryAfter, minRetryAfter))
}

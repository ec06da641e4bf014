package ingress

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/placement"
	"github.com/dandelionrack/dandelionrack/pkg/upstream"
)

// steer sends the request to a backend server, and to others while that is safe
// and within the retry budget. A request that must not be repeated is sent
// again only if it certainly did not run.
func (r *request) steer(ctx context.Context) reply {
	for {
		choice, refusal := r.choose()
		if refusal != nil {
			return r.refused(refusal)
		}
		res := r.send(ctx, choice)
		if res.final != nil {
			return *res.final
		}
		r.tried = append(r.tried, choice.Server.ID)
		if res.answer != nil {
			r.answer = res.answer
		}
		if stop := r.mayNotRetry(ctx, res); stop != "" {
			return r.giveUp(stop, res.err, minRetryAfter)
		}
		r.g.metrics.retries.Add(1)
	}
}

// choose finds a server that was not tried yet. If there is none, one that may
// have run the request is better than a failure: an answer that got lost once
// need not be lost again, and the server knows the object now.
func (r *request) choose() (placement.Choice, *placement.Refusal) {
	now := time.Now()
	choice, refusal := r.g.steering.choose(now, r.search(r.tried))
	if refusal == nil || r.runs == 0 || !r.route.Idempotent {
		return choice, refusal
	}
	if again, refused := r.g.steering.choose(now, r.search(nil)); refused == nil {
		return again, nil
	}
	return choice, refusal
}

// search describes the request to the balancer.
func (r *request) search(exclude []string) placement.Request {
	objective := r.route.TargetLatency - clientRoundTrip
	return placement.Request{
		Service: r.service, Class: r.route.Name, Object: r.object(),
		AllowedRegions: r.route.AllowedRegions, Exclude: exclude,
		UntilObjective: time.Until(r.arrived.Add(objective)), UntilDeadline: time.Until(r.deadline),
		InitialServiceTime: r.route.TargetLatency,
	}
}

// sendResult is what one send has led to.
type sendResult struct {
	final  *reply             // set if it is the final answer
	answer *upstream.Response // an answer that another attempt could improve
	sent   bool               // the request may have arrived
	ran    bool               // it may have run
	err    error
}

// exchanged is what one send has come to.
type exchanged struct {
	answer *upstream.Response
	head   fleet.ResponseHead // of the answer that was read last
	timing upstream.Timing
	err    error
}

// send sends the request to one server and classifies what comes back.
func (r *request) send(ctx context.Context, c placement.Choice) sendResult {
	g := r.g
	r.last = c
	if c.Warm {
		g.metrics.warm.Add(1)
	}
	if time.Now().Before(c.Server.ColdUntil) {
		g.metrics.cold.Add(1)
	}
	g.protocol.WriteForward(r.header, c.Server.ID, time.Until(r.deadline))
	x := r.do(ctx, c)
	result := placement.Result{Connect: x.timing.Connect, NewConnection: !x.timing.Reused}
	var res sendResult
	if x.err != nil {
		res = r.classifyError(ctx, x.err, &result)
	} else {
		res = classify(x.answer, x.head, &result)
	}
	if res.sent {
		r.sends++
	}
	if res.ran {
		r.runs++
	}
	g.steering.done(time.Now(), c, result)
	g.metrics.upstream.Add(outcomeNames[result.Outcome], 1)
	if res.final == nil || res.final.answer == nil {
		g.log.limited("send "+outcomeNames[result.Outcome], hclog.Info, "send failed",
			"request", r.head.ID, "server", c.Server.ID, "outcome", outcomeNames[result.Outcome], "sends", r.sends,
			"reused", x.timing.Reused, "in_flight", c.InFlight, "expected_ms", c.ExpectedLatency.Milliseconds(), "error", x.err)
	}
	return res
}

// do sends the request to one server.
func (r *request) do(ctx context.Context, c placement.Choice) exchanged {
	g := r.g
	var x exchanged
	x.answer, x.timing, x.err = g.backends.Do(ctx, upstream.Request{
		Addr: c.Server.Addr, Method: r.http.Method, Target: r.target, Host: r.http.Host,
		Header: r.header, Body: r.body, Idempotent: r.route.Idempotent,
		Matches: func(resp *http.Response) bool {
			x.head = g.protocol.ReadAnswer(resp.StatusCode, resp.Header)
			return x.head.RequestID == r.head.ID
		},
	})
	if x.timing.MismatchedResponses > 0 {
		g.metrics.foreignAnswers.Add(int64(x.timing.MismatchedResponses))
		g.log.limited("foreign", hclog.Warn, "skipped answers that belong to other requests",
			"request", r.head.ID, "server", c.Server.ID, "answers", x.timing.MismatchedResponses)
	}
	return x
}

var outcomeNames = map[placement.Outcome]string{
	placement.Served: "served", placement.Failed: "failed", placement.Shed: "shed",
	placement.Misdirected: "misdirected", placement.Broken: "broken",
	placement.Unreachable: "unreachable", placement.Abandoned: "abandoned",
}

func classify(answer *upstream.Response, head fleet.ResponseHead, result *placement.Result) sendResult {
	result.LoadReported, result.Load = head.LoadReported, head.Load
	switch {
	case head.Misdirected:
		result.Outcome = placement.Misdirected
		return sendResult{sent: true}
	case head.NotRun:
		result.Outcome = placement.Shed
		return sendResult{sent: true}
	case answer.Status < http.StatusMultipleChoices && !head.FromBackend:
		result.Outcome = placement.Broken
		return sendResult{sent: true, ran: true, err: errors.New("a success without a signature")}
	case answer.Status >= http.StatusInternalServerError:
		result.Outcome = placement.Failed
		return sendResult{sent: true, ran: true, answer: answer}
	default:
		result.Outcome = placement.Served
		return sendResult{sent: true, ran: true, final: &reply{answer: answer, outcome: outcomeAnswered}}
	}
}

func (r *request) classifyError(ctx context.Context, err error, result *placement.Result) sendResult {
	var failed *upstream.Error
	sent := !errors.As(err, &failed) || failed.Sent
	res := sendResult{sent: sent, ran: sent, err: err}
	switch {
	case r.clientLeft() && ctx.Err() != nil:
		result.Outcome = placement.Abandoned
		res.final = &reply{status: http.StatusServiceUnavailable, outcome: outcomeClientLeft, reason: reasonClientLeft, cause: err}
		if sent {
			res.final.status = http.StatusBadGateway
		}
	case ctx.Err() != nil:
		result.Outcome = placement.Abandoned
		res.final = r.timedOut(sent)
	case failed != nil && failed.Unreachable:
		result.Outcome = placement.Unreachable
	default:
		result.Outcome = placement.Broken
	}
	return res
}

// timedOut is the answer at the deadline.
func (r *request) timedOut(sent bool) *reply {
	if sent || r.runs > 0 {
		return &reply{status: http.StatusGatewayTimeout, outcome: outcomeUnknown, reason: reasonTimeout}
	}
	return &reply{status: http.StatusServiceUnavailable, outcome: outcomeNotRun, reason: reasonTimeout, retryAfter: minRetryAfter}
}

// mayNotRetry returns why no other server is tried, or "".
func (r *request) mayNotRetry(ctx context.Context, res sendResult) string {
	switch {
	case res.ran && !r.route.Idempotent:
		return reasonConnection
	case r.runs >= max(1, r.route.MaxAttempts) || r.sends >= maxSends:
		return reasonAttempts
	case r.clientLeft():
		return reasonClientLeft
	case ctx.Err() != nil:
		return reasonTimeout
	case r.sends > 0 && !r.g.steering.retry(time.Now(), r.service):
		r.g.metrics.retriesDenied.Add(1)
		return reasonRetryBudget
	}
	return ""
}

// giveUp is the final answer: a failure that a server gave, else what is known of
// the request.
func (r *request) giveUp(reason string, cause error, retryAfter time.Duration) reply {
	switch {
	case r.answer != nil:
		return reply{answer: r.answer, outcome: outcomeAnswered, reason: reason}
	case r.runs > 0:
		return reply{status: http.StatusBadGateway, outcome: outcomeUnknown, reason: reason, cause: cause}
	default:
		return reply{status: http.StatusServiceUnavailable, outcome: outcomeNotRun, reason: reason, cause: cause, retryAfter: retryAfter}
	}
}

// refused is the answer if no server was chosen.
func (r *request) refused(f *placement.Refusal) reply {
	r.g.log.limited("no server "+f.Reason, hclog.Info, "no server chosen", "request", r.head.ID, "service", r.service,
		"reason", f.Reason, "considered", f.Considered, "excluded", f.Excluded, "tried", len(r.tried))
	return r.giveUp(f.Reason, nil, max(f.RetryAfter, minRetryAfter))
}

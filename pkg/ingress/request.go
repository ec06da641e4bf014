package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/internal/bytebudget"
	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/placement"
	"github.com/dandelionrack/dandelionrack/pkg/upstream"
)

const (
	// clientRoundTrip is taken off the latency objective, which clients
	// measure: 8 ms one way on the sites, and the time to open a connection.
	clientRoundTrip = 20 * time.Millisecond
	// maxSends bounds how often one request is sent, also to servers that
	// reject it.
	maxSends = 4
	// defaultTimeout bounds requests of which neither the client nor the
	// route says how long they may take.
	defaultTimeout = 30 * time.Second
	// minRetryAfter spreads clients that come back: a server's slot is free
	// again after some 70 ms at the earliest.
	minRetryAfter = 50 * time.Millisecond
	// startRetryAfter is for clients that meet an instance which knows no
	// routing document yet: reading one takes a few calls of 4 ms.
	startRetryAfter = 200 * time.Millisecond
	// retryAfterPart is the part of the remaining time up to which clients
	// wait as they are told.
	retryAfterPart = 3
)

// Reasons of answers that no backend server gave.
const (
	reasonNotReady     = "not_ready"
	reasonNoRoute      = "no_route"
	reasonTooLarge     = "too_large"
	reasonMemory       = "memory"
	reasonClientBody   = "client_body"
	reasonRetryBudget  = "retry_budget"
	reasonAttempts     = "attempts"
	reasonTimeout      = "timeout"
	reasonConnection   = "connection_lost"
	reasonClientLeft   = "client_left"
	outcomeAnswered    = "answered"
	outcomeNotRun      = "not_run"
	outcomeUnknown     = "unknown"
	outcomeClientLeft  = "client_left"
	outcomeClientError = "client_error"
)

// request is one client request on its way.
type request struct {
	g       *Ingress
	head    fleet.RequestHead
	doc     *fleet.Document
	route   *fleet.Route
	service string

	http     *http.Request
	target   string
	header   http.Header
	body     []byte
	arrived  time.Time
	deadline time.Time

	sends int // requests that left for a server
	runs  int // servers that may have run it
	tried []string
	last  placement.Choice
	// answer is one that a server gave, a failure that another server could
	// have improved.
	answer *upstream.Response
}

// reply is a final answer.
type reply struct {
	answer     *upstream.Response // from a backend server; else the fields below
	status     int
	outcome    string
	reason     string
	cause      error
	retryAfter time.Duration
}

func (g *Ingress) handleRequest(w http.ResponseWriter, hr *http.Request) {
	g.metrics.requests.Add(1)
	r := &request{g: g, http: hr, head: g.protocol.ReadRequest(hr.Header), arrived: time.Now(), doc: g.document.Load()}
	rep := r.serve(w)
	g.finish(w, r, rep)
}

// serve runs a request to its final answer.
func (r *request) serve(w http.ResponseWriter) reply {
	if r.doc == nil || !r.g.serversKnown.Load() {
		return reply{status: http.StatusServiceUnavailable, outcome: outcomeNotRun, reason: reasonNotReady, retryAfter: startRetryAfter}
	}
	r.target = r.http.URL.RequestURI()
	if raw := r.http.RequestURI; len(raw) > 0 && raw[0] == '/' {
		r.target = raw
	}
	r.route = r.doc.Match(r.http.Host, r.http.URL.EscapedPath())
	if r.route == nil {
		return reply{status: http.StatusNotFound, outcome: outcomeClientError, reason: reasonNoRoute}
	}
	r.setDeadline()
	if bad := r.readBody(w); bad != nil {
		return *bad
	}
	defer r.g.buffered.Release(int64(len(r.body)))
	r.service = r.g.steering.part(r.arrived, r.route, r.object())
	r.header = upstream.EndToEndHeaders(r.http.Header)
	ctx, cancel := r.context()
	defer cancel()
	return r.steer(ctx)
}

// setDeadline takes the shorter of the client's time and the route's timeout.
func (r *request) setDeadline() {
	limit := r.head.TimeLeft
	if limit <= 0 || r.route.Timeout > 0 && r.route.Timeout < limit {
		limit = r.route.Timeout
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	r.deadline = r.arrived.Add(limit)
}

// context ends at the deadline. It also ends when the client leaves, unless the
// request must not be repeated: a server that is cut off in the middle of such
// a request leaves its effect open.
func (r *request) context() (context.Context, context.CancelFunc) {
	ctx := r.http.Context()
	if !r.route.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, r.deadline)
}

func (r *request) object() string {
	if !r.route.Sticky {
		return ""
	}
	return r.head.Object
}

func (r *request) clientLeft() bool { return r.http.Context().Err() != nil }

// readBody holds the whole body, so that it can be sent again.
func (r *request) readBody(w http.ResponseWriter) *reply {
	limit := r.doc.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = r.g.settings.MaxBufferedBytes
	}
	if r.http.ContentLength > limit {
		return &reply{status: http.StatusRequestEntityTooLarge, outcome: outcomeClientError, reason: reasonTooLarge}
	}
	if r.http.Body == nil || r.http.Body == http.NoBody {
		return nil
	}
	reader := r.g.buffered.NewReader(http.MaxBytesReader(w, r.http.Body, limit))
	body, err := io.ReadAll(reader)
	if err == nil {
		r.body = body
		return nil
	}
	r.g.buffered.Release(reader.Taken())
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &reply{status: http.StatusRequestEntityTooLarge, outcome: outcomeClientError, reason: reasonTooLarge}
	case errors.Is(err, bytebudget.ErrFull):
		return &reply{status: http.StatusServiceUnavailable, outcome: outcomeNotRun, reason: reasonMemory, retryAfter: startRetryAfter}
	default:
		return &reply{status: http.StatusBadRequest, outcome: outcomeClientError, reason: reasonClientBody, cause: err}
	}
}

// finish writes the final answer and records it.
func (g *Ingress) finish(w http.ResponseWriter, r *request, rep reply) {
	took := time.Since(r.arrived)
	g.metrics.outcomes.Add(rep.outcome, 1)
	g.metrics.observe(rep.outcome, took)
	if rep.reason != "" {
		g.metrics.refusals.Add(rep.reason, 1)
	}
	g.logEnd(r, rep, took)
	if g.leaving.Load() {
		// The stop may have begun after this request arrived. A client that
		// keeps the connection would meet its end.
		w.Header().Set("Connection", "close")
	}
	if rep.answer != nil {
		writeAnswer(w, rep.answer)
		return
	}
	if rep.retryAfter > 0 {
		g.protocol.WriteRetryAfter(w.Header(), r.boundRetryAfter(rep.retryAfter))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	body := rep.outcome + ": " + rep.reason + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(rep.status)
	_, _ = io.WriteString(w, body) // the client has gone
}

func (r *request) boundRetryAfter(after time.Duration) time.Duration {
	after = max(after, minRetryAfter)
	if !r.deadline.IsZero() {
		after = min(after, time.Until(r.deadline)/retryAfterPart)
	}
	return max(after, time.Millisecond)
}

func writeAnswer(w http.ResponseWriter, a *upstream.Response) {
	h := w.Header()
	for name, values := range upstream.EndToEndHeaders(a.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // the client has gone
}

func (g *Ingress) logEnd(r *request, rep reply, took time.Duration) {
	level := hclog.Info
	if rep.answer != nil && rep.answer.Status < http.StatusBadRequest {
		level = hclog.Debug
	}
	if !g.log.enabled(level) {
		return
	}
	args := []any{"request", r.head.ID, "outcome", rep.outcome, "took_ms", took.Milliseconds(), "sends", r.sends}
	if r.route != nil {
		args = append(args, "route", r.route.Name, "service", r.service, "document", r.doc.Version, "object", r.head.Object,
			"left_ms", time.Until(r.deadline).Milliseconds())
	}
	if r.sends > 0 {
		args = append(args, "server", r.last.Server.ID, "region", r.last.Server.Region, "in_flight", r.last.InFlight,
			"warm", r.last.Warm, "expected_ms", r.last.ExpectedLatency.Milliseconds(), "late", r.last.Late)
	}
	if rep.answer != nil {
		args = append(args, "status", rep.answer.Status)
	} else {
		args = append(args, "status", rep.status, "reason", rep.reason)
		if rep.retryAfter > 0 {
			args = append(args, "retry_after_ms", rep.retryAfter.Milliseconds())
		}
	}
	if rep.cause != nil {
		args = append(args, "error", rep.cause)
	}
	g.log.limited("end "+rep.outcome+" "+rep.reason, level, "request ended", args...)
}

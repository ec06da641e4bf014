package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/internal/bytebudget"
	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/httpserver"
	"github.com/dandelionrack/dandelionrack/pkg/placement"
	"github.com/dandelionrack/dandelionrack/pkg/upstream"
)

const (
	// clientRoundTrip is subtracted from the latency objective, which is
	// measured at the client: 8 ms one way in the known deployments, plus
	// opening a connection.
	clientRoundTrip = 20 * time.Millisecond
	// maxSends bounds how often one request is sent, including to servers that
	// reject it.
	maxSends = 4
	// defaultTimeout bounds requests for which neither the client nor the route
	// sets a timeout.
	defaultTimeout = 30 * time.Second
	// minRetryAfter spreads retries of clients. A server's slot becomes free
	// after about 70 ms at the earliest.
	minRetryAfter = 50 * time.Millisecond
	// startRetryAfter is sent while the instance is not ready or its body memory
	// is full. Reading the routing document takes a few calls of 4 ms.
	startRetryAfter = 200 * time.Millisecond
	// retryAfterDivisor limits Retry-After to a third of the remaining time:
	// clients do not wait longer.
	retryAfterDivisor = 3
)

// Reasons and outcomes of requests.
const (
	reasonNotReady     = "not_ready"
	reasonNoRoute      = "no_route"
	reasonUnknownKey   = "unknown_key"
	reasonNoRegion     = "no_allowed_region"
	reasonQuota        = "quota"
	reasonTooLarge     = "too_large"
	reasonMemory       = "memory"
	reasonClientBody   = "client_body"
	reasonRetryBudget  = "retry_budget"
	reasonAttempts     = "attempts"
	reasonTimeout      = "timeout"
	reasonStopping     = "stopping"
	reasonConnection   = "connection_lost"
	reasonClientLeft   = "client_left"
	outcomeAnswered    = "answered"
	outcomeNotRun      = "not_run"
	outcomeUnknown     = "unknown"
	outcomeClientLeft  = "client_left"
	outcomeClientError = "client_error"
)

// request is a client request that is being served.
type request struct {
	g       *Ingress
	head    fleet.RequestHead
	doc     *fleet.Document
	route   *fleet.Route
	service string
	// organisation is that of the client's key; nil if the route or the document needs
	// none.
	organisation *fleet.Organisation
	regions      []string // in which the request may run; empty means all

	http     *http.Request
	target   string
	header   http.Header
	body     []byte
	acquired int64 // from the body budget, for the body and for responses
	arrived  time.Time
	deadline time.Time

	sendCount    int // attempts that were sent to a server
	possibleRuns int // attempts that may have run
	tried        []string
	triedAddrs   []string
	last         placement.Choice
	// failedResponse is the last response of a server that reported a failure.
	// It is sent to the client if no other attempt succeeds.
	failedResponse *upstream.Response
}

// reply is the final response to the client.
type reply struct {
	response   *upstream.Response // from a backend server; if nil, the fields below apply
	status     int
	outcome    string
	reason     string
	cause      error
	retryAfter time.Duration
}

func (g *Ingress) handleRequest(w http.ResponseWriter, hr *http.Request) {
	g.metrics.requests.Add(1)
	r := &request{g: g, http: hr, head: g.protocol.ReadRequest(hr.Header), arrived: time.Now(), doc: g.document.Load()}
	r.head.Object = objectKey(r.head.Object)
	g.inFlight.add(r)
	defer func() {
		g.inFlight.remove(r)
		g.bodyBudget.Release(r.acquired)
	}()
	rep := r.serve(w)
	g.finish(w, r, rep)
}

// serve processes a request and returns its final reply.
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
	if bad := r.identify(); bad != nil {
		return *bad
	}
	r.setDeadline()
	if refused := r.checkQuota(); refused != nil {
		return *refused
	}
	if bad := r.readBody(w); bad != nil {
		return *bad
	}
	r.service = r.g.selector.chooseService(r.arrived, r.route, r.object())
	r.header = upstream.EndToEndHeaders(r.http.Header)
	if r.doc.HasOrganisations() {
		r.g.protocol.WriteIdentity(r.header, r.organisationName())
	}
	ctx, cancel := r.context()
	defer cancel()
	return r.forward(ctx)
}

// identify finds the organisation of the client and the regions in which the request may
// run.
func (r *request) identify() *reply {
	r.organisation = r.doc.OrganisationOf(r.head.Key)
	if r.organisation == nil && r.doc.HasOrganisations() && !r.route.Public {
		return &reply{status: http.StatusUnauthorized, outcome: outcomeClientError, reason: reasonUnknownKey}
	}
	regions, none := r.route.RegionsFor(r.organisation)
	if none {
		return &reply{status: http.StatusServiceUnavailable, outcome: outcomeNotRun, reason: reasonNoRegion, retryAfter: startRetryAfter}
	}
	r.regions = regions
	return nil
}

// organisationName returns the name of the client's organisation, or "".
func (r *request) organisationName() string {
	if r.organisation == nil {
		return ""
	}
	return r.organisation.Name
}

// setDeadline applies the shorter of the client's and the route's timeout.
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

// context returns a context that ends at the deadline, or when the process is about to
// end. For idempotent requests it also ends when the client disconnects; cancelling
// another request midway would leave unknown whether it took effect.
func (r *request) context() (context.Context, context.CancelFunc) {
	ctx := r.http.Context()
	if !r.route.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	stop := context.AfterFunc(r.g.abandoned, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// serverDeadline returns the deadline to pass on to a backend server.
func (r *request) serverDeadline() time.Time {
	if stop := r.g.stopping.Load(); stop != nil {
		return stop.serverDeadline(r.deadline)
	}
	return r.deadline
}

// endReason returns why the request's context has ended while its client is there.
func (r *request) endReason() string {
	if r.g.abandoned.Err() != nil {
		return reasonStopping
	}
	return reasonTimeout
}

// maxObjectName is the longest name of an object that is kept as it is.
const maxObjectName = 64

// objectKey returns the text under which an object is known here: its name, or a hash of
// a long one, since thousands of them are kept. The text shares no memory with name,
// which is a part of a header line.
func objectKey(name string) string {
	if len(name) <= maxObjectName {
		return strings.Clone(name)
	}
	return strconv.FormatUint(xxhash.Sum64String(name), 16)
}

// object returns the object of a sticky route, else "".
func (r *request) object() string {
	if !r.route.Sticky {
		return ""
	}
	return r.head.Object
}

func (r *request) clientLeft() bool { return r.http.Context().Err() != nil }

// clientLeftBeforeSend reports whether the client has left before anything was sent.
// Such a request is not sent even if it is non-idempotent, since it certainly has not
// run.
func (r *request) clientLeftBeforeSend() bool {
	return r.sendCount == 0 && (r.clientLeft() || httpserver.ClientClosed(r.http.Context()))
}

// readBody reads the whole body into memory, so that it can be sent again.
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
	stop := context.AfterFunc(r.g.abandoned, func() { httpserver.InterruptRead(r.http.Context()) })
	body, acquired, err := r.g.bodyBudget.ReadAll(http.MaxBytesReader(w, r.http.Body, limit), r.http.ContentLength)
	stop()
	if err == nil {
		r.body = body
		r.acquired += acquired
		return nil
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &reply{status: http.StatusRequestEntityTooLarge, outcome: outcomeClientError, reason: reasonTooLarge}
	case r.g.abandoned.Err() != nil:
		return &reply{status: http.StatusServiceUnavailable, outcome: outcomeNotRun, reason: reasonStopping, retryAfter: minRetryAfter}
	case errors.Is(err, bytebudget.ErrFull):
		return &reply{status: http.StatusServiceUnavailable, outcome: outcomeNotRun, reason: reasonMemory, retryAfter: startRetryAfter}
	default:
		return &reply{status: http.StatusBadRequest, outcome: outcomeClientError, reason: reasonClientBody, cause: err}
	}
}

// finish records the final reply and writes it to the client.
func (g *Ingress) finish(w http.ResponseWriter, r *request, rep reply) {
	took := time.Since(r.arrived)
	g.metrics.outcomes.Add(rep.outcome, 1)
	g.metrics.observeLatency(rep.outcome, took)
	if rep.reason != "" {
		g.metrics.refusals.Add(rep.reason, 1)
	}
	g.logRequest(r, rep, took)
	if g.leaving.Load() {
		// The stop may have begun after this request arrived. A client that
		// reuses the connection could find it closed.
		w.Header().Set("Connection", "close")
	}
	if rep.response != nil {
		writeResponse(w, rep.response)
		return
	}
	if rep.retryAfter > 0 {
		g.protocol.WriteRetryAfter(w.Header(), r.boundRetryAfter(rep.retryAfter))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	body := rep.outcome + ": " + rep.reason + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(rep.status)
	_, _ = io.WriteString(w, body) // fails only if the client has disconnected
}

// refuseHead answers a request whose head does not fit into the memory for heads.
func (g *Ingress) refuseHead(w http.ResponseWriter, _ *http.Request) {
	g.protocol.WriteRetryAfter(w.Header(), startRetryAfter)
	http.Error(w, outcomeNotRun+": "+reasonMemory, http.StatusServiceUnavailable)
}

// boundRetryAfter limits Retry-After to a part of the time until the deadline.
func (r *request) boundRetryAfter(after time.Duration) time.Duration {
	after = max(after, minRetryAfter)
	if !r.deadline.IsZero() {
		after = min(after, time.Until(r.deadline)/retryAfterDivisor)
	}
	return max(after, time.Millisecond)
}

func writeResponse(w http.ResponseWriter, a *upstream.Response) {
	h := w.Header()
	for name, values := range upstream.EndToEndHeaders(a.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // prevents net/http from detecting one
	}
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // fails only if the client has disconnected
}

func (g *Ingress) logRequest(r *request, rep reply, took time.Duration) {
	// A success is logged at a higher level if the client cannot receive it, or if
	// the instance is stopping.
	stop := g.stopping.Load()
	level := hclog.Info
	if rep.response != nil && rep.response.Status < http.StatusBadRequest && !r.clientLeft() && stop == nil {
		level = hclog.Debug
	}
	if !g.log.enabled(level) {
		return
	}
	args := []any{"request", r.head.ID, "outcome", rep.outcome, "took_ms", took.Milliseconds(), "sends", r.sendCount}
	if r.route != nil {
		args = append(args, "route", r.route.Name, "service", r.service, "document", r.doc.Version, "object", r.head.Object,
			"left_ms", time.Until(r.deadline).Milliseconds())
	}
	if r.organisation != nil {
		args = append(args, "organisation", r.organisation.Name)
	}
	if r.sendCount > 0 {
		args = append(args, "server", r.last.Server.ID, "region", r.last.Server.Region, "in_flight", r.last.Load,
			"warm", r.last.Warm, "expected_ms", r.last.ExpectedLatency.Milliseconds(), "late", r.last.Late)
	}
	if rep.response != nil {
		args = append(args, "status", rep.response.Status)
	} else {
		args = append(args, "status", rep.status, "reason", rep.reason)
		if rep.retryAfter > 0 {
			args = append(args, "retry_after_ms", rep.retryAfter.Milliseconds())
		}
	}
	if rep.cause != nil {
		args = append(args, "error", rep.cause)
	}
	kind := "end " + rep.outcome + " " + rep.reason
	if r.clientLeft() {
		args = append(args, "client_left", true)
		kind += " client left"
	}
	if stop != nil {
		args = append(args, "arrived_after_stop_ms", r.arrived.Sub(stop.began).Milliseconds())
	}
	g.log.writeLimited(kind, level, "request ended", args...)
}

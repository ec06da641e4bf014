package entry

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/rest"

	"github.com/dandelionrack/dandelionrack/internal/bytebudget"
	"github.com/dandelionrack/dandelionrack/pkg/claim"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/lookup"
	"github.com/dandelionrack/dandelionrack/pkg/shift"
	"github.com/dandelionrack/dandelionrack/pkg/trace"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

const (
	callPrefix = "/v1/call/"
	lookupPath = "/v1/lookup"
)

// LookupResponse is the body of GET /v1/lookup.
type LookupResponse struct {
	Service       string        `json:"service"`
	ConfigVersion uint64        `json:"config_version"`
	TTLMS         int64         `json:"ttl_ms"`
	Entries       []LookupEntry `json:"entries"` // best first
}

// LookupEntry is an entry instance that a caller may use.
type LookupEntry struct {
	ID            string `json:"id"`
	Addr          string `json:"addr"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
}

// KeyResponse is the body of POST /v1/keys.
type KeyResponse struct {
	Service string    `json:"service"`
	Key     string    `json:"key"`
	Entry   string    `json:"entry"`
	Expires time.Time `json:"expires"`
}

func (e *Entry) callerRoutes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: lookupPath, Handler: e.handleLookup},
		{Method: http.MethodPost, Path: "/v1/keys", Handler: e.handleKeys},
		{Method: http.MethodGet, Path: "/v1/ready", Handler: e.handleReady},
	}
}

// handleReady reports to callers and test programs whether this entry instance is
// ready to serve.
func (e *Entry) handleReady(w http.ResponseWriter, _ *http.Request) {
	state := e.state()
	if state != wire.EntryState_ENTRY_STATE_READY {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, strings.ToLower(strings.TrimPrefix(state.String(), "ENTRY_STATE_"))+"\n")
}

func (e *Entry) handleLookup(w http.ResponseWriter, r *http.Request) {
	e.metrics.lookups.Add(1)
	v, svc, refused := e.requestedService(r)
	if refused != nil {
		e.writeRefusal(w, "", *refused)
		return
	}
	addr, err := e.clientAddr(r)
	if err != nil {
		e.writeRefusal(w, "", notRun(ReasonBadRequest, "client address: %v", err))
		return
	}
	writeJSON(w, http.StatusOK, LookupResponse{
		Service:       svc.Name,
		ConfigVersion: v.doc.Version,
		TTLMS:         e.settings.LookupTTL.Std().Milliseconds(),
		Entries:       e.rankEntries(v, addr),
	})
}

// requestedService returns the service of the caller's contract that the query
// parameter "service" names.
func (e *Entry) requestedService(r *http.Request) (*configView, *config.Service, *reply) {
	v := e.currentView()
	if v == nil {
		return nil, nil, newRefusal(ReasonNotReady, "no configuration known yet")
	}
	if v.blocks.Load() == nil {
		return nil, nil, newRefusal(ReasonNotReady, "the client blocks are not complete yet")
	}
	contract, ok := v.contractOf(bearerToken(r))
	if !ok {
		return nil, nil, newRefusal(ReasonUnauthorized, "bearer token belongs to no contract")
	}
	name := r.URL.Query().Get("service")
	svc, ok := contract.FindService(name)
	if !ok {
		return nil, nil, newRefusal(ReasonUnknownService, "service %q is not in the contract", name)
	}
	return v, svc, nil
}

func (e *Entry) rankEntries(v *configView, addr netip.Addr) []LookupEntry {
	from, ok := v.locate(addr)
	if !ok {
		from = e.settings.FailureDomain
	}
	ranked := e.rankings.get(v, from, func() *lookup.Ranking {
		return lookup.NewRanking(&v.doc.Deployment, from, e.entryState, e.settings.ID)
	}).Top(addr, maxLookupEntries)
	out := make([]LookupEntry, 0, len(ranked))
	for _, in := range ranked {
		out = append(out, LookupEntry{
			ID:            in.ID,
			Addr:          in.CallerAddr,
			FailureDomain: in.FailureDomain,
			Region:        v.regionByDomain[in.FailureDomain],
		})
	}
	return out
}

// clientAddr returns the address that determines the caller's home region. The query
// parameter "client" is read for lookups only, because the query of a call belongs
// to the backend server.
func (e *Entry) clientAddr(r *http.Request) (netip.Addr, error) {
	if e.settings.AllowClientAddress {
		if named := r.URL.Query().Get("client"); named != "" && r.URL.Path == lookupPath {
			return netip.ParseAddr(named)
		}
		if named := r.Header.Get("Client-Address"); named != "" {
			return netip.ParseAddr(named)
		}
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}, err
	}
	return netip.ParseAddr(host)
}

func (e *Entry) handleKeys(w http.ResponseWriter, r *http.Request) {
	if e.state() != wire.EntryState_ENTRY_STATE_READY {
		e.writeRefusal(w, "", notRun(ReasonNotReady, "this entry instance issues no keys now"))
		return
	}
	_, svc, refused := e.requestedService(r)
	if refused != nil {
		e.writeRefusal(w, "", *refused)
		return
	}
	now := time.Now()
	writeJSON(w, http.StatusOK, KeyResponse{
		Service: svc.Name,
		Key:     e.claims.NewKey(),
		Entry:   e.settings.ID,
		Expires: now.Add(claim.MaxKeyAge),
	})
}

// handleCall serves /v1/call/{service}/{path}.
func (e *Entry) handleCall(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, callPrefix) {
		http.NotFound(w, r)
		return
	}
	e.metrics.requests.Add(1)
	id := newRequestID()
	req, refused := e.readRequest(r, id)
	if refused != nil {
		e.log.Debug("request refused", "request", id, "reason", refused.reason, "detail", refused.message)
		e.writeRefusal(w, id, *refused)
		return
	}
	defer req.memory.end()
	e.inFlight.Add(1)
	defer e.inFlight.Done()

	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	rep := e.serve(ctx, req)
	e.recordEnd(req, rep)
	e.writeReply(w, req, rep)
}

// newRequestID returns a UUID version 7. The archive finds the spans of a request by
// the time that the id contains.
func newRequestID() string {
	return uuid.Must(uuid.NewV7()).String()
}

// readRequest reads a caller's request and checks it against the contract. If it
// returns a refusal, nothing has been sent to a peer or a backend server.
func (e *Entry) readRequest(r *http.Request, id string) (*request, *reply) {
	v := e.currentView()
	if v == nil {
		return nil, newRefusal(ReasonNotReady, "no configuration known yet")
	}
	if !e.leaving.Load() && !e.canServe() {
		return nil, newRefusal(ReasonNotReady, "this entry instance has no seat yet, has not heard from its peers, or lacks client blocks")
	}
	contract, ok := v.contractOf(bearerToken(r))
	if !ok {
		return nil, newRefusal(ReasonUnauthorized, "bearer token belongs to no contract")
	}
	name, path := splitCallPath(r.URL.EscapedPath())
	svc, ok := contract.FindService(name)
	if !ok {
		return nil, newRefusal(ReasonUnknownService, "service %q is not in the contract", name)
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	now := time.Now()
	timeout, refused := requestTimeout(r, svc)
	timeout -= responseMargin(timeout)
	if refused != nil {
		return nil, refused
	}
	key, refused := requestKey(r, svc, now)
	if refused != nil {
		return nil, refused
	}
	addr, err := e.clientAddr(r)
	if err != nil {
		return nil, newRefusal(ReasonBadRequest, "client address: %v", err)
	}
	if !e.allowRate(shift.Key{Customer: contract.Customer, Service: svc.Name}, now) {
		return nil, newRefusal(ReasonRateLimit, "the contract's rate for this service is used up at this entry instance")
	}
	body, acquired, refused := e.readBody(r)
	if refused != nil {
		return nil, refused
	}
	return &request{
		id:         id,
		view:       v,
		contract:   contract,
		service:    svc,
		homeRegion: v.homeRegion(addr, v.region),
		method:     r.Method,
		path:       path,
		header:     endToEndHeaders(r.Header),
		body:       body,
		memory:     requestMemory{budget: e.buffers, held: acquired},
		deadline:   now.Add(timeout),
		received:   now,
		key:        key,
	}, nil
}

// readBody reads the whole body into memory, within the limit for one request and
// the limit for this instance. The listener ends the read if the body stalls.
func (e *Entry) readBody(r *http.Request) (body []byte, acquired int64, refused *reply) {
	limit := e.settings.MaxRequestBytes
	if r.ContentLength > limit {
		return nil, 0, newRefusal(ReasonTooLarge, "body is larger than %d bytes", limit)
	}
	body, acquired, err := e.buffers.ReadAll(io.LimitReader(r.Body, limit+1), r.ContentLength)
	if err == nil && int64(len(body)) <= limit {
		return body, acquired, nil
	}
	e.buffers.Release(acquired)
	switch {
	case err == nil:
		return nil, 0, newRefusal(ReasonTooLarge, "body is larger than %d bytes", limit)
	case errors.Is(err, bytebudget.ErrFull):
		return nil, 0, newRefusal(ReasonOverload, "bodies in flight use up this entry instance's memory limit")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, 0, newRefusal(ReasonDeadline, "body was not received in time")
	default:
		return nil, 0, newRefusal(ReasonBadRequest, "body could not be read whole: %v", err)
	}
}

func newRefusal(reason Reason, format string, args ...any) *reply {
	r := notRun(reason, format, args...)
	return &r
}

// splitCallPath splits "/v1/call/{service}/{path}" into service and "/path".
func splitCallPath(escaped string) (service, path string) {
	rest := strings.TrimPrefix(escaped, callPrefix)
	service, path, _ = strings.Cut(rest, "/")
	return service, "/" + path
}

func bearerToken(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return token
}

// requestTimeout returns the caller's timeout, limited by the contract.
func requestTimeout(r *http.Request, svc *config.Service) (time.Duration, *reply) {
	text := r.Header.Get(HeaderRequestTimeout)
	if text == "" {
		return svc.Timeout.Std(), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 {
		return 0, newRefusal(ReasonBadRequest, "%s must be a positive number of milliseconds, got %q", HeaderRequestTimeout, text)
	}
	if ms >= svc.Timeout.Std().Milliseconds() {
		return svc.Timeout.Std(), nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// responseMargin returns the part of the timeout that is reserved for sending the
// response to the caller. A refusal that is sent at the caller's own deadline
// arrives too late, and the caller would not learn that the request was not run.
func responseMargin(timeout time.Duration) time.Duration {
	const share, longest = 20, 50 * time.Millisecond
	return min(timeout/share, longest)
}

// requestKey parses and checks the idempotency key, which is required for a service
// that is not idempotent.
func requestKey(r *http.Request, svc *config.Service, now time.Time) (claim.Key, *reply) {
	if svc.Idempotent {
		return claim.Key{}, nil
	}
	raw := r.Header.Get(HeaderIdempotencyKey)
	if raw == "" {
		return claim.Key{}, newRefusal(ReasonKeyMissing, "service %s runs at most once and needs an %s header", svc.Name, HeaderIdempotencyKey)
	}
	key, err := claim.ParseKey(raw)
	if err != nil {
		return claim.Key{}, newRefusal(ReasonKeyInvalid, "%s: %v", HeaderIdempotencyKey, err)
	}
	if err := key.CheckAge(now); err != nil {
		return claim.Key{}, newRefusal(ReasonKeyExpired, "%s: %v", HeaderIdempotencyKey, err)
	}
	return key, nil
}

// recordEnd updates the metrics at the end of a request, and traces and logs it.
func (e *Entry) recordEnd(req *request, rep reply) {
	took := time.Since(req.received)
	good := rep.complete() && rep.status < http.StatusInternalServerError
	if limit := req.service.Objective.Latency.Std(); limit > 0 && took > limit {
		good = false
	}
	e.burn.Record(time.Now(), req.contract.Customer, req.service.Name, good)
	e.metrics.countOutcome(rep.outcome)
	e.recordSpan(req, trace.Span{
		Kind:          "end",
		BackendServer: rep.server,
		Peer:          rep.entry,
		Reason:        string(rep.reason),
		Outcome:       outcomeName(rep.outcome),
		DurationUS:    took.Microseconds(),
	})
	e.log.Debug("request ended", "request", req.id, "customer", req.contract.Customer,
		"service", req.service.Name, "contract_version", req.contract.Version,
		"config_version", req.view.doc.Version, "outcome", outcomeName(rep.outcome),
		"reason", rep.reason, "backend_server", rep.server, "took", took)
}

func (e *Entry) writeReply(w http.ResponseWriter, req *request, rep reply) {
	if !rep.complete() {
		e.writeRefusal(w, req.id, rep)
		return
	}
	h := w.Header()
	for name, values := range endToEndHeaders(rep.header) {
		h[name] = values
	}
	h.Set(HeaderConfigVersion, strconv.FormatUint(req.view.doc.Version, 10))
	h.Set(HeaderRequestID, req.id)
	h.Set(HeaderOutcome, outcomeName(rep.outcome))
	h.Set(HeaderEntry, e.settings.ID)
	if rep.server != "" {
		h.Set(HeaderBackendServer, rep.server)
	}
	if length := contentLength(req.method, rep); length != "" {
		h.Set("Content-Length", length)
	}
	w.WriteHeader(rep.status)
	_, _ = w.Write(rep.body)
}

// contentLength returns the value of the Content-Length header, or "" for none. A
// response without a body keeps the value that the backend server sent.
func contentLength(method string, rep reply) string {
	switch {
	case rep.status == http.StatusNoContent:
		return ""
	case method == http.MethodHead, rep.status == http.StatusNotModified:
		return rep.header.Get("Content-Length")
	default:
		return strconv.Itoa(len(rep.body))
	}
}

func (e *Entry) writeRefusal(w http.ResponseWriter, id string, rep reply) {
	e.metrics.countRefusal(rep.reason)
	status, body := rep.refusal(id)
	if version := e.configVersion(); version > 0 {
		w.Header().Set(HeaderConfigVersion, strconv.FormatUint(version, 10))
	}
	if status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	w.Header().Set(HeaderOutcome, body.Outcome)
	w.Header().Set(HeaderEntry, e.settings.ID)
	if id != "" {
		w.Header().Set(HeaderRequestID, id)
	}
	writeJSON(w, status, body)
}

// refuseHead answers a request whose head does not fit into the memory for heads. The
// response is also sent before a request has been read, so it depends on nothing.
func (e *Entry) refuseHead(w http.ResponseWriter, _ *http.Request) {
	status, body := notRun(ReasonOverload, "heads of requests take up the memory for them").refusal("")
	w.Header().Set(HeaderOutcome, body.Outcome)
	w.Header().Set(HeaderEntry, e.settings.ID)
	writeJSON(w, status, body)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

package backend

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/standin/restserver"
)

// Request headers that override the service time and the response size.
const (
	ServiceTimeHeader = "Standin-Service-Time" // such as "120ms"
	BodySizeHeader    = "Standin-Body-Size"    // bytes of the response
)

const (
	maxRequestBytes  = 8 << 20
	maxResponseBytes = 64 << 20
)

// Response is the JSON body of a response. It identifies its request, so that a
// caller can verify that the response belongs to its own request.
type Response struct {
	Server         string `json:"server"`
	Run            int64  `json:"run"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	Path           string `json:"path"`
	BodySHA256     string `json:"body_sha256"`
	Pad            string `json:"pad"`
}

// runParams are the parameters of a run.
type runParams struct {
	serviceTime time.Duration
	timeout     time.Duration // 0: no timeout
	bodySize    int
	bodySHA256  string
}

func (s *server) handleRun(w http.ResponseWriter, r *http.Request) {
	p, err := s.parseRequest(w, r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	now := time.Now()
	if !s.acquire(now) {
		w.Header().Set("Not-Run", "true")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	mode := s.currentMode()
	id := s.ledger.begin(Run{
		Server: s.settings.ID, Method: r.Method, Path: r.URL.RequestURI(), Start: now, Draining: mode.Draining,
		RequestID: r.Header.Get("Dandelionrack-Request-Id"), IdempotencyKey: r.Header.Get("Idempotency-Key"),
	})
	cause := simulateRun(r.Context(), p, mode.IgnoreCancel)
	s.ledger.end(id, time.Now(), cause)
	s.release()
	if cause != "" {
		http.Error(w, cause, http.StatusGatewayTimeout)
		return
	}
	s.writeResponse(w, r, p, id)
}

// parseRequest reads the whole body, because net/http detects that the client
// has disconnected only after the body was read.
func (s *server) parseRequest(w http.ResponseWriter, r *http.Request) (runParams, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return runParams{}, err
	}
	sum := sha256.Sum256(body)
	p := runParams{serviceTime: s.serviceTime(time.Now()), bodySize: s.work.BodySize, bodySHA256: hex.EncodeToString(sum[:])}
	if v := r.Header.Get(ServiceTimeHeader); v != "" {
		if p.serviceTime, err = time.ParseDuration(v); err != nil {
			return runParams{}, err
		}
	}
	if v := r.Header.Get(BodySizeHeader); v != "" {
		if p.bodySize, err = strconv.Atoi(v); err != nil {
			return runParams{}, err
		}
	}
	if v := r.Header.Get("Request-Timeout-Ms"); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return runParams{}, err
		}
		p.timeout = time.Duration(ms) * time.Millisecond
	}
	return p, nil
}

// simulateRun waits for the service time. It returns why the run was not
// completed, or "" if it was.
func simulateRun(ctx context.Context, p runParams, ignoreCancel bool) string {
	timer := time.NewTimer(p.serviceTime)
	defer timer.Stop()
	var deadline <-chan time.Time
	if p.timeout > 0 {
		t := time.NewTimer(p.timeout)
		defer t.Stop()
		deadline = t.C
	}
	cancelled := ctx.Done()
	if ignoreCancel {
		cancelled = nil
	}
	select {
	case <-timer.C:
		return ""
	case <-deadline:
		return "deadline"
	case <-cancelled:
		return "cancelled"
	}
}

func (s *server) writeResponse(w http.ResponseWriter, r *http.Request, p runParams, id int64) {
	time.Sleep(s.currentMode().ResponseDelay.Std())
	body := s.responseBody(r, p, id)
	fault := s.nextFault()
	if fault == faultClose {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if fault == faultTruncate {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if fault == faultStatus {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = w.Write(body)
}

// responseBody encodes the response, padded up to the requested size.
func (s *server) responseBody(r *http.Request, p runParams, id int64) []byte {
	a := Response{
		Server: s.settings.ID, Run: id, Path: r.URL.RequestURI(), BodySHA256: p.bodySHA256,
		RequestID: r.Header.Get("Dandelionrack-Request-Id"), IdempotencyKey: r.Header.Get("Idempotency-Key"),
	}
	body, _ := json.Marshal(a) // strings and numbers always marshal
	if missing := min(p.bodySize, maxResponseBytes) - len(body); missing > 0 {
		a.Pad = string(bytes.Repeat([]byte{'x'}, missing))
		body, _ = json.Marshal(a)
	}
	return body
}

func (s *server) handleHealth(w http.ResponseWriter, r *http.Request) {
	mode := s.currentMode()
	switch {
	case mode.Health == HealthMissing:
		http.NotFound(w, r)
	case mode.Health == HealthHang:
		<-r.Context().Done()
	case mode.Draining && mode.Health == HealthAccurate:
		restserver.WriteJSON(w, http.StatusOK, healthReport{State: "draining"})
	default:
		restserver.WriteJSON(w, http.StatusOK, healthReport{State: "ok"})
	}
}

type healthReport struct {
	State string `json:"state"`
}

type loadReport struct {
	InFlight    int   `json:"in_flight"`
	Slots       int   `json:"slots"`
	Connections int64 `json:"connections"`
}

func (s *server) handleLoad(w http.ResponseWriter, r *http.Request) {
	stats := s.snapshot()
	report := loadReport{InFlight: stats.InFlight, Slots: stats.Slots, Connections: stats.OpenConnections}
	switch s.currentMode().Load {
	case LoadMissing:
		http.NotFound(w, r)
		return
	case LoadHang:
		<-r.Context().Done()
		return
	case LoadStuck:
		s.mu.Lock()
		report.InFlight = s.stuckLoad
		s.mu.Unlock()
	case LoadIdle:
		report.InFlight = 0
	}
	restserver.WriteJSON(w, http.StatusOK, report)
}

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

// Headers that a test may set on a request.
const (
	ServiceTimeHeader = "Standin-Service-Time" // such as "120ms"
	BodySizeHeader    = "Standin-Body-Size"    // bytes of the answer
)

const (
	maxRequestBytes = 8 << 20
	maxAnswerBytes  = 64 << 20
)

// Response is the JSON body of an answer. It names its request, so that a
// caller can check that it got the answer to its own request.
type Response struct {
	Server         string `json:"server"`
	Run            int64  `json:"run"`
	RequestID      string `json:"request_id"`
	IdempotencyKey string `json:"idempotency_key"`
	Path           string `json:"path"`
	BodySHA256     string `json:"body_sha256"`
	Pad            string `json:"pad"`
}

// plan is what a request asks of its run.
type plan struct {
	time     time.Duration
	timeout  time.Duration // 0: none
	bodySize int
	sum      string
}

func (s *server) handleRun(w http.ResponseWriter, r *http.Request) {
	p, err := s.plan(w, r)
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
	cause := work(r.Context(), p, mode.IgnoreCancel)
	s.ledger.end(id, time.Now(), cause)
	s.release()
	if cause != "" {
		http.Error(w, cause, http.StatusGatewayTimeout)
		return
	}
	s.answer(w, r, p, id)
}

// plan reads the request whole. net/http notices a client that goes away only
// after the body was read.
func (s *server) plan(w http.ResponseWriter, r *http.Request) (plan, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return plan{}, err
	}
	sum := sha256.Sum256(body)
	p := plan{time: s.serviceTime(time.Now()), bodySize: s.work.BodySize, sum: hex.EncodeToString(sum[:])}
	if v := r.Header.Get(ServiceTimeHeader); v != "" {
		if p.time, err = time.ParseDuration(v); err != nil {
			return plan{}, err
		}
	}
	if v := r.Header.Get(BodySizeHeader); v != "" {
		if p.bodySize, err = strconv.Atoi(v); err != nil {
			return plan{}, err
		}
	}
	if v := r.Header.Get("Request-Timeout-Ms"); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return plan{}, err
		}
		p.timeout = time.Duration(ms) * time.Millisecond
	}
	return p, nil
}

// work takes the time of a run and returns why it was not completed.
func work(ctx context.Context, p plan, ignoreCancel bool) string {
	timer := time.NewTimer(p.time)
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

func (s *server) answer(w http.ResponseWriter, r *http.Request, p plan, id int64) {
	time.Sleep(s.currentMode().ResponseDelay.Std())
	body := s.answerBody(r, p, id)
	fault := s.takeFault()
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

// answerBody pads the answer to the wanted size, if that is larger than its
// fixed part.
func (s *server) answerBody(r *http.Request, p plan, id int64) []byte {
	a := Response{
		Server: s.settings.ID, Run: id, Path: r.URL.RequestURI(), BodySHA256: p.sum,
		RequestID: r.Header.Get("Dandelionrack-Request-Id"), IdempotencyKey: r.Header.Get("Idempotency-Key"),
	}
	body, _ := json.Marshal(a) // strings and numbers always encode
	if missing := min(p.bodySize, maxAnswerBytes) - len(body); missing > 0 {
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

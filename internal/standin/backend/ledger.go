package backend

import (
	"sync"
	"time"
)

// Run is one execution of a request.
type Run struct {
	ID             int64     `json:"id"`
	Server         string    `json:"server"`
	RequestID      string    `json:"request_id,omitempty"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	Start          time.Time `json:"start"`
	End            time.Time `json:"end"` // zero while the run is in progress
	Completed      bool      `json:"completed"`
	// Cause is why a run was not completed: "cancelled" or "deadline".
	Cause string `json:"cause,omitempty"`
	// Draining is true when the run started while the server was draining.
	Draining bool `json:"draining,omitempty"`
}

// ledger records the runs of all servers of the process.
type ledger struct {
	mu   sync.Mutex
	runs []Run
}

func (l *ledger) begin(r Run) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ID = int64(len(l.runs)) + 1
	l.runs = append(l.runs, r)
	return r.ID
}

func (l *ledger) end(id int64, at time.Time, cause string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.runs[id-1]
	r.End = at
	r.Completed = cause == ""
	r.Cause = cause
}

// find returns the runs that match every non-empty filter.
func (l *ledger) find(server, key, request string) []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []Run{}
	for _, r := range l.runs {
		matches := (server == "" || r.Server == server) &&
			(key == "" || r.IdempotencyKey == key) &&
			(request == "" || r.RequestID == request)
		if matches {
			out = append(out, r)
		}
	}
	return out
}

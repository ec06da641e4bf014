package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/backend"
	"github.com/dandelionrack/dandelionrack/pkg/trace"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

type admitOptions struct {
	attempt uint32
	maxWait time.Duration // for a slot; with 0 the request is not queued
	exclude []string
	// admitted is called when the request has a slot, before it is sent.
	admitted func(server string)
}

// admitAndCall takes one of this entry instance's slots and sends the request to the
// backend server that the slot belongs to.
func (e *Entry) admitAndCall(ctx context.Context, req *request, o admitOptions) reply {
	started := time.Now()
	s, reason := e.gate.acquire(ctx, slotRequest{
		service:  req.service.Name,
		priority: req.service.Priority,
		deadline: req.deadline,
		exclude:  o.exclude,
		maxWait:  o.maxWait,
	})
	waited := time.Since(started)
	if s == nil {
		return notRun(reason, "no slot at entry instance %s", e.settings.ID)
	}
	if o.admitted != nil {
		o.admitted(s.server)
	}
	return e.callBackend(ctx, req, s, o.attempt, waited)
}

// callBackend sends the request to the backend server of the slot. It frees the
// slot after the call, or holds it until the request's deadline if the server may
// still be processing the request.
func (e *Entry) callBackend(ctx context.Context, req *request, s *slot, attempt uint32, waited time.Duration) reply {
	server, ok := req.view.servers[s.server]
	if !ok {
		// The slot may belong to a newer configuration than the request.
		if server, ok = e.currentView().servers[s.server]; !ok {
			s.release(time.Time{})
			return notRun(ReasonNoBackendServer, "backend server %s was removed", s.server)
		}
	}
	left := req.timeLeft(time.Now())
	if left <= 0 {
		s.release(time.Time{})
		return notRun(ReasonDeadline, "deadline passed before the backend server was called")
	}
	header := req.header.Clone()
	header.Set(HeaderRequestID, req.id)
	if req.key.Raw != "" {
		header.Set(HeaderIdempotencyKey, req.key.Raw)
	}
	started := time.Now()
	resp, err := e.backends.Do(ctx, backend.Call{
		Server:           server.ID,
		Addr:             e.settings.dialAddr(server.Addr),
		MaxConnections:   e.connectionShare(req.view, server),
		Method:           req.method,
		Path:             req.path,
		Header:           header,
		Body:             req.body,
		Timeout:          left,
		AtMostOnce:       !req.service.Idempotent,
		MaxResponseBytes: e.settings.MaxResponseBytes,
		Budget:           e.buffers,
	})
	if err == nil {
		req.memory.add(resp.Acquired)
	}
	rep := e.backendResult(server.ID, resp, err)
	if rep.outcome == wire.Outcome_OUTCOME_UNKNOWN {
		s.release(req.deadline)
	} else {
		s.release(time.Time{})
	}
	if waited > time.Millisecond {
		e.recordSpan(req, trace.Span{Kind: "queue", Attempt: int(attempt), BackendServer: server.ID, DurationUS: waited.Microseconds()})
	}
	e.recordSpan(req, trace.Span{
		Kind:          "backend",
		Attempt:       int(attempt),
		BackendServer: server.ID,
		Reason:        string(rep.reason),
		Outcome:       outcomeName(rep.outcome),
		DurationUS:    time.Since(started).Microseconds(),
	})
	return rep
}

func (e *Entry) backendResult(server string, resp *backend.Response, err error) reply {
	if err == nil {
		return reply{
			outcome: wire.Outcome_OUTCOME_ANSWERED,
			status:  resp.Status,
			header:  resp.Header,
			body:    resp.Body,
			server:  server,
			entry:   e.settings.ID,
		}
	}
	var rep reply
	if refused := (*backend.NotRunError)(nil); errors.As(err, &refused) {
		e.metrics.backendNotRun.Add(1)
		if refused.Unreachable {
			e.setReachable(server, false)
		}
		rep = notRun(ReasonOverload, "backend server %s did not run the request: %v", server, err)
	} else {
		e.metrics.backendUnknown.Add(1)
		rep = unknownOutcome(ReasonConnectionLost, "backend server %s gave no whole answer: %v", server, err)
	}
	rep.server = server
	rep.entry = e.settings.ID
	return rep
}

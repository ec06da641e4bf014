package entry

import (
	"context"
	"slices"
	"sync"
	"time"
)

// attemptTarget is where an attempt was sent.
type attemptTarget struct {
	entry  string
	server string // set once the request has a slot of this entry instance
}

// tryHedged makes one attempt and, if it takes longer than the service's hedge
// delay, a second one in parallel. The second one is only sent to a free slot,
// within the shift cap and the retry budget.
//
// The slower attempt is not canceled: its slot becomes free as soon as the backend
// server responds, but after a cancellation it would stay held until the deadline.
func (d *dispatcher) tryHedged(ctx context.Context) reply {
	d.attempt++
	after := d.req.service.HedgeAfter.Std()
	if after <= 0 || !d.req.service.Idempotent || d.attempt > 1 {
		return d.try(ctx)
	}
	race := d.e.newRace(ctx, d.req.deadline)
	defer race.finish()
	race.start(d.try)
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case rep := <-race.results:
		return rep
	case <-ctx.Done():
		return race.abandon(1)
	case <-timer.C:
	}
	attempts := 1
	if hedge := d.newHedge(); hedge != nil {
		attempts++
		race.start(hedge.tryFree)
	}
	rep := d.firstResponse(ctx, race, attempts)
	if !rep.answered() {
		d.attempt += uint32(attempts) - 1
	}
	return rep
}

// newHedge prepares a second attempt at another server or entry instance. It
// returns nil if the first attempt is still queued here, if there is no other
// candidate, or if the retry budget is used up.
func (d *dispatcher) newHedge() *dispatcher {
	target := d.target.Load()
	if target == nil {
		return nil
	}
	h := &dispatcher{e: d.e, req: d.req, attempt: d.attempt + 1}
	h.excludeServers = slices.Clone(d.excludeServers)
	h.excludeEntries = slices.Clone(d.excludeEntries)
	switch {
	case target.server != "":
		h.excludeServers = append(h.excludeServers, target.server)
	case target.entry == d.e.settings.ID:
		return nil // still queued here, where a second attempt would only add load
	default:
		h.excludeEntries = append(h.excludeEntries, target.entry)
	}
	if home, remote, _ := h.plan(); len(home)+len(remote) == 0 || !d.e.allowRetry(d.req) {
		return nil
	}
	d.e.metrics.hedges.Add(1)
	return h
}

// firstResponse returns the first reply with a response, or a failure. The failure
// of an attempt that may have run takes precedence over a refusal.
func (d *dispatcher) firstResponse(ctx context.Context, race *race, attempts int) reply {
	var last reply
	for pending := attempts; pending > 0; pending-- {
		select {
		case rep := <-race.results:
			if rep.answered() {
				return rep
			}
			last = mergeFailures(last, rep)
		case <-ctx.Done():
			return mergeFailures(last, race.abandon(pending))
		}
	}
	return last
}

// resultGrace is how long the results of attempts are waited for after the
// deadline. Attempts end at the same deadline, and their results say more than a
// timeout here.
const resultGrace = 20 * time.Millisecond

// abandon cancels the attempts when the caller's deadline has passed. The request
// counts as not run only if every pending attempt reports that.
func (r *race) abandon(pending int) reply {
	r.cancel()
	timeout := time.After(resultGrace)
	var last reply
	for range pending {
		select {
		case rep := <-r.results:
			if rep.answered() {
				return rep
			}
			last = mergeFailures(last, rep)
		case <-timeout:
			return unknownOutcome(ReasonConnectionLost, "no answer before the deadline")
		}
	}
	return last
}

// race runs attempts in parallel. They may outlive the call of dispatch, up to the
// deadline of the request.
type race struct {
	e       *Entry
	ctx     context.Context
	cancel  context.CancelFunc
	results chan reply
	running sync.WaitGroup
}

// maxRaceAttempts is the largest number of attempts of one race.
const maxRaceAttempts = 2

func (e *Entry) newRace(ctx context.Context, deadline time.Time) *race {
	r := &race{e: e, results: make(chan reply, maxRaceAttempts)}
	r.ctx, r.cancel = context.WithDeadline(context.WithoutCancel(ctx), deadline)
	return r
}

func (r *race) start(attempt func(context.Context) reply) {
	r.e.inFlight.Add(1)
	r.running.Add(1)
	go func() {
		defer r.e.inFlight.Done()
		defer r.running.Done()
		r.results <- attempt(r.ctx)
	}()
}

// finish cancels the context when the last attempt has ended. It does not wait.
func (r *race) finish() {
	go func() {
		r.running.Wait()
		r.cancel()
	}()
}

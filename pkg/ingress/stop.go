package ingress

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// leaveWaitTTLs is how long a stopping instance keeps accepting clients that
	// hold an earlier lookup response, in lookup TTLs: some clients cache a
	// response for three times its TTL.
	leaveWaitTTLs = 3
	// leaveMargin is added for the lookup itself.
	leaveMargin = 200 * time.Millisecond
	// killMargin is the time before SIGKILL at which requests in flight get their
	// final reply.
	killMargin = 300 * time.Millisecond
	// exitMargin is the time before SIGKILL at which the remaining connections are
	// closed. The difference to killMargin is for writing the replies.
	exitMargin = 150 * time.Millisecond
	// returnMargin is the time that the response of a backend server may take on
	// its way: a round trip between regions takes 110 ms.
	returnMargin = 150 * time.Millisecond
)

// stopSchedule says when the phases of a planned stop end.
type stopSchedule struct {
	began time.Time
	// listening ends when the listener for clients closes.
	listening time.Time
	// requests ends when requests in flight get their final reply.
	requests time.Time
	// exit is when the remaining connections are closed.
	exit time.Time
	// enough is the time that a request which may be repeated must have until
	// requests ends, if its own deadline is later.
	enough time.Duration
}

func newStopSchedule(now time.Time, grace, lookupTTL time.Duration) *stopSchedule {
	return &stopSchedule{
		began:     now,
		listening: now.Add(min(leaveWaitTTLs*lookupTTL+leaveMargin, grace/2)),
		requests:  now.Add(grace - killMargin),
		exit:      now.Add(grace - exitMargin),
		enough:    grace / 2,
	}
}

// accepts reports whether a request that has not been sent yet may be sent. One that
// must not be repeated is sent only if its deadline comes before the process ends: its
// client could do nothing about a lost response.
func (s *stopSchedule) accepts(now, deadline time.Time, idempotent bool) bool {
	return !deadline.After(s.requests) || idempotent && s.requests.Sub(now) >= s.enough
}

// serverDeadline returns the deadline to pass on to a backend server, so that its own
// response arrives while the process still runs.
func (s *stopSchedule) serverDeadline(deadline time.Time) time.Time {
	if last := s.requests.Add(-returnMargin); deadline.After(last) {
		return last
	}
	return deadline
}

// stop removes the instance from lookup responses, waits until clients have stopped
// using it, and lets requests in flight finish.
func (g *Ingress) stop(s *localServers) {
	grace := g.instance.Load().Bounds.Grace
	schedule := newStopSchedule(time.Now(), grace, g.settings.LookupTTL.Std())
	g.stopping.Store(schedule)
	g.leaving.Store(true)
	g.log.write(hclog.Info, "stopping: removed from lookup responses", "grace", grace)
	g.updateStatus(schedule.began)
	g.pushNow()
	ctx, cancel := context.WithDeadline(context.Background(), schedule.exit)
	defer cancel()
	abandon := time.AfterFunc(time.Until(schedule.requests), g.abandon)
	defer abandon.Stop()
	unregistered := make(chan struct{})
	go func() {
		defer close(unregistered)
		g.unregister(ctx)
	}()
	time.Sleep(time.Until(schedule.listening))
	open := s.clients.Connections()
	g.log.write(hclog.Info, "stopping: listener for clients closes", "after_ms", time.Since(schedule.began).Milliseconds(),
		"unused", open.Unused, "idle", open.Idle, "active", open.Active, "requests", g.inFlight.count())
	if err := s.clients.Shutdown(ctx); err != nil {
		g.log.write(hclog.Error, "requests were still in flight at the end of the grace period", "error", err)
	}
	for _, r := range g.inFlight.all() {
		g.log.writeLimited("cut off", hclog.Error, "request cut off by the end of the process", "request", r.head.ID,
			"age_ms", time.Since(r.arrived).Milliseconds(), "arrived_after_stop_ms", r.arrived.Sub(schedule.began).Milliseconds())
	}
	<-unregistered
	for _, other := range s.others {
		if err := other.Shutdown(ctx); err != nil {
			g.log.write(hclog.Warn, "listener did not close in time", "error", err)
		}
	}
	if err := g.peerServer.Shutdown(ctx); err != nil {
		g.log.write(hclog.Warn, "peers' listener did not close in time", "error", err)
	}
	g.log.write(hclog.Info, "stopped", "after", time.Since(schedule.began))
}

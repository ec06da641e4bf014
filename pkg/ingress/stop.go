package ingress

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/pkg/httpserver"
)

const (
	// leaveWaitTTLs is how long a stopping instance keeps accepting clients that
	// hold an earlier lookup response, in lookup TTLs: some clients cache a
	// response for three times its TTL.
	leaveWaitTTLs = 3
	// leaveMargin is added for the lookup itself.
	leaveMargin = 200 * time.Millisecond
	// arrivalMargin is the time before the listener closes from which on requests
	// count as late: a request that was sent when the listener closed, or later, may
	// seem to have come before, if this process runs late.
	arrivalMargin = 300 * time.Millisecond
	// killMargin is the time before SIGKILL at which requests in flight get their
	// final reply.
	killMargin = 300 * time.Millisecond
	// exitMargin is the time before SIGKILL at which the remaining connections are
	// closed. The difference to killMargin is for writing the replies.
	exitMargin = 150 * time.Millisecond
	// returnMargin is the time that the way to a backend server and back may take:
	// 110 ms between regions. A server counts its deadline from its own receipt.
	returnMargin = 150 * time.Millisecond
)

// stopSchedule says when the phases of a planned stop end.
type stopSchedule struct {
	began       time.Time
	lateFrom    time.Time // from then on, a request must be sure to end in time
	listenUntil time.Time
	serversEnd  time.Time // the latest deadline for backend servers
	repliesAt   time.Time // requests in flight get their final reply
	exitAt      time.Time // remaining connections are closed
}

func newStopSchedule(now time.Time, grace, lookupTTL time.Duration) *stopSchedule {
	closes := now.Add(min(leaveWaitTTLs*lookupTTL+leaveMargin, grace/2))
	replies := now.Add(grace - killMargin)
	return &stopSchedule{
		began:       now,
		lateFrom:    closes.Add(-arrivalMargin),
		listenUntil: closes,
		serversEnd:  replies.Add(-returnMargin),
		repliesAt:   replies,
		exitAt:      now.Add(grace - exitMargin),
	}
}

// accepts reports whether a request that has not been sent yet may be sent: if its
// deadline comes before the process ends, or if it may be repeated and is not late. The
// client of one that must not be repeated could do nothing about a lost response.
func (s *stopSchedule) accepts(now, deadline time.Time, idempotent bool) bool {
	return now.Before(s.serversEnd) && (!deadline.After(s.serversEnd) || idempotent && now.Before(s.lateFrom))
}

// serverDeadline returns the deadline to pass on to a backend server, so that its own
// response arrives while the process still runs.
func (s *stopSchedule) serverDeadline(deadline time.Time) time.Time {
	if deadline.After(s.serversEnd) {
		return s.serversEnd
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
	ctx, cancel := context.WithDeadline(context.Background(), schedule.exitAt)
	defer cancel()
	abandon := time.AfterFunc(time.Until(schedule.repliesAt), g.abandon)
	defer abandon.Stop()
	unregistered := make(chan struct{})
	go func() {
		defer close(unregistered)
		g.unregister(ctx)
	}()
	clientsDone := make(chan struct{})
	othersDone := g.closeAfterClients(ctx, s.others, clientsDone)
	time.Sleep(time.Until(schedule.listenUntil))
	g.closeClients(ctx, s.clients, schedule)
	close(clientsDone)
	<-othersDone
	<-unregistered
	if err := g.peerServer.Shutdown(ctx); err != nil {
		g.log.write(hclog.Warn, "peers' listener did not close in time", "error", err)
	}
	g.log.write(hclog.Info, "stopped", "after", time.Since(schedule.began))
}

// closeClients closes the listener for clients once requests in flight have ended.
func (g *Ingress) closeClients(ctx context.Context, clients *httpserver.Server, schedule *stopSchedule) {
	open := clients.Connections()
	g.log.write(hclog.Info, "stopping: listener for clients closes", "after_ms", time.Since(schedule.began).Milliseconds(),
		"unused", open.Unused, "idle", open.Idle, "active", open.Active, "requests", g.inFlight.count())
	if err := clients.Shutdown(ctx); err != nil {
		g.log.write(hclog.Error, "connections were still open at the end of the grace period", "error", err)
	}
	for _, r := range g.inFlight.all() {
		g.log.writeLimited("cut off", hclog.Error, "request cut off by the end of the process", "request", r.head.ID,
			"age_ms", time.Since(r.arrived).Milliseconds(), "arrived_after_stop_ms", r.arrived.Sub(schedule.began).Milliseconds())
	}
}

// closeAfterClients closes the other listeners once clientsDone is closed, or when
// requests in flight are given up: the clients' connections may take the rest of the
// time. The returned channel is closed when they have closed.
func (g *Ingress) closeAfterClients(ctx context.Context, servers []*httpserver.Server, clientsDone <-chan struct{}) <-chan struct{} {
	done := make(chan struct{})
	var running sync.WaitGroup
	for _, s := range servers {
		running.Go(func() {
			select {
			case <-clientsDone:
			case <-g.abandoned.Done():
			}
			if err := s.Shutdown(ctx); err != nil {
				g.log.write(hclog.Warn, "listener did not close in time", "error", err)
			}
		})
	}
	go func() {
		running.Wait()
		close(done)
	}()
	return done
}

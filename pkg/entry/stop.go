package entry

import (
	"context"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/admission"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

const (
	// stopFlushTimeout bounds the writing of claims and traces during a stop;
	// the platform may be down.
	stopFlushTimeout = 10 * time.Second
	// stopCallTimeout bounds the calls that announce the end to peers.
	stopCallTimeout = 2 * time.Second
)

// leaveMargin is the time after which no entry instance names this one in a new
// lookup answer: peers know at once, and keep an order for one heartbeat interval.
const leavePropagation = 2 * heartbeatInterval

// stop takes this entry instance out of use without cutting a request.
//
// The order matters: first lookups stop naming it, then cached lookup answers
// run out, then requests finish, then what must last is written, and only then
// peers learn that nothing is left in flight.
func (e *Entry) stop() {
	e.log.Info("stopping: out of lookups", "wait", e.settings.LookupTTL.Std())
	e.leaving.Store(true)
	e.triggerHeartbeat()
	e.announceLeave(false)
	time.Sleep(e.settings.LookupTTL.Std() + leavePropagation)

	e.drain()
	e.announceLeave(e.canHandOver())
	e.closeOperators()
}

// stopReplaced ends a process whose seat has a newer one. It admits nothing
// more and announces nothing: the seat belongs to the newer process.
func (e *Entry) stopReplaced() {
	e.leaving.Store(true)
	e.drain()
	e.closeOperators()
}

// finishWork waits for the requests in flight and writes what must last.
func (e *Entry) drain() {
	// No time limit: a planned stop cuts no request. Each request ends by its
	// own deadline.
	ctx := context.Background()
	if err := e.callers.Shutdown(ctx); err != nil {
		e.log.Error("callers' listener", "error", err)
	}
	if err := e.peerServer.Shutdown(ctx); err != nil {
		e.log.Error("peers' listener", "error", err)
	}
	e.inFlight.Wait()
	e.flush()
}

func (e *Entry) closeOperators() {
	if err := e.operators.Shutdown(context.Background()); err != nil {
		e.log.Error("operators' listener", "error", err)
	}
	e.log.Info("stopped")
}

func (e *Entry) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), stopFlushTimeout)
	defer cancel()
	if err := e.claims.Flush(ctx); err != nil {
		e.log.Error("claims could not be written; their keys will answer as unknown", "error", err)
	} else if err := e.claims.Seal(ctx); err != nil {
		e.log.Warn("the incarnation could not be sealed; its unused keys will answer as unknown", "error", err)
	}
	if err := e.archiver.Flush(ctx); err != nil {
		e.log.Warn("spans could not be archived", "error", err)
	}
}

// nothingHeld reports whether no backend server can still be working on a
// request of this entry instance or of its predecessor.
func (e *Entry) canHandOver() bool {
	clean := false
	e.gate.read(func(ctl *admission.Controller, now time.Time) { clean = ctl.CanHandOver(now) })
	return clean
}

// announceLeave tells all peers that this instance is leaving, or has left.
func (e *Entry) announceLeave(clean bool) {
	v := e.currentView()
	if v == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopCallTimeout)
	defer cancel()
	done := make(chan struct{})
	calls := 0
	for _, target := range v.doc.Deployment.EntryInstances {
		if target.ID == e.settings.ID {
			continue
		}
		calls++
		go func() {
			defer func() { done <- struct{}{} }()
			_, err := e.callPeer(ctx, target.PeerAddr, &wire.Request{Call: &wire.Request_Leave{
				Leave: &wire.Leave{Clean: clean},
			}})
			if err != nil {
				e.log.Debug("leave could not be announced", "peer", target.ID, "error", err)
			}
		}()
	}
	for range calls {
		<-done
	}
}

func (e *Entry) handleLeave(from string, incarnation uint64, l *wire.Leave) *wire.Response {
	e.membershipUpdate(func() {
		e.members.HandleLeave(time.Now(), from, incarnation, l.GetClean())
	})
	return &wire.Response{}
}

package entry

import (
	"context"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/admission"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

const (
	// stopFlushTimeout bounds the writing of claims and spans during a stop,
	// because the platform may be down.
	stopFlushTimeout = 10 * time.Second
	// stopCallTimeout bounds the calls that announce the stop to peers.
	stopCallTimeout = 2 * time.Second
)

// leavePropagation is the time after which no entry instance lists this one in a
// new lookup response: peers are told at once, but cache the order of entry
// instances for one heartbeat interval.
const leavePropagation = 2 * heartbeatInterval

// stop shuts this entry instance down without aborting a request.
//
// The order matters: lookups stop listing it, cached lookup responses expire,
// requests finish, claims and spans are written, and only then are peers told
// that nothing is in flight.
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

// stopReplaced shuts down a process that a newer incarnation has replaced. It
// admits no more requests and announces nothing to peers, because the newer
// incarnation now acts for this entry instance.
func (e *Entry) stopReplaced() {
	e.leaving.Store(true)
	e.drain()
	e.closeOperators()
}

// drain waits for the requests in flight and writes claims and spans.
func (e *Entry) drain() {
	// No time limit, because a planned stop aborts no request. Each request ends
	// by its own deadline.
	ctx := context.Background()
	if err := e.callers.Shutdown(ctx); err != nil {
		e.log.Error("listener for callers could not be shut down", "error", err)
	}
	if err := e.peerServer.Shutdown(ctx); err != nil {
		e.log.Error("listener for peers could not be shut down", "error", err)
	}
	e.inFlight.Wait()
	e.flush()
}

func (e *Entry) closeOperators() {
	if err := e.operators.Shutdown(context.Background()); err != nil {
		e.log.Error("listener for operators could not be shut down", "error", err)
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

// canHandOver reports whether no backend server can still be processing a
// request of this incarnation or of its predecessor.
func (e *Entry) canHandOver() bool {
	clean := false
	e.gate.read(func(ctl *admission.Controller, now time.Time) { clean = ctl.CanHandOver(now) })
	return clean
}

// announceLeave tells all peers that this instance is stopping. With clean set,
// none of its requests is in flight any more.
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

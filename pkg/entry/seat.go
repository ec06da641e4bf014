package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/membership"
)

// ErrReplaced is returned by Run when a newer incarnation of the same entry
// instance is running.
var ErrReplaced = errors.New("a newer process has taken over this seat")

// confirmationInterval is the time between two rounds of asking peers to confirm
// that this process was not replaced.
const confirmationInterval = 200 * time.Millisecond

// handlePause updates the configuration before this instance admits requests
// again, because its shares may have been given to others during the pause. If
// the pause was long enough for a successor to use its slots, it also waits until
// a peer has confirmed that there is no successor.
func (e *Entry) handlePause(gap time.Duration) {
	e.log.Warn("process was paused; reading the configuration before work goes on", "gap", gap)
	for {
		pausedAt := e.gate.lastPause()
		minTakeover := e.successorDelay()
		e.updateFence(func(s *membership.Fence) { s.HandlePause(time.Now(), gap, minTakeover) })
		e.refreshConfig()
		// A successor uses the newest configuration, in which the hold-off may be
		// shorter.
		if updated := e.successorDelay(); gap < minTakeover && gap >= updated {
			e.updateFence(func(s *membership.Fence) { s.HandlePause(time.Now(), gap, updated) })
		}
		for e.isFenced() && !e.hasNoPeers() {
			if e.isStopped() {
				return // admission stays suspended
			}
			time.Sleep(confirmationInterval)
			e.refreshConfig()
		}
		if e.resumeAdmission(pausedAt) {
			return
		}
		// There was another pause, and the confirmations may be older than it.
		gap = e.successorDelay()
	}
}

// resumeAdmission ends the suspension unless there was another pause after
// pausedAt. It reports whether handlePause is finished.
func (e *Entry) resumeAdmission(pausedAt time.Time) bool {
	e.fenceMu.Lock()
	defer e.fenceMu.Unlock()
	if e.fence.Replaced() {
		return true
	}
	if !e.gate.resume(pausedAt) {
		return false
	}
	e.unconfirmed.Store(false)
	return true
}

// isStopped reports whether Run has ended or this process was replaced.
func (e *Entry) isStopped() bool {
	select {
	case <-e.stopped:
		return true
	default:
		return e.isReplaced()
	}
}

// refreshConfig applies the newest configuration. The replies of peers also carry
// the confirmation that the fence waits for, see fetchConfig.
func (e *Entry) refreshConfig() {
	ctx, cancel := context.WithTimeout(context.Background(), configCallTimeout)
	defer cancel()
	e.adoptConfig(e.newestConfig(ctx), "after a pause")
}

// hasNoPeers reports whether no other entry instance is configured, so that there
// is no peer to ask for a confirmation.
func (e *Entry) hasNoPeers() bool {
	v := e.currentView()
	return v != nil && len(v.entries) <= 1
}

// successorDelay returns the shortest time after its start at which a successor
// uses a slot of any backend server. A successor has to wait for the hold-off,
// because no peer can confirm that a paused process stopped cleanly.
func (e *Entry) successorDelay() time.Duration {
	v := e.currentView()
	if v == nil {
		return 0
	}
	shortest := time.Duration(-1)
	for _, s := range v.doc.Deployment.BackendServers {
		if s.FailureDomain != e.settings.FailureDomain {
			continue
		}
		if t := maxTimeout(v, s); shortest < 0 || t < shortest {
			shortest = t
		}
	}
	return membership.DefaultRefusalMaxAge + max(shortest, 0)
}

// updateFence applies change to the fence. If the fence then knows of a newer
// incarnation, admission is suspended and Run is told to stop.
func (e *Entry) updateFence(change func(*membership.Fence)) {
	e.fenceMu.Lock()
	defer e.fenceMu.Unlock()
	change(e.fence)
	if e.fence.Fenced() {
		e.unconfirmed.Store(true)
	}
	if e.fence.Replaced() && !e.isReplaced() {
		e.log.Error("a newer process has taken over this seat; no more work is admitted",
			"incarnation", e.self.Number, "newer", e.fence.NewestIncarnation())
		e.gate.suspend()
		close(e.replaced)
	}
}

func (e *Entry) isFenced() bool {
	e.fenceMu.Lock()
	defer e.fenceMu.Unlock()
	return e.fence.Fenced()
}

func (e *Entry) isReplaced() bool {
	select {
	case <-e.replaced:
		return true
	default:
		return false
	}
}

// newestIncarnationOf returns the newest incarnation of a peer that this instance
// has heard from. It returns 0 shortly after a start or a pause, when a heartbeat
// of a successor may not have arrived yet. An instance that is fenced itself still
// answers; otherwise instances that were paused at the same time would wait for
// each other forever.
func (e *Entry) newestIncarnationOf(peerID string) uint64 {
	if time.Since(e.started) < startupPeerWait || time.Since(e.gate.lastPause()) < startupPeerWait {
		return 0
	}
	e.membersMu.Lock()
	defer e.membersMu.Unlock()
	return e.members.Peer(peerID).Incarnation
}

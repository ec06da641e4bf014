package entry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/membership"
)

// ErrReplaced is the end of a process whose seat has a newer one.
var ErrReplaced = errors.New("a newer process has taken over this seat")

// seatPause is the pause between two rounds of asking for a confirmation.
const confirmationInterval = 200 * time.Millisecond

// afterPause brings the configuration up to date before this instance admits
// work again: its shares may have been given to others while it was paused. If
// a successor may be using its share, it also waits until a peer has confirmed
// that there is none.
func (e *Entry) handlePause(gap time.Duration) {
	e.log.Warn("process was paused; reading the configuration before work goes on", "gap", gap)
	for {
		pausedAt := e.gate.lastPause()
		minTakeover := e.successorDelay()
		e.updateFence(func(s *membership.Fence) { s.HandlePause(time.Now(), gap, minTakeover) })
		e.refreshConfig()
		// A successor reckons with the newest configuration.
		if updated := e.successorDelay(); gap < minTakeover && gap >= updated {
			e.updateFence(func(s *membership.Fence) { s.HandlePause(time.Now(), gap, updated) })
		}
		for e.isFenced() && !e.hasNoPeers() {
			if e.isStopped() {
				return // the gate stays suspended
			}
			time.Sleep(confirmationInterval)
			e.refreshConfig()
		}
		if e.resumeAdmission(pausedAt) {
			return
		}
		// Paused again meanwhile: answers may be older than that pause.
		gap = e.successorDelay()
	}
}

// admitAgain ends the suspension unless there was another pause. It reports
// whether afterPause is finished.
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

// ended reports whether this process admits nothing any more.
func (e *Entry) isStopped() bool {
	select {
	case <-e.stopped:
		return true
	default:
		return e.isReplaced()
	}
}

func (e *Entry) refreshConfig() {
	ctx, cancel := context.WithTimeout(context.Background(), configCallTimeout)
	defer cancel()
	e.adoptConfig(e.newestConfig(ctx), "after a pause")
}

// alone reports whether no other entry instance is configured, so that nobody
// can confirm anything.
func (e *Entry) hasNoPeers() bool {
	v := e.currentView()
	return v != nil && len(v.entries) <= 1
}

// successorDelay is the earliest time after its start at which a successor
// uses the share of any backend server: it waits for the hold-off, because no
// peer can confirm that a paused process left cleanly.
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

// updateSeat changes what is known of this seat, and begins the end of this
// process if that shows a newer one.
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

// newestIncarnation is what this instance tells a peer about the peer's seat.
// It is 0 during the time after a start or a pause in which a successor may not
// have been heard yet. A peer that waits itself still answers, because otherwise
// instances that were all paused at one time would wait for each other forever.
func (e *Entry) newestIncarnationOf(peerID string) uint64 {
	if time.Since(e.started) < startupPeerWait || time.Since(e.gate.lastPause()) < startupPeerWait {
		return 0
	}
	e.membersMu.Lock()
	defer e.membersMu.Unlock()
	return e.members.Peer(peerID).Incarnation
}

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
const seatPause = 200 * time.Millisecond

// afterPause brings the configuration up to date before this instance admits
// work again: its shares may have been given to others while it was paused. If
// a successor may be using its share, it also waits until a peer has confirmed
// that there is none.
func (e *Entry) afterPause(gap time.Duration) {
	e.log.Warn("process was paused; reading the configuration before work goes on", "gap", gap)
	for {
		noticed := e.gate.lastPause()
		delay := e.successorDelay()
		e.updateSeat(func(s *membership.Fence) { s.HandlePause(time.Now(), gap, delay) })
		e.askPeers()
		// A successor reckons with the newest configuration.
		if shorter := e.successorDelay(); gap < delay && gap >= shorter {
			e.updateSeat(func(s *membership.Fence) { s.HandlePause(time.Now(), gap, shorter) })
		}
		for e.seatWaiting() && !e.alone() {
			if e.ended() {
				return // the gate stays suspended
			}
			time.Sleep(seatPause)
			e.askPeers()
		}
		if e.admitAgain(noticed) {
			return
		}
		// Paused again meanwhile: answers may be older than that pause.
		gap = e.successorDelay()
	}
}

// admitAgain ends the suspension unless there was another pause. It reports
// whether afterPause is finished.
func (e *Entry) admitAgain(noticed time.Time) bool {
	e.seatMu.Lock()
	defer e.seatMu.Unlock()
	if e.seat.Replaced() {
		return true
	}
	if !e.gate.resume(noticed) {
		return false
	}
	e.unconfirmed.Store(false)
	return true
}

// ended reports whether this process admits nothing any more.
func (e *Entry) ended() bool {
	select {
	case <-e.stopped:
		return true
	default:
		return e.isReplaced()
	}
}

func (e *Entry) askPeers() {
	ctx, cancel := context.WithTimeout(context.Background(), configCallTimeout)
	defer cancel()
	e.adopt(e.newestConfig(ctx), "after a pause")
}

// alone reports whether no other entry instance is configured, so that nobody
// can confirm anything.
func (e *Entry) alone() bool {
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
func (e *Entry) updateSeat(change func(*membership.Fence)) {
	e.seatMu.Lock()
	defer e.seatMu.Unlock()
	change(e.seat)
	if e.seat.Fenced() {
		e.unconfirmed.Store(true)
	}
	if e.seat.Replaced() && !e.isReplaced() {
		e.log.Error("a newer process has taken over this seat; no more work is admitted",
			"incarnation", e.self.Number, "newer", e.seat.NewestIncarnation())
		e.gate.suspend()
		close(e.replaced)
	}
}

func (e *Entry) seatWaiting() bool {
	e.seatMu.Lock()
	defer e.seatMu.Unlock()
	return e.seat.Fenced()
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
func (e *Entry) newestIncarnation(peerID string) uint64 {
	if time.Since(e.started) < meetingTime || time.Since(e.gate.lastPause()) < meetingTime {
		return 0
	}
	e.membersMu.Lock()
	defer e.membersMu.Unlock()
	return e.members.Peer(peerID).Incarnation
}

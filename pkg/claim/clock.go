package claim

import "time"

// keyClock is the clock that key ages are measured with. It never goes back
// and advances at least as fast as the monotonic clock.
//
// A row expires 48 h after it was written, by the store's clock. With the wall
// clock alone, a step back by more than 23 h 50 min would make a key acceptable
// again after its row has expired, and the key would run again.
type keyClock struct {
	latest         time.Time
	latestElapsed  time.Duration // monotonic time of latest
	steppedForward time.Duration // sum of the forward steps of the wall clock
}

// advance returns the key time for the given readings of the wall clock and the
// monotonic clock.
func (c *keyClock) advance(wall time.Time, elapsed time.Duration) time.Time {
	next := c.latest.Add(max(0, elapsed-c.latestElapsed))
	if wall.After(next) {
		if !c.latest.IsZero() {
			c.steppedForward += wall.Sub(next)
		}
		next = wall.Round(0) // strip the monotonic reading, so that Sub compares wall times
	}
	c.latest = next
	c.latestElapsed = max(c.latestElapsed, elapsed)
	return next
}

// maxSealForwardStep bounds the sum of forward clock steps with which an
// incarnation may still be sealed. The creation time of its keys may be that
// much too late, and the keys must still expire before their rows.
const maxSealForwardStep = (rowRetention - MaxKeyAge) / 2

// maxIssueClockSkew bounds how far the creation time of a new key may be ahead of
// the wall clock, so that other entry instances do not refuse it.
const maxIssueClockSkew = MaxKeyClockSkew / 2

// NewKey issues a key of this incarnation. Its creation time comes from the key
// clock, so that a small backward step of the wall clock does not make it older
// than evicted keys.
func (m *Manager) NewKey() string {
	wall := m.cfg.Now()
	m.mu.Lock()
	created := m.keyTime()
	m.mu.Unlock()
	if limit := wall.Add(maxIssueClockSkew); created.After(limit) {
		created = limit
	}
	return NewIssuedKey(m.cfg.Self, created)
}

// keyTime reads the key clock. The caller holds m.mu.
func (m *Manager) keyTime() time.Time {
	return m.keyClock.advance(m.cfg.Now(), m.cfg.Elapsed())
}

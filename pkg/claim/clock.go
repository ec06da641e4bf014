package claim

import "time"

// keyClock is the time by which the age of keys is judged. It never goes back,
// and advances at least as fast as the monotonic clock.
//
// A row expires 48 h after it was written by the store's clock. If the wall
// clock alone decided, a step back by more than 23 h 50 min would make a key
// acceptable again whose row has expired, and the key would run again.
type keyClock struct {
	latest time.Time
	at     time.Duration // monotonic time of latest
	ahead  time.Duration // sum of the steps forward
}

// advance returns the key time for a reading of the wall clock and of the
// monotonic clock.
func (c *keyClock) advance(wall time.Time, elapsed time.Duration) time.Time {
	carried := c.latest.Add(max(0, elapsed-c.at))
	if wall.After(carried) {
		if !c.latest.IsZero() {
			c.ahead += wall.Sub(carried)
		}
		carried = wall.Round(0) // differences must not use the monotonic reading
	}
	c.latest = carried
	c.at = max(c.at, elapsed)
	return carried
}

// maxSealAhead bounds the steps forward of an incarnation that is sealed. Its
// keys may be dated that much too late, and must still expire before the rows
// that say that they ran.
const maxSealAhead = (rowRetention - MaxKeyAge) / 2

// maxIssueAhead bounds how far the creation time of a new key is ahead of the
// wall clock, so that other entries do not refuse it as made in the future.
const maxIssueAhead = MaxKeyClockSkew / 2

// NewKey issues a key of this incarnation. A wall clock that stepped back a
// little does not make it older than the keys that were evicted.
func (m *Manager) NewKey() string {
	wall := m.cfg.Now()
	m.mu.Lock()
	created := m.keyTime()
	m.mu.Unlock()
	if limit := wall.Add(maxIssueAhead); created.After(limit) {
		created = limit
	}
	return NewIssuedKey(m.cfg.Self, created)
}

// keyTime reads the key clock. The caller holds the lock.
func (m *Manager) keyTime() time.Time {
	return m.keys.advance(m.cfg.Now(), m.cfg.Elapsed())
}

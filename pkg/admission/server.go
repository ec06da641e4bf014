package admission

import (
	"maps"
	"slices"
	"time"
)

// step raises a share at a time.
type step struct {
	share int
	at    time.Time
}

// flight is a request that occupies a slot.
type flight struct {
	server string
	since  time.Time
}

// server counts the slots of one backend server at this seat.
type server struct {
	Server
	share     int    // in force
	steps     []step // future increases, earliest first
	slowFrom  time.Time
	inFlight  int
	held      []time.Time // end of each held slot, earliest first
	lent      int
	lentFrom  time.Time
	lentUntil time.Time
	leaving   map[string]bool
	leftAt    time.Time
	idleAt    time.Time
	mean      time.Duration
	removed   bool
}

// used counts slots that are taken.
func (s *server) used() int { return s.inFlight + len(s.held) }

// advance applies everything that has become due.
func (s *server) advance(now time.Time, slow time.Duration) {
	for len(s.steps) > 0 && !s.steps[0].at.After(now) {
		if s.share == 0 && s.slowFrom.IsZero() && slow > 0 {
			s.slowFrom = s.steps[0].at
		}
		s.share = s.steps[0].share
		s.steps = s.steps[1:]
	}
	n := 0
	for n < len(s.held) && !s.held[n].After(now) {
		n++
	}
	if n > 0 {
		last := s.held[n-1]
		s.held = s.held[n:]
		s.markIdle(last)
	}
}

// markIdle notes when the last request ended.
func (s *server) markIdle(at time.Time) {
	if s.used() == 0 {
		s.idleAt = at
	}
}

// lentNow returns the borrowed slots that may be used at a time.
func (s *server) lentNow(now time.Time) int {
	if s.lent == 0 || now.Before(s.lentFrom) || now.After(s.lentUntil) {
		return 0
	}
	return s.lent
}

// usable returns how many slots may be in use. The first slot of a slow start
// is open at once, because a server without requests never warms up.
func (s *server) usable(now time.Time, slow time.Duration) int {
	if s.removed || len(s.leaving) > 0 {
		return 0
	}
	full := s.share + s.lentNow(now)
	elapsed := now.Sub(s.slowFrom)
	if s.slowFrom.IsZero() || slow <= 0 || elapsed >= slow {
		return full
	}
	return min(full, 1+int(int64(full)*int64(max(elapsed, 0))/int64(slow)))
}

func (s *server) free(now time.Time, slow time.Duration) int {
	return max(0, s.usable(now, slow)-s.used())
}

// retarget changes the configured share. A decrease counts at once and also
// cuts future increases; an increase waits until at.
func (s *server) retarget(target int, at time.Time) {
	s.share = min(s.share, target)
	top := s.share
	steps := s.steps[:0]
	for _, st := range s.steps {
		st.share = min(st.share, target)
		if st.share > top {
			steps = append(steps, st)
			top = st.share
		}
	}
	s.steps = steps
	if target > top {
		s.steps = append(s.steps, step{target, at})
	}
}

// hold keeps a slot taken until a time.
func (s *server) hold(until time.Time) {
	i, _ := slices.BinarySearchFunc(s.held, until, time.Time.Compare)
	s.held = slices.Insert(s.held, i, until)
}

// observe adds a service time to the moving mean (weight 1/8).
func (s *server) observe(d time.Duration) {
	if s.mean == 0 {
		s.mean = max(d, 1)
		return
	}
	s.mean += (d - s.mean) / 8
}

// nextChange returns the earliest time after which more slots may be usable.
func (s *server) nextChange(now time.Time, slow time.Duration) time.Time {
	var next time.Time
	if len(s.steps) > 0 {
		next = earlier(next, s.steps[0].at)
	}
	if len(s.held) > 0 {
		next = earlier(next, s.held[0])
	}
	if s.lent > 0 && now.Before(s.lentFrom) {
		next = earlier(next, s.lentFrom)
	}
	if slow > 0 && !s.slowFrom.IsZero() && now.Before(s.slowFrom.Add(slow)) {
		// Steps of one slot; a fixed fraction is close enough and bounded.
		next = earlier(next, now.Add(slow/20))
	}
	return next
}

func (s *server) status(now time.Time, slow time.Duration) ServerStatus {
	st := ServerStatus{
		ID: s.ID, Services: s.Services, Share: s.share, Lent: s.lentNow(now),
		Usable: s.usable(now, slow), InFlight: s.inFlight, Held: len(s.held),
		LentInUse: max(0, s.used()-s.share), Leaving: len(s.leaving) > 0,
		Reasons: slices.Sorted(maps.Keys(s.leaving)), LeavingSince: s.leftAt,
		MeanTime: s.mean,
	}
	if s.used() == 0 {
		st.IdleSince = s.idleAt
	}
	if s.share == 0 && len(s.steps) > 0 {
		st.HoldOffUntil = s.steps[0].at
	}
	return st
}

// earlier returns the earlier time; a zero time means none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

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
	// clearAt is when ClearHoldOff may raise it; zero: not before at.
	clearAt time.Time
}

// loan is the part of a gone seat's share that this seat may use.
type loan struct {
	slots       int
	from, until time.Time
}

// flight is a request that occupies a slot.
type flight struct {
	server, service string
	since           time.Time
}

// server counts the slots of one backend server at this seat.
type server struct {
	Server
	share    int    // in force
	steps    []step // future increases, earliest first
	slowFrom time.Time
	inFlight int
	held     []time.Time     // end of each held slot, earliest first
	loans    map[string]loan // by lending seat
	leaving  map[string]bool
	leftAt   time.Time
	idleAt   time.Time
	mean     time.Duration
	removed  bool
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
	sum := 0
	for _, l := range s.loans {
		if !now.Before(l.from) && !now.After(l.until) {
			sum += l.slots
		}
	}
	return sum
}

// lend records a loan as of the check that found the lender gone.
func (s *server) lend(at time.Time, lender string, slots int, holdOff time.Duration) {
	if slots <= 0 {
		delete(s.loans, lender)
		return
	}
	l := s.loans[lender]
	if l.slots < slots || at.After(l.until) {
		l.from = at.Add(holdOff)
	}
	// After a change of the shares, the lender's new share may still be in use
	// at a seat that has not seen the change.
	if settled := s.ChangedAt.Add(ConfigPropagation + holdOff); settled.After(l.from) {
		l.from = settled
	}
	l.slots = slots
	l.until = at.Add(LoanValidity)
	s.loans[lender] = l
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
		s.steps = append(s.steps, step{share: target, at: at})
	}
}

// hold keeps a slot taken until a time.
func (s *server) hold(until time.Time) {
	i, _ := slices.BinarySearchFunc(s.held, until, time.Time.Compare)
	s.held = slices.Insert(s.held, i, until)
}

// smooth adds a service time to a moving mean (weight 1/8).
func smooth(mean, d time.Duration) time.Duration {
	if mean == 0 {
		return max(d, 1)
	}
	return mean + (d-mean)/8
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
	for _, l := range s.loans {
		if now.Before(l.from) {
			next = earlier(next, l.from)
		}
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

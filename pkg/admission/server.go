package admission

import (
	"maps"
	"slices"
	"time"
)

// shareIncrease raises a share at a given time.
type shareIncrease struct {
	share int
	at    time.Time
	// clearAt is the earlier time that applies after ClearHoldOff; zero means
	// that at still applies.
	clearAt time.Time
}

// loan is the part of a gone entry instance's share that this one may use.
type loan struct {
	slots       int
	from, until time.Time
}

// activeRequest is a request that occupies a slot.
type activeRequest struct {
	server, service string
	since           time.Time
}

// server counts this entry instance's slots of one backend server.
type server struct {
	Server
	share          int             // in force
	increases      []shareIncrease // future increases, earliest first
	slowStartAt    time.Time
	inFlight       int
	heldUntil      []time.Time     // end of each held slot, earliest first
	loans          map[string]loan // by lender
	leavingReasons map[string]bool
	leavingSince   time.Time
	idleSince      time.Time
	meanTime       time.Duration
	removed        bool
}

// used returns the number of slots in flight or held.
func (s *server) used() int { return s.inFlight + len(s.heldUntil) }

// advance applies the increases that are due and frees held slots.
func (s *server) advance(now time.Time, slowStart time.Duration) {
	for len(s.increases) > 0 && !s.increases[0].at.After(now) {
		if s.share == 0 && s.slowStartAt.IsZero() && slowStart > 0 {
			s.slowStartAt = s.increases[0].at
		}
		s.share = s.increases[0].share
		s.increases = s.increases[1:]
	}
	n := 0
	for n < len(s.heldUntil) && !s.heldUntil[n].After(now) {
		n++
	}
	if n > 0 {
		last := s.heldUntil[n-1]
		s.heldUntil = s.heldUntil[n:]
		s.markIdle(last)
	}
}

// markIdle sets idleSince if no slot is in use.
func (s *server) markIdle(at time.Time) {
	if s.used() == 0 {
		s.idleSince = at
	}
}

// lentSlots returns the number of lent slots that may be used now.
func (s *server) lentSlots(now time.Time) int {
	sum := 0
	for _, l := range s.loans {
		if !now.Before(l.from) && !now.After(l.until) {
			sum += l.slots
		}
	}
	return sum
}

// setLoan records the slots lent by a gone entry instance; at is the time of
// the check that found it gone.
func (s *server) setLoan(at time.Time, lender string, slots int, holdOff time.Duration) {
	if slots <= 0 {
		delete(s.loans, lender)
		return
	}
	l := s.loans[lender]
	if l.slots < slots || at.After(l.until) {
		l.from = at.Add(holdOff)
	}
	// After a change of the shares, the lender's new share may still be in use
	// at an entry instance that has not seen the change.
	if propagated := s.ChangedAt.Add(ConfigPropagation + holdOff); propagated.After(l.from) {
		l.from = propagated
	}
	l.slots = slots
	l.until = at.Add(LoanValidity)
	s.loans[lender] = l
}

// usable returns how many slots may be in use. A slow start begins with one
// slot, because a server without requests never warms up.
func (s *server) usable(now time.Time, slowStart time.Duration) int {
	if s.removed || len(s.leavingReasons) > 0 {
		return 0
	}
	full := s.share + s.lentSlots(now)
	elapsed := now.Sub(s.slowStartAt)
	if s.slowStartAt.IsZero() || slowStart <= 0 || elapsed >= slowStart {
		return full
	}
	return min(full, 1+int(int64(full)*int64(max(elapsed, 0))/int64(slowStart)))
}

func (s *server) freeSlots(now time.Time, slowStart time.Duration) int {
	return max(0, s.usable(now, slowStart)-s.used())
}

// setShare changes the configured share. A decrease takes effect at once and
// also limits pending increases; an increase takes effect at the given time.
func (s *server) setShare(target int, at time.Time) {
	s.share = min(s.share, target)
	top := s.share
	increases := s.increases[:0]
	for _, inc := range s.increases {
		inc.share = min(inc.share, target)
		if inc.share > top {
			increases = append(increases, inc)
			top = inc.share
		}
	}
	s.increases = increases
	if target > top {
		s.increases = append(s.increases, shareIncrease{share: target, at: at})
	}
}

// hold keeps a slot in use until a given time.
func (s *server) hold(until time.Time) {
	i, _ := slices.BinarySearchFunc(s.heldUntil, until, time.Time.Compare)
	s.heldUntil = slices.Insert(s.heldUntil, i, until)
}

// movingMean adds a value to an exponential moving average with weight 1/8.
func movingMean(mean, d time.Duration) time.Duration {
	if mean == 0 {
		return max(d, 1)
	}
	return mean + (d-mean)/8
}

// nextChange returns the earliest time after which more slots may be usable.
func (s *server) nextChange(now time.Time, slowStart time.Duration) time.Time {
	var next time.Time
	if len(s.increases) > 0 {
		next = earlier(next, s.increases[0].at)
	}
	if len(s.heldUntil) > 0 {
		next = earlier(next, s.heldUntil[0])
	}
	for _, l := range s.loans {
		if now.Before(l.from) {
			next = earlier(next, l.from)
		}
	}
	if slowStart > 0 && !s.slowStartAt.IsZero() && now.Before(s.slowStartAt.Add(slowStart)) {
		// A slow start opens one slot at a time. Checking 20 times in all is
		// close enough and bounds the number of wake-ups.
		next = earlier(next, now.Add(slowStart/20))
	}
	return next
}

func (s *server) status(now time.Time, slowStart time.Duration) ServerStatus {
	st := ServerStatus{
		ID: s.ID, Services: s.Services, Share: s.share, Lent: s.lentSlots(now),
		Usable: s.usable(now, slowStart), InFlight: s.inFlight, Held: len(s.heldUntil),
		LentInUse: max(0, s.used()-s.share), Leaving: len(s.leavingReasons) > 0,
		Reasons: slices.Sorted(maps.Keys(s.leavingReasons)), LeavingSince: s.leavingSince,
		MeanTime: s.meanTime,
	}
	if s.used() == 0 {
		st.IdleSince = s.idleSince
	}
	if s.share == 0 && len(s.increases) > 0 {
		st.HoldOffUntil = s.increases[0].at
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

package replica

import "time"

// PollSchedule spreads the ends of the waiting calls of several pollers over time:
// each of Phases pollers has an offset of its own within Interval by the store's
// clock. If the store stops answering all of them at once, one has a call that is
// due within Interval / Phases.
type PollSchedule struct {
	Interval      time.Duration
	Phase, Phases int
}

// minPollWait is the shortest wait of a call. A call that would end sooner ends an
// interval later instead.
const minPollWait = 100 * time.Millisecond

// Wait returns how long a call that starts at storeTime waits for changes.
func (p PollSchedule) Wait(storeTime time.Duration) time.Duration {
	if p.Interval <= minPollWait {
		return p.Interval
	}
	offset := p.Interval * time.Duration(p.Phase) / time.Duration(max(1, p.Phases))
	wait := p.Interval - (storeTime-offset)%p.Interval
	if wait > p.Interval {
		wait -= p.Interval
	}
	if wait < minPollWait {
		wait += p.Interval
	}
	return wait
}

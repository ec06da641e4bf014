package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against pollers whose calls all end at the same time: a store that stops
// answering all of them is then noticed only after a whole interval.
func TestPollsAreSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		interval := time.Duration(rapid.IntRange(400, 4000).Draw(t, "interval ms")) * time.Millisecond
		phases := rapid.IntRange(1, 3).Draw(t, "phases")
		start := time.Duration(rapid.IntRange(0, 1_000_000).Draw(t, "start ms")) * time.Millisecond
		// After its first call, each poller has a call that ends in every interval.
		end := start + 10*interval
		next := make([]time.Duration, phases)
		for i := range next {
			next[i] = start
		}
		latest := time.Duration(0)
		for now := start; now < end; {
			first := 0
			for i := range next {
				if next[i] < next[first] {
					first = i
				}
			}
			if now > start+2*interval {
				require.LessOrEqual(t, next[first]-now, interval/time.Duration(phases)+minPollWait)
			}
			now = next[first]
			p := PollSchedule{Interval: interval, Phase: first, Phases: phases}
			wait := p.Wait(now)
			require.GreaterOrEqual(t, wait, minPollWait)
			require.LessOrEqual(t, wait, interval+minPollWait)
			latest = max(latest, wait)
			next[first] = now + wait
		}
	})
}

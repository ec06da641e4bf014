package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that a stopping instance takes and passes on with no time.
func TestAcceptedRequestsHaveTimeLeft(t *testing.T) {
	began := time.Now()
	s := newStopSchedule(began, 6*time.Second, time.Second)
	for now := began; now.Before(s.repliesAt); now = now.Add(10 * time.Millisecond) {
		for _, limit := range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 140 * time.Millisecond, time.Second} {
			deadline := now.Add(limit)
			if s.accepts(now, deadline, false) {
				require.Positive(t, s.serverDeadline(deadline).Sub(now), "at %v with %v", now.Sub(began), limit)
			}
		}
	}
}

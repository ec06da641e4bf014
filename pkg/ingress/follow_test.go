package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a process that was paused during a call and takes an answer that is
// seconds old for the state of the registrations now.
func TestAnswerTimeIsNotTooLate(t *testing.T) {
	started := time.Unix(1_800_000_000, 0)
	f := &tableFollower{wait: 2 * time.Second}
	resumed := started.Add(20 * time.Second)
	require.Equal(t, started.Add(2*time.Second), f.answeredAt(started, resumed, false), "the call had ended")
	require.Equal(t, started, f.answeredAt(started, resumed, true), "changes end a call at any time")
	require.Equal(t, started, f.answeredAt(started, started.Add(time.Second), false))
}

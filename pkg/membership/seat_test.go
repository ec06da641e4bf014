package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a replaced process that admits work again: through an answer
// from before the end of the pause, from a peer that knows nothing, or from one
// that has not heard of the successor while another one has.
func TestSeatNeedsConfirmationAfterPause(t *testing.T) {
	const self = 5
	s := NewFence(self)
	s.HandlePause(at(1000), 2*time.Second, 3*time.Second)
	require.False(t, s.Fenced(), "no successor can use the share yet")
	s.HandlePause(at(9000), 3*time.Second, 3*time.Second)
	require.True(t, s.Fenced())
	s.HandleConfirmation(at(9000), self)
	require.True(t, s.Fenced(), "asked before the pause ended")
	s.HandleConfirmation(at(9001), 0)
	require.True(t, s.Fenced(), "the peer knows nothing")
	s.HandleConfirmation(at(9001), self)
	require.False(t, s.Fenced())
	s.HandlePause(at(20000), 4*time.Second, 3*time.Second)
	require.True(t, s.Fenced(), "the confirmation was for an earlier pause")
}

// Guards against a process that forgets its successor, in any order of events.
func TestReplacedSeatNeverAdmits(t *testing.T) {
	const self = 5
	rapid.Check(t, func(rt *rapid.T) {
		s := NewFence(self)
		replaced := false
		for i := range rapid.IntRange(1, 30).Draw(rt, "n") {
			known := rapid.Uint64Range(0, self+1).Draw(rt, "known")
			switch rapid.SampledFrom([]string{"pause", "learn", "answer"}).Draw(rt, "event") {
			case "pause":
				s.HandlePause(at(i), time.Duration(rapid.IntRange(0, 4).Draw(rt, "s"))*time.Second, 3*time.Second)
			case "learn":
				s.ObserveIncarnation(known)
				replaced = replaced || known > self
			case "answer":
				s.HandleConfirmation(at(i), known)
				replaced = replaced || known > self
			}
			require.Equal(rt, replaced, s.Replaced())
			require.True(rt, s.Fenced() || !replaced)
		}
	})
}

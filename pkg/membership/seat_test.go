package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a replaced process that admits requests again because of an
// answer to a query from before the end of the pause, or of a peer that knows no
// incarnation.
func TestFenceNeedsConfirmationAfterPause(t *testing.T) {
	const self = 5
	f := NewFence(self)
	f.HandlePause(at(1000), 2*time.Second, 3*time.Second)
	require.False(t, f.Fenced(), "no successor can use the slots yet")
	f.HandlePause(at(9000), 3*time.Second, 3*time.Second)
	require.True(t, f.Fenced())
	f.HandleConfirmation(at(9000), self)
	require.True(t, f.Fenced(), "the query was sent before the pause ended")
	f.HandleConfirmation(at(9001), 0)
	require.True(t, f.Fenced(), "the peer knows no incarnation")
	f.HandleConfirmation(at(9001), self)
	require.False(t, f.Fenced())
	f.HandlePause(at(20000), 4*time.Second, 3*time.Second)
	require.True(t, f.Fenced(), "the confirmation was for an earlier pause")
}

// Guards against a replaced process that admits requests again after any
// sequence of events, such as an answer of a peer that does not know the
// successor.
func TestReplacedProcessStaysFenced(t *testing.T) {
	const self = 5
	rapid.Check(t, func(rt *rapid.T) {
		f := NewFence(self)
		replaced := false
		for i := range rapid.IntRange(1, 30).Draw(rt, "n") {
			known := rapid.Uint64Range(0, self+1).Draw(rt, "known")
			switch rapid.SampledFrom([]string{"pause", "learn", "answer"}).Draw(rt, "event") {
			case "pause":
				f.HandlePause(at(i), time.Duration(rapid.IntRange(0, 4).Draw(rt, "s"))*time.Second, 3*time.Second)
			case "learn":
				f.ObserveIncarnation(known)
				replaced = replaced || known > self
			case "answer":
				f.HandleConfirmation(at(i), known)
				replaced = replaced || known > self
			}
			require.Equal(rt, replaced, f.Replaced())
			require.True(rt, f.Fenced() || !replaced)
		}
	})
}

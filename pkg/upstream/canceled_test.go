package upstream

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that is sent although it was canceled while a connection was
// opened, or whose context has ended, and against an unused connection that is lost or
// counts as recently used.
func TestCanceledRequestIsNotSent(t *testing.T) {
	const idle = 50 * time.Millisecond
	s := startServer(t, echo)
	p := newPool(t)
	canceled := func(id string) {
		r := request(s, id)
		r.Canceled = func() bool { return true }
		_, _, err := do(t, p, r)
		require.NotNil(t, err)
		require.True(t, err.Canceled)
		require.False(t, err.Sent)
	}
	canceled("on a new connection")
	first, timing, err := do(t, p, request(s, "first"))
	require.Nil(t, err)
	require.Equal(t, "body of first", string(first.Body))
	require.True(t, timing.Reused)

	time.Sleep(idle)
	canceled("on a reused connection")
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_, _, ctxErr := p.Do(ended, request(s, "context has ended"))
	var failed *Error
	require.ErrorAs(t, ctxErr, &failed)
	require.False(t, failed.Sent)
	_, timing, err = do(t, p, request(s, "second"))
	require.Nil(t, err)
	require.True(t, timing.Reused)
	require.GreaterOrEqual(t, timing.Idle, idle)
	require.Equal(t, []string{"first", "second"}, s.requestIDs())
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Equal(t, 1, s.connections)
}

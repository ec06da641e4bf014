package ingress

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against long log lines that fill the memory of an instance while the reader of
// the log is blocked: the queue was bounded in lines only.
func TestQueuedLogLinesAreBoundedInBytes(t *testing.T) {
	blocked := blockedWriter{make(chan struct{})}
	w := NewAsyncWriter(blocked)
	line := bytes.Repeat([]byte("x"), 100<<10)
	const lines = 200
	for range lines {
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	held := (lines - int(w.Dropped.Load())) * len(line)
	require.LessOrEqual(t, held, maxQueuedBytes+len(line), "and the line that is being written")
	require.Positive(t, held)
	close(blocked.release)
	w.Close()
	require.Zero(t, w.queued.Load(), "written lines do not count")
}

package ingress

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
)

// blockedWriter blocks every Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against log calls that block while standard output is not read.
func TestBlockedLogOutput(t *testing.T) {
	s := blockedWriter{make(chan struct{})}
	w := NewAsyncWriter(s)
	log := hclog.New(&hclog.LoggerOptions{Output: w, JSONFormat: true})
	started := time.Now()
	const lines = 4 * maxQueuedLines
	for range lines {
		log.Info("line")
	}
	require.Less(t, time.Since(started), time.Second)
	require.GreaterOrEqual(t, w.Dropped.Load(), int64(lines-maxQueuedLines-1))
	close(s.release)
	w.Close()
}

// Guards against a flood of log lines under load and against omitting lines without
// counting them.
func TestLogLinesAreRateLimited(t *testing.T) {
	var out bytes.Buffer
	j := newRateLimitedLogger(hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}), 5)
	written := 0
	for range 100 {
		if _, ok := j.allow("kind", 1); ok {
			written++
		}
	}
	require.Equal(t, 5, written)
	j.writeLimited("kind", hclog.Info, "next second")
	var line map[string]any
	require.NoError(t, json.Unmarshal([]byte(strings.TrimSpace(out.String())), &line))
	require.EqualValues(t, 95, line["omitted_before"])
}

// Guards against a panic at the end of the process when a goroutine still logs.
func TestLogAfterClose(t *testing.T) {
	var out bytes.Buffer
	w := NewAsyncWriter(&out)
	w.Close()
	n, err := w.Write([]byte("line\n"))
	require.NoError(t, err)
	require.Equal(t, 5, n)
	require.EqualValues(t, 1, w.Dropped.Load())
	w.Close()
}

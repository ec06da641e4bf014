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

// stuck is a reader of standard output that takes nothing.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// Guards against a reader of standard output that holds up requests.
func TestStuckReader(t *testing.T) {
	s := stuck{make(chan struct{})}
	w := NewAsyncWriter(s)
	log := hclog.New(&hclog.LoggerOptions{Output: w, JSONFormat: true})
	started := time.Now()
	const lines = 4 * queuedLines
	for range lines {
		log.Info("line")
	}
	require.Less(t, time.Since(started), time.Second)
	require.GreaterOrEqual(t, w.Dropped.Load(), int64(lines-queuedLines-1))
	close(s.release)
	w.Close()
}

// Guards against a flood of lines under load, and against lines that are left
// out without a trace.
func TestLinesAreBounded(t *testing.T) {
	var out bytes.Buffer
	j := newJournal(hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}), 5)
	written := 0
	for range 100 {
		if _, ok := j.take("kind", 1); ok {
			written++
		}
	}
	require.Equal(t, 5, written)
	j.limited("kind", hclog.Info, "next second")
	var line map[string]any
	require.NoError(t, json.Unmarshal([]byte(strings.TrimSpace(out.String())), &line))
	require.EqualValues(t, 95, line["omitted_before"])
}

package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
)

// Guards against slow times of the machine that are missed, and against single
// slow samples that hide requests.
func TestStalledSpans(t *testing.T) {
	start := time.Now()
	var samples []probeSample
	for at := time.Duration(0); at < time.Second; at += probeInterval {
		took := 200 * time.Microsecond
		if at >= 300*time.Millisecond && at < 400*time.Millisecond {
			took = 300 * time.Microsecond
		}
		if at == 700*time.Millisecond {
			took = time.Second
		}
		samples = append(samples, probeSample{at: start.Add(at), took: took})
	}
	stalls := stalledSpans(samples)
	require.Equal(t, []span{{start.Add(200 * time.Millisecond), start.Add(500 * time.Millisecond)}}, stalls)
	var sent []loadgen.Result
	for _, at := range []time.Duration{0, 199, 200, 499, 500, 700} {
		sent = append(sent, loadgen.Result{SentAt: start.Add(at * time.Millisecond)})
	}
	calm := withoutStalls(sent, stalls)
	require.Len(t, calm, 4)
	require.Len(t, sent, 6)
	require.Empty(t, stalledSpans(nil))
}

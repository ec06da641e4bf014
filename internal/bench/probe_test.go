package bench

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
)

// Guards against stalls of the machine that are missed, and against requests that
// are left out because of a single slow sample.
func TestStalledRanges(t *testing.T) {
	start := time.Now()
	var samples []probeSample
	for at := time.Duration(0); at < time.Second; at += probeInterval {
		cpuTime := 200 * time.Microsecond
		if at >= 300*time.Millisecond && at < 400*time.Millisecond {
			cpuTime = 300 * time.Microsecond
		}
		if at == 700*time.Millisecond {
			cpuTime = time.Second
		}
		samples = append(samples, probeSample{at: start.Add(at), cpuTime: cpuTime})
	}
	stalls := stalledRanges(samples)
	require.Equal(t, []timeRange{{start.Add(200 * time.Millisecond), start.Add(500 * time.Millisecond)}}, stalls)
	var sent []loadgen.Result
	for _, at := range []time.Duration{0, 199, 200, 499, 500, 700} {
		sent = append(sent, loadgen.Result{SentAt: start.Add(at * time.Millisecond)})
	}
	unstalled := withoutStalls(sent, stalls)
	require.Len(t, unstalled, 4)
	require.Len(t, sent, 6)
	require.Empty(t, stalledRanges(nil))
}

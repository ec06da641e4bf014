package bench

import (
	"context"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
)

// A virtual machine can lose computing speed to its neighbours for parts of a
// second without any sign in its load average. Requests that are sent
// then can make up the whole p99. The probe finds such times, so that figures
// with and without them can be given side by side.
const (
	probeInterval = 5 * time.Millisecond
	// probeRounds take about 0.2 ms, so that the probe uses 4 % of a core.
	probeRounds = 200_000
	// stallWindow is the resolution of the probe, with about 20 samples.
	stallWindow = 100 * time.Millisecond
	// stallFactor is how much slower than the median of the whole run the
	// median of a window has to be.
	stallFactor = 1.25
	// stallMargin is added before and after a stalled window: a request of
	// 50 ms service time that was sent just before it ends inside.
	stallMargin = 100 * time.Millisecond
)

type probeSample struct {
	at   time.Time
	took time.Duration
}

// probeSpeed measures the processor time of a fixed computation until ctx
// ends. It counts the time of its thread, so that waiting for a free core,
// which the measured programs may cause, is not a stall.
func probeSpeed(ctx context.Context) []probeSample {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var samples []probeSample
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		before := threadTime()
		compute()
		samples = append(samples, probeSample{at: time.Now(), took: threadTime() - before})
		select {
		case <-ctx.Done():
			return samples
		case <-tick.C:
		}
	}
}

// threadTime is the processor time of the calling thread, 0 if unknown.
func threadTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(rusageThread, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// rusageThread is RUSAGE_THREAD of Linux; package syscall has no name for it.
const rusageThread = 1

func compute() {
	x := uint64(1)
	for range probeRounds {
		x = x*6364136223846793005 + 1442695040888963407
	}
	runtime.KeepAlive(x) // the compiler must not drop the computation
}

// span is a time from start to end.
type span struct{ start, end time.Time }

func (s span) contains(t time.Time) bool { return within(t, s.start, s.end) }

// stalledSpans returns the windows, with their margins, in which the machine
// was slow.
func stalledSpans(samples []probeSample) []span {
	if len(samples) == 0 {
		return nil
	}
	limit := time.Duration(stallFactor * float64(medianTook(samples)))
	var out []span
	first := samples[0].at
	for len(samples) > 0 {
		end := first.Add(stallWindow)
		n := 0
		for n < len(samples) && samples[n].at.Before(end) {
			n++
		}
		if n > 0 && medianTook(samples[:n]) > limit {
			out = append(out, span{first.Add(-stallMargin), end.Add(stallMargin)})
		}
		samples, first = samples[n:], end
	}
	return out
}

func medianTook(samples []probeSample) time.Duration {
	took := make([]time.Duration, 0, len(samples))
	for _, s := range samples {
		took = append(took, s.took)
	}
	slices.Sort(took)
	return took[len(took)/2]
}

// withoutStalls keeps the requests that were sent outside the given spans.
func withoutStalls(results []loadgen.Result, stalls []span) []loadgen.Result {
	return slices.DeleteFunc(slices.Clone(results), func(r loadgen.Result) bool {
		return slices.ContainsFunc(stalls, func(s span) bool { return s.contains(r.SentAt) })
	})
}

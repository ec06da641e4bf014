package bench

import (
	"context"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
)

// A virtual machine can lose CPU speed to other guests for fractions of a second
// without any effect on its load average. Requests sent in such a stall can make
// up the whole p99. The probe detects stalls, so that the report can give figures
// with and without them.
const (
	probeInterval = 5 * time.Millisecond
	// probeRounds iterations take about 0.2 ms: the probe uses 4 % of a core.
	probeRounds = 200_000
	// stallWindow is the resolution of the probe: about 20 samples.
	stallWindow = 100 * time.Millisecond
	// A window is stalled if its median is more than stallFactor times the
	// median of the whole run.
	stallFactor = 1.25
	// stallMargin is added before and after a stalled window, because a request
	// with 50 ms service time that is sent before the window may end inside it.
	stallMargin = 100 * time.Millisecond
)

type probeSample struct {
	at      time.Time
	cpuTime time.Duration
}

// probeSpeed measures the CPU time of a fixed computation until ctx ends. It
// counts the CPU time of its thread, so that waiting for a free core, which the
// measured programs may cause, does not count as a stall.
func probeSpeed(ctx context.Context) []probeSample {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var samples []probeSample
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		before := threadTime()
		fixedComputation()
		samples = append(samples, probeSample{at: time.Now(), cpuTime: threadTime() - before})
		select {
		case <-ctx.Done():
			return samples
		case <-tick.C:
		}
	}
}

// threadTime returns the CPU time of the calling thread, 0 if unknown.
func threadTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(rusageThread, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// rusageThread is RUSAGE_THREAD of Linux, which package syscall does not define.
const rusageThread = 1

func fixedComputation() {
	x := uint64(1)
	for range probeRounds {
		x = x*6364136223846793005 + 1442695040888963407
	}
	runtime.KeepAlive(x) // keeps the compiler from removing the computation
}

// timeRange is the time from start up to end, without end.
type timeRange struct{ start, end time.Time }

func (s timeRange) contains(t time.Time) bool { return within(t, s.start, s.end) }

// stalledRanges returns the windows, with their margins, in which the machine
// was stalled.
func stalledRanges(samples []probeSample) []timeRange {
	if len(samples) == 0 {
		return nil
	}
	limit := time.Duration(stallFactor * float64(medianCPUTime(samples)))
	var out []timeRange
	first := samples[0].at
	for len(samples) > 0 {
		end := first.Add(stallWindow)
		n := 0
		for n < len(samples) && samples[n].at.Before(end) {
			n++
		}
		if n > 0 && medianCPUTime(samples[:n]) > limit {
			out = append(out, timeRange{first.Add(-stallMargin), end.Add(stallMargin)})
		}
		samples, first = samples[n:], end
	}
	return out
}

func medianCPUTime(samples []probeSample) time.Duration {
	cpuTimes := make([]time.Duration, 0, len(samples))
	for _, s := range samples {
		cpuTimes = append(cpuTimes, s.cpuTime)
	}
	slices.Sort(cpuTimes)
	return cpuTimes[len(cpuTimes)/2]
}

// withoutStalls returns the requests that were sent outside stalls.
func withoutStalls(results []loadgen.Result, stalls []timeRange) []loadgen.Result {
	return slices.DeleteFunc(slices.Clone(results), func(r loadgen.Result) bool {
		return slices.ContainsFunc(stalls, func(s timeRange) bool { return s.contains(r.SentAt) })
	})
}

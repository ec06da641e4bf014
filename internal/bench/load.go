package bench

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	"github.com/dandelionrack/dandelionrack/internal/testbed"
)

// Variants of a load run.
const (
	variantSystem     = "system"
	variantIssuedKeys = "system, issued keys"
	variantDirect     = "direct"
	variantRandom     = "random"
	variantReported   = "least reported"
)

func (r *runner) measureLoads(ctx context.Context) error {
	callers, err := r.testbed.Callers(callersPerDomain, r.token())
	if err != nil {
		return err
	}
	for _, percent := range r.opts.Loads {
		for _, variant := range []string{variantSystem, variantIssuedKeys} {
			if err := r.addLoad(ctx, variant, percent, callers); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *runner) measureBaselines(ctx context.Context) error {
	toCallers := testbed.SampleDelays(r.name).ToCallers
	reported := &leastReportedBalancer{}
	polling, stop := context.WithCancel(ctx)
	defer stop()
	go reported.poll(polling, r.testbed.BackendStats)
	for _, percent := range r.opts.Loads {
		for _, b := range []struct {
			variant  string
			balancer balancer
		}{{variantRandom, randomBalancer{}}, {variantReported, reported}} {
			if err := r.addLoad(ctx, b.variant, percent, directCallers(r.testbed.Deployment(), toCallers, b.balancer)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *runner) addLoad(ctx context.Context, variant string, percent int, callers []*loadgen.Caller) error {
	streams := r.streams(percent)
	if variant == variantIssuedKeys {
		streams = withIssuedKeys(streams)
	}
	result, err := r.runLoad(ctx, variant, percent, callers, streams)
	if err != nil {
		return errors.Wrapf(err, "%s at %d %%", variant, percent)
	}
	r.result.Loads = append(r.result.Loads, result)
	return nil
}

// runLoad sends load for the warm-up and the duration, and measures the latter.
func (r *runner) runLoad(ctx context.Context, variant string, percent int, callers []*loadgen.Caller, streams []loadgen.Stream) (LoadResult, error) {
	out := LoadResult{Variant: variant, Percent: percent, Rate: totalRate(streams), MachineLoad: machineLoad()}
	r.progress("%s at %d %% (%.0f requests/s, machine load %.1f)", variant, percent, out.Rate, out.MachineLoad)
	probeCtx, stopProbe := context.WithCancel(ctx)
	defer stopProbe()
	probed := make(chan []probeSample, 1)
	go func() { probed <- probeSpeed(probeCtx) }()
	results := make(chan []loadgen.Result, 1)
	started := time.Now()
	go func() { results <- loadgen.Run(ctx, callers, streams, r.opts.Warmup+r.opts.Duration) }()
	from := started.Add(r.opts.Warmup)
	to := from.Add(r.opts.Duration)
	if err := sleepUntil(ctx, from); err != nil {
		return out, err
	}
	before, err := r.snapshot(ctx)
	if err != nil {
		return out, err
	}
	usage, err := r.sampleUntil(ctx, to)
	if err != nil {
		return out, err
	}
	after, err := r.snapshot(ctx)
	if err != nil {
		return out, err
	}
	out.addCounters(r.testbed, before, after)
	out.Connections = usage.connections
	sent := <-results
	stopProbe()
	out.Services = serviceResults(sent, streams, from, to, usage)
	out.addWithoutStalls(sent, stalledRanges(<-probed), from, to)
	return out, nil
}

// serviceResults summarizes the requests that were sent between from and to, and
// the answers that arrived in that time.
func serviceResults(results []loadgen.Result, streams []loadgen.Stream, from, to time.Time, usage *usageSamples) []ServiceResult {
	var sent []loadgen.Result
	answers := map[string]int{}
	for _, r := range results {
		if within(r.SentAt, from, to) {
			sent = append(sent, r)
		}
		if isAnswer(r) && within(r.SentAt.Add(r.Latency), from, to) {
			answers[r.Service]++
		}
	}
	summaries := loadgen.Summarize(sent)
	var out []ServiceResult
	for _, stream := range streams {
		res := ServiceResult{Service: stream.Service, AtMostOnce: stream.AtMostOnce, Rate: stream.Rate}
		res.AnswerRate = float64(answers[stream.Service]) / to.Sub(from).Seconds()
		if s := summaries[stream.Service]; s != nil {
			res.Sent, res.Outcomes, res.Reasons = s.Sent, s.Outcomes, s.Reasons
			res.P50, res.P99, res.P999 = s.P50, s.P99, s.P999
		}
		if f := usage.services[stream.Service]; f != nil {
			res.Slots, res.MeanFreeSlots, res.MinFreeSlots = f.slots, f.mean(), f.min
		}
		out = append(out, res)
	}
	return out
}

// addWithoutStalls adds the latency of the requests that were sent while the
// machine was not stalled.
func (l *LoadResult) addWithoutStalls(results []loadgen.Result, stalls []timeRange, from, to time.Time) {
	sent := slices.DeleteFunc(slices.Clone(results), func(r loadgen.Result) bool { return !within(r.SentAt, from, to) })
	unstalled := withoutStalls(sent, stalls)
	if len(sent) > 0 {
		l.StalledPercent = 100 * float64(len(sent)-len(unstalled)) / float64(len(sent))
	}
	summaries := loadgen.Summarize(unstalled)
	for i := range l.Services {
		if s := summaries[l.Services[i].Service]; s != nil {
			l.Services[i].WithoutStalls = Quantiles{P50: s.P50, P99: s.P99, P999: s.P999}
		}
	}
}

func within(t, from, to time.Time) bool { return !t.Before(from) && t.Before(to) }

func isAnswer(r loadgen.Result) bool {
	return r.Outcome == loadgen.OutcomeAnswered || r.Outcome == loadgen.OutcomeRecorded
}

package scenarios

import (
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dandelionrack/dandelionrack/pkg/budget"
)

const (
	// meteringInterval is the interval between two readings of the link counters.
	meteringInterval = 100 * time.Millisecond
	// controlBytesPerSecond is the allowed control traffic of one entry instance
	// (docs/design.md section 1.7), which the byte budget does not include.
	controlBytesPerSecond = 12 << 10
)

// linkSample holds the bytes transferred so far, by direction "FROM>TO".
type linkSample struct {
	at    time.Time
	bytes map[string]int64
}

// cmdMetering samples the bytes transferred between regions until the script ends:
// metering
func cmdMetering(s *scenario, _ *testscript.TestScript, a *arguments) error {
	if err := a.done(); err != nil {
		return err
	}
	go func() {
		for s.ctx.Err() == nil {
			if sample, err := s.readLinks(); err == nil {
				s.mu.Lock()
				s.samples = append(s.samples, sample)
				s.mu.Unlock()
			}
			time.Sleep(meteringInterval)
		}
	}()
	return nil
}

func (s *scenario) readLinks() (linkSample, error) {
	out := linkSample{at: time.Now(), bytes: map[string]int64{}}
	reports, err := s.testbed.LinkReports(s.ctx)
	for _, r := range reports {
		parts := strings.Split(r.Name, "/")
		if parts[0] != "peer" {
			continue
		}
		from, to := s.regionOf(parts[1]), s.regionOf(parts[2])
		out.bytes[from+">"+to] += r.ForwardBytes
		out.bytes[to+">"+from] += r.ReverseBytes
	}
	return out, err
}

func (s *scenario) regionOf(entry string) string {
	in, err := s.testbed.EntryInstance(entry)
	if err != nil {
		return ""
	}
	dep := s.testbed.Deployment()
	return dep.RegionOf(in.FailureDomain)
}

// cmdLinkBytes requires that one region sent no more than its byte budget to
// another in any window, and at least a share of the budget in some window, so
// that the load was high enough to test the limit:
// linkbytes FROM>TO link_bits=N [message=BYTES] [window=5s] [least=50%]
//
// The budget allows a burst of budget.LinkBurst, lets each entry instance send
// one message that exceeds the burst, and does not count control traffic.
func cmdLinkBytes(s *scenario, ts *testscript.TestScript, a *arguments) error {
	pair := a.positional("direction")
	bits := int64(a.number("link_bits", 0))
	message := a.number("message", 0)
	window, minShare := a.duration("window", 5*time.Second), a.number("least", 50)
	if err := a.done(); err != nil {
		return err
	}
	from, _, _ := strings.Cut(pair, ">")
	instances := s.entryInstancesIn(from)
	rate := budget.LinkRate(bits, instances) * float64(instances)
	allowed := rate*(window+budget.LinkBurst+meteringInterval).Seconds() + float64(instances)*(message+controlBytesPerSecond*window.Seconds())
	maximum := s.maxBytes(pair, window)
	ts.Logf("%s: at most %d bytes in %s; the budget allows %.0f", pair, maximum, window, allowed)
	if float64(maximum) > allowed {
		return errors.Errorf("%s carried %d bytes in %s, the budget allows %.0f", pair, maximum, window, allowed)
	}
	if float64(maximum) < rate*window.Seconds()*minShare/100 {
		return errors.Errorf("%s carried only %d bytes in %s, less than %.0f %% of the budget", pair, maximum, window, minShare)
	}
	return nil
}

func (s *scenario) entryInstancesIn(region string) int {
	n := 0
	for _, in := range s.testbed.Deployment().EntryInstances {
		if s.regionOf(in.ID) == region {
			n++
		}
	}
	return n
}

// maxBytes returns the maximum number of bytes transferred between two samples
// that are at most a window apart.
func (s *scenario) maxBytes(pair string, window time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var maximum int64
	first := 0
	for _, sample := range s.samples {
		for sample.at.Sub(s.samples[first].at) > window {
			first++
		}
		maximum = max(maximum, sample.bytes[pair]-s.samples[first].bytes[pair])
	}
	return maximum
}

// cmdHedges requires that no request of a load ran more than twice, that there
// were at least min second runs, and that they are at most a share of all
// requests and of the requests at each entry instance. Each entry instance has
// its own retry budget, which always allows budget.MinRetries:
// hedges NAME [share=10%] [min=1]
//
// Second runs of nine seconds are compared with the requests of the ten seconds
// up to the same end, because the budget counts in whole seconds.
func cmdHedges(s *scenario, ts *testscript.TestScript, a *arguments) error {
	j, err := s.finishedJob(a.positional("name"))
	if err != nil {
		return err
	}
	share, minCount := a.number("share", 10), int(a.number("min", 1))
	if err := a.done(); err != nil {
		return err
	}
	all, err := s.testbed.BackendRuns(s.ctx, "")
	if err != nil {
		return err
	}
	starts := map[string][]time.Time{}
	for _, r := range all {
		starts[r.RequestID] = append(starts[r.RequestID], r.Start)
	}
	total, first, second := 0, map[string][]time.Time{}, map[string][]time.Time{}
	for _, r := range j.results {
		runs := starts[r.RequestID]
		slices.SortFunc(runs, time.Time.Compare)
		if len(runs) > 2 {
			return errors.Errorf("request %s ran %d times", r.RequestID, len(runs))
		}
		extra := runs[min(1, len(runs)):]
		total += len(extra)
		first[r.Entry] = append(first[r.Entry], r.SentAt)
		second[r.Entry] = append(second[r.Entry], extra...)
	}
	ts.Logf("hedges: %d second runs of %d requests", total, len(j.results))
	if total < minCount || float64(total) > share/100*float64(len(j.results)) {
		return errors.Errorf("%d second runs of %d requests, want %d to %.0f %%", total, len(j.results), minCount, share)
	}
	for id, list := range second {
		for _, end := range list {
			extra := countBetween(list, end.Add(time.Second-budget.RetryWindow), end)
			requests := countBetween(first[id], end.Add(-budget.RetryWindow), end)
			if extra > budget.MinRetries && float64(extra) > share/100*float64(requests) {
				return errors.Errorf("%s: %d second runs in 9 s up to %s, with %d requests in 10 s", id, extra, end.Format(time.TimeOnly), requests)
			}
		}
	}
	return nil
}

// countBetween counts the times in the interval (from, to].
func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// cmdRateLimit requires that all entry instances together accepted no more than a
// rate plus its burst in any interval, and that an entry instance refused requests
// with rate_limit only after it had accepted its full share: ratelimit NAME rate=N
func cmdRateLimit(s *scenario, ts *testscript.TestScript, a *arguments) error {
	j, err := s.finishedJob(a.positional("name"))
	if err != nil {
		return err
	}
	rate := a.number("rate", 0)
	if err := a.done(); err != nil {
		return err
	}
	share := rate / float64(len(s.testbed.Deployment().EntryInstances))
	var all []time.Time
	accepted, refused := map[string][]time.Time{}, map[string][]time.Time{}
	for _, r := range j.results {
		if r.Reason == "rate_limit" {
			refused[r.Entry] = append(refused[r.Entry], r.SentAt)
			continue
		}
		accepted[r.Entry] = append(accepted[r.Entry], r.SentAt)
		all = append(all, r.SentAt)
	}
	ts.Logf("rate limit: %d accepted, %d refused", len(all), len(j.results)-len(all))
	slices.SortFunc(all, time.Time.Compare)
	// A request arrives at its entry instance up to transitAllowance after SentAt.
	for i, from := range all {
		for k := i; k < len(all); k++ {
			span := all[k].Sub(from) + budget.RateBurst + transitAllowance
			if float64(k-i+1) > rate*span.Seconds() {
				return errors.Errorf("%d requests accepted in %s", k-i+1, all[k].Sub(from))
			}
		}
	}
	// A refusal is correct if the share was exhausted over any interval before it.
	for id, list := range refused {
		for _, at := range list {
			if !shareExhausted(accepted[id], at.Add(transitAllowance), share) {
				return errors.Errorf("%s refused at %s with less than its share of %.1f/s accepted", id, at.Format(time.TimeOnly), share)
			}
		}
	}
	return nil
}

// shareExhausted reports whether a token bucket with the rate of a share and a
// burst of one second may have been empty at a time.
func shareExhausted(accepted []time.Time, at time.Time, share float64) bool {
	for _, from := range accepted {
		n := countBetween(accepted, from.Add(-time.Nanosecond), at)
		if span := at.Sub(from) - 2*transitAllowance; float64(n) >= share*(span+budget.RateBurst).Seconds()-1 {
			return true
		}
	}
	return false
}

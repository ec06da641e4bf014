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
	// meterInterval is the pause between two readings of the links.
	meterInterval = 100 * time.Millisecond
	// controlBytes may be used by the control traffic of one node in a second
	// (section 1.7 of the design page); it is not part of the byte budget.
	controlBytes = 12 << 10
)

// linkSample is the number of bytes carried so far, by direction "FROM>TO".
type linkSample struct {
	at    time.Time
	bytes map[string]int64
}

// cmdMetering reads the bytes between regions until the script ends: metering
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
			time.Sleep(meterInterval)
		}
	}()
	return nil
}

func (s *scenario) readLinks() (linkSample, error) {
	out := linkSample{at: time.Now(), bytes: map[string]int64{}}
	reports, err := s.bed.LinkReports(s.ctx)
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
	in, err := s.bed.EntryInstance(entry)
	if err != nil {
		return ""
	}
	dep := s.bed.Deployment()
	return dep.RegionOf(in.FailureDomain)
}

// cmdLinkBytes requires that one region sent another no more than its budget in
// any window, and at least a share of it, so that the load did need the limit:
// linkbytes FROM>TO link_bits=N [message=BYTES] [window=5s] [least=50%]
//
// The budget saves up budget.LinkBurst, lets each seat send one message that is
// larger than that, and does not count control traffic.
func cmdLinkBytes(s *scenario, ts *testscript.TestScript, a *arguments) error {
	pair := a.word("direction")
	bits := int64(a.number("link_bits", 0))
	message := a.number("message", 0)
	window, least := a.duration("window", 5*time.Second), a.number("least", 50)
	if err := a.done(); err != nil {
		return err
	}
	from, _, _ := strings.Cut(pair, ">")
	seats := s.seatsOf(from)
	rate := budget.LinkRate(bits, seats) * float64(seats)
	allowed := rate*(window+budget.LinkBurst+meterInterval).Seconds() + float64(seats)*(message+controlBytes*window.Seconds())
	most := s.mostBytes(pair, window)
	ts.Logf("%s: at most %d bytes in %s; the budget allows %.0f", pair, most, window, allowed)
	if float64(most) > allowed {
		return errors.Errorf("%s carried %d bytes in %s, the budget allows %.0f", pair, most, window, allowed)
	}
	if float64(most) < rate*window.Seconds()*least/100 {
		return errors.Errorf("%s carried only %d bytes in %s, less than %.0f %% of the budget", pair, most, window, least)
	}
	return nil
}

func (s *scenario) seatsOf(region string) int {
	n := 0
	for _, in := range s.bed.Deployment().EntryInstances {
		if s.regionOf(in.ID) == region {
			n++
		}
	}
	return n
}

// mostBytes is the largest number of bytes between two readings that are at
// most a window apart.
func (s *scenario) mostBytes(pair string, window time.Duration) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var most int64
	first := 0
	for _, sample := range s.samples {
		for sample.at.Sub(s.samples[first].at) > window {
			first++
		}
		most = max(most, sample.bytes[pair]-s.samples[first].bytes[pair])
	}
	return most
}

// cmdHedges requires that no request of a load ran more than twice, that second
// runs are at most a share of the requests at each entry instance, which has a
// budget of its own with a floor of budget.MinRetries, and of all requests, and
// that there were some: hedges NAME [share=10%] [min=1]
//
// Second runs of nine seconds are compared with the requests of the ten seconds
// up to the same end, because the budget counts in whole seconds.
func cmdHedges(s *scenario, ts *testscript.TestScript, a *arguments) error {
	j, err := s.finished(a.word("name"))
	if err != nil {
		return err
	}
	share, least := a.number("share", 10), int(a.number("min", 1))
	if err := a.done(); err != nil {
		return err
	}
	all, err := s.bed.BackendRuns(s.ctx, "")
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
	if total < least || float64(total) > share/100*float64(len(j.results)) {
		return errors.Errorf("%d second runs of %d requests, want %d to %.0f %%", total, len(j.results), least, share)
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

// countBetween counts the times after from, up to to.
func countBetween(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// cmdRateLimit requires that the entry instances together accepted no more than
// a rate, with its burst, in any time, and that each one that refused for the
// rate had accepted its whole share: ratelimit NAME rate=N
func cmdRateLimit(s *scenario, ts *testscript.TestScript, a *arguments) error {
	j, err := s.finished(a.word("name"))
	if err != nil {
		return err
	}
	rate := a.number("rate", 0)
	if err := a.done(); err != nil {
		return err
	}
	share := rate / float64(len(s.bed.Deployment().EntryInstances))
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
	// wayAllowance: requests reach the entry instances later than they were due.
	for i, from := range all {
		for k := i; k < len(all); k++ {
			span := all[k].Sub(from) + budget.RateBurst + wayAllowance
			if float64(k-i+1) > rate*span.Seconds() {
				return errors.Errorf("%d requests accepted in %s", k-i+1, all[k].Sub(from))
			}
		}
	}
	// A refusal is true if, some time before, the share was used up since then.
	for id, list := range refused {
		for _, at := range list {
			if !usedUp(accepted[id], at.Add(wayAllowance), share) {
				return errors.Errorf("%s refused at %s with less than its share of %.1f/s accepted", id, at.Format(time.TimeOnly), share)
			}
		}
	}
	return nil
}

// usedUp reports whether a token bucket of a share, with a burst of one second,
// has been empty at a time.
func usedUp(accepted []time.Time, at time.Time, share float64) bool {
	for _, from := range accepted {
		n := countBetween(accepted, from.Add(-time.Nanosecond), at)
		if span := at.Sub(from) - 2*wayAllowance; float64(n) >= share*(span+budget.RateBurst).Seconds()-1 {
			return true
		}
	}
	return false
}

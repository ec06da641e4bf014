package bench

import (
	"context"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	"github.com/dandelionrack/dandelionrack/pkg/config"
)

const (
	// failoverPercent leaves enough slots without those of the killed entry
	// instance, so that overload does not cause failed requests.
	failoverPercent = 50
	// failoverWindow is the time after the kill in which requests are counted.
	failoverWindow = 5 * time.Second
)

// measureFailover kills the only entry instance of the last failure domain
// under load.
func (r *runner) measureFailover(ctx context.Context) error {
	entries := r.testbed.Deployment().EntryInstances
	killed := entries[len(entries)-1]
	r.progress("kill of %s at %d %%", killed.ID, failoverPercent)
	localCallers := map[string]bool{}
	for n := range callersPerDomain {
		c, err := r.testbed.Caller(killed.FailureDomain, n, r.token())
		if err != nil {
			return err
		}
		localCallers[c.ClientAddr] = true
	}
	var before, after snapshot
	var killedAt time.Time
	results, err := r.underLoad(ctx, failoverPercent, func(ctx context.Context) (err error) {
		if before, err = r.snapshot(ctx); err != nil {
			return err
		}
		killedAt = time.Now()
		if err := r.testbed.Kill(killed.ID); err != nil {
			return err
		}
		if err := sleepUntil(ctx, killedAt.Add(failoverWindow)); err != nil {
			return err
		}
		after, err = r.snapshot(ctx)
		return err
	})
	if err != nil {
		return err
	}
	out := &FailoverResult{Entry: killed.ID, Percent: failoverPercent, Overruns: overruns(before, after)}
	out.addResults(results, r.testbed.Contract(), localCallers, killedAt)
	r.result.Failover = out
	return nil
}

// addResults counts the requests that the kill may have affected. localCallers has
// the client addresses of the callers in the killed instance's failure domain.
func (f *FailoverResult) addResults(results []loadgen.Result, contract config.Contract, localCallers map[string]bool, killedAt time.Time) {
	f.Idempotent = map[string]int{}
	f.AtMostOnce = map[string]int{}
	first := time.Time{}
	for _, res := range results {
		ended := res.SentAt.Add(res.Latency)
		if ended.Before(killedAt) || res.SentAt.After(killedAt.Add(failoverWindow)) {
			continue
		}
		counts := f.AtMostOnce
		if svc, ok := contract.FindService(res.Service); ok && svc.Idempotent {
			counts = f.Idempotent
		}
		counts[outcomeOf(res)]++
		if !localCallers[res.ClientAddr] || !isAnswer(res) {
			continue
		}
		f.SlowestAnswer = max(f.SlowestAnswer, config.Duration(res.Latency))
		if res.SentAt.After(killedAt) && (first.IsZero() || ended.Before(first)) {
			first = ended
		}
	}
	if !first.IsZero() {
		f.TimeToFirstAnswer = config.Duration(first.Sub(killedAt))
	}
}

func outcomeOf(r loadgen.Result) string {
	if r.Reason == "" {
		return r.Outcome
	}
	return r.Outcome + " " + r.Reason
}

package bench

import (
	"context"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	"github.com/dandelionrack/dandelionrack/pkg/config"
)

const (
	// failoverPercent leaves enough slots without those of the dead entry
	// instance, so that a failed request has another cause than overload.
	failoverPercent = 50
	// failoverWatch is the time after the death that is looked at.
	failoverWatch = 5 * time.Second
)

// measureFailover kills the only entry instance of the last failure domain.
func (r *runner) measureFailover(ctx context.Context) error {
	entries := r.bed.Deployment().EntryInstances
	victim := entries[len(entries)-1]
	r.progress("death of %s at %d %%", victim.ID, failoverPercent)
	clients := map[string]bool{}
	for n := range callersPerDomain {
		c, err := r.bed.Caller(victim.FailureDomain, n, r.token())
		if err != nil {
			return err
		}
		clients[c.ClientAddr] = true
	}
	var before, after snapshot
	var died time.Time
	results, err := r.underLoad(ctx, failoverPercent, func(ctx context.Context) (err error) {
		if before, err = r.snapshot(ctx); err != nil {
			return err
		}
		died = time.Now()
		if err := r.bed.Kill(victim.ID); err != nil {
			return err
		}
		if err := sleepUntil(ctx, died.Add(failoverWatch)); err != nil {
			return err
		}
		after, err = r.snapshot(ctx)
		return err
	})
	if err != nil {
		return err
	}
	out := &FailoverResult{Entry: victim.ID, Percent: failoverPercent, Overruns: overruns(before, after)}
	out.addResults(results, r.bed.Contract(), clients, died)
	r.result.Failover = out
	return nil
}

// addResults looks at the requests that the death can have affected.
func (f *FailoverResult) addResults(results []loadgen.Result, contract config.Contract, clients map[string]bool, died time.Time) {
	f.Idempotent = map[string]int{}
	f.AtMostOnce = map[string]int{}
	first := time.Time{}
	for _, res := range results {
		ended := res.SentAt.Add(res.Latency)
		if ended.Before(died) || res.SentAt.After(died.Add(failoverWatch)) {
			continue
		}
		counts := f.AtMostOnce
		if svc, ok := contract.FindService(res.Service); ok && svc.Idempotent {
			counts = f.Idempotent
		}
		counts[outcomeOf(res)]++
		if !clients[res.ClientAddr] || !isAnswer(res) {
			continue
		}
		f.SlowestAnswer = max(f.SlowestAnswer, config.Duration(res.Latency))
		if res.SentAt.After(died) && (first.IsZero() || ended.Before(first)) {
			first = ended
		}
	}
	if !first.IsZero() {
		f.TimeToFirstAnswer = config.Duration(first.Sub(died))
	}
}

func outcomeOf(r loadgen.Result) string {
	if r.Reason == "" {
		return r.Outcome
	}
	return r.Outcome + " " + r.Reason
}

package testbed

import (
	"fmt"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
)

// SampleDelays returns the delays of a sample deployment.
func SampleDelays(deployment string) *Delays {
	d := &Delays{BetweenDomains: 500 * time.Microsecond, ToCallers: 8 * time.Millisecond, PlatformRegion: "attiki"}
	if deployment == "hesabu" {
		d.PlatformRegion = "dar"
	}
	return d
}

// Audit compares the results of callers with the runs of the backend servers:
// no key runs twice, an answered request has a completed run, and a request that
// was refused as not run has none. A refusal applies to its own attempt only, so
// another result with the same key may have run.
func Audit(results []loadgen.Result, runs []backendstandin.Run) []string {
	byKey := map[string][]backendstandin.Run{}
	byRequest := map[string][]backendstandin.Run{}
	for _, run := range runs {
		if run.IdempotencyKey != "" {
			byKey[run.IdempotencyKey] = append(byKey[run.IdempotencyKey], run)
		}
		byRequest[run.RequestID] = append(byRequest[run.RequestID], run)
	}
	var problems []string
	for key, list := range byKey {
		if len(list) > 1 {
			problems = append(problems, fmt.Sprintf("key %s ran %d times", key, len(list)))
		}
	}
	mayHaveRun := keysThatMayHaveRun(results)
	for _, r := range results {
		list := byRequest[r.RequestID]
		if r.Key != "" {
			list = byKey[r.Key]
		}
		switch r.Outcome {
		case loadgen.OutcomeAnswered, loadgen.OutcomeRecorded:
			if !anyCompleted(list) {
				problems = append(problems, fmt.Sprintf("request %s (key %q) was answered without a completed run", r.RequestID, r.Key))
			}
		case loadgen.OutcomeNotRun:
			ran := len(byRequest[r.RequestID]) > 0 || (len(list) > 0 && !mayHaveRun[r.Key])
			if r.RequestID != "" && ran {
				problems = append(problems, fmt.Sprintf("request %s (key %q) was refused as not run (%s) but ran", r.RequestID, r.Key, r.Reason))
			}
		}
	}
	return problems
}

// keysThatMayHaveRun returns the keys of results other than "not run".
func keysThatMayHaveRun(results []loadgen.Result) map[string]bool {
	out := map[string]bool{}
	for _, r := range results {
		if r.Key != "" && r.Outcome != loadgen.OutcomeNotRun {
			out[r.Key] = true
		}
	}
	return out
}

func anyCompleted(runs []backendstandin.Run) bool {
	for _, r := range runs {
		if r.Completed {
			return true
		}
	}
	return false
}

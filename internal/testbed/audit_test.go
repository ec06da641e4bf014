package testbed

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
)

// Guards against an audit that misses a duplicate run, an answer without a
// completed run, or a refusal of a request that ran, and against one that
// rejects a correct refusal because another attempt with the same key ran.
func TestAuditReportsInconsistentResults(t *testing.T) {
	run := backendstandin.Run{RequestID: "r1", IdempotencyKey: "k1", Completed: true}
	interrupted := backendstandin.Run{RequestID: "r1", IdempotencyKey: "k1"}
	answered := loadgen.Result{RequestID: "r1", Key: "k1", Outcome: loadgen.OutcomeAnswered}
	refused := loadgen.Result{RequestID: "r2", Key: "k1", Outcome: loadgen.OutcomeNotRun}
	for _, tt := range []struct {
		name     string
		results  []loadgen.Result
		runs     []backendstandin.Run
		problems int
	}{
		{"one run, one answer", []loadgen.Result{answered}, []backendstandin.Run{run}, 0},
		{"two runs of a key", []loadgen.Result{answered}, []backendstandin.Run{run, run}, 1},
		{"answer without a run", []loadgen.Result{answered}, nil, 1},
		{"answer of a run that was interrupted", []loadgen.Result{answered}, []backendstandin.Run{interrupted}, 1},
		{"refusal of a key that ran, with no other result", []loadgen.Result{refused}, []backendstandin.Run{run}, 1},
		{"refusal of another attempt", []loadgen.Result{answered, refused}, []backendstandin.Run{run}, 0},
		{"refusal of the attempt that ran", []loadgen.Result{answered, {RequestID: "r1", Key: "k1", Outcome: loadgen.OutcomeNotRun}}, []backendstandin.Run{run}, 1},
		{"refusal of an idempotent request that ran", []loadgen.Result{{RequestID: "r3", Outcome: loadgen.OutcomeNotRun}}, []backendstandin.Run{{RequestID: "r3"}}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			require.Len(t, Audit(tt.results, tt.runs), tt.problems)
		})
	}
}

// Guards against two testbeds that start at the same time on the same ports.
func TestPortRangesAreReserved(t *testing.T) {
	seen := map[int]bool{}
	for range 20 {
		base, rangeListener, err := reservePortRange()
		require.NoError(t, err)
		defer func() { _ = rangeListener.Close() }()
		require.False(t, seen[base])
		seen[base] = true
	}
}

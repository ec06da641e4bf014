package testbed

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
)

// Guards against an audit that passes over a second run, an answer without a
// completed run, or a false refusal, and against one that takes a refused
// attempt for false because another attempt of its key ran.
func TestAuditFindsEveryKindOfLie(t *testing.T) {
	run := backendstandin.Run{RequestID: "r1", IdempotencyKey: "k1", Completed: true}
	cut := backendstandin.Run{RequestID: "r1", IdempotencyKey: "k1"}
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
		{"answer of a run that was cut", []loadgen.Result{answered}, []backendstandin.Run{cut}, 1},
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

// Guards against two beds that start at the same moment on the same ports.
func TestPortRangesAreReserved(t *testing.T) {
	seen := map[int]bool{}
	for range 20 {
		base, guard, err := reserveBase()
		require.NoError(t, err)
		defer func() { _ = guard.Close() }()
		require.False(t, seen[base])
		seen[base] = true
	}
}

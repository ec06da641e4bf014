package audit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func records(second, n int, incarnation, home, region string) []Record {
	out := make([]Record, n)
	for i := range out {
		out[i] = Record{time.Unix(int64(second), 0), home, region, incarnation}
	}
	return out
}

func kinds(r Report) map[string]bool {
	out := map[string]bool{}
	for _, v := range r.Violations {
		out[v.Kind] = true
	}
	return out
}

// Guards against a checker that accepts every log: each log breaks one rule.
func TestCheckFindsViolations(t *testing.T) {
	const w = 10 * time.Second
	inc, ret := map[string]bool{"increase": true}, map[string]bool{"return": true}
	grow := records(1000, 4, "a", "dar", "mwanza")
	require.Equal(t, inc, kinds(Check(grow, 3, w)))
	require.Empty(t, Check(grow, 4, w).Violations)
	two := append(records(1000, 2, "a", "dar", "mwanza"), records(1003, 2, "b", "dar", "mwanza")...)
	require.Equal(t, inc, kinds(Check(two, 3, w)), "the sum over seats counts")
	swap := append(records(1000, 2, "a", "dar", "mwanza"), records(1010, 3, "a", "dar", "arusha")...)
	require.Equal(t, inc, kinds(Check(swap, 2, w)), "a move between remote regions counts")

	back := append(records(1000, 3, "a", "dar", "mwanza"), records(1010, 4, "a", "dar", "dar")...)
	require.Equal(t, 3, Check(back, 3, w).MaxReturn)
	back = append(back, records(990, 3, "a", "dar", "dar")...)
	require.Equal(t, 3, Check(back, 3, w).MaxReturn)
	slow := append(records(990, 2, "a", "dar", "mwanza"), records(1000, 4, "a", "dar", "mwanza")...)
	slow = append(slow, records(1010, 4, "a", "dar", "dar")...)
	require.Equal(t, ret, kinds(Check(slow, 3, w)))
	full := append(slow, records(1010, 1, "a", "dar", "")...)
	require.Empty(t, Check(full, 3, w).Violations, "a refused request has not returned")
	moved := append(records(990, 2, "a", "dar", "mwanza"), records(1000, 4, "a", "dar", "mwanza")...)
	moved = append(moved, records(1010, 4, "b", "dar", "dar")...)
	report := Check(moved, 3, w)
	require.Empty(t, report.Violations, "the demand moved to another seat")
	require.Equal(t, 4, report.MaxReturnCombined)
}

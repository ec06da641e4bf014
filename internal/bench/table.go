package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/config"
)

// table prints Markdown tables, which can be copied into a documentation page.
type table struct{ w io.Writer }

func (t table) printf(format string, args ...any) { _, _ = fmt.Fprintf(t.w, format, args...) }

func (t table) head(columns ...string) {
	t.printf("\n| %s |\n|%s\n", strings.Join(columns, " | "), strings.Repeat("---|", len(columns)))
}

func (t table) row(cells ...any) {
	text := make([]string, len(cells))
	for i, c := range cells {
		switch v := c.(type) {
		case float64:
			text[i] = fmt.Sprintf("%.1f", v)
		case config.Duration:
			text[i] = v.Std().Round(100 * time.Microsecond).String()
		default:
			text[i] = fmt.Sprint(v)
		}
	}
	t.printf("| %s |\n", strings.Join(text, " | "))
}

// Print writes the report as Markdown tables.
func (r *Report) Print(w io.Writer) {
	t := table{w}
	t.printf("%s, %d CPUs, %s, `%s`\n", r.At.Format(time.RFC3339), r.CPUs, r.Go, r.Command)
	for _, d := range r.Deployments {
		t.printf("\n## %s\n", d.Deployment)
		d.print(t)
	}
}

func (d *DeploymentResult) print(t table) {
	if l := d.Latency; l != nil {
		t.printf("\nAdded latency inside %s at %d %% (machine load %.1f; machine stalled for %.0f %% of the direct and %.0f %% of the system's requests)\n",
			l.FailureDomain, l.System.Percent, l.System.MachineLoad, l.Direct.StalledPercent, l.System.StalledPercent)
		l.print(t)
	}
	if len(d.Loads) > 0 {
		printLoads(t, d.Loads)
	}
	if x := d.Drain; x != nil {
		t.head("drain of", "load %", "idle after", "last run began after", "longest run", "limit", "runs cut off")
		t.row(x.Server, x.Percent, x.TimeToIdle, x.LastRunStart, x.LongestRun, x.Limit, x.RunsNotCompleted)
	}
	if x := d.Changes; x != nil {
		t.head("changes", "load %", "accepted p50", "accepted max", "in force p50", "in force max")
		t.row(x.Changes, x.Percent, x.AcceptP50, x.AcceptMax, x.InForceP50, x.InForceMax)
	}
	if x := d.Failover; x != nil {
		t.head("death of", "load %", "served after", "slowest answer", "idempotent", "at most once", "overruns")
		t.row(x.Entry, x.Percent, x.TimeToFirstAnswer, x.SlowestAnswer, counts(x.Idempotent), counts(x.AtMostOnce), x.Overruns)
	}
}

func (l *LatencyResult) print(t table) {
	t.head("service", "direct p50 ms", "p99", "p99.9", "system p50 ms", "p99", "p99.9", "added p50 ms", "p99", "p99.9", "added p50 ms, machine not stalled", "p99", "outcomes")
	for i, a := range l.Added {
		l.printRow(t, l.System.Services[i], i, a, "")
	}
	for i, a := range l.AddedWithIssuedKeys {
		if l.SystemWithIssuedKeys.Services[i].AtMostOnce {
			l.printRow(t, l.SystemWithIssuedKeys.Services[i], i, a, ", issued keys")
		}
	}
}

func (l *LatencyResult) printRow(t table, s ServiceResult, i int, a AddedLatency, suffix string) {
	ms := func(v float64) string { return fmt.Sprintf("%.2f", v) }
	d := l.Direct.Services[i]
	t.row(a.Service+suffix, ms(d.P50), ms(d.P99), ms(d.P999), ms(s.P50), ms(s.P99), ms(s.P999), ms(a.P50), ms(a.P99), ms(a.P999),
		ms(s.WithoutStalls.P50-d.WithoutStalls.P50), ms(s.WithoutStalls.P99-d.WithoutStalls.P99), counts(s.Outcomes))
}

func printLoads(t table, loads []LoadResult) {
	t.head("variant", "load %", "service", "sent/s", "answers/s", "p50 ms", "p99 ms", "p99.9 ms", "free slots mean", "min", "of", "outcomes", "reasons")
	for _, l := range loads {
		for _, s := range l.Services {
			t.row(l.Variant, l.Percent, s.Service, s.Rate, s.AnswerRate, s.P50, s.P99, s.P999, s.MeanFreeSlots, s.MinFreeSlots, s.Slots, counts(s.Outcomes), counts(s.Reasons))
		}
	}
	t.head("variant", "load %", "sent/s", "answers/s", "overruns", "connections", "store reads/s", "transactions/s", "rows/s", "links kB/s", "busiest link", "% used", "machine load")
	for _, l := range loads {
		t.row(l.Variant, l.Percent, l.Rate, l.AnswerRate(), l.Overruns, l.Connections, l.StoreReads, l.StoreCommits, l.StoreWrites, l.LinkBytes/1e3, l.BusiestLink, fmt.Sprintf("%.2f", l.BusiestLinkPercent), l.MachineLoad)
	}
}

func counts(m map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, m[name]))
	}
	return strings.Join(parts, ", ")
}

package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
)

// WriteResults writes one JSON line per result to file. It does nothing if file
// is empty.
func WriteResults(file string, results []Result) error {
	if file == "" {
		return nil
	}
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(out)
	for _, r := range results {
		if err := encoder.Encode(r); err != nil {
			_ = out.Close()
			return err
		}
	}
	return out.Close()
}

// PrintSummaries prints a table with one line per service.
func PrintSummaries(w io.Writer, summaries map[string]*Summary) {
	_, _ = fmt.Fprintf(w, "%-12s %8s %9s %9s %9s %9s  %s\n", "service", "sent", "p50 ms", "p99 ms", "p99.9 ms", "max ms", "outcomes and reasons")
	for _, name := range slices.Sorted(maps.Keys(summaries)) {
		s := summaries[name]
		_, _ = fmt.Fprintf(w, "%-12s %8d %9.1f %9.1f %9.1f %9.1f  %v %v\n", name, s.Sent, s.P50, s.P99, s.P999, s.Max, s.Outcomes, s.Reasons)
	}
}

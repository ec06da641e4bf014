package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

// report prints one line per measured size.
type report struct {
	format string
	w      io.Writer
}

// metric is one measured value. Its name includes the unit, such as "cpu_us".
type metric struct {
	name  string
	value float64
}

// row prints the metrics of one size.
func (r *report) row(title string, metrics ...metric) {
	if r.format == "json" {
		line := map[string]any{"title": title}
		for _, m := range metrics {
			line[m.name] = m.value
		}
		_ = json.NewEncoder(r.w).Encode(line)
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%-34s", title)
	for _, m := range metrics {
		fmt.Fprintf(&b, "  %s=%.4g", m.name, m.value)
	}
	fmt.Fprintln(r.w, b.String())
}

// failedRow prints why a size could not be measured.
func (r *report) failedRow(title string, err error) {
	if r.format == "json" {
		_ = json.NewEncoder(r.w).Encode(map[string]any{"title": title, "error": err.Error()})
		return
	}
	fmt.Fprintf(r.w, "%-34s  FAILED: %v\n", title, err)
}

// machineLoad prints the load average, because results from a busy machine are
// not comparable.
func (r *report) machineLoad() {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return
	}
	var oneMinute float64
	if _, err := fmt.Sscan(string(data), &oneMinute); err != nil {
		return
	}
	r.row("machine", metric{"load_1min", oneMinute})
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

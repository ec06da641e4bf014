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

// field is one figure with its name and unit, such as "cpu_us".
type field struct {
	name  string
	value float64
}

// row prints the figures of one size.
func (r *report) row(title string, fields ...field) {
	if r.format == "json" {
		line := map[string]any{"title": title}
		for _, f := range fields {
			line[f.name] = f.value
		}
		_ = json.NewEncoder(r.w).Encode(line)
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%-34s", title)
	for _, f := range fields {
		fmt.Fprintf(&b, "  %s=%.4g", f.name, f.value)
	}
	fmt.Fprintln(r.w, b.String())
}

// failed prints that a size could not be measured, and why.
func (r *report) failed(title string, err error) {
	if r.format == "json" {
		_ = json.NewEncoder(r.w).Encode(map[string]any{"title": title, "error": err.Error()})
		return
	}
	fmt.Fprintf(r.w, "%-34s  FAILED: %v\n", title, err)
}

// load prints the load of the machine, because figures from a busy machine
// are not comparable.
func (r *report) load() {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return
	}
	var oneMinute float64
	if _, err := fmt.Sscan(string(data), &oneMinute); err != nil {
		return
	}
	r.row("machine", field{"load_1min", oneMinute})
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

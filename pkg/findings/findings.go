// Package findings collects the problems of a document or settings file with
// their locations, to report them all together.
package findings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is a problem and its location.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String formats the finding as "file:line: path: message" without the parts that
// are not set.
func (f Finding) String() string {
	var b strings.Builder
	switch {
	case f.File != "" && f.Line > 0:
		fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	case f.File != "":
		fmt.Fprintf(&b, "%s: ", f.File)
	}
	if f.Path != "" {
		b.WriteString(f.Path)
		b.WriteString(": ")
	}
	b.WriteString(f.Message)
	return b.String()
}

// List collects findings. The zero value is empty and ready to use.
type List struct {
	items []Finding
}

// Add records a problem at a path such as "contracts[0].services[2].timeout".
func (l *List) Add(path, format string, args ...any) {
	l.items = append(l.items, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
}

// AddFinding records a finding that may already have a file and line.
func (l *List) AddFinding(f Finding) {
	l.items = append(l.items, f)
}

// Items returns the findings sorted by file, line and path.
func (l *List) Items() []Finding {
	out := append([]Finding(nil), l.items...)
	sort.SliceStable(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Path < b.Path
	})
	return out
}

// Locate sets the file and line of each finding that has no file. The function line
// returns the line of a path.
func (l *List) Locate(file string, line func(path string) int) {
	for i := range l.items {
		if l.items[i].File != "" {
			continue
		}
		l.items[i].File = file
		l.items[i].Line = line(l.items[i].Path)
	}
}

// Err returns nil when the list is empty, else an *Error with all findings.
func (l *List) Err() error {
	if len(l.items) == 0 {
		return nil
	}
	return &Error{Findings: l.Items()}
}

// Error is an error with one or more findings. Its text has one line for each.
type Error struct {
	Findings []Finding
}

func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Package findings collects the problems of a document or settings file with
// their places, so that all of them are reported together.
package findings

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one problem and the place where it was found.
type Finding struct {
	File    string `json:"file,omitempty"`
	Line    int    `json:"line,omitempty"`
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String formats the finding as "file:line: path: message" and leaves out
// the parts that are not known.
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

// List is a set of findings. The zero value is empty and ready to use.
type List struct {
	items []Finding
}

// Add records a problem at a path such as "contracts[0].services[2].timeout".
func (l *List) Add(path, format string, args ...any) {
	l.items = append(l.items, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
}

// AddFinding records a complete finding.
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

// Locate fills in the file and line of each finding that has none.
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

// Error reports every finding, one a line.
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

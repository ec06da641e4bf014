package settings

import (
	"strings"

	"github.com/dandelionrack/dandelionrack/pkg/findings"
)

// runCheck adds the findings of the caller's check. Findings about values that
// could not be loaded are left out: they would describe the default.
func (w *walker) runCheck(check func(*findings.List)) {
	if check == nil {
		return
	}
	var found findings.List
	check(&found)
	found.Locate(w.file, w.lineOfPath)
	for _, f := range found.Items() {
		if !w.hidden(f.Path) {
			w.list.AddFinding(f)
		}
	}
}

func (w *walker) hidden(path string) bool {
	for path != "" {
		if w.bad[path] {
			return true
		}
		path = parent(path)
	}
	return w.bad[""]
}

// lineOfPath returns the line of a value, or of the nearest value around it
// when the file does not name it.
func (w *walker) lineOfPath(path string) int {
	for path != "" {
		if line, ok := w.lines[path]; ok {
			return line
		}
		path = parent(path)
	}
	return w.lines[""]
}

// parent cuts the last key or index off a path.
func parent(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

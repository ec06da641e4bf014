package settings

import (
	"strings"

	"github.com/dandelionrack/dandelionrack/pkg/findings"
)

// runCheck adds the findings of the caller's check. It omits findings about
// values that could not be loaded, because they would describe the defaults.
func (w *walker) runCheck(check func(*findings.List)) {
	if check == nil {
		return
	}
	var found findings.List
	check(&found)
	found.Locate(w.file, w.lineOfPath)
	for _, f := range found.Items() {
		if !w.hasFailed(f.Path) {
			w.list.AddFinding(f)
		}
	}
}

func (w *walker) hasFailed(path string) bool {
	for path != "" {
		if w.failed[path] {
			return true
		}
		path = parentPath(path)
	}
	return w.failed[""]
}

// lineOfPath returns the line of a value, or of its nearest enclosing value when
// the file does not set it.
func (w *walker) lineOfPath(path string) int {
	for path != "" {
		if line, ok := w.lines[path]; ok {
			return line
		}
		path = parentPath(path)
	}
	return w.lines[""]
}

// parentPath removes the last key or index from a path.
func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

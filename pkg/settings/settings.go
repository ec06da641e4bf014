// Package settings loads files of JSON with comments into typed structs. It
// reports every problem of a file at once, each with its file and line.
package settings

import (
	"os"
	"reflect"
	"regexp"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"github.com/dandelionrack/dandelionrack/pkg/findings"
)

const (
	// maxFileBytes bounds the memory used when the path names a wrong file.
	maxFileBytes = 64 << 20
	// maxDepth bounds the recursion of the parser, which has no limit of its
	// own.
	maxDepth = 100
)

// Load reads a file into the struct that into points to. Fields that the file
// does not set keep their values, so into can hold defaults. check, which may be
// nil, adds findings about the loaded values. On error, *into is unchanged. The
// error is a *findings.Error unless the file cannot be read.
func Load(path string, into any, check func(*findings.List)) error {
	info, err := os.Stat(path)
	if err != nil {
		return errors.Wrap(err, "load settings")
	}
	if info.Size() > maxFileBytes {
		return errors.Errorf("load settings: %s is larger than %d bytes", path, maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "load settings")
	}
	return Parse(path, data, into, check)
}

// Parse is Load for data in memory. file is used in findings only.
func Parse(file string, data []byte, into any, check func(*findings.List)) error {
	target := reflect.ValueOf(into)
	if target.Kind() != reflect.Pointer || target.IsNil() || target.Elem().Kind() != reflect.Struct {
		return errors.Errorf("settings: into must point to a struct, is %T", into)
	}
	tree, err := parseTree(file, data)
	if err != nil {
		return err
	}
	before := reflect.New(target.Type().Elem()).Elem()
	before.Set(target.Elem())
	loaded := reflect.New(target.Type().Elem()).Elem()
	loaded.Set(target.Elem())

	w := newWalker(file, data)
	w.setValue(&tree, loaded, "")
	// check reads the loaded values through into.
	target.Elem().Set(loaded)
	w.runCheck(check)
	if err := w.list.Err(); err != nil {
		target.Elem().Set(before)
		return err
	}
	return nil
}

func parseTree(file string, data []byte) (hujson.Value, error) {
	if line := findTooDeep(data); line > 0 {
		return hujson.Value{}, syntaxError(file, line, "values are nested too deep")
	}
	tree, err := hujson.Parse(data)
	if err != nil {
		return tree, syntaxError(file, errorLine(err), err.Error())
	}
	return tree, nil
}

func syntaxError(file string, line int, message string) error {
	var list findings.List
	list.AddFinding(findings.Finding{File: file, Line: line, Message: message})
	return list.Err()
}

var linePattern = regexp.MustCompile(`line (\d+)`)

// errorLine extracts the line from the message of a parse error, which has no
// field for it.
func errorLine(err error) int {
	m := linePattern.FindStringSubmatch(err.Error())
	if m == nil {
		return 1
	}
	line, err := strconv.Atoi(m[1])
	if err != nil {
		return 1
	}
	return line
}

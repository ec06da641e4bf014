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
	// maxFileBytes bounds the memory that a wrong file name can cost.
	maxFileBytes = 64 << 20
	// maxDepth bounds the recursion of the parser, which has no limit of its
	// own.
	maxDepth = 100
)

// Load reads a file into the struct that into points to. Values that the file
// does not name keep their value, so into can hold defaults. check, which may
// be nil, adds findings about the loaded values. On error, a *findings.Error
// unless the file can not be read, *into is unchanged.
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

// Parse is Load for data that is in memory. file is used in findings only.
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
	w.value(&tree, loaded, "")
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
	if line := tooDeep(data); line > 0 {
		return hujson.Value{}, syntaxError(file, line, "values are nested too deep")
	}
	tree, err := hujson.Parse(data)
	if err != nil {
		return tree, syntaxError(file, lineOf(err), err.Error())
	}
	return tree, nil
}

func syntaxError(file string, line int, message string) error {
	var list findings.List
	list.AddFinding(findings.Finding{File: file, Line: line, Message: message})
	return list.Err()
}

var linePattern = regexp.MustCompile(`line (\d+)`)

// lineOf reads the line from the text of a parse error, which has no field
// for it.
func lineOf(err error) int {
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

package settings

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"

	"github.com/dandelionrack/dandelionrack/pkg/findings"
)

// walker sets the fields of a value from a syntax tree. It continues after a
// problem, so that one run reports all of them.
type walker struct {
	file     string
	newlines []int // offsets
	lines    map[string]int
	failed   map[string]bool // paths that could not be set
	list     findings.List
}

func newWalker(file string, data []byte) *walker {
	w := &walker{file: file, lines: map[string]int{}, failed: map[string]bool{}}
	for i, b := range data {
		if b == '\n' {
			w.newlines = append(w.newlines, i)
		}
	}
	return w
}

func (w *walker) lineAt(offset int) int {
	return sort.SearchInts(w.newlines, offset) + 1
}

func (w *walker) addFinding(v *hujson.Value, path, format string, args ...any) {
	w.failed[path] = true
	w.list.AddFinding(findings.Finding{
		File:    w.file,
		Line:    w.lineAt(v.StartOffset),
		Path:    path,
		Message: fmt.Sprintf(format, args...),
	})
}

func (w *walker) setValue(v *hujson.Value, dst reflect.Value, path string) {
	if _, ok := w.lines[path]; !ok {
		w.lines[path] = w.lineAt(v.StartOffset)
	}
	if hasDecoder(dst) {
		w.decode(v, dst, path)
		return
	}
	if dst.Kind() == reflect.Pointer {
		w.setPointer(v, dst, path)
		return
	}
	switch t := v.Value.(type) {
	case *hujson.Object:
		w.setObject(v, t, dst, path)
	case *hujson.Array:
		if dst.Kind() == reflect.Array {
			w.decode(v, dst, path)
			return
		}
		w.setSlice(v, t, dst, path)
	default:
		w.decode(v, dst, path)
	}
}

// hasDecoder reports whether encoding/json decodes the type, because it is an
// interface or has its own decoder.
func hasDecoder(dst reflect.Value) bool {
	if dst.Kind() == reflect.Interface {
		return true
	}
	switch dst.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		return true
	}
	return false
}

func (w *walker) setPointer(v *hujson.Value, dst reflect.Value, path string) {
	if v.Value.Kind() == 'n' {
		dst.SetZero()
		return
	}
	// Use a new target, because the old one may be shared with the defaults.
	target := reflect.New(dst.Type().Elem())
	if !dst.IsNil() {
		target.Elem().Set(dst.Elem())
	}
	w.setValue(v, target.Elem(), path)
	dst.Set(target)
}

func (w *walker) setObject(v *hujson.Value, obj *hujson.Object, dst reflect.Value, path string) {
	switch dst.Kind() {
	case reflect.Struct:
		w.setStruct(obj, dst, path)
	case reflect.Map:
		w.setMap(v, obj, dst, path)
	default:
		w.addFinding(v, path, "must be %s, not an object", expectedKind(dst.Type()))
	}
}

func (w *walker) setStruct(obj *hujson.Object, dst reflect.Value, path string) {
	fields := map[string][]int{}
	for _, f := range reflect.VisibleFields(dst.Type()) {
		if name, ok := fieldName(f); ok && reachable(dst, f.Index) {
			fields[name] = f.Index
		}
	}
	used := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name := memberName(m)
		at := joinPath(path, name)
		index, known := fields[name]
		switch {
		case used[name]:
			w.addFinding(&m.Name, at, "is given twice")
		case !known:
			w.addFinding(&m.Name, at, "unknown key%s", suggestion(name, fields))
		default:
			used[name] = true
			w.setValue(&m.Value, dst.FieldByIndex(index), at)
		}
	}
}

// reachable reports whether a field is not inside an embedded nil pointer.
func reachable(dst reflect.Value, index []int) bool {
	_, err := dst.FieldByIndexErr(index)
	return err == nil
}

// fieldName returns the key of a struct field, or false for a field that
// JSON does not set.
func fieldName(f reflect.StructField) (string, bool) {
	tag, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	embedded := f.Anonymous && tag == "" && f.Type.Kind() == reflect.Struct
	if tag == "-" || !f.IsExported() || embedded {
		return "", false
	}
	if tag == "" {
		return f.Name, true
	}
	return tag, true
}

// suggestion suggests a known key that differs only in case, dashes or
// underscores.
func suggestion(name string, fields map[string][]int) string {
	for known := range fields {
		if normalizeKey(known) == normalizeKey(name) {
			return fmt.Sprintf("; did you mean %q?", known)
		}
	}
	return ""
}

func normalizeKey(s string) string {
	return strings.ToLower(strings.NewReplacer("_", "", "-", "").Replace(s))
}

func (w *walker) setMap(v *hujson.Value, obj *hujson.Object, dst reflect.Value, path string) {
	if dst.Type().Key().Kind() != reflect.String {
		w.addFinding(v, path, "has a type that settings do not support: %s", dst.Type())
		return
	}
	out := reflect.MakeMap(dst.Type())
	for i := range obj.Members {
		m := &obj.Members[i]
		name := memberName(m)
		at := path + "[" + name + "]"
		key := reflect.ValueOf(name).Convert(dst.Type().Key())
		if out.MapIndex(key).IsValid() {
			w.addFinding(&m.Name, at, "is given twice")
			continue
		}
		item := reflect.New(dst.Type().Elem()).Elem()
		w.setValue(&m.Value, item, at)
		out.SetMapIndex(key, item)
	}
	dst.Set(out)
}

func (w *walker) setSlice(v *hujson.Value, arr *hujson.Array, dst reflect.Value, path string) {
	if dst.Kind() != reflect.Slice {
		w.addFinding(v, path, "must be %s, not an array", expectedKind(dst.Type()))
		return
	}
	out := reflect.MakeSlice(dst.Type(), len(arr.Elements), len(arr.Elements))
	for i := range arr.Elements {
		w.setValue(&arr.Elements[i], out.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	dst.Set(out)
}

// decode uses encoding/json to set literals and types with their own decoder.
func (w *walker) decode(v *hujson.Value, dst reflect.Value, path string) {
	if v.Value.Kind() == 'n' && dst.Kind() != reflect.Interface {
		w.addFinding(v, path, "must be %s, not null", expectedKind(dst.Type()))
		return
	}
	plain := v.Clone()
	plain.Standardize()
	err := json.Unmarshal(plain.Pack(), dst.Addr().Interface())
	if err == nil {
		return
	}
	if _, ok := err.(*json.UnmarshalTypeError); ok {
		w.addFinding(v, path, "must be %s, not %s", expectedKind(dst.Type()), abbreviate(plain.String()))
		return
	}
	w.addFinding(v, path, "%s: %v", abbreviate(plain.String()), err)
}

func memberName(m *hujson.ObjectMember) string {
	lit, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return lit.String()
}

// joinPath quotes names with unprintable characters, such as line breaks.
func joinPath(path, name string) string {
	if strings.ContainsFunc(name, func(r rune) bool { return !strconv.IsPrint(r) }) {
		name = strconv.Quote(name)
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

// expectedKind describes the kind of value that a type requires in a file.
func expectedKind(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice, reflect.Array:
		return "an array"
	case reflect.Pointer:
		return expectedKind(t.Elem())
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return fmt.Sprintf("a whole number (%d bits)", t.Bits())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return fmt.Sprintf("a whole number of 0 or more (%d bits)", t.Bits())
	default:
		return "a " + t.Kind().String()
	}
}

// abbreviate shortens long values in messages.
func abbreviate(s string) string {
	const limit = 40
	s = strings.TrimSpace(s)
	if len(s) > limit {
		return strings.ToValidUTF8(s[:limit], "") + "..."
	}
	return s
}

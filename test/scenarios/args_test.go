package scenarios

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// arguments are the parsed arguments of one command: positional ones and
// name=value pairs. Reading an argument removes it, and done rejects those that
// are left, so that a misspelt name is an error.
type arguments struct {
	positionals []string
	named       map[string]string
	background  bool
	firstErr    error
}

func parseArguments(raw []string) *arguments {
	a := &arguments{named: map[string]string{}}
	if n := len(raw); n > 0 && raw[n-1] == "&" {
		a.background = true
		raw = raw[:n-1]
	}
	for i, word := range raw {
		if word == "--" { // the rest is passed to another program
			a.positionals = append(a.positionals, raw[i:]...)
			break
		}
		name, value, found := strings.Cut(word, "=")
		if found && name != "" {
			a.named[name] = value
			continue
		}
		a.positionals = append(a.positionals, word)
	}
	return a
}

// positional takes the next positional argument. Its description is used in the
// error message if it is missing.
func (a *arguments) positional(description string) string {
	if len(a.positionals) == 0 {
		a.recordError(errors.Errorf("%s is missing", description))
		return ""
	}
	w := a.positionals[0]
	a.positionals = a.positionals[1:]
	return w
}

// flag takes a positional argument with a fixed text and reports whether it was
// present.
func (a *arguments) flag(name string) bool {
	i := slices.Index(a.positionals, name)
	if i < 0 {
		return false
	}
	a.positionals = slices.Delete(a.positionals, i, i+1)
	return true
}

// take returns and removes a named argument.
func (a *arguments) take(name string) (string, bool) {
	v, ok := a.named[name]
	delete(a.named, name)
	return v, ok
}

func (a *arguments) text(name, fallback string) string {
	if v, ok := a.take(name); ok {
		return v
	}
	return fallback
}

func (a *arguments) duration(name string, fallback time.Duration) time.Duration {
	v, ok := a.take(name)
	if !ok {
		return fallback
	}
	d, err := time.ParseDuration(v)
	a.recordError(err)
	return d
}

func (a *arguments) number(name string, fallback float64) float64 {
	v, ok := a.take(name)
	if !ok {
		return fallback
	}
	n, err := strconv.ParseFloat(strings.TrimSuffix(v, "%"), 64)
	a.recordError(err)
	return n
}

// list takes a named argument and splits its value at "|".
func (a *arguments) list(name string) []string {
	v, ok := a.take(name)
	if !ok {
		return nil
	}
	return strings.Split(v, "|")
}

// mapping takes a named argument of the form KEY:TEXT|KEY:TEXT.
func (a *arguments) mapping(name string) map[string]string {
	out := map[string]string{}
	for _, pair := range a.list(name) {
		key, text, found := strings.Cut(pair, ":")
		if !found {
			a.recordError(errors.Errorf("%s: %q has no colon", name, pair))
		}
		out[key] = text
	}
	return out
}

// recordError keeps the first error for done.
func (a *arguments) recordError(err error) {
	if a.firstErr == nil {
		a.firstErr = err
	}
}

// done returns the first recorded error, or an error if arguments are left.
func (a *arguments) done() error {
	if a.firstErr != nil {
		return a.firstErr
	}
	if len(a.positionals) > 0 || len(a.named) > 0 {
		return errors.Errorf("unknown arguments: %v %v", a.positionals, slices.Sorted(maps.Keys(a.named)))
	}
	return nil
}

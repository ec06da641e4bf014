package scenarios

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// arguments are the words of one command: plain words and name=value pairs.
// Every pair must be asked for, so that a misspelt name is an error.
type arguments struct {
	words      []string
	pairs      map[string]string
	background bool
	problem    error
}

func parseArguments(raw []string) *arguments {
	a := &arguments{pairs: map[string]string{}}
	if n := len(raw); n > 0 && raw[n-1] == "&" {
		a.background = true
		raw = raw[:n-1]
	}
	for i, word := range raw {
		if word == "--" { // what follows is for another program
			a.words = append(a.words, raw[i:]...)
			break
		}
		name, value, found := strings.Cut(word, "=")
		if found && name != "" {
			a.pairs[name] = value
			continue
		}
		a.words = append(a.words, word)
	}
	return a
}

// word takes the next plain word.
func (a *arguments) word(what string) string {
	if len(a.words) == 0 {
		a.fail(errors.Errorf("%s is missing", what))
		return ""
	}
	w := a.words[0]
	a.words = a.words[1:]
	return w
}

// flag takes a plain word if it is there.
func (a *arguments) flag(name string) bool {
	i := slices.Index(a.words, name)
	if i < 0 {
		return false
	}
	a.words = slices.Delete(a.words, i, i+1)
	return true
}

// take removes a pair.
func (a *arguments) take(name string) (string, bool) {
	v, ok := a.pairs[name]
	delete(a.pairs, name)
	return v, ok
}

func (a *arguments) text(name, otherwise string) string {
	if v, ok := a.take(name); ok {
		return v
	}
	return otherwise
}

func (a *arguments) duration(name string, otherwise time.Duration) time.Duration {
	v, ok := a.take(name)
	if !ok {
		return otherwise
	}
	d, err := time.ParseDuration(v)
	a.fail(err)
	return d
}

func (a *arguments) number(name string, otherwise float64) float64 {
	v, ok := a.take(name)
	if !ok {
		return otherwise
	}
	n, err := strconv.ParseFloat(strings.TrimSuffix(v, "%"), 64)
	a.fail(err)
	return n
}

// list splits a value at "|".
func (a *arguments) list(name string) []string {
	v, ok := a.take(name)
	if !ok {
		return nil
	}
	return strings.Split(v, "|")
}

// rules splits a value of the form NAME:TEXT|NAME:TEXT.
func (a *arguments) rules(name string) map[string]string {
	out := map[string]string{}
	for _, rule := range a.list(name) {
		key, text, found := strings.Cut(rule, ":")
		if !found {
			a.fail(errors.Errorf("%s: %q lacks a colon", name, rule))
		}
		out[key] = text
	}
	return out
}

func (a *arguments) fail(err error) {
	if a.problem == nil {
		a.problem = err
	}
}

// done reports the first problem, or words that nothing asked for.
func (a *arguments) done() error {
	if a.problem != nil {
		return a.problem
	}
	if len(a.words) > 0 || len(a.pairs) > 0 {
		return errors.Errorf("not understood: %v %v", a.words, slices.Sorted(maps.Keys(a.pairs)))
	}
	return nil
}

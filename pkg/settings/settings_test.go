package settings

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
)

type sample struct {
	Name    string            `json:"name"`
	Wait    config.Duration   `json:"wait"`
	Count   uint8             `json:"count"`
	Ratio   float64           `json:"ratio"`
	On      bool              `json:"on"`
	Items   []item            `json:"items"`
	Labels  map[string]string `json:"labels"`
	Pointer *item             `json:"pointer"`
	hidden  int
}

type item struct {
	Size int `json:"size"`
}

func messages(t *testing.T, err error) []string {
	t.Helper()
	var list *findings.Error
	require.True(t, errors.As(err, &list), "%v", err)
	var out []string
	for _, f := range list.Findings {
		out = append(out, f.String())
	}
	return out
}

// Guards against a loader that stops at the first problem, so that an operator
// needs one run per mistake, or reports a wrong line.
func TestAllFindingsTogether(t *testing.T) {
	text := `{ // comment
  "name": 5,
  "wait": "30",
  "count": 256,
  "Ratio": 1,
  /* two
     lines */ "on": null,
  "items": [{"size": 1}, {"size": "x", "weight": 2}],
  "labels": {"a": 1, "b": "ok"},
  "name": "again",
  "hidden": 1,
  "pointer": {"size": 1.5},
}`
	var s sample
	err := Parse("f.json", []byte(text), &s, func(l *findings.List) {
		l.Add("items[0].size", "from check")
		l.Add("pointer.missing", "line of the parent")
		l.Add("name", "left out: the name was not loaded")
	})
	want := []string{
		`f.json:2: name: must be a string, not 5`,
		`f.json:3: wait: "30": duration: time: missing unit in duration "30"`,
		`f.json:4: count: must be a whole number of 0 or more (8 bits), not 256`,
		`f.json:5: Ratio: unknown key; did you mean "ratio"?`,
		`f.json:7: on: must be true or false, not null`,
		`f.json:8: items[0].size: from check`,
		`f.json:8: items[1].size: must be a whole number (64 bits), not "x"`,
		`f.json:8: items[1].weight: unknown key`,
		`f.json:9: labels[a]: must be a string, not 1`,
		`f.json:10: name: is given twice`,
		`f.json:11: hidden: unknown key`,
		`f.json:12: pointer.missing: line of the parent`,
		`f.json:12: pointer.size: must be a whole number (64 bits), not 1.5`,
	}
	require.Equal(t, want, messages(t, err))
	require.Equal(t, sample{}, s)
}

// Guards against a rejected file that leaves some of its values set, and against
// defaults that are lost when a file does not set them.
func TestDefaultsAndRollback(t *testing.T) {
	s := sample{Name: "default", Count: 3, Pointer: &item{Size: 7}, hidden: 1}
	before := s
	require.Error(t, Parse("f", []byte(`{"name": "new", "pointer": {"size": 8}, "count": -1}`), &s, nil))
	require.Equal(t, before, s)
	require.Equal(t, 7, s.Pointer.Size)

	require.NoError(t, Parse("f", []byte(`{"name": "new", "wait": "2s"}`), &s, func(l *findings.List) {
		if s.Name != "new" {
			l.Add("name", "check must see the loaded value")
		}
	}))
	require.Equal(t, uint8(3), s.Count)
	require.Equal(t, "2s", s.Wait.Std().String())
}

// Guards against syntax errors without a line, and against a stack overflow that
// ends the process on deeply nested input.
func TestSyntaxErrors(t *testing.T) {
	var s sample
	require.Contains(t, messages(t, Parse("f", []byte("{\n\"name\": \"a\"\n\"on\"}"), &s, nil))[0], "f:3: ")
	deep := []byte("{\n\"items\": " + strings.Repeat("[", 5_000_000))
	require.Equal(t, []string{"f:2: values are nested too deep"}, messages(t, Parse("f", deep, &s, nil)))
	brackets := `{"name": "` + strings.Repeat("[", 200) + `" /* ` + strings.Repeat("{", 200) + ` */}`
	require.NoError(t, Parse("f", []byte(brackets), &s, nil))
	require.Error(t, Parse("f", []byte(`[]`), &s, nil))
	require.Error(t, Parse("f", []byte(`{}`), s, nil))
}

// Guards against a missing file that is loaded as an empty one.
func TestLoad(t *testing.T) {
	dir := t.TempDir()
	var s sample
	require.ErrorIs(t, Load(filepath.Join(dir, "none"), &s, nil), os.ErrNotExist)
	file := filepath.Join(dir, "s.json")
	require.NoError(t, os.WriteFile(file, []byte(`{"on": true}`), 0o600))
	require.NoError(t, Load(file, &s, nil))
	require.True(t, s.On)
}

// Guards against crashes, findings without a file and line, and input that is
// modified or partly loaded.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name": "a", "wait": "1s", "items": [{"size": 1},], "pointer": null}`))
	f.Add([]byte("{// c\n\"labels\": {\"a\": \"b\"}, \"count\": 300}"))
	f.Add([]byte(`{"name": "\ud800", "name": 1e999, "": {}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		input := bytes.Clone(data)
		s := sample{Name: "default"}
		err := Parse("f", data, &s, nil)
		require.Equal(t, input, data)
		if err == nil {
			return
		}
		require.Equal(t, sample{Name: "default"}, s)
		var list *findings.Error
		require.True(t, errors.As(err, &list), "%v", err)
		for _, x := range list.Findings {
			require.Equal(t, "f", x.File)
			require.Positive(t, x.Line)
			require.LessOrEqual(t, x.Line, bytes.Count(data, []byte("\n"))+1)
		}
	})
}

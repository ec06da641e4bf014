package program

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a misspelt key that is silently ignored, and against an error
// without its line number.
func TestLoadRefusesUnknownKeys(t *testing.T) {
	type settings struct {
		Addr string `json:"addr"`
		Port int    `json:"port"`
	}
	file := filepath.Join(t.TempDir(), "s.json")
	s := settings{Port: 7}
	require.NoError(t, os.WriteFile(file, []byte("{\n// comment\n\"addr\": \"a\",\n}"), 0o600))
	require.NoError(t, LoadSettings(file, &s))
	require.Equal(t, settings{Addr: "a", Port: 7}, s)

	for bad, place := range map[string]string{
		"{\n\n\"adr\": 1}": ":3: ", "{\n\n\"port\": \"x\"}": ":3: ", "{\n\n\"port\"}": "line 3",
	} {
		require.NoError(t, os.WriteFile(file, []byte(bad), 0o600))
		require.ErrorContains(t, LoadSettings(file, &s), place)
	}
}

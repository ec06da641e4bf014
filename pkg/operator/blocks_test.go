package operator

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a list of hashes that crashes the process or is decoded as a
// different list.
func FuzzParseHashes(f *testing.F) {
	two := `{"hashes":["` + strings.Repeat("a5", 32) + `","` + strings.Repeat("5a", 32) + `"]}`
	for _, seed := range []string{two, `{"hashes":[]}`, `{"hashes":["00"]}`, "null", "["} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		hashes, err := parseHashes(data)
		if err != nil {
			return
		}
		again, err := json.Marshal(encodeHashes(hashes))
		require.NoError(t, err)
		got, err := parseHashes(again)
		require.NoError(t, err)
		require.Equal(t, hashes, got)
	})
}

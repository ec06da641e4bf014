package sendonce

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against lines of a body that count as lines of a head, and against a head that
// escapes the count because it arrives in pieces or after interim responses.
func TestHeadCounter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		interim := rapid.IntRange(0, 3).Draw(t, "interim")
		lines := rapid.IntRange(0, 2*maxHeadLines).Draw(t, "lines")
		end := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "end")
		text := strings.Repeat("HTTP/1.1 102 Processing"+end+"A: b"+end+end, interim) +
			"HTTP/1.1 200 OK" + end + strings.Repeat("A:"+end, lines) + end + strings.Repeat("\n\r\n", maxHeadLines)
		var h headCounter
		require.NoError(t, h.count([]byte(text)), "no response is expected")
		h.begin()
		var err error
		for rest := text; rest != "" && err == nil; {
			n := rapid.IntRange(1, min(len(rest), 40)).Draw(t, "n")
			err = h.count([]byte(rest[:n]))
			rest = rest[n:]
		}
		if 2*interim+1+lines > maxHeadLines {
			require.ErrorIs(t, err, errHeadLines)
		} else {
			require.NoError(t, err)
		}
	})
}

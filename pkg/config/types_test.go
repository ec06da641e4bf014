package config

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a bare number that is parsed as nanoseconds.
func TestDurationNeedsUnit(t *testing.T) {
	var d Duration
	require.Error(t, json.Unmarshal([]byte(`250`), &d))
	require.NoError(t, json.Unmarshal([]byte(`"250ms"`), &d))
	require.Equal(t, int64(250), d.Std().Milliseconds())
}

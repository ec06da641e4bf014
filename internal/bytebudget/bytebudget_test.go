package bytebudget

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against bodies that count only when they are complete, and against bytes
// that stay acquired after a body was refused.
func TestBudget(t *testing.T) {
	b := New(10)
	first := b.NewReader(strings.NewReader("1234567"))
	_, err := io.ReadAll(first)
	require.NoError(t, err)
	require.EqualValues(t, 7, first.Acquired())
	second := b.NewReader(strings.NewReader("1234"))
	_, err = io.ReadAll(second)
	require.ErrorIs(t, err, ErrFull)
	require.EqualValues(t, 7, b.Used()-second.Acquired())
	b.Release(first.Acquired())
	_, err = io.ReadAll(b.NewReader(strings.NewReader("1234")))
	require.NoError(t, err)
}

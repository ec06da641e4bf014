package bytebudget

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

// Guards against bodies that do not count, and against bytes that stay acquired after
// a body was refused or broke off.
func TestBudget(t *testing.T) {
	b := New(10)
	body, acquired, err := b.ReadAll(strings.NewReader("1234567"), 7)
	require.NoError(t, err)
	require.Equal(t, "1234567", string(body))
	require.EqualValues(t, 7, acquired)
	require.EqualValues(t, 7, b.Used())
	_, _, err = b.ReadAll(strings.NewReader("1234"), 4)
	require.ErrorIs(t, err, ErrFull)
	require.EqualValues(t, acquired, b.Used())
	b.Release(acquired)
	require.Zero(t, b.Used())
	_, _, err = b.ReadAll(strings.NewReader("1234"), 4)
	require.NoError(t, err)
	broken := errors.New("broken")
	_, _, err = New(10).ReadAll(io.MultiReader(strings.NewReader("12"), iotest.ErrReader(broken)), 4)
	require.ErrorIs(t, err, broken)
}

// receipt is a reader that checks before each read that all memory of the body counts.
type receipt struct {
	t        *testing.T
	budget   *Budget
	from     io.Reader
	received int
}

func (r *receipt) Read(p []byte) (int, error) {
	used := int(r.budget.Used())
	require.GreaterOrEqual(r.t, used, r.received+len(p), "a buffer counts before it is filled")
	require.LessOrEqual(r.t, used, max(maxFirstBuffer, 2*r.received), "memory follows the bytes received")
	n, err := r.from.Read(p)
	r.received += n
	return n, err
}

// Guards against buffers that take more memory than they count for, which then exceeds
// the limit, and against an announced length that takes memory without being sent.
func TestBuffersCountBeforeTheyAreFilled(t *testing.T) {
	data := bytes.Repeat([]byte("x"), 300_000)
	for _, size := range []int{0, 1, 511, 512, 513, 5000, 32 << 10, 100_000, 300_000} {
		for _, length := range []int64{int64(size), -1, 1 << 40} {
			b := New(1 << 20)
			r := &receipt{t: t, budget: b, from: iotest.DataErrReader(bytes.NewReader(data[:size]))}
			body, acquired, err := b.ReadAll(r, length)
			require.NoError(t, err)
			require.Equal(t, size, len(body))
			require.True(t, bytes.Equal(data[:size], body))
			require.EqualValues(t, acquired, cap(body))
			require.Equal(t, acquired, b.Used())
			if length == int64(size) {
				require.EqualValues(t, max(1, size), acquired, "an announced length is not exceeded")
			}
		}
	}
}

// Guards against large bodies of one service that stall while they hold the whole
// budget: the small bodies of all others were refused until they ended.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	const limit, typical = 48 << 20, 5000
	for _, size := range []int64{smallBody + 1, 20_000, 40_000, 1 << 20, 8 << 20} {
		b := New(limit)
		stalled, refused := 0, false
		for !refused {
			_, _, err := b.ReadAll(strings.NewReader(strings.Repeat("x", int(size))), size)
			refused = errors.Is(err, ErrFull)
			stalled++
			require.Less(t, stalled, limit)
		}
		require.Greater(t, b.Used(), int64(limit)/2, "most of the budget is for large bodies")
		for range 400 { // requests at a time
			_, _, err := b.ReadAll(bytes.NewReader(make([]byte, typical)), typical)
			require.NoError(t, err, "while %d bodies of %d bytes are held", stalled-1, size)
		}
	}
}

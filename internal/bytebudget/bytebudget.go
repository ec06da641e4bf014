// Package bytebudget limits the bytes of request and response bodies that a process
// holds in memory.
package bytebudget

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// ErrFull is returned when a budget is used up.
var ErrFull = errors.New("memory limit for bodies reached")

const (
	// minBuffer is the first buffer of a body of unknown length.
	minBuffer = 512
	// maxFirstBuffer bounds the first buffer of a body that announces a length. The
	// sender may announce much and send little.
	maxFirstBuffer = 8 << 10
	// smallBody is the size of a buffer up to which a body may use the whole budget.
	// Larger ones leave a quarter of it: a few services whose large bodies stall must
	// not take the memory for all others. Responses of backend servers mostly have
	// 1.5 to 5 KB.
	smallBody = 16 << 10
)

// Budget limits a number of bytes. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns an unused budget.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the number of acquired bytes.
func (b *Budget) Used() int64 { return b.used.Load() }

// Release returns n bytes to the budget.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Acquire takes n bytes out of the budget, if it suffices.
func (b *Budget) Acquire(n int64) bool {
	limit := b.limit
	if n > smallBody {
		limit -= limit / 4
	}
	if b.used.Add(n) > limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// ReadAll reads a body to its end into memory that it takes out of the budget before
// it allocates it, and returns how much that is. After an error nothing stays acquired.
// The memory is at most twice the bytes received, or maxFirstBuffer, and while it grows
// also the previous buffer. length is the announced length, or negative if it is unknown.
func (b *Budget) ReadAll(r io.Reader, length int64) (body []byte, acquired int64, err error) {
	size := int64(minBuffer)
	if length >= 0 {
		size = max(1, min(length, maxFirstBuffer)) // a read into no buffer need not report the end
	}
	for err == nil {
		if body != nil && int64(len(body)) == length {
			// Most readers report the end with the last bytes. For the others the
			// buffer need not grow either.
			r, err = expectEnd(r)
			length = -1
			continue
		}
		if len(body) == cap(body) {
			if !b.Acquire(size) {
				err = ErrFull
				break
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			b.Release(acquired)
			body, acquired = grown, size
			if size *= 2; acquired < length {
				size = min(size, length)
			}
		}
		var n int
		n, err = r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
	}
	if err != io.EOF {
		b.Release(acquired)
		return nil, 0, err
	}
	return body, acquired, nil
}

// expectEnd returns io.EOF if r has ended. A byte that it reads instead is read again
// from the returned reader.
func expectEnd(r io.Reader) (io.Reader, error) {
	next := make([]byte, 1)
	n, err := r.Read(next)
	if n == 0 {
		return r, err
	}
	return io.MultiReader(bytes.NewReader(next), r), nil
}

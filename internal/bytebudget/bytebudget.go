// Package bytebudget limits the bytes of request bodies that a process holds in
// memory.
package bytebudget

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// ErrFull is returned by a Reader whose budget is used up.
var ErrFull = errors.New("memory limit for bodies reached")

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
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Reader acquires the bytes that it reads from a budget, so that bodies count
// while they arrive. It releases nothing: the caller releases Acquired.
type Reader struct {
	r        io.Reader
	budget   *Budget
	acquired int64
}

// NewReader returns a Reader of r that acquires from b.
func (b *Budget) NewReader(r io.Reader) *Reader { return &Reader{r: r, budget: b} }

// Acquired returns the number of bytes that r acquired.
func (r *Reader) Acquired() int64 { return r.acquired }

// Read implements io.Reader. It returns ErrFull if the budget does not suffice.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n == 0 {
		return 0, err
	}
	if !r.budget.Acquire(int64(n)) {
		return 0, ErrFull
	}
	r.acquired += int64(n)
	return n, err
}

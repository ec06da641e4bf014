// Package bytebudget bounds the bytes of request bodies that a process holds in
// memory at one time.
package bytebudget

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// ErrFull is the error of a Reader whose budget is used up.
var ErrFull = errors.New("memory limit for bodies reached")

// Budget is a number of bytes. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// New returns an unused budget.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Used returns the bytes that are taken.
func (b *Budget) Used() int64 { return b.used.Load() }

// Release gives bytes back.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

func (b *Budget) acquire(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

// Reader takes what it reads out of a budget, so that bodies count while they
// arrive. It gives nothing back: the caller releases Taken.
type Reader struct {
	r      io.Reader
	budget *Budget
	taken  int64
}

// NewReader returns a reader of r.
func (b *Budget) NewReader(r io.Reader) *Reader { return &Reader{r: r, budget: b} }

// Taken returns the bytes that were taken out of the budget.
func (r *Reader) Taken() int64 { return r.taken }

// Read reads, or returns ErrFull.
func (r *Reader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n == 0 {
		return 0, err
	}
	if !r.budget.acquire(int64(n)) {
		return 0, ErrFull
	}
	r.taken += int64(n)
	return n, err
}

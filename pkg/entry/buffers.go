package entry

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

var errBudget = errors.New("memory limit for bodies reached")

// byteBudget bounds the bytes of request bodies held in memory at one time.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

func (b *byteBudget) acquire(n int64) bool {
	if b.used.Add(n) > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *byteBudget) release(n int64) {
	b.used.Add(-n)
}

// budgetReader takes what it reads out of a budget, so that bodies count while
// they arrive. It gives nothing back.
type budgetReader struct {
	r      io.Reader
	budget *byteBudget
	taken  int64
}

func (r *budgetReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n == 0 {
		return 0, err
	}
	if !r.budget.acquire(int64(n)) {
		return 0, errBudget
	}
	r.taken += int64(n)
	return n, err
}

package entry

import "sync/atomic"

// byteBudget bounds the bytes of bodies held in memory at one time.
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

package ingress

import (
	"io"
	"sync/atomic"

	"github.com/go-faster/errors"
)

var errMemory = errors.New("memory limit for bodies reached")

// boundedReader counts what it reads in used and fails above the limit.
type boundedReader struct {
	r     io.Reader
	used  *atomic.Int64
	limit int64
	taken int64
}

func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.taken += int64(n)
	if b.used.Add(int64(n)) > b.limit {
		return 0, errMemory
	}
	return n, err
}

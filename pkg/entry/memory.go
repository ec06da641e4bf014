package entry

import (
	"sync"

	"github.com/dandelionrack/dandelionrack/internal/bytebudget"
)

// requestMemory counts the memory of the bodies of a request and of the responses to
// its attempts. It is released when the request ends.
type requestMemory struct {
	budget *bytebudget.Budget

	mu    sync.Mutex
	held  int64
	ended bool
}

// add takes over n acquired bytes. The attempts of a hedged request may end after it:
// their responses are not used.
func (m *requestMemory) add(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		m.budget.Release(n)
		return
	}
	m.held += n
}

// acquire takes n bytes out of the budget, if it suffices.
func (m *requestMemory) acquire(n int64) bool {
	if !m.budget.Acquire(n) {
		return false
	}
	m.add(n)
	return true
}

func (m *requestMemory) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	m.budget.Release(m.held)
	m.held = 0
}

package config

import (
	"sync"
	"sync/atomic"
)

// Holder keeps the document with the highest version passed to Offer. Its zero
// value holds no document. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Document]
	mu      sync.Mutex
	changed chan struct{}
}

// Offer stores the document if its version is higher than the current one and
// reports whether it did. The document must not be modified afterwards.
func (h *Holder) Offer(doc *Document) bool {
	if doc == nil || doc.Version == 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if latest := h.current.Load(); latest != nil && latest.Version >= doc.Version {
		return false
	}
	h.current.Store(doc)
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	return true
}

// Current returns the document, or nil if none has been stored yet.
func (h *Holder) Current() *Document { return h.current.Load() }

// Version returns the version of the current document, or 0.
func (h *Holder) Version() uint64 {
	if doc := h.current.Load(); doc != nil {
		return doc.Version
	}
	return 0
}

// Changed returns a channel that is closed at the next change. Call it before
// Current; otherwise a change between the two calls is missed.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

package claim

import (
	"container/heap"
	"slices"
	"time"
)

// creationHeap is a heap of finished entry-issued claims whose rows are in the
// store, with the oldest key on top.
type creationHeap []*record

func (h creationHeap) Len() int           { return len(h) }
func (h creationHeap) Less(i, j int) bool { return h[i].created.Before(h[j].created) }
func (h creationHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *creationHeap) Push(x any)        { *h = append(*h, x.(*record)) }

func (h *creationHeap) Pop() any {
	last := len(*h) - 1
	rec := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return rec
}

// evict makes room for a new entry-issued key. It removes the oldest keys first,
// because every key not newer than evictedThrough needs the store from then on,
// including issued keys that were not used yet.
func (m *Manager) evict() {
	for m.issuedCount >= m.cfg.MaxIssued && len(m.evictable) > 0 {
		rec := heap.Pop(&m.evictable).(*record)
		if rec.removed {
			continue
		}
		if rec.created.After(m.evictedThrough) {
			m.evictedThrough = rec.created
		}
		m.remove(rec)
		m.stats.Evicted++
	}
	// Removed records stay in droppableResults until it is compacted. Compacting
	// when it is an eighth of MaxIssued too long bounds both the cost per key and
	// the memory.
	if len(m.droppableResults) > m.issuedCount+m.cfg.MaxIssued/8 {
		m.dropRemoved()
	}
}

// needsStore reports whether an entry-issued key that is not in memory may have
// been evicted, so that only its row shows whether it ran.
func (m *Manager) needsStore(key Key) bool {
	return !key.Created.After(m.evictedThrough)
}

const sweepInterval = time.Minute

// sweep removes finished entry-issued keys: those older than MaxKeyAge whose row
// is written, and all older than rowRetention. The key clock never goes back, so
// these keys stay refused, and sweep leaves evictedThrough unchanged.
func (m *Manager) sweep(now time.Time) {
	if now.Sub(m.lastSweep) < sweepInterval {
		return
	}
	m.lastSweep = now
	keyTime := m.keyTime()
	for _, rec := range m.records {
		age := keyTime.Sub(rec.created)
		mc := &rec.machine
		expired := age > rowRetention || age > MaxKeyAge && mc.fullyWritten()
		if !mc.inMemory || mc.phase != finished || mc.inFlight != nil || !expired {
			continue
		}
		mc.nextWrite = nil
		m.remove(rec)
	}
	m.dropRemoved()
}

func (m *Manager) dropRemoved() {
	removed := func(rec *record) bool { return rec.removed }
	m.droppableResults = slices.DeleteFunc(m.droppableResults, removed)
	m.evictable = slices.DeleteFunc(m.evictable, removed)
	heap.Init(&m.evictable)
}

package claim

import (
	"container/heap"
	"slices"
	"time"
)

// byCreation is a heap of finished entry-issued claims whose rows are in the
// store, with the oldest key on top.
type byCreation []*record

func (h byCreation) Len() int           { return len(h) }
func (h byCreation) Less(i, j int) bool { return h[i].created.Before(h[j].created) }
func (h byCreation) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *byCreation) Push(x any)        { *h = append(*h, x.(*record)) }

func (h *byCreation) Pop() any {
	last := len(*h) - 1
	rec := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return rec
}

// evict makes room for a new entry-issued key. It drops the oldest keys first,
// because every key at or below the mark needs the store from then on, also
// one that was issued and not used yet.
func (m *Manager) evict() {
	for m.issued >= m.cfg.MaxIssued && len(m.evictable) > 0 {
		rec := heap.Pop(&m.evictable).(*record)
		if rec.forgotten {
			continue
		}
		if rec.created.After(m.evictedThrough) {
			m.evictedThrough = rec.created
		}
		m.forget(rec)
		m.stats.Evicted++
	}
	// The records that left stay in copied until it is cleaned. Cleaning at an
	// eighth more keeps both the cost per key and the memory small.
	if len(m.copied) > m.issued+m.cfg.MaxIssued/8 {
		m.dropForgotten()
	}
}

// needsStore reports whether an entry-issued key that is not in memory may
// have been evicted, so that only its row can tell whether it ran.
func (m *Manager) needsStore(key Key) bool {
	return !key.Created.After(m.evictedThrough)
}

const sweepInterval = time.Minute

// sweep drops entry-issued keys that the age limit refuses: copied ones at
// once, others when the retention has passed. The key clock never goes back,
// so these keys stay refused and do not move the mark of evict.
func (m *Manager) sweep(now time.Time) {
	if now.Sub(m.lastSweep) < sweepInterval {
		return
	}
	m.lastSweep = now
	keyTime := m.keyTime()
	for _, rec := range m.records {
		age := keyTime.Sub(rec.created)
		mc := &rec.machine
		expired := age > rowRetention || age > MaxKeyAge && mc.settled()
		if !mc.inMemory || mc.phase != finished || mc.inFlight != nil || !expired {
			continue
		}
		mc.want = nil
		m.forget(rec)
	}
	m.dropForgotten()
}

func (m *Manager) dropForgotten() {
	forgotten := func(rec *record) bool { return rec.forgotten }
	m.copied = slices.DeleteFunc(m.copied, forgotten)
	m.evictable = slices.DeleteFunc(m.evictable, forgotten)
	heap.Init(&m.evictable)
}

package trace

import "sync"

// Defaults of RingConfig.
const (
	defaultMaxSpans = 20_000
	defaultMaxBytes = 16 << 20
)

// RingConfig bounds a Ring. Zero values select the defaults.
type RingConfig struct {
	MaxSpans int
	MaxBytes int
}

// Ring is a bounded buffer of the latest spans, indexed by request id.
type Ring struct {
	cfg RingConfig

	mu    sync.Mutex
	spans []Span
	first uint64 // sequence number of the oldest span
	next  uint64
	bytes int
	index map[string][]uint64 // request id to sequence numbers
}

// NewRing returns an empty ring.
func NewRing(cfg RingConfig) *Ring {
	if cfg.MaxSpans <= 0 {
		cfg.MaxSpans = defaultMaxSpans
	}
	if cfg.MaxBytes <= 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	return &Ring{cfg: cfg, spans: make([]Span, cfg.MaxSpans), index: make(map[string][]uint64)}
}

// Add stores a span and evicts the oldest ones to stay within the bounds. A span
// larger than MaxBytes is not stored.
func (r *Ring) Add(s Span) {
	size := s.size()
	if size > r.cfg.MaxBytes {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.len() >= r.cfg.MaxSpans || r.bytes+size > r.cfg.MaxBytes {
		r.evict()
	}
	*r.slot(r.next) = s
	r.index[s.RequestID] = append(r.index[s.RequestID], r.next)
	r.next++
	r.bytes += size
}

// Get returns the spans of a request, oldest first.
func (r *Ring) Get(requestID string) []Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	seqs := r.index[requestID]
	out := make([]Span, 0, len(seqs))
	for _, seq := range seqs {
		out = append(out, *r.slot(seq))
	}
	return out
}

// Len returns the number of spans.
func (r *Ring) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.len()
}

// Bytes returns the estimated size of the spans.
func (r *Ring) Bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

func (r *Ring) len() int { return int(r.next - r.first) }

func (r *Ring) slot(seq uint64) *Span {
	return &r.spans[seq%uint64(len(r.spans))]
}

// evict removes the oldest span, which is also the oldest of its request.
func (r *Ring) evict() {
	old := r.slot(r.first)
	r.bytes -= old.size()
	rest := r.index[old.RequestID][1:]
	if len(rest) == 0 {
		delete(r.index, old.RequestID)
	} else {
		r.index[old.RequestID] = rest
	}
	*old = Span{}
	r.first++
}

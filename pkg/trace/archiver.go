package trace

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

const (
	defaultInterval = 5 * time.Second
	// maxWritesPerSecond limits all writers together. The store handles several
	// hundred writes per second, of which claims use up to 200.
	maxWritesPerSecond     = 20
	defaultMaxBacklogBytes = 8 << 20
	defaultPutTimeout      = 4 * time.Second
)

// ArchiverConfig configures an Archiver. Zero values select the defaults.
type ArchiverConfig struct {
	// Entry is the id of this entry instance; it is part of object names.
	Entry   string
	Objects platform.Objects
	// Interval is the shortest time between two writes.
	Interval time.Duration
	// WriterCount returns the number of entry instances that write to the store,
	// including stopped ones. When it exceeds 100 at the default Interval, Run
	// waits longer than Interval to keep all of them within maxWritesPerSecond.
	// Flush, which runs at shutdown, does not. If nil, Run uses Interval.
	WriterCount func() int
	// MaxBacklogBytes bounds the memory of spans that wait for a write.
	MaxBacklogBytes int
	PutTimeout      time.Duration
	Logger          hclog.Logger
}

// ArchiverStats counts what an Archiver did.
type ArchiverStats struct {
	Backlog       int   `json:"backlog"` // spans that wait for a write
	Archived      int64 `json:"archived"`
	Dropped       int64 `json:"dropped"` // spans lost because the backlog was full
	WritesFailed  int64 `json:"writes_failed"`
	ObjectsStored int64 `json:"objects_stored"`
}

// Archiver writes spans to the object store in batches, at most one object
// per interval.
type Archiver struct {
	cfg ArchiverConfig

	mu      sync.Mutex
	backlog []Span
	bytes   int
	stats   ArchiverStats

	// writeSem serializes writes. It is a channel, so that waiting ends with ctx.
	writeSem  chan struct{}
	pending   *batch // unchanged until its write succeeds
	lastWrite time.Time
}

// NewArchiver returns an archiver that writes when Run or Flush is called.
func NewArchiver(cfg ArchiverConfig) *Archiver {
	if cfg.Interval <= 0 {
		cfg.Interval = defaultInterval
	}
	if cfg.WriterCount == nil {
		cfg.WriterCount = func() int { return 1 }
	}
	if cfg.MaxBacklogBytes <= 0 {
		cfg.MaxBacklogBytes = defaultMaxBacklogBytes
	}
	if cfg.PutTimeout <= 0 {
		cfg.PutTimeout = defaultPutTimeout
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	return &Archiver{cfg: cfg, writeSem: make(chan struct{}, 1)}
}

// Add queues a span and never blocks on the store. When the backlog is full
// the oldest spans are dropped and counted.
func (a *Archiver) Add(s Span) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.backlog = append(a.backlog, s)
	a.bytes += s.size()
	a.dropOldest()
}

func (a *Archiver) dropOldest() {
	n := 0
	for a.bytes > a.cfg.MaxBacklogBytes && n < len(a.backlog) {
		a.bytes -= a.backlog[n].size()
		a.backlog[n] = Span{}
		n++
	}
	a.backlog = a.backlog[n:]
	a.stats.Dropped += int64(n)
}

// Stats returns the counters.
func (a *Archiver) Stats() ArchiverStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.stats
	out.Backlog = len(a.backlog)
	return out
}

// Run writes one batch per interval until ctx ends.
func (a *Archiver) Run(ctx context.Context) {
	for {
		timer := time.NewTimer(a.runInterval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if _, err := a.write(ctx); err != nil && ctx.Err() == nil {
			a.cfg.Logger.Warn("trace spans not archived; the write is tried again", "error", err)
		}
	}
}

// runInterval returns the time between two batches of Run.
func (a *Archiver) runInterval() time.Duration {
	return max(a.cfg.Interval, time.Duration(a.cfg.WriterCount())*time.Second/maxWritesPerSecond)
}

// Flush writes all queued spans. It observes the interval between writes, so it
// may wait. When ctx ends first, it returns an error that includes the last
// write error, and the spans stay queued.
func (a *Archiver) Flush(ctx context.Context) error {
	var failed error
	for {
		more, err := a.write(ctx)
		if err == nil && !more {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrap(errors.Join(ctx.Err(), failed), "flush trace spans")
		}
		if err != nil {
			failed = err
		}
	}
}

// write stores one batch and reports whether spans remain.
func (a *Archiver) write(ctx context.Context) (more bool, err error) {
	select {
	case a.writeSem <- struct{}{}:
	case <-ctx.Done():
		return true, ctx.Err()
	}
	defer func() { <-a.writeSem }()
	if err := a.preparePending(); err != nil {
		return true, err
	}
	if a.pending == nil {
		return false, nil
	}
	if err := a.waitInterval(ctx); err != nil {
		return true, err
	}
	if err := a.put(ctx, a.pending); err != nil {
		return true, err
	}
	a.pending = nil
	return a.Stats().Backlog > 0, nil
}

func (a *Archiver) waitInterval(ctx context.Context) error {
	if a.lastWrite.IsZero() {
		return nil
	}
	return wait.Sleep(ctx, time.Until(a.lastWrite.Add(a.cfg.Interval)))
}

// preparePending determines the name and content of the next object. A write
// whose outcome is unknown is retried with both unchanged, so that no span is
// stored twice.
func (a *Archiver) preparePending() error {
	if a.pending != nil {
		return nil
	}
	spans, rest := splitBatch(a.takeBacklog())
	a.requeue(rest)
	if len(spans) == 0 {
		return nil
	}
	b, err := newBatch(spans, a.cfg.Entry, time.Now())
	if err != nil {
		a.mu.Lock()
		a.stats.Dropped += int64(len(spans))
		a.mu.Unlock()
		return err
	}
	a.pending = b
	return nil
}

// takeBacklog returns and clears the backlog, so that it is sorted without
// blocking Add.
func (a *Archiver) takeBacklog() []Span {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.backlog
	a.backlog = nil
	a.bytes = 0
	return out
}

// requeue puts spans back in front of those added in the meantime.
func (a *Archiver) requeue(rest []Span) {
	if len(rest) == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range rest {
		a.bytes += rest[i].size()
	}
	a.backlog = append(rest, a.backlog...)
	a.dropOldest()
}

func (a *Archiver) put(ctx context.Context, b *batch) error {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.PutTimeout)
	defer cancel()
	a.lastWrite = time.Now()
	err := a.cfg.Objects.PutObject(ctx, b.name, b.data)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.stats.WritesFailed++
		return errors.Wrap(err, "store trace object")
	}
	a.stats.ObjectsStored++
	a.stats.Archived += int64(b.spans)
	return nil
}

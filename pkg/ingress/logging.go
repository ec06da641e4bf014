package ingress

import (
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// rateLimitedLogger writes structured log lines and can limit the rate of each kind
// of line. Omitted lines are counted in the next line of their kind.
type rateLimitedLogger struct {
	log       hclog.Logger
	perSecond int

	mu      sync.Mutex
	windows map[string]*rateWindow
}

// rateWindow counts the lines of one kind within one second.
type rateWindow struct {
	second  int64 // Unix time
	written int
	omitted int // since the last line that was written
}

func newRateLimitedLogger(log hclog.Logger, perSecond int) *rateLimitedLogger {
	return &rateLimitedLogger{log: log, perSecond: perSecond, windows: map[string]*rateWindow{}}
}

// enabled reports whether lines of a level are written.
func (l *rateLimitedLogger) enabled(level hclog.Level) bool { return level >= l.log.GetLevel() }

// write writes a line without a rate limit, for rare events such as start, stop,
// reload or a change of state.
func (l *rateLimitedLogger) write(level hclog.Level, message string, args ...any) {
	l.log.Log(level, message, args...)
}

// writeLimited writes a line unless the limit of its kind is reached in this second.
func (l *rateLimitedLogger) writeLimited(kind string, level hclog.Level, message string, args ...any) {
	omitted, ok := l.allow(kind, time.Now().Unix())
	if !ok {
		return
	}
	if omitted > 0 {
		args = append(args, "omitted_before", omitted)
	}
	l.log.Log(level, message, args...)
}

func (l *rateLimitedLogger) allow(kind string, second int64) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.windows[kind]
	if b == nil {
		b = &rateWindow{}
		l.windows[kind] = b
	}
	if b.second != second {
		b.second, b.written = second, 0
	}
	if b.written >= l.perSecond {
		b.omitted++
		return 0, false
	}
	b.written++
	omitted, b.omitted = b.omitted, 0
	return omitted, true
}

// maxQueuedLines bounds the lines that are queued for a slow reader.
const maxQueuedLines = 1024

// AsyncWriter passes lines to a writer without blocking. Lines that do not fit into
// the queue are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	Dropped atomic.Int64

	mu     sync.RWMutex
	closed bool
}

// NewAsyncWriter starts writing to the given writer. Close flushes the queue.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			_, _ = to.Write(line) // the log itself has failed
		}
	}()
	return w
}

// Write queues a copy of the line. After Close, lines are dropped.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		w.Dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.Dropped.Add(1)
	}
	return len(line), nil
}

// Close waits up to 200 ms until the queue is written.
func (w *AsyncWriter) Close() {
	const flushTimeout = 200 * time.Millisecond
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

package ingress

import (
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// journal writes structured lines. Lines of one kind are bounded by rate; those
// left out are counted in the next line of the kind.
type journal struct {
	log       hclog.Logger
	perSecond int

	mu    sync.Mutex
	kinds map[string]*lineBudget
}

type lineBudget struct {
	second  int64
	written int
	omitted int
}

func newJournal(log hclog.Logger, perSecond int) *journal {
	return &journal{log: log, perSecond: perSecond, kinds: map[string]*lineBudget{}}
}

// enabled reports whether lines of a level are written at all.
func (j *journal) enabled(level hclog.Level) bool { return level >= j.log.GetLevel() }

// line writes a line that is rare by nature: start, stop, reload, a changed
// belief.
func (j *journal) line(level hclog.Level, message string, args ...any) {
	j.log.Log(level, message, args...)
}

// limited writes a line of a kind unless there were too many in this second.
func (j *journal) limited(kind string, level hclog.Level, message string, args ...any) {
	omitted, ok := j.take(kind, time.Now().Unix())
	if !ok {
		return
	}
	if omitted > 0 {
		args = append(args, "omitted_before", omitted)
	}
	j.log.Log(level, message, args...)
}

func (j *journal) take(kind string, second int64) (omitted int, ok bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	b := j.kinds[kind]
	if b == nil {
		b = &lineBudget{}
		j.kinds[kind] = b
	}
	if b.second != second {
		b.second, b.written = second, 0
	}
	if b.written >= j.perSecond {
		b.omitted++
		return 0, false
	}
	b.written++
	omitted, b.omitted = b.omitted, 0
	return omitted, true
}

// queuedLines is the number of lines that wait for a slow reader.
const queuedLines = 1024

// AsyncWriter passes lines to a writer without blocking. Lines that find the
// queue full are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	done    chan struct{}
	Dropped atomic.Int64
}

// NewAsyncWriter starts a writer. Close flushes it.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			_, _ = to.Write(line) // nowhere to report it
		}
	}()
	return w
}

// Write queues a copy of the line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.Dropped.Add(1)
	}
	return len(line), nil
}

// Close waits a moment until the queue is written. Nothing may be written
// afterwards.
func (w *AsyncWriter) Close() {
	const patience = 200 * time.Millisecond
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(patience):
	}
}

func randomSource() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// Package notices keeps what backend servers announce about themselves in their
// responses, for example that they leave. A notice is a statement of one process
// of a server. It is independent of the server's registration: it stays in force
// when the registration changes, lapses or cannot be read, and it ends with the
// process. The package does no I/O and reads no clock.
package notices

import (
	"cmp"
	"slices"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
)

// recordTTL is how long the notices of a process are kept after it was last
// registered. A registration may be missing while the store is down, for minutes.
const recordTTL = 10 * time.Minute

// Process identifies one process of a backend server. A later process may use the
// same id.
type Process struct {
	ID, Addr  string
	StartTime int64 // Unix time in milliseconds, by the server's clock; 0 if not registered
}

// ProcessOf returns the process that a registration describes.
func ProcessOf(s fleet.BackendServer) Process {
	return Process{ID: s.ID, Addr: s.Addr, StartTime: s.StartTime.UnixMilli()}
}

// Notice is what a process has announced.
type Notice struct {
	// Leaving says that the process is about to end and wants no new requests.
	// It is never withdrawn.
	Leaving bool
}

type record struct {
	Notice
	registeredAt time.Time // when the process was last seen registered or answering
}

// Book holds the notices of all servers. It is not safe for concurrent use.
type Book struct {
	records map[Process]*record
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{records: map[Process]*record{}} }

// Record records the head of a response of a process. It reports whether a notice
// has changed.
func (b *Book) Record(now time.Time, p Process, head fleet.ResponseHead) bool {
	if !head.Leaving {
		return false
	}
	return b.setLeaving(now, p)
}

func (b *Book) setLeaving(now time.Time, p Process) bool {
	r := b.recordOf(now, p)
	changed := !r.Leaving
	r.Leaving = true
	return changed
}

// Report is a notice as entry instances pass it on to each other.
type Report struct {
	Process
	Leaving bool
}

// Merge records the report of another entry instance. It reports whether a notice
// has changed.
func (b *Book) Merge(now time.Time, r Report) bool {
	return r.Leaving && b.setLeaving(now, r.Process)
}

// Reports returns the notices to pass on, in the order of ids.
func (b *Book) Reports() []Report {
	var out []Report
	for p, r := range b.records {
		if r.Leaving {
			out = append(out, Report{Process: p, Leaving: true})
		}
	}
	slices.SortFunc(out, func(x, y Report) int {
		return cmp.Or(cmp.Compare(x.ID, y.ID), cmp.Compare(x.StartTime, y.StartTime), cmp.Compare(x.Addr, y.Addr))
	})
	return out
}

func (b *Book) recordOf(now time.Time, p Process) *record {
	r := b.records[p]
	if r == nil {
		r = &record{}
		b.records[p] = r
	}
	r.registeredAt = now
	return r
}

// Of returns the notice of a process that is registered at this time.
func (b *Book) Of(now time.Time, p Process) Notice {
	r := b.records[p]
	if r == nil {
		return Notice{}
	}
	r.registeredAt = now
	return r.Notice
}

// Prune forgets processes that have not been registered for recordTTL.
func (b *Book) Prune(now time.Time) {
	for p, r := range b.records {
		if now.Sub(r.registeredAt) > recordTTL {
			delete(b.records, p)
		}
	}
}

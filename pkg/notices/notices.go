// Package notices keeps what backend servers announce about themselves in their
// responses: that they leave, the rate of requests that they take, and how long they
// want no requests. A notice is a statement of one process of a server. It is
// independent of the server's registration: it stays in force when the registration
// changes, lapses or cannot be read, and it ends with the process. The package does no
// I/O and reads no clock.
package notices

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
)

const (
	// recordTTL is how long the notices of a process are kept after it was last
	// registered. A registration may be missing while the store is down, for
	// minutes.
	recordTTL = 10 * time.Minute
	// withdrawalTTL is how long entry instances pass on that a limit has ended. By
	// then all have heard it that are not cut off; those learn it from responses.
	withdrawalTTL = 30 * time.Second
)

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
	// Limited says that the process takes at most Limit requests per second from
	// all entry instances together.
	Limited bool
	Limit   float64
}

type record struct {
	Notice
	// limitAt is the time of the latest statement on the limit; zero if there was
	// none.
	limitAt time.Time
	// pausedUntil is when the process wants requests again from this instance. It
	// says nothing about other instances.
	pausedUntil time.Time
	seenAt      time.Time // when the process was last registered, or announced something
}

// Book holds the notices of all servers. It is not safe for concurrent use.
type Book struct {
	records map[Process]*record
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{records: map[Process]*record{}} }

// Record records the head of a response of a process to a request that was sent at a
// time. It reports whether a notice has changed.
func (b *Book) Record(now, sentAt time.Time, p Process, head fleet.ResponseHead) bool {
	r := b.records[p]
	if r == nil {
		if !head.Leaving && head.LimitState != fleet.Limited {
			return false
		}
		r = b.recordOf(p)
	}
	before := r.Notice
	r.seenAt = now
	r.Leaving = r.Leaving || head.Leaving
	switch {
	case head.LimitState == fleet.Limited:
		r.setLimit(now, true, head.Limit)
	case head.LimitState == fleet.NoLimit && head.FromBackend && head.Success && r.Limited && sentAt.After(r.limitAt):
		// An earlier response may have been overtaken by the one that named the
		// limit. Refusals and errors are no sign that the need has ended.
		r.setLimit(sentAt, false, 0)
	}
	return r.Notice != before
}

func (r *record) setLimit(at time.Time, limited bool, limit float64) {
	r.limitAt, r.Limited, r.Limit = at, limited, limit
}

func (b *Book) recordOf(p Process) *record {
	r := b.records[p]
	if r == nil {
		r = &record{}
		b.records[p] = r
	}
	return r
}

// Of returns the notice of a process that is registered at this time.
func (b *Book) Of(now time.Time, p Process) Notice {
	r := b.records[p]
	if r == nil {
		return Notice{}
	}
	r.seenAt = now
	return r.Notice
}

// Pause records that a process wants no requests from this instance for a time. An
// earlier pause that ends later stays in force.
func (b *Book) Pause(now time.Time, p Process, d time.Duration) {
	r := b.recordOf(p)
	r.seenAt = now
	if until := now.Add(d); until.After(r.pausedUntil) {
		r.pausedUntil = until
	}
}

// PausedUntil returns when a process wants requests again from this instance; the
// zero time if it has asked for no pause.
func (b *Book) PausedUntil(p Process) time.Time {
	if r := b.records[p]; r != nil {
		return r.pausedUntil
	}
	return time.Time{}
}

// Report is a notice as entry instances pass it on to each other.
type Report struct {
	Process
	Notice
	// LimitAge is the age of the latest statement on the limit; negative if there
	// was none.
	LimitAge time.Duration
}

// Merge records the report of another entry instance. It reports whether a notice
// has changed.
func (b *Book) Merge(now time.Time, in Report) bool {
	if !in.Leaving && in.LimitAge < 0 || !(in.Limit >= 0) || math.IsInf(in.Limit, 1) {
		return false
	}
	r := b.recordOf(in.Process)
	before := r.Notice
	r.seenAt = now
	r.Leaving = r.Leaving || in.Leaving
	if at := now.Add(-in.LimitAge); in.LimitAge >= 0 && at.After(r.limitAt) {
		r.setLimit(at, in.Limited, in.Limit)
	}
	return r.Notice != before
}

// Reports returns the notices to pass on, in the order of ids.
func (b *Book) Reports(now time.Time) []Report {
	var out []Report
	for p, r := range b.records {
		report := Report{Process: p, Notice: r.Notice, LimitAge: -1}
		if !r.limitAt.IsZero() && (r.Limited || now.Sub(r.limitAt) < withdrawalTTL) {
			report.LimitAge = max(0, now.Sub(r.limitAt))
		}
		if r.Leaving || report.LimitAge >= 0 {
			out = append(out, report)
		}
	}
	slices.SortFunc(out, func(x, y Report) int {
		return cmp.Or(cmp.Compare(x.ID, y.ID), cmp.Compare(x.StartTime, y.StartTime), cmp.Compare(x.Addr, y.Addr))
	})
	return out
}

// Prune forgets processes that have not been registered for recordTTL.
func (b *Book) Prune(now time.Time) {
	for p, r := range b.records {
		if now.Sub(r.seenAt) > recordTTL {
			delete(b.records, p)
		}
	}
}

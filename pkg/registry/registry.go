// Package registry turns stored rows into what may be used now: the routing
// document in force, the evacuated failure domains, and the backend servers
// with the time until which each is cold. It is pure.
//
// A document never goes back to an older version, and a document that cannot be
// read changes nothing. A server that drains or was removed is not used. Only
// when registrations may have lapsed because the store was away, a removed
// server stays in use for ExpiryGrace, the time in which a live server
// registers again.
package registry

import (
	"maps"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/replica"
)

const (
	// ExpiryGrace is the time in which a server registers again after the
	// store returned: about 2 s, less the delay of the feed, so that it ends
	// before the shortest drain bound (2.5 s).
	ExpiryGrace = 1900 * time.Millisecond
	// lapseShare is the part of all servers whose removal within lapseWindow
	// counts as a lapse. It lies above the largest planned removal of the
	// sites, a quarter of one service, and below what an outage of the store
	// takes, all servers.
	lapseShare = 0.3
	// lapseLeast is the least number of such removals.
	lapseLeast  = 3
	lapseWindow = time.Second
	// awayFor is how long the store must have been away for registrations to
	// lapse: they last three intervals of 1.5 s, the oldest are one old.
	awayFor = 2500 * time.Millisecond
	// awayPause is the pause between two failures that belong to one outage.
	awayPause = 3 * time.Second
	// storeBack is how long after the return of the store a removal counts as
	// a lapse.
	storeBack = 2 * time.Second
	// evacuationCold is added to the cold time of servers whose failure
	// domain is taken back: they report being cold with their next
	// registration, 1.5 s later.
	evacuationCold = 1500 * time.Millisecond
	// forgetAfter is how long a removed server is remembered.
	forgetAfter = 30 * time.Second
)

// Decoder decodes stored values.
type Decoder interface {
	IsDocument(key string) bool
	EvacuatedDomain(key string) (string, bool)
	DecodeDocument(value []byte) (*fleet.Document, error)
	DecodeServer(id string, value []byte) (fleet.BackendServer, error)
}

// Server is a backend server that may be used.
type Server struct {
	fleet.BackendServer
	ColdUntil time.Time
	// InGracePeriod says that the registration is gone and the server is used only
	// because it may have lapsed.
	InGracePeriod bool
}

// View is what holds at one time.
type View struct {
	Document *fleet.Document
	Servers  []Server
	// Evacuated lists failure domains that get nothing.
	Evacuated map[string]bool
	// NextChange is when the view changes by itself; zero means never.
	NextChange time.Time
}

// Event is a change of belief, for the log.
type Event struct {
	Kind       EventKind
	Key        string
	RowVersion uint64 // version of the row
	Error      error
	// Version of the document, for DocumentInForce.
	DocumentVersion uint64
	Detail          string
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	DocumentInForce EventKind = "document in force"
	DocumentInvalid EventKind = "document not usable, the former one stays in force"
	EvacuationBegan EventKind = "evacuation began"
	EvacuationEnded EventKind = "evacuation ended"
	ServerJoined    EventKind = "backend server joined"
	ServerDraining  EventKind = "backend server is draining"
	ServerRemoved   EventKind = "backend server removed"
	ServerInvalid   EventKind = "registration not usable"
	ServerCold      EventKind = "backend server is cold"
)

type record struct {
	fleet.BackendServer
	coldUntil time.Time
	removedAt time.Time
	// graceUntil is set for a removal that may be a lapse.
	graceUntil time.Time
}

// Registry holds the beliefs. One goroutine at a time may use it.
type Registry struct {
	decoder   Decoder
	document  *fleet.Document
	evacuated map[string]bool
	servers   map[string]*record
	// complete is set once the servers of the first snapshot are known; a
	// server that joins later is cold.
	complete bool
	// The store was seen away from awaySince to awayAt.
	awaySince, awayAt time.Time
	// next is when the last view changes by itself.
	next time.Time
}

// New returns a registry that knows nothing.
func New(d Decoder) *Registry {
	return &Registry{decoder: d, evacuated: map[string]bool{}, servers: map[string]*record{}}
}

// RecordStoreFailure records a call that the store did not answer.
func (r *Registry) RecordStoreFailure(started, now time.Time) {
	if r.awayAt.IsZero() || started.Sub(r.awayAt) > awayPause {
		r.awaySince = started
	}
	r.awayAt = now
}

// lapsing reports whether a removal at this time may be a lapse because the
// store was away.
func (r *Registry) lapsing(now time.Time) bool {
	return !r.awayAt.IsZero() && now.Sub(r.awayAt) < storeBack && r.awayAt.Sub(r.awaySince) >= awayFor
}

// ApplyOperator takes in changed rows of the operator's table.
func (r *Registry) ApplyOperator(now time.Time, rows []replica.Row) []Event {
	var events []Event
	for _, row := range rows {
		if domain, ok := r.decoder.EvacuatedDomain(row.Key); ok {
			if r.evacuate(now, domain, !row.Removed) {
				kind := EvacuationBegan
				if row.Removed {
					kind = EvacuationEnded
				}
				events = append(events, Event{Kind: kind, Key: domain, RowVersion: row.Version})
			}
			continue
		}
		if !r.decoder.IsDocument(row.Key) || row.Removed {
			continue
		}
		doc, err := r.decoder.DecodeDocument(row.Value)
		if err != nil {
			events = append(events, Event{Kind: DocumentInvalid, Key: row.Key, RowVersion: row.Version, Error: err})
			continue
		}
		if r.document == nil || doc.Version > r.document.Version {
			r.document = doc
			events = append(events, Event{Kind: DocumentInForce, Key: row.Key, RowVersion: row.Version, DocumentVersion: doc.Version})
		}
	}
	return events
}

func (r *Registry) evacuate(now time.Time, domain string, on bool) bool {
	if r.evacuated[domain] == on {
		return false
	}
	if on {
		r.evacuated[domain] = true
		return true
	}
	delete(r.evacuated, domain)
	for _, rec := range r.servers {
		if rec.FailureDomain == domain {
			rec.coldUntil = later(rec.coldUntil, now.Add(r.coldStart(rec.Service)+evacuationCold))
		}
	}
	return true
}

func (r *Registry) coldStart(service string) time.Duration {
	if r.document == nil {
		return 0
	}
	return r.document.Services[service].ColdStart
}

// ApplyServers takes in changed rows of the table of registrations. complete
// says that the table is complete from now on.
func (r *Registry) ApplyServers(now time.Time, rows []replica.Row, complete bool) []Event {
	var events []Event
	for _, row := range rows {
		if e, ok := r.applyServer(now, row); ok {
			events = append(events, e)
		}
	}
	r.complete = r.complete || complete
	r.markLapses(now)
	return events
}

func (r *Registry) applyServer(now time.Time, row replica.Row) (Event, bool) {
	old := r.servers[row.Key]
	if row.Removed {
		if old == nil || !old.removedAt.IsZero() {
			return Event{}, false
		}
		old.removedAt = now
		return Event{Kind: ServerRemoved, Key: row.Key, RowVersion: row.Version}, true
	}
	in, err := r.decoder.DecodeServer(row.Key, row.Value)
	if err != nil {
		// The last good registration does not hold any more, since this row
		// has replaced it.
		if old != nil && old.removedAt.IsZero() {
			old.removedAt = now
		}
		return Event{Kind: ServerInvalid, Key: row.Key, RowVersion: row.Version, Error: err}, true
	}
	next := &record{BackendServer: in}
	reborn := old == nil || !old.StartTime.Equal(in.StartTime) || old.Addr != in.Addr
	switch {
	case reborn && r.complete:
		next.coldUntil = now.Add(max(in.ColdRemaining, r.coldStart(in.Service)))
	case in.ColdRemaining > 0:
		next.coldUntil = now.Add(in.ColdRemaining)
	}
	if !reborn {
		next.coldUntil = later(next.coldUntil, old.coldUntil)
	}
	r.servers[row.Key] = next
	event := Event{Key: row.Key, RowVersion: row.Version, Detail: in.Service + " " + in.FailureDomain}
	switch {
	case in.Draining && (old == nil || !old.Draining):
		event.Kind = ServerDraining
	case reborn && r.complete:
		event.Kind = ServerJoined
	case in.ColdRemaining > 0:
		event.Kind = ServerCold
	default:
		return Event{}, false
	}
	return event, true
}

// markLapses gives removals that may be lapses their grace.
func (r *Registry) markLapses(now time.Time) {
	recent, all := 0, 0
	for _, rec := range r.servers {
		fresh := now.Sub(rec.removedAt) < lapseWindow
		if fresh && !rec.Draining {
			recent++
		}
		if fresh || rec.removedAt.IsZero() {
			all++
		}
	}
	lapse := recent >= lapseLeast && float64(recent) >= lapseShare*float64(all) || r.lapsing(now)
	for id, rec := range r.servers {
		if rec.removedAt.IsZero() {
			continue
		}
		if now.Sub(rec.removedAt) > forgetAfter {
			delete(r.servers, id)
		} else if lapse && !rec.Draining && now.Sub(rec.removedAt) < lapseWindow {
			rec.graceUntil = rec.removedAt.Add(ExpiryGrace)
		}
	}
}

// View returns what holds at a time.
func (r *Registry) View(now time.Time) View {
	v := View{Document: r.document, Evacuated: maps.Clone(r.evacuated)}
	for _, rec := range r.servers {
		lapsed := !rec.removedAt.IsZero()
		if rec.Draining || lapsed && !now.Before(rec.graceUntil) {
			continue
		}
		if lapsed && (v.NextChange.IsZero() || rec.graceUntil.Before(v.NextChange)) {
			v.NextChange = rec.graceUntil
		}
		v.Servers = append(v.Servers, Server{BackendServer: rec.BackendServer, ColdUntil: rec.coldUntil, InGracePeriod: lapsed})
	}
	r.next = v.NextChange
	return v
}

// ViewOutdated reports whether the last view has changed by itself.
func (r *Registry) ViewOutdated(now time.Time) bool { return !r.next.IsZero() && !now.Before(r.next) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Package registry derives the current configuration from stored rows: the
// routing document in force, the evacuated failure domains, and the usable
// backend servers with the time until which each is cold. It does no I/O and
// reads no clock.
//
// The document never reverts to an older version, and a document that cannot be
// decoded changes nothing. A server that is draining or was removed is not used.
// Only if registrations may have expired because the store was unavailable,
// removed servers stay in use for ExpiryGrace, the time in which a live server
// registers again.
package registry

import (
	"maps"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/replica"
)

const (
	// ExpiryGrace is how long a removed server stays in use if its registration
	// may have expired. Servers register again about 2 s after the store has
	// recovered; the delay of the change feed is subtracted.
	ExpiryGrace = 1900 * time.Millisecond
	// drainMargin is the time before the drain bound at which the grace ends
	// unless the store was unavailable, since such a removal may be planned. It
	// covers the way from the store and the interval at which the end of the
	// grace is noticed.
	drainMargin = 600 * time.Millisecond
	// massExpiryShare is the share of all servers whose removal within
	// expiryWindow counts as expiry. It lies above the largest planned removal
	// of the known deployments, a quarter of one service, and below the effect
	// of a store outage, which removes all servers.
	massExpiryShare = 0.3
	// minMassExpiry is the minimum number of such removals.
	minMassExpiry = 3
	expiryWindow  = time.Second
	// outageMargin is subtracted from the shortest store outage after which
	// registrations may expire, two intervals: they are valid for three, and
	// the oldest have an age of one.
	outageMargin = 500 * time.Millisecond
	// maxFailureGap is the longest time between two failures of one outage.
	maxFailureGap = 3 * time.Second
	// outageExpiryWindow is how long after an outage a removal counts as
	// expiry.
	outageExpiryWindow = 2 * time.Second
	// removedTTL is how long a removed server is remembered.
	removedTTL = 30 * time.Second
	// rollbackTTL is how long rows that an older copy of the store lacks, or has again,
	// count as they were before: until then they are written again.
	rollbackTTL = 10 * time.Second
)

// Decoder decodes stored rows.
type Decoder interface {
	// IsDocument reports whether a key of the operator table is that of the
	// routing document.
	IsDocument(key string) bool
	// EvacuatedDomain returns the failure domain that a key of the operator
	// table evacuates, if any.
	EvacuatedDomain(key string) (string, bool)
	DecodeDocument(value []byte) (*fleet.Document, error)
	DecodeServer(id string, value []byte) (fleet.BackendServer, error)
}

// Server is a usable backend server.
type Server struct {
	fleet.BackendServer
	ColdUntil time.Time
	// InGracePeriod says that the registration was removed, and the server is
	// used only because the registration may have expired.
	InGracePeriod bool
}

// View is the configuration at one point in time.
type View struct {
	Document *fleet.Document
	Servers  []Server
	// Evacuated holds the failure domains that get no requests.
	Evacuated map[string]bool
	// NextChange is when the view changes without a new row; zero means never.
	NextChange time.Time
}

// Event is a change to be logged.
type Event struct {
	Kind       EventKind
	Key        string
	RowVersion uint64 // version of the row
	Error      error
	// DocumentVersion is set for DocumentInForce.
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
	removedAt time.Time // zero: not removed
	// graceUntil is set if the registration may have expired.
	graceUntil time.Time
	// returnsAt is when the server counts as present again although it was removed, if
	// an older copy of the store has its registration; zero if none has.
	returnsAt time.Time
}

// Registry holds the state derived from the rows seen so far. It is not safe for
// concurrent use.
type Registry struct {
	decoder   Decoder
	document  *fleet.Document
	evacuated map[string]bool
	servers   map[string]*record
	// complete is set once the first snapshot of the servers was applied; a
	// server that joins later is cold.
	complete bool
	// outageStart is the start of the latest store outage, lastStoreFailure
	// the time of its last failed call.
	outageStart, lastStoreFailure time.Time
	// nextChange is NextChange of the last view.
	nextChange time.Time
	// rolledBackAt is when the store was last found to have gone back to an older copy;
	// rows that are applied at this time are those of the copy.
	rolledBackAt time.Time
	// evacuationEnds holds evacuations that the older copy lacks, and when they end
	// unless they are requested again.
	evacuationEnds map[string]time.Time
	// drain and interval are set by SetLimits.
	drain, interval time.Duration
}

// New returns an empty registry.
func New(d Decoder) *Registry {
	limits := fleet.DefaultBounds()
	return &Registry{
		decoder: d, evacuated: map[string]bool{}, servers: map[string]*record{}, evacuationEnds: map[string]time.Time{},
		drain: limits.Drain, interval: defaultInterval,
	}
}

// defaultInterval is the interval of registrations unless SetLimits sets one: that
// of the known deployments.
const defaultInterval = 1500 * time.Millisecond

// SetLimits sets the time within which a removed server must get no more requests,
// and the interval at which servers renew their registrations.
func (r *Registry) SetLimits(drain, interval time.Duration) { r.drain, r.interval = drain, interval }

// RecordStoreFailure records a call that the store did not answer.
func (r *Registry) RecordStoreFailure(started, now time.Time) {
	if r.lastStoreFailure.IsZero() || started.Sub(r.lastStoreFailure) > maxFailureGap {
		r.outageStart = started
	}
	r.lastStoreFailure = now
}

// RecordRollback records that the store has gone back to an older copy of its rows. The
// rows that are applied with the same now are those of the copy: they do not say that
// anything has changed, and what was written since will be written again.
func (r *Registry) RecordRollback(now time.Time) { r.rolledBackAt = now }

// rolledBack reports whether rows that are applied now are those of an older copy.
func (r *Registry) rolledBack(now time.Time) bool {
	return !r.rolledBackAt.IsZero() && now.Equal(r.rolledBackAt)
}

// afterStoreOutage reports whether a removal at this time may be an expiry caused
// by a store outage.
func (r *Registry) afterStoreOutage(now time.Time) bool {
	if !r.rolledBackAt.IsZero() && now.Sub(r.rolledBackAt) < outageExpiryWindow {
		return true
	}
	return !r.lastStoreFailure.IsZero() && now.Sub(r.lastStoreFailure) < outageExpiryWindow && r.lastStoreFailure.Sub(r.outageStart) >= 2*r.interval-outageMargin
}

// ApplyOperator applies changed rows of the operator table.
func (r *Registry) ApplyOperator(now time.Time, rows []replica.Row) []Event {
	var events []Event
	for _, row := range rows {
		if domain, ok := r.decoder.EvacuatedDomain(row.Key); ok {
			if row.Removed && r.rolledBack(now) && r.evacuated[domain] {
				r.evacuationEnds[domain] = now.Add(rollbackTTL)
				continue
			}
			delete(r.evacuationEnds, domain)
			if r.setEvacuated(now, domain, !row.Removed) {
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

func (r *Registry) setEvacuated(now time.Time, domain string, evacuated bool) bool {
	if r.evacuated[domain] == evacuated {
		return false
	}
	if evacuated {
		r.evacuated[domain] = true
		return true
	}
	delete(r.evacuated, domain)
	for _, rec := range r.servers {
		if rec.FailureDomain == domain {
			// It reports being cold with its next registration.
			rec.coldUntil = later(rec.coldUntil, now.Add(r.coldStart(rec.Service)+r.interval))
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

// ApplyServers applies changed rows of the table of registrations. complete says
// that the table is complete after these rows.
func (r *Registry) ApplyServers(now time.Time, rows []replica.Row, complete bool) []Event {
	var events []Event
	for _, row := range rows {
		if e, ok := r.applyServer(now, row); ok {
			events = append(events, e)
		}
	}
	r.complete = r.complete || complete
	r.grantGrace(now)
	return events
}

func (r *Registry) applyServer(now time.Time, row replica.Row) (Event, bool) {
	old := r.servers[row.Key]
	if row.Removed {
		if old == nil {
			return Event{}, false
		}
		old.returnsAt = time.Time{}
		if !old.removedAt.IsZero() {
			return Event{}, false
		}
		old.removedAt = now
		return Event{Kind: ServerRemoved, Key: row.Key, RowVersion: row.Version}, true
	}
	in, err := r.decoder.DecodeServer(row.Key, row.Value)
	if err == nil && old != nil && old.HasStart() && !in.HasStart() {
		// Servers always say when they started, so another writer wrote this.
		err = errors.New("registration lacks the start of the process")
	}
	if err != nil {
		// The last valid registration no longer counts, since this row has
		// replaced it.
		if old != nil && old.removedAt.IsZero() {
			old.removedAt = now
		}
		return Event{Kind: ServerInvalid, Key: row.Key, RowVersion: row.Version, Error: err}, true
	}
	next := &record{BackendServer: in}
	newProcess := old == nil || !old.StartTime.Equal(in.StartTime) || old.Addr != in.Addr
	switch {
	case newProcess && r.complete:
		next.coldUntil = now.Add(max(in.ColdRemaining, r.coldStart(in.Service)))
	case in.ColdRemaining > 0:
		next.coldUntil = now.Add(in.ColdRemaining)
	}
	if !newProcess {
		next.coldUntil = later(next.coldUntil, old.coldUntil)
		if r.rolledBack(now) {
			next.keepLeaving(now, old)
		}
	}
	r.servers[row.Key] = next
	event := Event{Key: row.Key, RowVersion: row.Version, Detail: in.Service + " " + in.FailureDomain}
	switch {
	case in.Draining && (old == nil || !old.Draining):
		event.Kind = ServerDraining
	case newProcess && r.complete:
		event.Kind = ServerJoined
	case in.ColdRemaining > 0:
		event.Kind = ServerCold
	default:
		return Event{}, false
	}
	return event, true
}

// keepLeaving keeps what was known of a server whose registration is that of an older
// copy: that it is leaving, or was removed though its registration could not have
// expired. A server that was removed is used again only if the registration is still
// there after rollbackTTL.
func (rec *record) keepLeaving(now time.Time, old *record) {
	rec.Draining = rec.Draining || old.Draining
	if !old.removedAt.IsZero() && old.graceUntil.IsZero() {
		rec.removedAt, rec.returnsAt = old.removedAt, now.Add(rollbackTTL)
	}
}

// grantGrace sets the grace period of removed registrations that may have
// expired.
func (r *Registry) grantGrace(now time.Time) {
	recent, all := 0, 0
	for _, rec := range r.servers {
		justRemoved := now.Sub(rec.removedAt) < expiryWindow
		if justRemoved && !rec.Draining {
			recent++
		}
		if justRemoved || rec.removedAt.IsZero() {
			all++
		}
	}
	grace := time.Duration(0)
	switch {
	case r.afterStoreOutage(now):
		grace = ExpiryGrace
	case recent >= minMassExpiry && float64(recent) >= massExpiryShare*float64(all):
		grace = min(ExpiryGrace, r.drain-drainMargin)
	}
	for id, rec := range r.servers {
		if rec.removedAt.IsZero() || !rec.returnsAt.IsZero() {
			continue
		}
		if now.Sub(rec.removedAt) > removedTTL {
			delete(r.servers, id)
		} else if grace > 0 && !rec.Draining && now.Sub(rec.removedAt) < expiryWindow {
			rec.graceUntil = rec.removedAt.Add(grace)
		}
	}
}

// View returns the configuration at a time.
func (r *Registry) View(now time.Time) View {
	for domain, end := range r.evacuationEnds {
		if !now.Before(end) {
			delete(r.evacuationEnds, domain)
			r.setEvacuated(now, domain, false)
		}
	}
	v := View{Document: r.document, Evacuated: maps.Clone(r.evacuated)}
	changesAt := func(at time.Time) {
		if v.NextChange.IsZero() || at.Before(v.NextChange) {
			v.NextChange = at
		}
	}
	for _, end := range r.evacuationEnds {
		changesAt(end)
	}
	for _, rec := range r.servers {
		switch {
		case rec.returnsAt.IsZero():
		case now.Before(rec.returnsAt):
			changesAt(rec.returnsAt)
		default:
			rec.removedAt, rec.returnsAt = time.Time{}, time.Time{}
		}
		removed := !rec.removedAt.IsZero()
		if rec.Draining || removed && !now.Before(rec.graceUntil) {
			continue
		}
		if removed {
			changesAt(rec.graceUntil)
		}
		v.Servers = append(v.Servers, Server{BackendServer: rec.BackendServer, ColdUntil: rec.coldUntil, InGracePeriod: removed})
	}
	r.nextChange = v.NextChange
	return v
}

// State is the state of a server's registration.
type State string

// States of a registration.
const (
	StateUnknown  State = "unknown"
	StateReady    State = "ready"
	StateDraining State = "draining"
	StateRemoved  State = "removed"
)

// StateOf returns the state of the registration of a server.
func (r *Registry) StateOf(id string) State {
	rec := r.servers[id]
	switch {
	case rec == nil:
		return StateUnknown
	case !rec.removedAt.IsZero():
		return StateRemoved
	case rec.Draining:
		return StateDraining
	default:
		return StateReady
	}
}

// ViewOutdated reports whether the last view has changed without a new row.
func (r *Registry) ViewOutdated(now time.Time) bool {
	return !r.nextChange.IsZero() && !now.Before(r.nextChange)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Package membership tracks the state of the other entry instances from
// heartbeats, failed calls and the platform's instance list.
//
// The package is pure: it does no I/O and reads no clock. Members is not safe
// for concurrent use; the caller locks.
package membership

import "time"

// State is the state of a peer.
type State string

// States of a peer.
const (
	// StateUnknown means that nothing was heard of the peer yet.
	StateUnknown  State = "unknown"
	StateReady    State = "ready"
	StateNotReady State = "not_ready"
	// StateSilent means that heartbeats stopped. The process may be paused
	// and resume.
	StateSilent State = "silent"
	// StateGone means that the peer is provably gone: its address has refused
	// connections for long enough and until just now.
	StateGone State = "gone"
	// StateLeaving means that the peer announced its stop, or that the
	// platform lists it as leaving.
	StateLeaving State = "leaving"
)

// Config holds the time bounds. Zero values select the defaults.
type Config struct {
	// Self is the id of this entry instance; it is not tracked.
	Self string
	// SilentAfter without a heartbeat makes a peer silent.
	SilentAfter time.Duration
	// GoneAfter of refused connections makes a peer provably gone.
	GoneAfter time.Duration
	// RefusalMaxAge is the greatest age of the last refusal, and the greatest
	// gap between two, for the refusals to count as continuous.
	RefusalMaxAge time.Duration
}

// Defaults of Config.
const (
	DefaultSilentAfter   = time.Second
	DefaultGoneAfter     = time.Second
	DefaultRefusalMaxAge = 500 * time.Millisecond
)

// Heartbeat is what a peer says of itself.
type Heartbeat struct {
	// Incarnation orders the runs of one entry instance: the high bits are
	// the start time in milliseconds, the low bits are random.
	Incarnation uint64
	// Sequence grows with each heartbeat of one incarnation, whether it is
	// sent as a request or as a response.
	Sequence uint64
	// State is ready, not_ready or leaving.
	State         State
	ConfigVersion uint64
	// Free and QueueLength are by service.
	Free        map[string]int
	QueueLength map[string]int
	// LeavingServers are the backend servers that the sender itself has seen
	// leaving. It must not repeat what it heard from peers, otherwise two
	// entry instances keep a cancelled drain alive for each other.
	LeavingServers []string
}

// Status is the state of one peer.
type Status struct {
	Entry          string         `json:"entry"`
	State          State          `json:"state"`
	Incarnation    uint64         `json:"incarnation"`
	ConfigVersion  uint64         `json:"config_version"`
	Free           map[string]int `json:"free,omitempty"`
	QueueLength    map[string]int `json:"queue_length,omitempty"`
	LeavingServers []string       `json:"leaving_servers,omitempty"`
	// Since is the start of the state.
	Since time.Time `json:"since"`
	// LastHeard is the time of the last accepted heartbeat.
	LastHeard time.Time `json:"last_heard"`
}

// EventKind classifies an Event.
type EventKind string

// Kinds of events.
const (
	EventState            EventKind = "state"             // From and To differ
	EventIncarnation      EventKind = "incarnation"       // a new run of the entry instance
	EventStaleIncarnation EventKind = "stale_incarnation" // heartbeat of an older run, dropped
	EventLeft             EventKind = "left"              // clean leave announced
	EventUnknownEntry     EventKind = "unknown_entry"     // heartbeat of an entry that is not configured
)

// Event is a change that is worth a log line.
type Event struct {
	At          time.Time
	Entry       string
	Kind        EventKind
	From, To    State
	Incarnation uint64
}

// Package membership tracks the state of the other entry instances from
// heartbeats, failed calls and the platform's instance list.
//
// The package does no I/O and reads no clock: times are arguments. Its types
// are not safe for concurrent use.
package membership

import "time"

// State is the state of a peer.
type State string

// States of a peer.
const (
	// StateUnknown means that no heartbeat of the peer was received yet.
	StateUnknown  State = "unknown"
	StateReady    State = "ready"
	StateNotReady State = "not_ready"
	// StateSilent means that heartbeats stopped. The process may be paused
	// and resume.
	StateSilent State = "silent"
	// StateGone means that no process is listening at the peer's address: it
	// has refused connections for Config.GoneAfter and still does.
	StateGone State = "gone"
	// StateLeaving means that the peer announced that it stops, or that the
	// platform lists it as leaving.
	StateLeaving State = "leaving"
)

// Config configures Members. Zero durations select the defaults.
type Config struct {
	// Self is the id of this entry instance; it is not tracked.
	Self string
	// SilentAfter is the time without a heartbeat after which a peer is silent.
	SilentAfter time.Duration
	// GoneAfter is the time of continuously refused connections after which a
	// peer is gone.
	GoneAfter time.Duration
	// RefusalMaxAge is the longest time since the last refusal, and between two
	// refusals, for them to count as continuous.
	RefusalMaxAge time.Duration
}

// Defaults of Config.
const (
	DefaultSilentAfter   = time.Second
	DefaultGoneAfter     = time.Second
	DefaultRefusalMaxAge = 500 * time.Millisecond
)

// Heartbeat is the state that a peer reports of itself.
type Heartbeat struct {
	// Incarnation identifies one run of an entry instance and orders the runs:
	// the high bits are the start time in milliseconds, the low bits are random.
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
	// LeavingServers lists the backend servers that the sender itself has seen
	// leaving. It must not repeat the reports of peers, otherwise two entry
	// instances would keep repeating a cancelled drain to each other.
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
	// Since is when the state began.
	Since time.Time `json:"since"`
	// LastHeard is the time of the last accepted heartbeat.
	LastHeard time.Time `json:"last_heard"`
}

// EventKind classifies an Event.
type EventKind string

// Kinds of events.
const (
	EventState            EventKind = "state"             // From and To differ
	EventIncarnation      EventKind = "incarnation"       // first heartbeat of a new incarnation
	EventStaleIncarnation EventKind = "stale_incarnation" // heartbeat of an older incarnation, dropped
	EventLeft             EventKind = "left"              // the peer announced that it stops
	EventUnknownEntry     EventKind = "unknown_entry"     // heartbeat of an entry that is not configured
)

// Event is a change to be logged.
type Event struct {
	At          time.Time
	Entry       string
	Kind        EventKind
	From, To    State
	Incarnation uint64
}

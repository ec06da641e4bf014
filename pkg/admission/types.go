package admission

import "time"

// Defaults and fixed durations.
const (
	// DefaultQueueLimit bounds the queue of one service.
	DefaultQueueLimit = 64
	// DefaultSlowStart is the time over which a new or returning server's
	// usable share is raised.
	DefaultSlowStart = 5 * time.Second
	// DefaultAgeAfter is the wait after which a deferred request ranks as settle.
	DefaultAgeAfter = 2 * time.Second
	// ConfigPropagation is the time within which every running entry instance
	// has applied a configuration change and lowered its share.
	ConfigPropagation = 3 * time.Second
	// LoanValidity is how long slots may be borrowed after a check that found
	// the lender gone.
	LoanValidity = 500 * time.Millisecond
)

// Reasons for a refusal or expiry, as reported to callers.
const (
	ReasonOverload  = "overload"
	ReasonDeadline  = "deadline"
	ReasonNoServer  = "no_backend_server"
	ReasonDuplicate = "bad_request"
)

// Ranks of the queue: a lower rank is served first.
const (
	rankInteractive = 0
	rankSettle      = 1
)

// Config holds the fixed parameters of a Controller.
type Config struct {
	// Start is when this incarnation, one run of the entry instance, started to
	// listen. A zero Start is only valid with NoPredecessor: the hold-off would
	// already be over.
	Start time.Time
	// QueueLimit bounds the queue of each service (0: DefaultQueueLimit).
	QueueLimit int
	// QueueTotal bounds all queues together (0: four times QueueLimit).
	QueueTotal int
	// SlowStart is the time to reach the full share (0: DefaultSlowStart;
	// negative: no slow start). The first slot of a share is usable at once,
	// so a share of one slot has no slow start.
	SlowStart time.Duration
	// AgeAfter is the wait after which a deferred request ranks as settle
	// (0: DefaultAgeAfter).
	AgeAfter time.Duration
	// HoldOff is the time for which slots are not used because requests of
	// another incarnation or entry instance may still occupy them
	// (0: each server's MaxTimeout).
	HoldOff time.Duration
	// NoPredecessor states that no earlier incarnation of this entry instance
	// has a request in flight and that no other instance borrows its share.
	NoPredecessor bool
}

// Server is a backend server and this entry instance's share of it.
type Server struct {
	ID       string
	Services []string
	// Share is the number of slots that this entry instance may use; 0 for a
	// server of another failure domain, whose slots it can only borrow.
	Share int
	// MaxTimeout is the largest timeout of the services of the server.
	MaxTimeout time.Duration
	// ChangedAt is when the configuration last changed any instance's share,
	// zero if long ago. An instance whose share has decreased may not have
	// applied the change yet, so the initial share and loans wait for it.
	ChangedAt time.Time
}

// Request asks for a slot.
type Request struct {
	ID      uint64
	Service string
	// Rank is the priority, 0 first (config.Priority.Rank).
	Rank     int
	Deadline time.Time
	// Exclude lists servers that must not get this request.
	Exclude []string
	// NoQueue refuses instead of queueing.
	NoQueue bool
}

// DecisionKind says how Submit answered.
type DecisionKind int

// Kinds of a Decision.
const (
	Refused DecisionKind = iota
	Admitted
	Queued
)

// Decision answers Submit.
type Decision struct {
	Kind   DecisionKind
	Server string // when Admitted
	Reason string // when Refused
}

// EventKind says how the wait of a queued request ended.
type EventKind int

// Kinds of an Event.
const (
	// Granted gives a queued request a slot. The slot is in use until Release.
	Granted EventKind = iota
	// Expired ends a queued request without a slot.
	Expired
)

// Event reports the end of a queued request's wait.
type Event struct {
	Kind   EventKind
	ID     uint64
	Server string        // when Granted
	Reason string        // when Expired
	Waited time.Duration // time in the queue
}

// ServerStatus is the state of one server at one time.
type ServerStatus struct {
	ID       string
	Services []string
	// Share is the configured share in force, Lent the number of slots
	// borrowed, and Usable the number of slots that may be in use now.
	Share, Lent, Usable int
	InFlight, Held      int
	// LentInUse is the number of slots in use beyond Share.
	LentInUse int
	Leaving   bool
	Reasons   []string // why it is leaving
	// LeavingSince and IdleSince are zero while they do not apply.
	LeavingSince, IdleSince time.Time
	// HoldOffUntil is when the first slots can be used, if in the future.
	HoldOffUntil time.Time
	MeanTime     time.Duration // recent service time, 0 when unknown
}

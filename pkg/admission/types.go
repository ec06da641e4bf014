package admission

import "time"

// Defaults and fixed times of section 5.2 of the design page.
const (
	// DefaultQueueLimit bounds the queue of one service.
	DefaultQueueLimit = 64
	// DefaultSlowStart is the time over which a new or returning server's
	// share is raised.
	DefaultSlowStart = 5 * time.Second
	// DefaultAgeAfter is the wait after which deferred work ranks as settle.
	DefaultAgeAfter = 2 * time.Second
	// ConfigPropagation is the time within which every live entry instance has
	// seen a configuration change and has lowered its share.
	ConfigPropagation = 3 * time.Second
	// LoanValidity is the age at which the proof that a seat is gone expires.
	LoanValidity = 500 * time.Millisecond
)

// Reasons of a refusal or expiry, as callers see them.
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
	// Start is when this incarnation started to listen. The zero value needs
	// NoPredecessor, since the hold-off then lies in the past.
	Start time.Time
	// QueueLimit bounds the queue of each service (0: DefaultQueueLimit).
	QueueLimit int
	// QueueTotal bounds all queues together (0: four times QueueLimit).
	QueueTotal int
	// SlowStart is the time to reach the full share (0: DefaultSlowStart;
	// negative: no slow start). The first slot of a share opens at once, so
	// shares of one slot have no slow start.
	SlowStart time.Duration
	// AgeAfter is the wait after which deferred work ranks as settle
	// (0: DefaultAgeAfter).
	AgeAfter time.Duration
	// HoldOff replaces each server's MaxTimeout as hold-off when positive.
	HoldOff time.Duration
	// NoPredecessor states that no earlier incarnation of this seat has a
	// request in flight and that no seat borrows its share.
	NoPredecessor bool
}

// Server is a backend server and the share that this seat has of it.
type Server struct {
	ID       string
	Services []string
	// Share is this seat's part of the slots; 0 for a server of another
	// domain that this seat only borrows.
	Share int
	// MaxTimeout is the largest timeout of the services of the server.
	MaxTimeout time.Duration
	// ChangedAt is when the configuration last changed any seat's share, zero
	// if long ago. Another seat that has lost a share may not have seen that
	// yet, so the first share of an incarnation and loans wait for it.
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

// DecisionKind is the kind of a Decision.
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

// EventKind is the kind of an Event.
type EventKind int

// Kinds of an Event.
const (
	// Granted gives a queued request a slot. The slot is taken until Release.
	Granted EventKind = iota
	// Expired ends a queued request without a slot.
	Expired
)

// Event ends the wait of a queued request.
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
	// Share is the configured share in force, Lent what is borrowed, and
	// Usable the number of slots that may be in use now.
	Share, Lent, Usable int
	InFlight, Held      int
	// LentInUse counts slots in use beyond the own share.
	LentInUse int
	Leaving   bool
	Reasons   []string // why it is leaving
	// LeavingSince and IdleSince are zero while they do not apply.
	LeavingSince, IdleSince time.Time
	// HoldOffUntil is when the first share can be used, if in the future.
	HoldOffUntil time.Time
	MeanTime     time.Duration // recent service time, 0 when unknown
}

// Package placement chooses the backend server for each request. It is pure:
// times are arguments, and one goroutine at a time may use a Balancer.
//
// # Order
//
// Requests for the same object are much faster at a server that has handled the
// object recently. The servers of a service are therefore ordered for each
// object by a rendezvous hash, those of the own region apart. A share of the
// objects is placed in other regions (spread.go), the rest at home. All entry
// instances compute the same order from the same registrations, so they keep an
// object at the same server without asking each other.
//
// # Choice
//
// For each server the balancer expects a completion time: the wait behind the
// requests in flight there, the work, and the round trip. The work depends on
// whether the server is expected to be warm for the object. The first server in
// order that is expected to meet the latency objective gets the request. If
// there is none, the one with the earliest completion gets it if it has a free
// slot; else the request is refused. At most two servers of the regions in which
// the object is placed are looked at, and a few requests may leave these regions.
//
// # Load of others
//
// The requests that other entry instances have in flight at a server are known
// from the load that the server reports with its answers, less those of this
// instance at that moment. The figure fades within LoadReportTTL.
package placement

import "time"

// Reasons of a refusal.
const (
	// ReasonNoServer means that no server of the service may be used.
	ReasonNoServer = "no_backend_server"
	// ReasonOverload means that no server that may be used would answer in
	// time or has a free slot.
	ReasonOverload = "overload"
)

// Server is a backend server that may be chosen.
type Server struct {
	ID, Service, Addr, Region string

	Slots int
	// StartTime tells two runs under one id apart.
	StartTime time.Time
	// ColdUntil is when the server stops being cold; until then this entry
	// instance sends at most ColdQuota requests in any second.
	ColdUntil time.Time
	ColdQuota int
}

// Request is the search for one server.
type Request struct {
	Service string
	// Class groups requests that need about the same work.
	Class string
	// Object is empty if no server is faster for this request than another.
	Object         string
	AllowedRegions []string
	// Exclude lists servers that were tried already.
	Exclude []string
	// UntilObjective and UntilDeadline are the times that are left.
	UntilObjective, UntilDeadline time.Duration
	// InitialServiceTime is a first estimate of the work for a class that was never
	// seen.
	InitialServiceTime time.Duration
}

// Choice is the server that gets a request. The caller ends it with Done.
type Choice struct {
	Server Server
	// Warm says that the server is expected to know the object.
	Warm bool
	// InFlight is the number of requests that are believed to be at the
	// server, ExpectedLatency the expected time until the answer.
	InFlight        int
	ExpectedLatency time.Duration
	// Late says that the answer is expected after the objective.
	Late bool

	class, object string
	wait          time.Duration
	sentAt        time.Time
	epoch         uint64
	knows         knowledge
}

// Refusal says why no server was chosen.
type Refusal struct {
	Reason string
	// RetryAfter is when a slot is expected to be free for the request.
	RetryAfter time.Duration
	// Considered is the number of servers that were looked at, Excluded how
	// many of them were ejected, cold or already tried.
	Considered, Excluded int
}

// Outcome is how a choice ended.
type Outcome int

// Outcomes.
const (
	// Served means that the server ran the request and answered.
	Served Outcome = iota
	// Failed means that the server answered with an error of its own.
	Failed
	// Shed means that the server did not run the request because it is full
	// or for a reason that passes.
	Shed
	// Misdirected means that the address belongs to another server.
	Misdirected
	// Broken means that the connection failed or the answer was not whole.
	Broken
	// Unreachable means that no connection could be opened.
	Unreachable
	// Abandoned means that the caller stopped waiting.
	Abandoned
)

// Result is how a choice ended and what was learned.
type Result struct {
	Outcome Outcome
	// Load is the number of requests that the server reported, if
	// LoadReported is set.
	Load         int
	LoadReported bool
	// Connect is the time that a new connection took, 0 if none was opened.
	Connect time.Duration
	// NewConnection says that the request was the first one of its connection.
	NewConnection bool
}

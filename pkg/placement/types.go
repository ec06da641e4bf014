// Package placement chooses the backend server for each request. It does no I/O
// and reads no clock: callers pass in the time. A Balancer is not safe for
// concurrent use.
//
// # Ranking
//
// Requests for the same object are much faster at a server that has recently
// handled the object, because the server has it cached ("warm"). The servers of
// a service are therefore ranked for each object by a rendezvous hash, in
// separate lists for the local region and the other regions. A share of the
// objects is placed in other regions (remoteshare.go), the rest in the local region.
// All entry instances compute the same ranking from the same registrations, so
// they send an object to the same server without communicating.
//
// # Choice
//
// For each server the balancer estimates the latency of the request: the wait
// behind the requests in flight there, the service time, and the round trip. The
// service time depends on whether the server is expected to be warm for the
// object. The first server in the ranking that is expected to meet the latency
// objective gets the request. If there is none, the one with the lowest estimate
// gets it if it has a free slot; otherwise the request is refused. At most two
// servers of the regions in which the object is placed are considered, and a few
// requests may go to the other regions.
//
// # Load from other instances
//
// The requests that other entry instances have in flight at a server are derived
// from the load that the server reports with its responses, minus the requests of
// this instance at that moment. The estimate decays to zero within LoadReportTTL.
package placement

import "time"

// Reasons of a refusal.
const (
	// ReasonNoServer means that no server of the service may be used.
	ReasonNoServer = "no_backend_server"
	// ReasonOverload means that no usable server would answer in time or has
	// a free slot.
	ReasonOverload = "overload"
)

// Server is a backend server that may be chosen.
type Server struct {
	ID, Service, Addr, Region string

	Slots int
	// StartTime distinguishes processes that used the same id.
	StartTime time.Time
	// ColdUntil is when the server stops being cold; until then this entry
	// instance sends at most ColdQuota requests in any second. The quota also
	// holds while it is unknown which process of the server is running.
	ColdUntil time.Time
	ColdQuota int
	// PausedUntil is when the server wants requests again from this entry instance.
	PausedUntil time.Time
	// RateLimit is nil unless the server has named a limit.
	RateLimit *RateLimit
}

// Request describes a request for which a server is to be chosen.
type Request struct {
	Service string
	// Class groups requests with similar service times.
	Class string
	// Object is empty if the request does not benefit from a server's cache.
	Object         string
	AllowedRegions []string
	// Exclude lists the ids of servers that were already tried.
	Exclude []string
	// UntilObjective and UntilDeadline are the times left until the latency
	// objective and the deadline.
	UntilObjective, UntilDeadline time.Duration
	// InitialServiceTime is the estimate for a class without samples.
	InitialServiceTime time.Duration
}

// Choice is the server that gets a request. The caller ends it with
// Balancer.Done.
type Choice struct {
	Server Server
	// Warm says that the server is expected to have the object cached.
	Warm bool
	// Load is the estimated number of requests at the server.
	Load int
	// ExpectedLatency is the expected time until the response.
	ExpectedLatency time.Duration
	// Late says that the response is expected after the objective.
	Late bool

	class, object string
	queueWait     time.Duration
	sentAt        time.Time
	generation    uint64
	cache         cacheExpectation
}

// Refusal says why no server was chosen.
type Refusal struct {
	Reason string
	// RetryAfter is the expected time until a server can meet the objective, or
	// until the first one wants requests again.
	RetryAfter time.Duration
	// Considered is the number of servers considered, Excluded how many of
	// them were ejected, suspect, over their cold quota or already tried.
	Considered, Excluded int
}

// Outcome is the outcome of a request at the chosen server.
type Outcome int

// Outcomes.
const (
	// Served means that the server ran the request and answered.
	Served Outcome = iota
	// Failed means that the server answered with an error of its own.
	Failed
	// Shed means that the server did not run the request because it is full
	// or for another temporary reason.
	Shed
	// Misdirected means that the address belongs to another server.
	Misdirected
	// Broken means that the connection failed or the response was incomplete.
	Broken
	// Unreachable means that no connection could be opened.
	Unreachable
	// Abandoned means that the caller stopped waiting.
	Abandoned
)

// Result is the outcome of a choice, with the measurements made on the way.
type Result struct {
	Outcome Outcome
	// Load is the number of requests that the server reported to have, if
	// LoadReported is set.
	Load         int
	LoadReported bool
	// Slowdown is how long the server says that work takes there, as a multiple of the
	// usual time; 0 if it does not say.
	Slowdown float64
	// RetryAfter is how long the server wants no requests from this entry
	// instance; 0 if it does not say.
	RetryAfter time.Duration
	// Connect is the time it took to open a connection, 0 if none was opened.
	Connect time.Duration
	// NewConnection says that the request was the first one of its connection.
	NewConnection bool
	// Refused says that the connection was refused: no process listens.
	Refused bool
	// ClosedAtOnce says that a new connection was closed within a round trip
	// after the request was sent. A server with too many connections does that
	// too.
	ClosedAtOnce bool
}

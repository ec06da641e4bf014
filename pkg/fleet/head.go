package fleet

import "time"

// RequestHead holds the fields that are read from a client request's headers.
type RequestHead struct {
	ID string
	// TimeLeft is how long the client will wait; 0 if it does not say.
	TimeLeft time.Duration
	// Object identifies what the request is about, if anything. Requests for
	// the same object are faster at a server that has handled it before.
	Object string
	// Key is what the client authenticates with; empty if there is none.
	Key string
}

// ResponseHead holds the fields that are read from the status and headers of a
// backend server's response.
type ResponseHead struct {
	RequestID string
	// NotRun says that the server did not run the request.
	NotRun bool
	// Misdirected says that the address now belongs to another server.
	Misdirected bool
	// FromBackend says that the response carries the server's signature, and
	// Success that its status is a success.
	FromBackend, Success bool
	// Leaving says that the server announces that it leaves and wants no new
	// requests, whatever its registration says.
	Leaving bool
	// Limit is the rate, in requests per second from all entry instances
	// together, that the server takes as long as it says so; valid if LimitState
	// is Limited.
	Limit      float64
	LimitState LimitState
	// RetryAfter is how long the server, which refused the request, wants no
	// requests from this entry instance; 0 if it does not say.
	RetryAfter time.Duration
	// Load is the number of running and queued requests of the server, if
	// LoadReported is set.
	Load         int
	LoadReported bool
	// Slowdown is how long work takes at the server at this moment, as a multiple of
	// the usual time; 0 if it does not say.
	Slowdown float64
}

// LimitState says whether a response names a limit.
type LimitState int

// States of a limit in a response.
const (
	NoLimit LimitState = iota
	Limited
	// LimitUnreadable: the response names a limit that is not a rate. An earlier
	// limit stays in force.
	LimitUnreadable
)

// Lookup is a client's query for the entry instances to use.
type Lookup struct {
	Region, FailureDomain string
}

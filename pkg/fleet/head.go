package fleet

import "time"

// RequestHead is what the headers of a client's request say.
type RequestHead struct {
	ID string
	// TimeLeft is how long the client will wait; 0 if it does not say.
	TimeLeft time.Duration
	// Object is the thing that the request concerns, if any. Requests with
	// the same object are faster at a server that has handled it before.
	Object string
}

// ResponseHead is what the status and headers of a backend server's answer say.
type ResponseHead struct {
	RequestID string
	// NotRun says that the server did not run the request.
	NotRun bool
	// Misdirected says that the address belongs to another server now.
	Misdirected bool
	// FromBackend says that the answer bears the server's signature.
	FromBackend bool
	// Load is the number of running and waiting requests of the server, if
	// LoadReported is set.
	Load         int
	LoadReported bool
}

// Lookup is a client's question which entry instances to use.
type Lookup struct {
	Region, FailureDomain string
}

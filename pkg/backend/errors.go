package backend

// NotRunError means that the backend server certainly did not run the
// request: no byte of it was sent, or the server itself said so.
type NotRunError struct {
	Reason string
	// Shed is true when the backend server answered 503 with Not-Run: true.
	Shed bool
	Err  error // cause, if any
}

func (e *NotRunError) Error() string {
	return "backend: not run: " + withCause(e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Err }

// UnknownError means that the backend server may have run the request and
// that there is no whole answer.
type UnknownError struct {
	Reason string
	Err    error // cause, if any
}

func (e *UnknownError) Error() string {
	return "backend: outcome unknown: " + withCause(e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

func withCause(reason string, err error) string {
	if err == nil {
		return reason
	}
	return reason + ": " + err.Error()
}

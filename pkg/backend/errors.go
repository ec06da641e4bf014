package backend

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

// NotRunError means that the backend server certainly did not run the
// request: no byte of it was sent, or the server itself said so.
type NotRunError struct {
	Reason string
	// Shed is true when the backend server answered 503 with Not-Run: true.
	Shed bool
	// Unreachable is true when no connection to the backend server could be
	// made.
	Unreachable bool
	Err         error // cause, if any
}

func (e *NotRunError) Error() string {
	return "backend: not run: " + withCause(e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Err }

// UnknownOutcomeError means that the backend server may have run the request and
// that no complete response arrived.
type UnknownOutcomeError struct {
	Reason string
	Err    error // cause, if any
}

func (e *UnknownOutcomeError) Error() string {
	return "backend: outcome unknown: " + withCause(e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

func withCause(reason string, err error) string {
	if err == nil {
		return reason
	}
	return reason + ": " + err.Error()
}

// isUnreachable reports whether a dial failed because the address accepts no
// connections. Local causes, such as a shortage of ports, do not count.
func isUnreachable(err error) bool {
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "dial" {
		return false
	}
	return op.Timeout() || errors.Is(err, syscall.ECONNREFUSED) ||
		errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}

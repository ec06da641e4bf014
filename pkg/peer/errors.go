package peer

import (
	"syscall"

	"github.com/go-faster/errors"
)

// Errors of Pool.Call, told apart with errors.Is. Exactly one of ErrNotSent
// and ErrReplyLost matches; ErrRefused and ErrBackoff are kinds of ErrNotSent.
var (
	// ErrRefused means that the connection was refused just now: no process
	// listens at the address.
	ErrRefused = errors.New("peer: connection refused")
	// ErrNotSent means that the peer certainly did not handle the request:
	// no byte of it left, or the peer rejected it before handling.
	ErrNotSent = errors.New("peer: request not sent")
	// ErrBackoff means that a dial failed a moment ago and none was tried for
	// this call. It says nothing new about the peer, so it must not be
	// reported to membership as a failure.
	ErrBackoff = errors.New("peer: waiting before the next dial")
	// ErrReplyLost means that the peer may have handled the request.
	ErrReplyLost = errors.New("peer: reply lost")
	// ErrTooLarge means that a message exceeds MaxMessageSize.
	ErrTooLarge = errors.New("peer: message too large")
	// ErrClosed means that the pool is closed.
	ErrClosed = errors.New("peer: closed")
)

// callError joins the kind of a failure with its cause.
type callError struct {
	addr  string
	kinds []error
	cause error
}

func (e *callError) Error() string {
	return e.kinds[0].Error() + " (" + e.addr + "): " + e.cause.Error()
}

func (e *callError) Unwrap() error { return e.cause }

func (e *callError) Is(target error) bool {
	for _, kind := range e.kinds {
		if kind == target {
			return true
		}
	}
	return false
}

func notSent(addr string, cause error) error {
	return &callError{addr: addr, kinds: []error{ErrNotSent}, cause: cause}
}

func lost(addr string, cause error) error {
	return &callError{addr: addr, kinds: []error{ErrReplyLost}, cause: cause}
}

func dialFailed(addr string, cause error) error {
	if errors.Is(cause, syscall.ECONNREFUSED) {
		return &callError{addr: addr, kinds: []error{ErrRefused, ErrNotSent}, cause: cause}
	}
	return notSent(addr, cause)
}

func inBackoff(addr string, cause error) error {
	return &callError{addr: addr, kinds: []error{ErrBackoff, ErrNotSent}, cause: errors.New(cause.Error())}
}

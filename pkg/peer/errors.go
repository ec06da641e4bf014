package peer

import (
	"syscall"

	"github.com/go-faster/errors"
)

// Errors of Pool.Call, to be tested with errors.Is. Every error matches exactly
// one of ErrNotSent and ErrReplyLost. An error that matches ErrRefused or
// ErrBackoff also matches ErrNotSent.
var (
	// ErrRefused means that this call's dial was refused: no process listens at
	// the address.
	ErrRefused = errors.New("peer: connection refused")
	// ErrNotSent means that the peer certainly did not handle the request:
	// no byte of it was sent, or the peer rejected it before handling it.
	ErrNotSent = errors.New("peer: request not sent")
	// ErrBackoff means that an earlier dial failed and the backoff has not
	// passed, so this call did not dial. It is no new evidence about the peer
	// and must not be reported to membership as a failure.
	ErrBackoff = errors.New("peer: waiting before the next dial")
	// ErrReplyLost means that the peer may have handled the request.
	ErrReplyLost = errors.New("peer: reply lost")
	// ErrTooLarge means that a message exceeds MaxMessageSize.
	ErrTooLarge = errors.New("peer: message too large")
	// ErrClosed means that the pool is closed.
	ErrClosed = errors.New("peer: closed")
)

// callError combines the cause of a failure with the sentinel errors that it
// matches.
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

func newNotSentError(addr string, cause error) error {
	return &callError{addr: addr, kinds: []error{ErrNotSent}, cause: cause}
}

func newReplyLostError(addr string, cause error) error {
	return &callError{addr: addr, kinds: []error{ErrReplyLost}, cause: cause}
}

func newDialError(addr string, cause error) error {
	if errors.Is(cause, syscall.ECONNREFUSED) {
		return &callError{addr: addr, kinds: []error{ErrRefused, ErrNotSent}, cause: cause}
	}
	return newNotSentError(addr, cause)
}

func newBackoffError(addr string, cause error) error {
	return &callError{addr: addr, kinds: []error{ErrBackoff, ErrNotSent}, cause: errors.New(cause.Error())}
}

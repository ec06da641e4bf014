package operator

import (
	"context"
	"net/http"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// Code classifies an error of the API.
type Code string

// Codes of Error.
const (
	CodeInvalid        Code = "invalid"
	CodeUnauthorized   Code = "unauthorized"
	CodeNotFound       Code = "not_found"
	CodeConflict       Code = "conflict"
	CodeUnavailable    Code = "unavailable"     // nothing was done
	CodeUnknownOutcome Code = "unknown_outcome" // retry with the same change id
	CodeInternal       Code = "internal"
)

// Error is the JSON body of every error response.
type Error struct {
	Message  string                `json:"error"`
	Code     Code                  `json:"code"`
	Findings []findings.Finding    `json:"findings,omitempty"`
	Conflict *config.ConflictError `json:"conflict,omitempty"`
	// Claim is set when a claim could not be resolved.
	Claim *ClaimConflict `json:"claim,omitempty"`
	// Status is the HTTP status; the body does not repeat it.
	Status int `json:"-"`
}

func (e *Error) Error() string { return e.Message }

// Unwrap makes errors.As find the *config.ConflictError.
func (e *Error) Unwrap() error {
	if e.Conflict == nil {
		return nil
	}
	return e.Conflict
}

// classifyError converts an error of the backend to an API error. Typed errors
// come first, because a wrapped context error does not show whether a change was
// made.
func classifyError(err error) *Error {
	out := &Error{Message: err.Error()}
	var (
		known    *Error
		conflict *config.ConflictError
		invalid  *findings.Error
		missing  *config.NotFoundError
	)
	switch {
	case errors.As(err, &known):
		return known
	case errors.As(err, &conflict):
		out.Code, out.Status, out.Conflict = CodeConflict, http.StatusConflict, conflict
	case errors.As(err, &invalid):
		out.Code, out.Status, out.Findings = CodeInvalid, http.StatusUnprocessableEntity, invalid.Findings
	case errors.As(err, &missing), errors.Is(err, platform.ErrNotFound):
		out.Code, out.Status = CodeNotFound, http.StatusNotFound
	case errors.Is(err, platform.ErrUnavailable):
		out.Code, out.Status = CodeUnavailable, http.StatusServiceUnavailable
	case errors.Is(err, platform.ErrUnknownOutcome),
		errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		out.Code, out.Status = CodeUnknownOutcome, http.StatusGatewayTimeout
	default:
		out.Code, out.Status = CodeInternal, http.StatusInternalServerError
	}
	return out
}

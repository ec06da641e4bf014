package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/claim"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// Reason says why a request was not run or why its outcome is unknown.
type Reason string

// Reasons of refusals, as reported to callers.
const (
	ReasonOverload         Reason = "overload"
	ReasonShiftCap         Reason = "shift_cap"
	ReasonRateLimit        Reason = "rate_limit"
	ReasonDeadline         Reason = "deadline"
	ReasonStoreUnavailable Reason = "store_unavailable"
	ReasonNotReady         Reason = "not_ready"
	ReasonNoBackendServer  Reason = "no_backend_server"
	ReasonLinkBudget       Reason = "link_budget"
	ReasonKeyExpired       Reason = "key_expired"
	ReasonKeyMissing       Reason = "key_missing"
	ReasonKeyInvalid       Reason = "key_invalid"
	ReasonKeyMismatch      Reason = "key_mismatch"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonUnknownService   Reason = "unknown_service"
	ReasonTooLarge         Reason = "too_large"
	ReasonBadRequest       Reason = "bad_request"

	// Reasons of unknown outcomes.
	ReasonConnectionLost   Reason = "connection_lost"
	ReasonOwnerUnreachable Reason = "owner_unreachable"
	ReasonInProgress       Reason = "in_progress"

	// ReasonRecordedWithoutBody marks a request that ran and whose response was
	// too large to be stored with its claim.
	ReasonRecordedWithoutBody Reason = claim.ReasonRecordedWithoutBody
)

// httpStatusByReason maps the reason of a "not run" refusal to an HTTP status. Other
// reasons are caused by the state of the system, not by the request, and map to 503.
var httpStatusByReason = map[Reason]int{
	ReasonRateLimit:      http.StatusTooManyRequests,
	ReasonKeyExpired:     http.StatusUnprocessableEntity,
	ReasonKeyMissing:     http.StatusBadRequest,
	ReasonKeyInvalid:     http.StatusBadRequest,
	ReasonKeyMismatch:    http.StatusUnprocessableEntity,
	ReasonUnauthorized:   http.StatusUnauthorized,
	ReasonUnknownService: http.StatusNotFound,
	ReasonTooLarge:       http.StatusRequestEntityTooLarge,
	ReasonBadRequest:     http.StatusBadRequest,
}

// AppliesTo says which attempts a "not run" refusal covers.
type AppliesTo string

// Values of AppliesTo.
const (
	// AppliesToKey means that no attempt with this key has run.
	AppliesToKey AppliesTo = "key"
	// AppliesToAttempt means that this attempt did not run. Earlier attempts with
	// the same key may have run, because their record could not be read.
	AppliesToAttempt AppliesTo = "attempt"
)

// reply is the result of a request: the response of a backend server, a refusal or
// an unknown outcome.
type reply struct {
	outcome wire.Outcome
	reason  Reason
	message string

	status int
	header http.Header
	body   []byte

	appliesTo AppliesTo

	server  string // backend server that was called
	entry   string // entry instance that called it
	nextKey string // see Refusal.NextKey
}

func notRun(reason Reason, format string, args ...any) reply {
	return reply{outcome: wire.Outcome_OUTCOME_NOT_RUN, reason: reason, message: fmt.Sprintf(format, args...)}
}

func unknownOutcome(reason Reason, format string, args ...any) reply {
	return reply{outcome: wire.Outcome_OUTCOME_UNKNOWN, reason: reason, message: fmt.Sprintf(format, args...)}
}

func (r reply) answered() bool {
	return r.outcome == wire.Outcome_OUTCOME_ANSWERED || r.outcome == wire.Outcome_OUTCOME_RECORDED
}

// complete reports whether the reply holds the complete response of a backend
// server.
func (r reply) complete() bool {
	return r.answered() && r.reason == ""
}

func (r reply) isNotRun() bool {
	return r.outcome == wire.Outcome_OUTCOME_NOT_RUN
}

// outcomeName returns the value of the Dandelionrack-Outcome header.
func outcomeName(o wire.Outcome) string {
	switch o {
	case wire.Outcome_OUTCOME_ANSWERED:
		return "answered"
	case wire.Outcome_OUTCOME_RECORDED:
		return "recorded"
	case wire.Outcome_OUTCOME_NOT_RUN:
		return "not_run"
	default:
		return "unknown"
	}
}

// Refusal is the JSON body of a response that does not come from a backend server.
type Refusal struct {
	Outcome      string `json:"outcome"`
	Reason       Reason `json:"reason"`
	Message      string `json:"message"`
	RequestID    string `json:"request_id"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	// AppliesTo is set for services that run at most once.
	AppliesTo AppliesTo `json:"applies_to,omitempty"`
	// RecordedStatus is the status of a response whose body was not stored.
	RecordedStatus int `json:"recorded_status,omitempty"`
	// NextKey is an entry-issued key that the caller may use instead of its own key,
	// if every attempt with its own key ended as not run.
	NextKey string `json:"next_key,omitempty"`
}

// retryAfter is how long callers are asked to wait before they retry after a
// refusal that may be temporary.
const retryAfter = 100 * time.Millisecond

// refusal returns the HTTP status and the body for a reply without a complete
// response.
func (r reply) refusal(requestID string) (int, Refusal) {
	body := Refusal{
		Outcome:   outcomeName(r.outcome),
		Reason:    r.reason,
		Message:   r.message,
		RequestID: requestID,
		NextKey:   r.nextKey,
		AppliesTo: r.appliesTo,
	}
	if r.answered() {
		body.RecordedStatus = r.status
		return http.StatusBadGateway, body
	}
	if !r.isNotRun() {
		return http.StatusGatewayTimeout, body
	}
	status, ok := httpStatusByReason[r.reason]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		body.RetryAfterMS = retryAfter.Milliseconds()
	}
	return status, body
}

func indexPath(name string, i int) string {
	return name + "[" + strconv.Itoa(i) + "]"
}

package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"unicode/utf8"

	"github.com/go-faster/errors"
)

// Reasons of a Decision. All except ReasonRecordedWithoutBody are reasons of the
// caller protocol.
const (
	ReasonOverload         = "overload"
	ReasonStoreUnavailable = "store_unavailable"
	ReasonDeadline         = "deadline"
	ReasonNotReady         = "not_ready"
	ReasonKeyExpired       = "key_expired"
	ReasonKeyInvalid       = "key_invalid"
	ReasonKeyMismatch      = "key_mismatch"
	// ReasonRecordedWithoutBody marks a recorded result whose body or header could
	// not be kept. The request ran and its status is known.
	ReasonRecordedWithoutBody = "recorded_without_body"
)

// Fingerprint is the hash of the request that a key was first used for.
type Fingerprint [32]byte

// FingerprintOf hashes method, path and body. Method and path are prefixed with
// their lengths, so that moving bytes between the parts changes the hash.
func FingerprintOf(method, path string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range []string{method, path} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = h.Write([]byte(part))
	}
	_, _ = h.Write(body)
	return Fingerprint(h.Sum(nil))
}

// MarshalText encodes the fingerprint in hexadecimal.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, f[:]), nil
}

// UnmarshalText decodes the output of MarshalText.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(f)) {
		return errors.Errorf("fingerprint has %d digits", len(text))
	}
	if _, err := hex.Decode(f[:], text); err != nil {
		return errors.Wrap(err, "fingerprint")
	}
	return nil
}

// Limits of the result that is kept with a claim.
const (
	MaxBodyBytes   = 16 << 10
	MaxHeaderBytes = 8 << 10
)

// Result is the response of the backend server. It is shared between callers
// and must not be modified.
type Result struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Truncated means that only the status was kept, because body or header
	// exceeded the limits or the header is not UTF-8.
	Truncated bool `json:"truncated,omitempty"`
}

func (r *Result) size() int {
	if r == nil {
		return 0
	}
	return len(r.Body) + headerSize(r.Header)
}

// validUTF8 reports whether the header is unchanged by JSON, which replaces
// bytes that are not UTF-8.
func validUTF8(h http.Header) bool {
	for name, values := range h {
		if !utf8.ValidString(name) {
			return false
		}
		for _, v := range values {
			if !utf8.ValidString(v) {
				return false
			}
		}
	}
	return true
}

func headerSize(h http.Header) int {
	n := 0
	for name, values := range h {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// storedForm returns the result as it is kept: without header and body if they
// cannot be stored.
func (r Result) storedForm() *Result {
	if len(r.Body) > MaxBodyBytes || headerSize(r.Header) > MaxHeaderBytes || !validUTF8(r.Header) {
		return &Result{Status: r.Status, Truncated: true}
	}
	return &r
}

// Verdict says what to do with an attempt.
type Verdict int

// Verdicts.
const (
	Run      Verdict = iota + 1 // dispatch with the ticket
	Recorded                    // answer with the recorded result
	NotRun                      // this attempt did not run and will not run
	Unknown                     // the request may or may not have run
	PassTo                      // another incarnation owns the key and decides
)

func (v Verdict) String() string {
	switch v {
	case Run:
		return "run"
	case Recorded:
		return "recorded"
	case NotRun:
		return "not_run"
	case Unknown:
		return "unknown"
	case PassTo:
		return "pass_to"
	}
	return "invalid"
}

// Decision is the answer to an attempt or a lookup.
type Decision struct {
	Verdict Verdict
	Ticket  *Ticket // set with Run
	Result  *Result // set with Recorded
	Reason  string
	Detail  string
	PassTo  Incarnation // set with PassTo
	// NeverRun is set with NotRun if no attempt of the key ran or ever will.
	NeverRun bool
	// Fingerprint is set by Lookup if a row was found. The caller compares it
	// with the request before it returns a recorded result.
	Fingerprint Fingerprint
}

func refuse(reason, detail string) Decision {
	return Decision{Verdict: NotRun, Reason: reason, Detail: detail}
}

func recorded(r *Result) Decision {
	d := Decision{Verdict: Recorded, Result: r}
	if r != nil && r.Truncated {
		d.Reason = ReasonRecordedWithoutBody
	}
	return d
}

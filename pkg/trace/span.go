// Package trace keeps the spans of requests in a bounded ring and archives
// them in batches to the object store.
//
// Ring and Archiver are safe for concurrent use.
package trace

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
)

// Span is one step of a request at one entry instance.
type Span struct {
	RequestID       string    `json:"request_id"`
	At              time.Time `json:"at"`
	Entry           string    `json:"entry"`
	FailureDomain   string    `json:"failure_domain,omitempty"`
	Kind            string    `json:"kind"`
	Attempt         int       `json:"attempt,omitempty"`
	Customer        string    `json:"customer,omitempty"`
	Service         string    `json:"service,omitempty"`
	ContractVersion uint64    `json:"contract_version,omitempty"`
	ConfigVersion   uint64    `json:"config_version,omitempty"`
	BackendServer   string    `json:"backend_server,omitempty"`
	Peer            string    `json:"peer,omitempty"`
	Reason          string    `json:"reason,omitempty"`
	Outcome         string    `json:"outcome,omitempty"`
	DurationUS      int64     `json:"duration_us"`
}

// spanOverhead estimates the bytes of a Span without its strings.
const spanOverhead = 320

// size estimates the memory of the span in bytes.
func (s *Span) size() int {
	return spanOverhead + len(s.RequestID) + len(s.Entry) + len(s.FailureDomain) +
		len(s.Kind) + len(s.Customer) + len(s.Service) + len(s.BackendServer) +
		len(s.Peer) + len(s.Reason) + len(s.Outcome)
}

// ErrInvalidRequestID means that a request id contains no time.
var ErrInvalidRequestID = errors.New("trace: request id is not a UUID version 7")

// requestTime returns the time in a UUID version 7.
func requestTime(id string) (time.Time, error) {
	const version7 = 7
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != version7 {
		return time.Time{}, errors.Wrapf(ErrInvalidRequestID, "%q", id)
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec).UTC(), nil
}

// SortUnique sorts spans by time and removes duplicates, which occur when spans
// come from both a ring and the archive.
func SortUnique(spans []Span) []Span {
	slices.SortStableFunc(spans, func(a, b Span) int { return a.At.Compare(b.At) })
	seen := make(map[Span]struct{}, len(spans))
	return slices.DeleteFunc(spans, func(s Span) bool {
		// A JSON round trip drops the monotonic clock reading and the location.
		s.At = s.At.Round(0).UTC()
		_, dup := seen[s]
		seen[s] = struct{}{}
		return dup
	})
}

package claim

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// rowRetention is the TTL of rows. It exceeds MaxKeyAge, so that the row of a key
// expires only after the key is refused.
const rowRetention = 48 * time.Hour

type state string

const (
	stateClaimed state = "claimed"
	stateDone    state = "done"
	stateUnknown state = "unknown"
	stateNotRun  state = "not_run"
)

// row is the stored form of a claim.
type row struct {
	State       state       `json:"state"`
	Entry       string      `json:"entry"`
	Incarnation uint64      `json:"incarnation"`
	Attempt     string      `json:"attempt"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Result      *Result     `json:"result,omitempty"`
	Reason      string      `json:"reason,omitempty"`
	Detail      string      `json:"detail,omitempty"`
	// Resolution records how an operator resolved the claim. It is kept as an
	// audit trail when a later attempt runs the key.
	Resolution *Resolution `json:"resolution,omitempty"`
}

func (r *row) owner() Incarnation {
	return Incarnation{Entry: r.Entry, Number: r.Incarnation}
}

func (r *row) isFinal() bool { return r.State == stateDone || r.State == stateUnknown }

// neverRuns reports whether the row proves that an entry-issued key never ran and
// never will, because it results from a seal or from an operator's resolution. A
// not_run row of the owner proves neither: the owner may run the key again.
func (r *row) neverRuns(key Key) bool {
	return key.Issued && r.State == stateNotRun && (r.Attempt == "" || r.resolvedByOperator())
}

// sameWrite reports whether the stored row was written by the write of r.
func (r *row) sameWrite(stored *row) bool {
	return r.State == stored.State && r.owner() == stored.owner() && r.Attempt == stored.Attempt
}

func (r *row) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(err, "encode claim")
	}
	return data, nil
}

func decodeRow(data []byte) (*row, error) {
	var r row
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, errors.Wrap(err, "decode claim")
	}
	switch r.State {
	case stateClaimed, stateUnknown, stateNotRun:
	case stateDone:
		if r.Result == nil {
			return nil, errors.New("decode claim: done without a result")
		}
	default:
		return nil, errors.Errorf("decode claim: unknown state %q", r.State)
	}
	return &r, nil
}

// finalDecision returns the decision for a done or unknown row.
func (r *row) finalDecision() Decision {
	if r.State == stateDone {
		return recorded(r.Result)
	}
	return Decision{Verdict: Unknown, Reason: r.Reason, Detail: r.Detail}
}

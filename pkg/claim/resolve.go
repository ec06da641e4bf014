package claim

import "time"

// Resolution says how an operator settled a claim whose outcome was unknown.
type Resolution struct {
	// ID is chosen by the operator's client, so that the same command can be
	// sent again after a lost reply. The row has it as its attempt id.
	ID     string    `json:"id"`
	Author string    `json:"author"`
	Reason string    `json:"reason"`
	At     time.Time `json:"at"`
	// Ran tells a recorded answer from "not run".
	Ran bool `json:"ran"`
	// From is the state before, and Attempt the attempt that had it.
	From    string `json:"from"`
	Attempt string `json:"attempt"`
}

// byHand reports whether an operator wrote the row, and no attempt since.
func (r *row) byHand() bool { return r.Resolution != nil && r.Resolution.ID == r.Attempt }

// resolved describes the resolution of a row.
func (r *row) resolved() string {
	how := "not run"
	if r.Resolution.Ran {
		how = "run"
	}
	return r.Resolution.Author + " resolved the claim as " + how + " at " + r.Resolution.At.Format(time.RFC3339)
}

package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// Resolution records how an operator resolved a claim whose outcome was unknown.
type Resolution struct {
	// ID is chosen by the operator's client, so that it can send the same command
	// again after a lost reply. It is also the attempt id of the row.
	ID     string    `json:"id"`
	Author string    `json:"author"`
	Reason string    `json:"reason"`
	At     time.Time `json:"at"`
	// Ran means that the operator recorded a result, not "not run".
	Ran bool `json:"ran"`
	// From and Attempt are the state and the attempt id of the replaced row.
	From    string `json:"from"`
	Attempt string `json:"attempt"`
}

// resolvedByOperator reports whether the row was last written by an operator.
func (r *row) resolvedByOperator() bool { return r.Resolution != nil && r.Resolution.ID == r.Attempt }

// describeResolution describes the resolution of the row for operators and logs.
func (r *row) describeResolution() string {
	how := "not run"
	if r.Resolution.Ran {
		how = "run"
	}
	return fmt.Sprintf("%s resolved the claim as %s at %s (change %s)",
		r.Resolution.Author, how, r.Resolution.At.Format(time.RFC3339), r.Resolution.ID)
}

// ResolveCommand is an operator's command to resolve a claim whose outcome is
// unknown.
type ResolveCommand struct {
	ID ID
	// ChangeID, Author and Reason are recorded in the Resolution.
	ChangeID string
	Author   string
	Reason   string
	// Result is the result to record, or nil if the request did not run.
	Result *Result
	// Version is the row version that the operator saw, or 0 for any.
	Version uint64
	// Timeout is the largest timeout of the service.
	Timeout time.Duration
	// AliveReason returns why an incarnation may still be running, or "" if it is
	// dead.
	AliveReason func(Incarnation) string
}

// Refusal is the reason code of a ResolveError.
type Refusal string

// Reasons why Resolve refuses a command.
const (
	RefusedSettled  Refusal = "settled"       // the outcome of the claim is known
	RefusedChanged  Refusal = "changed"       // the row was changed by another write
	RefusedOwner    Refusal = "owner_may_run" // the owner of the claim may be alive
	RefusedTooYoung Refusal = "too_young"     // the request may still be running
	RefusedUnproved Refusal = "unproved"      // the age of the attempt cannot be read from the row
	RefusedTooLarge Refusal = "too_large"     // the result exceeds the size limits
)

const resolvedNotRunDetail = "an operator found that the request did not run"

// ResolveError reports why a command did not resolve a claim. The command wrote
// nothing.
type ResolveError struct {
	Refusal Refusal
	Message string
	// State, Version and Resolution are those of the stored row.
	State      string
	Version    uint64
	Resolution *Resolution
}

func (e *ResolveError) Error() string { return e.Message }

// Resolve records the outcome of a claim whose outcome is unknown, and returns the
// row version that it wrote. The request must not be in progress: the owner is
// dead or has itself written "unknown", and the attempt is older than
// MaxDispatchDelay, a commit and the longest run together. The write is conditional
// on the row that was checked, so it fails if a late result or another operator's
// resolution is written first.
//
// The same command may be sent again after a lost reply.
func (m *Manager) Resolve(ctx context.Context, c ResolveCommand) (uint64, error) {
	key, err := ParseKey(c.ID.Key)
	if err != nil {
		return 0, err
	}
	c.ID.Key = key.Raw
	if err := m.waitRead(ctx); err != nil {
		return 0, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	stored, err := m.cfg.Table.Get(ctx, c.ID.rowKey())
	if err != nil {
		return 0, errors.Wrap(err, "read the claim")
	}
	r, err := decodeRow(stored.Value)
	if err != nil {
		return 0, &ResolveError{Refusal: RefusedUnproved, Message: err.Error(), Version: stored.Version}
	}
	if r.Resolution != nil && r.Resolution.ID == c.ChangeID {
		return stored.Version, nil // an earlier send of this command took effect
	}
	if err := m.checkResolvable(c, r, stored.Version); err != nil {
		return 0, err
	}
	return m.writeResolution(ctx, c, r, stored.Version)
}

// checkResolvable returns a *ResolveError if the stored row must not be resolved.
func (m *Manager) checkResolvable(c ResolveCommand, r *row, version uint64) error {
	refuseCommand := func(refusal Refusal, format string, args ...any) error {
		return &ResolveError{
			Refusal: refusal, Message: fmt.Sprintf(format, args...),
			State: string(r.State), Version: version, Resolution: r.Resolution,
		}
	}
	switch {
	case r.State == stateDone || r.State == stateNotRun:
		return refuseCommand(RefusedSettled, "the claim is not unresolved: %s", r.describe())
	case c.Version != 0 && c.Version != version:
		return refuseCommand(RefusedChanged, "the claim has changed: version %d, not %d; now %s", version, c.Version, r.describe())
	case r.State == stateClaimed:
		if reason := c.AliveReason(r.owner()); reason != "" {
			return refuseCommand(RefusedOwner, "the request may still be in progress: %s", reason)
		}
	}
	// The attempt id is a UUID with the time at which the owner began the attempt.
	_, startedAt, err := parseUUID(r.Attempt)
	if err != nil {
		return refuseCommand(RefusedUnproved, "the age of the claim is not known: attempt %q", r.Attempt)
	}
	minAge := MaxDispatchDelay + m.cfg.CommitTimeout + c.Timeout
	if age := m.cfg.Now().Sub(startedAt); age <= minAge {
		return refuseCommand(RefusedTooYoung, "the attempt is %s old; its request may run for %s: try again later",
			age.Round(time.Millisecond), minAge)
	}
	if c.Result != nil && c.Result.storedForm().Truncated {
		return refuseCommand(RefusedTooLarge, "the answer exceeds %d bytes of body or %d bytes of header", MaxBodyBytes, MaxHeaderBytes)
	}
	return nil
}

func (r *row) describe() string {
	what := string(r.State)
	if r.State == stateDone {
		what = fmt.Sprintf("done with status %d", r.Result.Status)
	}
	if r.resolvedByOperator() {
		return what + "; " + r.describeResolution()
	}
	return what + ", written for entry instance " + r.Entry
}

func (m *Manager) writeResolution(ctx context.Context, c ResolveCommand, old *row, version uint64) (uint64, error) {
	r := &row{
		State: stateNotRun, Entry: old.Entry, Incarnation: old.Incarnation, Attempt: c.ChangeID, Fingerprint: old.Fingerprint,
		Reason: ReasonKeyExpired, Detail: resolvedNotRunDetail,
		Resolution: &Resolution{
			ID: c.ChangeID, Author: c.Author, Reason: c.Reason, At: m.cfg.Now().UTC(),
			Ran: c.Result != nil, From: string(old.State), Attempt: old.Attempt,
		},
	}
	if c.Result != nil {
		r.State, r.Result, r.Reason, r.Detail = stateDone, c.Result, "", ""
	}
	value, err := r.encode()
	if err != nil {
		return 0, err
	}
	key := c.ID.rowKey()
	err = m.commitUngrouped(ctx, platform.Tx{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Puts:       []platform.Put{{Key: key, Value: value, TTL: rowRetention}},
	})
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		m.cfg.Logger.Info("claim resolved by an operator", "customer", c.ID.Customer, "service", c.ID.Service, "key", c.ID.Key,
			"author", c.Author, "reason", c.Reason, "ran", c.Result != nil, "change", c.ChangeID)
		return version + 1, nil
	case errors.Is(err, errWriteBudget):
		return 0, errors.Wrap(platform.ErrUnavailable, err.Error())
	case errors.As(err, &conflict) && len(conflict.Rows) == 1:
		return resolveConflictError(c, conflict.Rows[0])
	}
	return 0, errors.Wrap(err, "write the resolution")
}

// resolveConflictError returns the error for a resolution whose write conflicted
// with the stored row, or its version if that is an earlier send of the command.
func resolveConflictError(c ResolveCommand, stored platform.Row) (uint64, error) {
	r, err := decodeRow(stored.Value)
	if stored.Version == 0 || err != nil {
		return 0, &ResolveError{Refusal: RefusedChanged, Message: "the claim has expired or cannot be read", Version: stored.Version}
	}
	if r.Resolution != nil && r.Resolution.ID == c.ChangeID {
		return stored.Version, nil
	}
	return 0, &ResolveError{
		Refusal: RefusedChanged, Message: "another write came first; the claim is now " + r.describe(),
		State: string(r.State), Version: stored.Version, Resolution: r.Resolution,
	}
}

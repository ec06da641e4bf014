package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

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
	return fmt.Sprintf("%s resolved the claim as %s at %s (change %s)",
		r.Resolution.Author, how, r.Resolution.At.Format(time.RFC3339), r.Resolution.ID)
}

// ResolveCommand asks to settle a claim whose outcome is unknown.
type ResolveCommand struct {
	ID ID
	// ChangeID, Author and Reason go into the Resolution.
	ChangeID string
	Author   string
	Reason   string
	// Result is the recorded answer, or nil if the request did not run.
	Result *Result
	// Version is the row version that the operator saw, or 0 for any.
	Version uint64
	// Timeout is the largest timeout of the service.
	Timeout time.Duration
	// AliveReason says why an incarnation may still be running, or "" if it is dead.
	AliveReason func(Incarnation) string
}

// Refusal is the reason of a ResolveError.
type Refusal string

// Reasons why a claim is not resolved.
const (
	RefusedSettled  Refusal = "settled"       // its outcome is known
	RefusedChanged  Refusal = "changed"       // another write came first
	RefusedOwner    Refusal = "owner_may_run" // the owner of the claim is not dead
	RefusedTooYoung Refusal = "too_young"     // the run may not have ended
	RefusedUnproved Refusal = "unproved"      // the row does not tell its age
	RefusedTooLarge Refusal = "too_large"     // the answer cannot be kept whole
)

const resolveRowDetail = "an operator found that the request did not run"

// ResolveError says why a claim was not resolved. Nothing was written, except
// by whoever is named.
type ResolveError struct {
	Refusal Refusal
	Message string
	// State, Version and Resolution describe the row that was found.
	State      string
	Version    uint64
	Resolution *Resolution
}

func (e *ResolveError) Error() string { return e.Message }

// Resolve settles a claim whose outcome is unknown, and returns the row
// version that it wrote. Nothing may be in progress: the owner is dead or has
// itself written "unknown", and the attempt is older than the dispatch limit,
// a commit and the longest run. The write is conditional on the row that was
// checked, so it loses against a late result and against another operator.
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
		return stored.Version, nil // an earlier sending of this command
	}
	if err := m.resolvable(c, r, stored.Version); err != nil {
		return 0, err
	}
	return m.writeResolution(ctx, c, r, stored.Version)
}

func (m *Manager) resolvable(c ResolveCommand, r *row, version uint64) error {
	refuse := func(why Refusal, format string, args ...any) error {
		return &ResolveError{
			Refusal: why, Message: fmt.Sprintf(format, args...),
			State: string(r.State), Version: version, Resolution: r.Resolution,
		}
	}
	switch {
	case r.State == stateDone || r.State == stateNotRun:
		return refuse(RefusedSettled, "the claim is not unresolved: %s", r.describe())
	case c.Version != 0 && c.Version != version:
		return refuse(RefusedChanged, "the claim has changed: version %d, not %d; now %s", version, c.Version, r.describe())
	case r.State == stateClaimed:
		if why := c.AliveReason(r.owner()); why != "" {
			return refuse(RefusedOwner, "the request may still be in progress: %s", why)
		}
	}
	// The attempt id carries the time at which the owner began the attempt.
	_, began, err := parseUUID(r.Attempt)
	if err != nil {
		return refuse(RefusedUnproved, "the age of the claim is not known: attempt %q", r.Attempt)
	}
	least := MaxDispatchDelay + m.cfg.CommitTimeout + c.Timeout
	if age := m.cfg.Now().Sub(began); age <= least {
		return refuse(RefusedTooYoung, "the attempt is %s old; its request may run for %s: try again later",
			age.Round(time.Millisecond), least)
	}
	if c.Result != nil && c.Result.kept().Truncated {
		return refuse(RefusedTooLarge, "the answer exceeds %d bytes of body or %d bytes of header", MaxBodyBytes, MaxHeaderBytes)
	}
	return nil
}

func (r *row) describe() string {
	what := string(r.State)
	if r.State == stateDone {
		what = fmt.Sprintf("done with status %d", r.Result.Status)
	}
	if r.byHand() {
		return what + "; " + r.resolved()
	}
	return what + ", written for entry instance " + r.Entry
}

func (m *Manager) writeResolution(ctx context.Context, c ResolveCommand, old *row, version uint64) (uint64, error) {
	r := &row{
		State: stateNotRun, Entry: old.Entry, Incarnation: old.Incarnation, Attempt: c.ChangeID, Fingerprint: old.Fingerprint,
		Reason: ReasonKeyExpired, Detail: resolveRowDetail,
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
	err = m.commitAlone(ctx, platform.Tx{
		Conditions: []platform.Condition{{Key: key, Version: version}},
		Puts:       []platform.Put{{Key: key, Value: value, TTL: rowRetention}},
	})
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		m.cfg.Logger.Info("claim resolved by an operator", "customer", c.ID.Customer, "service", c.ID.Service, "key", c.ID.Key,
			"author", c.Author, "reason", c.Reason, "ran", c.Result != nil, "change", c.ChangeID)
		return version + 1, nil
	case errors.Is(err, errBusy):
		return 0, errors.Wrap(platform.ErrUnavailable, err.Error())
	case errors.As(err, &conflict) && len(conflict.Rows) == 1:
		return resolveLost(c, conflict.Rows[0])
	}
	return 0, errors.Wrap(err, "write the resolution")
}

// resolveLost explains a write whose condition failed.
func resolveLost(c ResolveCommand, stored platform.Row) (uint64, error) {
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

package claim

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

const (
	sealPrefix     = "incarnation/"
	sealRetryPause = 100 * time.Millisecond
	// maxUngroupedDelay bounds how long a transaction outside the group commit may
	// delay the next group.
	maxUngroupedDelay = time.Second
)

// ErrUnwritten means that an incarnation cannot be sealed, because one of its
// claims has not ended or may be missing in the store.
var ErrUnwritten = errors.New("claim: a claim is not written")

var errWriteBudget = errors.New("claim: the write budget is used up")

// sealRowKey returns the key of the row that seals an incarnation. Entry ids
// contain no slash.
func sealRowKey(i Incarnation) string {
	return sealPrefix + i.Entry + "/" + strconv.FormatUint(i.Number, 16)
}

// Seal records that every key dispatched by this incarnation has a claim row. It
// is called at the end of a graceful stop, after Flush. Other entry instances then
// know that an entry-issued key of this incarnation without a row did not run.
// From here on Begin returns NotRun, even if Seal fails.
func (m *Manager) Seal(ctx context.Context) error {
	if err := m.closeForSeal(); err != nil {
		return err
	}
	key := sealRowKey(m.cfg.Self)
	tx := platform.Tx{
		Conditions: []platform.Condition{{Key: key}},
		Puts:       []platform.Put{{Key: key, Value: []byte(`{"sealed":true}`), TTL: rowRetention}},
	}
	for {
		err := m.commitUngrouped(ctx, tx)
		// Only this incarnation writes the row, so a conflict means that an earlier
		// try took effect although its reply was lost.
		if err == nil || errors.Is(err, platform.ErrConflict) {
			return nil
		}
		if wait.Sleep(ctx, sealRetryPause) != nil {
			return errors.Wrap(err, "seal incarnation")
		}
	}
}

// closeForSeal refuses new attempts. It fails if a claim of this incarnation has
// not ended or may be missing in the store.
func (m *Manager) closeForSeal() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.keyTime()
	if m.keyClock.steppedForward > maxSealForwardStep {
		return errors.Wrap(ErrUnwritten, "the wall clock stepped forward, so claims may expire before their keys")
	}
	if m.stats.Violations > 0 {
		return errors.Wrap(ErrUnwritten, "a claim row conflicted with another row or could not be encoded")
	}
	for _, rec := range m.records {
		if rec.machine.phase != finished || !rec.machine.fullyWritten() {
			return ErrUnwritten
		}
	}
	return nil
}

// commitUngrouped commits a transaction outside the group commit, within the same
// write budget.
func (m *Manager) commitUngrouped(ctx context.Context, tx platform.Tx) error {
	interval := m.interval()
	m.mu.Lock()
	now := m.cfg.Now()
	pause := max(0, m.untilTokens(now, interval, 1))
	if pause > max(maxUngroupedDelay, interval) {
		m.mu.Unlock()
		return errWriteBudget
	}
	m.txLimiter.ReserveN(now, 1)
	m.stats.Transactions++
	m.mu.Unlock()
	if err := wait.Sleep(ctx, pause); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CommitTimeout)
	defer cancel()
	return m.cfg.Table.Commit(ctx, tx)
}

// lookupSealed decides an entry-issued key without a claim row (version 0) or
// with a not_run row of its owner. If the owner is sealed, the key never ran.
//
// Reads may be stale, and a row may have been written since the read. So the
// decision relies on the conditional write of a not_run row, which fails if
// another row exists. It is limited to keys within the age limit, because the rows
// of older keys may have expired before the seal.
func (m *Manager) lookupSealed(ctx context.Context, id ID, key Key, version uint64) Decision {
	noClaim := unknownDecision("no claim is recorded")
	if !key.Issued || key.Owner == m.cfg.Self || m.checkAge(key) != nil {
		return noClaim
	}
	if err := m.waitRead(ctx); err != nil {
		return noClaim
	}
	if _, err := m.cfg.Table.Get(ctx, sealRowKey(key.Owner)); err != nil {
		return noClaim
	}
	r := &row{State: stateNotRun, Entry: key.Owner.Entry, Incarnation: key.Owner.Number}
	r.Reason = ReasonKeyExpired
	r.Detail = "the entry instance that issued the key has stopped without running it"
	return m.confirmNotRun(ctx, id, key, version, r)
}

// confirmNotRun writes a not_run row on the condition that the row still has the
// version that was read. It decides from that row, or from the conflicting one.
func (m *Manager) confirmNotRun(ctx context.Context, id ID, key Key, version uint64, r *row) Decision {
	value, err := r.encode()
	if err != nil {
		return unknownDecision(err.Error())
	}
	err = m.commitUngrouped(ctx, platform.Tx{
		Conditions: []platform.Condition{{Key: id.rowKey(), Version: version}},
		Puts:       []platform.Put{{Key: id.rowKey(), Value: value, TTL: rowRetention}},
	})
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return lookupDecision(r, key)
	case errors.As(err, &conflict) && len(conflict.Rows) == 1:
		return storedDecision(conflict.Rows[0], key)
	}
	return unknownDecision("the claim cannot be read: " + err.Error())
}

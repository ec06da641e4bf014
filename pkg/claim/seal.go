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
	// maxStartDelay bounds how far a transaction outside the group commit may
	// push back the next group.
	maxStartDelay = time.Second
)

// ErrUnwritten means that an incarnation cannot be sealed, because a claim of
// it has not ended or is not in the store.
var ErrUnwritten = errors.New("claim: a claim is not written")

var errBusy = errors.New("claim: the write budget is used up")

// sealRow is the key of the row that seals an incarnation. Entry ids have no
// slash.
func sealRow(i Incarnation) string {
	return sealPrefix + i.Entry + "/" + strconv.FormatUint(i.Number, 16)
}

// Seal records, at the end of a graceful stop and after Flush, that every key
// dispatched by this incarnation has a claim row. An entry-issued key of it
// without a row then is not run instead of unknown. Seal ends all dispatches:
// Begin answers NotRun from here on, also if Seal fails.
func (m *Manager) Seal(ctx context.Context) error {
	if err := m.closeWritten(); err != nil {
		return err
	}
	key := sealRow(m.cfg.Self)
	tx := platform.Tx{
		Conditions: []platform.Condition{{Key: key}},
		Puts:       []platform.Put{{Key: key, Value: []byte(`{"sealed":true}`), TTL: rowRetention}},
	}
	for {
		err := m.commitAlone(ctx, tx)
		// Only this incarnation writes the row, so a conflict means that an
		// earlier try took effect and its reply was lost.
		if err == nil || errors.Is(err, platform.ErrConflict) {
			return nil
		}
		if wait.Sleep(ctx, sealRetryPause) != nil {
			return errors.Wrap(err, "seal incarnation")
		}
	}
}

// closeWritten refuses new attempts. It fails if a claim of this incarnation
// may be missing in the store.
func (m *Manager) closeWritten() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	m.keyTime()
	if m.keys.ahead > maxSealAhead {
		return errors.Wrap(ErrUnwritten, "the wall clock stepped forward, so claims may expire before their keys")
	}
	if m.stats.Violations > 0 {
		return errors.Wrap(ErrUnwritten, "a claim could not be stored as it is")
	}
	for _, rec := range m.records {
		if rec.machine.phase != finished || !rec.machine.settled() {
			return ErrUnwritten
		}
	}
	return nil
}

// commitAlone commits a transaction outside the group commit, within the same
// write budget.
func (m *Manager) commitAlone(ctx context.Context, tx platform.Tx) error {
	interval := m.interval()
	m.mu.Lock()
	now := m.cfg.Now()
	pause := max(0, m.untilTokens(now, interval, 1))
	if pause > max(maxStartDelay, interval) {
		m.mu.Unlock()
		return errBusy
	}
	m.starts.ReserveN(now, 1)
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
// A row that a read did not find may have been written since, and reads may
// lag, so the answer rests on writing a not_run row: that fails if another row
// of the key exists. It stays correct for keys within the age limit only,
// since the rows of older keys may have expired before the seal.
func (m *Manager) lookupSealed(ctx context.Context, id ID, key Key, version uint64) Decision {
	absent := unknownDecision("no claim is recorded")
	if !key.Issued || key.Owner == m.cfg.Self || m.checkAge(key) != nil {
		return absent
	}
	if err := m.waitRead(ctx); err != nil {
		return absent
	}
	if _, err := m.cfg.Table.Get(ctx, sealRow(key.Owner)); err != nil {
		return absent
	}
	r := &row{State: stateNotRun, Entry: key.Owner.Entry, Incarnation: key.Owner.Number}
	r.Reason = ReasonKeyExpired
	r.Detail = "the entry instance that issued the key has stopped without running it"
	return m.confirmNotRun(ctx, id, key, version, r)
}

// confirmNotRun writes a not_run row over the version that was read, and
// answers from it or from the row that is in its place.
func (m *Manager) confirmNotRun(ctx context.Context, id ID, key Key, version uint64, r *row) Decision {
	value, err := r.encode()
	if err != nil {
		return unknownDecision(err.Error())
	}
	err = m.commitAlone(ctx, platform.Tx{
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

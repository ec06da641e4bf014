package claim

import (
	"context"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// Limits of the table scan of Unresolved, in rows per page and in pages.
const (
	scanPageSize = 200
	maxScanPages = 500
)

// ErrScanLimit means that Unresolved stopped before it had read every claim.
var ErrScanLimit = errors.New("claim: scan limit reached")

// Lookup reads the claim of a key whose owner cannot be reached. It never
// returns Run. A claimed row gives Unknown, because the owner may have
// dispatched the request, and so does a missing row, unless the owner is sealed.
func (m *Manager) Lookup(ctx context.Context, id ID) Decision {
	key, err := ParseKey(id.Key)
	if err != nil {
		return refuse(ReasonKeyInvalid, err.Error())
	}
	id.Key = key.Raw
	if err := m.waitRead(ctx); err != nil {
		return unknownDecision("the claim was not read before the deadline")
	}
	stored, err := m.cfg.Table.Get(ctx, id.rowKey())
	if errors.Is(err, platform.ErrNotFound) {
		return m.lookupSealed(ctx, id, key, 0)
	}
	if err != nil {
		return unknownDecision("the claim cannot be read: " + err.Error())
	}
	r, err := decodeRow(stored.Value)
	switch {
	case err != nil:
		return unknownDecision(err.Error())
	case r.State != stateNotRun || r.neverRuns(key):
		return lookupDecision(r, key)
	case key.Issued:
		return m.lookupSealed(ctx, id, key, stored.Version)
	}
	// Reads may be stale, so the key may have run since. A conditional write of
	// the same row proves that it is current.
	return m.confirmNotRun(ctx, id, key, stored.Version, r)
}

func storedDecision(stored platform.Row, key Key) Decision {
	r, err := decodeRow(stored.Value)
	if err != nil {
		return unknownDecision(err.Error())
	}
	return lookupDecision(r, key)
}

func unknownDecision(detail string) Decision {
	return Decision{Verdict: Unknown, Detail: detail}
}

func lookupDecision(r *row, key Key) Decision {
	var d Decision
	switch r.State {
	case stateNotRun:
		d = refuse(r.Reason, r.Detail)
		d.NeverRun = r.neverRuns(key)
		if key.Issued && !d.NeverRun {
			d = unknownDecision("the owner of the key may run it again")
		}
	case stateClaimed:
		d = unknownDecision("claimed by " + r.Entry + " without a result")
	default:
		d = r.finalDecision()
	}
	d.Fingerprint = r.Fingerprint
	return d
}

// waitRead waits for this entry instance's share of the read budget.
func (m *Manager) waitRead(ctx context.Context) error {
	entries := max(1, m.cfg.EntryCount())
	m.readLimiter.SetLimit(rate.Limit(m.cfg.ReadBudget / float64(entries)))
	if err := m.readLimiter.Wait(ctx); err != nil {
		return errors.Wrap(err, "read budget")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Reads++
	return nil
}

// Unresolved is a claim whose outcome is not known.
type Unresolved struct {
	ID          ID          `json:"id"`
	State       string      `json:"state"` // "unknown" or "claimed"
	Owner       Incarnation `json:"owner"`
	Detail      string      `json:"detail,omitempty"`
	KeyCreated  time.Time   `json:"key_created"`
	Fingerprint Fingerprint `json:"fingerprint"`
	// Version is the row version; Resolution is set if an operator resolved the claim.
	Version    uint64      `json:"version"`
	Resolution *Resolution `json:"resolution,omitempty"`
}

// Unresolved lists up to limit claims that are unknown or claimed by an
// incarnation that is not alive. If resolved is set, it lists the claims that an
// operator resolved instead. It reads page by page within the read budget. On an
// error it returns the claims found so far.
func (m *Manager) Unresolved(ctx context.Context, limit int, resolved bool) ([]Unresolved, error) {
	var found []Unresolved
	after := ""
	for range maxScanPages {
		if err := m.waitRead(ctx); err != nil {
			return found, err
		}
		rows, err := m.cfg.Table.List(ctx, rowPrefix, after, scanPageSize)
		if err != nil {
			return found, errors.Wrap(err, "list claims after "+strconv.Quote(after))
		}
		for _, r := range rows {
			u, ok := m.unresolvedFromRow(r)
			if resolved {
				ok = u.Resolution != nil
			}
			if ok {
				found = append(found, u)
			}
			if len(found) >= limit {
				return found, nil
			}
		}
		if len(rows) < scanPageSize {
			return found, nil
		}
		after = rows[len(rows)-1].Key
	}
	return found, ErrScanLimit
}

func (m *Manager) unresolvedFromRow(stored platform.Row) (Unresolved, bool) {
	id, err := parseRowKey(stored.Key)
	if err != nil {
		m.cfg.Logger.Warn("claim row has a malformed key", "row", stored.Key)
		return Unresolved{}, false
	}
	u := Unresolved{ID: id, Version: stored.Version}
	if key, err := ParseKey(id.Key); err == nil {
		u.KeyCreated = key.Created
	}
	r, err := decodeRow(stored.Value)
	if err != nil {
		u.State = string(stateUnknown)
		u.Detail = err.Error()
		return u, true
	}
	u.State = string(r.State)
	u.Owner = r.owner()
	u.Detail = r.Detail
	u.Resolution = r.Resolution
	u.Fingerprint = r.Fingerprint
	unresolved := r.State == stateUnknown || r.State == stateClaimed && !m.isAlive(r.owner())
	return u, unresolved
}

func (m *Manager) isAlive(i Incarnation) bool {
	return i == m.cfg.Self || m.cfg.IsAlive != nil && m.cfg.IsAlive(i)
}

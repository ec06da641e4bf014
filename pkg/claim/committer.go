package claim

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

const (
	// maxGroupBytes bounds the size of a transaction for the sake of slow links.
	maxGroupBytes = 1 << 20
	// maxAttemptFailures is the number of failed transactions after which an
	// attempt gives up. During an outage an attempt gives up after one.
	maxAttemptFailures = 3
	// outageGroupSize bounds the rows per transaction during an outage, because
	// they are sent again and again.
	outageGroupSize = 16
	maxBackoff      = time.Second
	// txBurst is how many transactions may start together after an idle period.
	// With even spacing, a claim right after another one waits up to an interval
	// (10 ms with two entry instances) even if half of the write budget is unused.
	txBurst = 4
	// resultMinTokens is how many starts must be available for a transaction of
	// results only. It leaves one start for a claim that comes right after it.
	resultMinTokens = 2
	// maxInFlightTx bounds the transactions in flight: a burst, and after it four
	// intervals of 55 ms (eleven entry instances), which cover a round trip of
	// 220 ms, twice that of the farthest region.
	maxInFlightTx = txBurst + 4
	// resultDelayIntervals is how many intervals results wait for claims to share a
	// transaction with, but at most maxResultDelay: a longer wait leaves more
	// claimed rows behind when the process is killed, and the interval grows with
	// the number of entry instances.
	resultDelayIntervals = 2
	maxResultDelay       = 250 * time.Millisecond
	// overdueResultAge is the age at which results get reserved room beside claims.
	overdueResultAge = time.Second
)

// Run writes claims and results until ctx ends. Attempts that still wait for
// their claim then end with NotRun.
func (m *Manager) Run(ctx context.Context) error {
	defer m.close()
	var running sync.WaitGroup
	// close must not end attempts before every transaction has returned.
	defer running.Wait()
	running.Go(func() { m.runOutcomes(ctx) })
	for {
		if err := m.waitToStart(ctx); err != nil {
			return err
		}
		if g := m.startGroup(); g != nil {
			running.Go(func() { m.commitGroup(ctx, g) })
		}
	}
}

// waitToStart waits until a transaction may start.
func (m *Manager) waitToStart(ctx context.Context) error {
	for {
		pause := m.untilStart()
		if pause <= 0 {
			return ctx.Err()
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-m.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// untilStart returns how long to wait before the next transaction may start. With
// nothing to start it returns sweepInterval. A wake-up may shorten the wait.
func (m *Manager) untilStart() time.Duration {
	interval := m.interval()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	m.sweep(now)
	limit := maxInFlightTx
	if m.consecutiveFailures > 0 {
		// A failing store gets one transaction at a time.
		limit = 1
	}
	if m.inFlight >= limit || len(m.claimQueue)+len(m.resultQueue)+len(m.retryQueue) == 0 {
		return sweepInterval
	}
	if !m.onlyRecentResults() {
		return m.untilTokens(now, interval, 1)
	}
	overdue := m.resultQueue[0].queuedAt.Add(min(resultDelayIntervals*interval, maxResultDelay))
	return max(overdue.Sub(now), m.untilTokens(now, interval, resultMinTokens))
}

// untilTokens returns how long to wait until the write budget allows n starts. The
// caller holds m.mu.
func (m *Manager) untilTokens(now time.Time, interval time.Duration, n int) time.Duration {
	burst := txBurst
	if m.consecutiveFailures > 0 {
		burst, n = 1, 1 // no bursts against a failing store
	}
	m.txLimiter.SetLimitAt(now, rate.Every(interval))
	m.txLimiter.SetBurstAt(now, burst)
	missing := float64(n) - m.txLimiter.TokensAt(now)
	return time.Duration(math.Ceil(missing * float64(interval)))
}

// onlyRecentResults reports whether only results are queued and no caller of
// Flush waits for them. A transaction of results alone can delay the next claim
// by an interval, so results wait for claims to share a transaction with.
func (m *Manager) onlyRecentResults() bool {
	return len(m.claimQueue)+len(m.retryQueue) == 0 && len(m.resultQueue) > 0 && m.flushers == 0
}

// startGroup returns the next group and counts it as in flight. It returns nil if
// there is nothing to write.
func (m *Manager) startGroup() *group {
	now := m.cfg.Now()
	g := m.nextGroup(now)
	if len(g.recs) == 0 {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.txLimiter.ReserveN(now, 1)
	m.inFlight++
	return g
}

// interval returns the mean time between the starts of two transactions. Every
// configured entry instance uses at most its share of the budget, even during a
// partition, so all together stay within the budget plus txBurst each. Failures
// double the interval up to maxBackoff.
func (m *Manager) interval() time.Duration {
	entries := max(1, m.cfg.EntryCount())
	d := time.Duration(float64(entries) / m.cfg.WriteBudget * float64(time.Second))
	m.mu.Lock()
	defer m.mu.Unlock()
	for range min(m.consecutiveFailures, 16) {
		if d >= maxBackoff {
			break
		}
		d = min(2*d, maxBackoff)
	}
	return d
}

// group is the content of one transaction. A key is in at most one group in
// flight, because startWrite returns nil while a write is in flight.
type group struct {
	recs []*record
	tx   platform.Tx
	size int
	// failureCount is Manager.failureCount when the group was assembled.
	failureCount uint64
}

func (m *Manager) commitGroup(ctx context.Context, g *group) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CommitTimeout)
	defer cancel()
	err := m.cfg.Table.Commit(ctx, g.tx)
	m.completeGroup(g, err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight--
	m.wakeUp()
}

// nextGroup assembles the next group. Keys whose group failed through a conflict
// of other keys go separately: mixed with new keys, a steady stream of conflicts
// would starve them. Otherwise claims that callers wait for come first, then
// results. Overdue results get a quarter of the group, so that a steady stream of
// claims cannot starve them.
func (m *Manager) nextGroup(now time.Time) *group {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.cfg.MaxGroupSize
	if m.consecutiveFailures > 0 {
		limit = min(limit, outageGroupSize)
	}
	g := &group{failureCount: m.failureCount}
	m.fillGroup(g, &m.retryQueue, limit, now)
	if len(g.recs) > 0 {
		return g
	}
	reserved := 0
	if len(m.resultQueue) > 0 && now.Sub(m.resultQueue[0].queuedAt) >= overdueResultAge {
		reserved = limit / 4
	}
	m.fillGroup(g, &m.claimQueue, limit-reserved, now)
	m.fillGroup(g, &m.resultQueue, limit, now)
	m.fillGroup(g, &m.claimQueue, limit, now)
	return g
}

// fillGroup moves records from the queue to the group until the group is full.
func (m *Manager) fillGroup(g *group, queue *[]*record, limit int, now time.Time) {
	for len(*queue) > 0 && len(g.recs) < limit && g.size < maxGroupBytes {
		rec := (*queue)[0]
		(*queue)[0] = nil
		*queue = (*queue)[1:]
		rec.queued = false
		m.addToGroup(g, rec, now)
	}
}

func (m *Manager) addToGroup(g *group, rec *record, now time.Time) {
	// If the process was suspended while the claim was queued, the row of an
	// earlier run may have expired.
	if rec.machine.phase == claiming && m.keyTime().Sub(rec.created) > MaxKeyAge {
		m.apply(rec, rec.machine.abandon(ReasonKeyExpired, "the key expired before the claim was written"))
		return
	}
	r := rec.machine.startWrite(now)
	if r == nil {
		return // nothing left to write
	}
	value, err := r.encode()
	if err != nil {
		m.apply(rec, rec.machine.encodingFailed(err.Error()))
		return
	}
	key := rec.id.rowKey()
	g.recs = append(g.recs, rec)
	g.size += len(key) + len(value)
	g.tx.Conditions = append(g.tx.Conditions, platform.Condition{Key: key, Version: rec.machine.version})
	g.tx.Puts = append(g.tx.Puts, platform.Put{Key: key, Value: value, TTL: rowRetention})
}

// completeGroup applies the outcome of a transaction to its keys.
//
// After a lost reply the same conditional writes are sent again instead of
// reading each row. A read that finds no row proves nothing, because the lost
// write may still take effect. A conditional write either replaces it, or fails
// and returns the rows, and costs one transaction instead of a read per key.
func (m *Manager) completeGroup(g *group, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Transactions++
	m.stats.Rows += uint64(len(g.recs))
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		m.recordSuccess()
		for _, rec := range g.recs {
			m.apply(rec, rec.machine.writeCommitted())
		}
	case errors.As(err, &conflict) && m.completeConflict(g, conflict):
		m.recordSuccess()
	default:
		m.completeFailure(g, err)
	}
}

// recordSuccess resets the failure count after an answer of the store.
func (m *Manager) recordSuccess() {
	if m.consecutiveFailures > 0 {
		m.cfg.Logger.Info("claim transactions succeed again", "failed", m.consecutiveFailures)
	}
	m.consecutiveFailures = 0
}

// completeConflict applies the conflicting rows to their keys and queues the
// other keys again. It reports whether any key of the group was in conflict.
func (m *Manager) completeConflict(g *group, conflict *platform.ConflictError) bool {
	rows := make(map[string]platform.Row, len(conflict.Rows))
	for _, r := range conflict.Rows {
		rows[r.Key] = r
	}
	var rest []*record
	matched := false
	for _, rec := range g.recs {
		r, found := rows[rec.id.rowKey()]
		if !found {
			rest = append(rest, rec)
			continue
		}
		matched = true
		m.stats.Conflicts++
		m.applyConflict(rec, r)
	}
	if !matched {
		return false
	}
	for _, rec := range rest {
		rec.machine.inFlight = nil
		rec.queued = true
	}
	m.retryQueue = append(m.retryQueue, rest...)
	return true
}

func (m *Manager) applyConflict(rec *record, r platform.Row) {
	if r.Version == 0 {
		m.apply(rec, rec.machine.writeConflicted(0, nil))
		return
	}
	stored, err := decodeRow(r.Value)
	if err != nil {
		m.cfg.Logger.Error("claim row cannot be read", "row", r.Key, "error", err)
		// An unreadable row may record a run, so it is never replaced.
		stored = &row{State: stateUnknown, Fingerprint: rec.machine.fingerprint, Detail: "the claim row cannot be read"}
	}
	m.apply(rec, rec.machine.writeConflicted(r.Version, stored))
}

func (m *Manager) completeFailure(g *group, err error) {
	limit := maxAttemptFailures
	if m.consecutiveFailures >= maxAttemptFailures {
		limit = 1
	}
	// Transactions that were in flight together most likely fail for the same
	// cause and count as one failure.
	newFailure := g.failureCount == m.failureCount
	if newFailure {
		m.consecutiveFailures++
		m.failureCount++
	}
	// ErrUnavailable and ErrConflict mean that nothing was written. After any other
	// error, including the end of the context, the write may have taken effect.
	unknown := !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrConflict)
	if unknown {
		m.stats.LostReplies++
	} else {
		m.stats.Unavailable++
	}
	if newFailure && m.consecutiveFailures == 1 {
		m.cfg.Logger.Warn("claim transaction failed", "keys", len(g.recs), "error", err)
	}
	for _, rec := range g.recs {
		m.apply(rec, rec.machine.writeFailed(unknown, limit))
	}
	if m.consecutiveFailures >= maxAttemptFailures {
		m.refuseQueued()
	}
}

// refuseQueued ends the attempts whose claims are queued, so that their callers
// learn of the outage before their deadline.
func (m *Manager) refuseQueued() {
	queued := m.claimQueue
	m.claimQueue = nil
	for _, rec := range queued {
		rec.queued = false
		m.apply(rec, rec.machine.abandonUnsent())
	}
}

// close refuses new attempts and ends those whose claim is not written.
func (m *Manager) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for _, rec := range m.records {
		if rec.machine.phase == claiming {
			m.apply(rec, rec.machine.abandon(ReasonNotReady, "the entry instance is stopping"))
		}
	}
}

// Flush waits until every claim and result is written. Run must still be active.
// Flush fails if ctx ends first.
func (m *Manager) Flush(ctx context.Context) error {
	m.addFlushers(1)
	defer m.addFlushers(-1)
	for {
		left, changed := m.countUnwritten()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d claims not written", left)
		case <-changed:
		}
	}
}

// addFlushers changes the number of callers of Flush. While there are any, results
// do not wait for claims.
func (m *Manager) addFlushers(change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.flushers += change
	m.wakeUp()
	m.outcomes.wakeUp()
}

// countUnwritten returns the number of unwritten claims and results, and a channel
// that is closed when one of them is written.
func (m *Manager) countUnwritten() (int, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := len(m.outcomes.list)
	for _, rec := range m.records {
		if rec.machine.phase != finished || !rec.machine.fullyWritten() {
			n++
		}
	}
	return n, m.progress
}

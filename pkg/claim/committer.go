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
	// maxGroupBytes bounds a transaction so that it fits a slow link.
	maxGroupBytes = 1 << 20
	// attemptFailures is the number of failed transactions after which an
	// attempt gives up; during an outage one is enough.
	attemptFailures = 3
	// outageGroup bounds the rows sent again and again during an outage.
	outageGroup = 16
	maxBackoff  = time.Second
	// startBurst is how many transactions may start together after a quiet
	// time. Spaced evenly instead, a claim that came right after another one
	// waited up to an interval (10 ms with two entries in a domain), although
	// the write budget was half used.
	startBurst = 4
	// resultTokens leaves one start for a claim that comes right after results.
	resultTokens = 2
	// maxInFlight bounds the transactions in flight: a burst, and after it four
	// intervals of 55 ms (eleven entries), which cover a round trip of 220 ms,
	// twice that of the farthest region.
	maxInFlight = startBurst + 4
	// resultIntervals is how many intervals results wait for claims to travel
	// with. A longer wait leaves more claimed rows behind when the process is
	// killed, so many entries with their long intervals do not prolong it.
	resultIntervals = 2
	maxResultWait   = 250 * time.Millisecond
	// resultReserveAge is the age at which results get room beside claims.
	resultReserveAge = time.Second
)

// Run writes claims and results until ctx ends. Attempts that still wait for
// their claim then end not run.
func (m *Manager) Run(ctx context.Context) error {
	defer m.close()
	var flights sync.WaitGroup
	// Attempts end only after the outcome of every transaction is known.
	defer flights.Wait()
	flights.Go(func() { m.runOutcomes(ctx) })
	for {
		if err := m.waitForStart(ctx); err != nil {
			return err
		}
		if g := m.begin(); g != nil {
			flights.Go(func() { m.commitGroup(ctx, g) })
		}
	}
}

// waitForStart returns when a transaction may start.
func (m *Manager) waitForStart(ctx context.Context) error {
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

// untilStart returns how long to wait before the next transaction may start,
// at most sweepInterval. A wake-up may shorten the wait.
func (m *Manager) untilStart() time.Duration {
	interval := m.interval()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.cfg.Now()
	m.sweep(now)
	limit := maxInFlight
	if m.outage > 0 {
		// A store in trouble gets one probe at a time.
		limit = 1
	}
	if m.inFlight >= limit || len(m.urgent)+len(m.background)+len(m.retry) == 0 {
		return sweepInterval
	}
	if !m.onlyFreshResults() {
		return m.untilTokens(now, interval, 1)
	}
	overdue := m.background[0].queuedAt.Add(min(resultIntervals*interval, maxResultWait))
	return max(overdue.Sub(now), m.untilTokens(now, interval, resultTokens))
}

// untilTokens returns how long to wait until the write budget allows n starts.
func (m *Manager) untilTokens(now time.Time, interval time.Duration, n int) time.Duration {
	burst := startBurst
	if m.outage > 0 {
		burst, n = 1, 1 // probes of a store in trouble keep their distance
	}
	m.starts.SetLimitAt(now, rate.Every(interval))
	m.starts.SetBurstAt(now, burst)
	missing := float64(n) - m.starts.TokensAt(now)
	return time.Duration(math.Ceil(missing * float64(interval)))
}

// onlyFreshResults reports whether nothing but results is queued and no one
// waits for them. A transaction of results alone would make the next claim
// wait for an interval, so results wait a while for claims to travel with.
func (m *Manager) onlyFreshResults() bool {
	return len(m.urgent)+len(m.retry) == 0 && len(m.background) > 0 && m.flushing == 0
}

// begin takes the next group as a transaction in flight, or returns nil.
func (m *Manager) begin() *group {
	now := m.cfg.Now()
	g := m.collect(now)
	if len(g.recs) == 0 {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts.ReserveN(now, 1)
	m.inFlight++
	return g
}

// interval is the mean time between the starts of two transactions. Every
// configured entry keeps to its part of the budget, so a partition cannot
// raise the sum: over any time it is the budget plus startBurst per entry.
// Failures double the interval up to maxBackoff.
func (m *Manager) interval() time.Duration {
	entries := max(1, m.cfg.EntryCount())
	d := time.Duration(float64(entries) / m.cfg.WriteBudget * float64(time.Second))
	m.mu.Lock()
	defer m.mu.Unlock()
	for range min(m.outage, 16) {
		if d >= maxBackoff {
			break
		}
		d = min(2*d, maxBackoff)
	}
	return d
}

// group is the content of one transaction. A key is in at most one group in
// flight, because machine.take returns nothing while a write is in flight.
type group struct {
	recs []*record
	tx   platform.Tx
	size int
	// failures is the number of counted failures when the group was taken.
	failures uint64
}

func (m *Manager) commitGroup(ctx context.Context, g *group) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CommitTimeout)
	defer cancel()
	err := m.cfg.Table.Commit(ctx, g.tx)
	m.settle(g, err)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inFlight--
	m.wakeUp()
}

// collect takes the next group. Keys whose group failed through a conflict of
// other keys go alone: mixed with new keys, a steady stream of conflicts would
// hold them up without end. Then come claims that callers wait for, and last
// the results; overdue results keep a quarter of the group, so that a stream
// of claims cannot hold them up without end.
func (m *Manager) collect(now time.Time) *group {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.cfg.MaxGroupSize
	if m.outage > 0 {
		limit = min(limit, outageGroup)
	}
	g := &group{failures: m.failures}
	m.fill(g, &m.retry, limit, now)
	if len(g.recs) > 0 {
		return g
	}
	reserved := 0
	if len(m.background) > 0 && now.Sub(m.background[0].queuedAt) >= resultReserveAge {
		reserved = limit / 4
	}
	m.fill(g, &m.urgent, limit-reserved, now)
	m.fill(g, &m.background, limit, now)
	m.fill(g, &m.urgent, limit, now)
	return g
}

func (m *Manager) fill(g *group, queue *[]*record, limit int, now time.Time) {
	for len(*queue) > 0 && len(g.recs) < limit && g.size < maxGroupBytes {
		rec := (*queue)[0]
		(*queue)[0] = nil
		*queue = (*queue)[1:]
		rec.queued = false
		m.add(g, rec, now)
	}
}

func (m *Manager) add(g *group, rec *record, now time.Time) {
	// The row of an earlier run may have expired while the claim waited in a
	// process that was paused.
	if rec.machine.phase == claiming && m.keyTime().Sub(rec.created) > MaxKeyAge {
		m.apply(rec, rec.machine.abandon(ReasonKeyExpired, "the key expired before the claim was written"))
		return
	}
	r := rec.machine.take(now)
	if r == nil {
		return // nothing left to write since it was queued
	}
	value, err := r.encode()
	if err != nil {
		m.apply(rec, rec.machine.unwritable(err.Error()))
		return
	}
	key := rec.id.rowKey()
	g.recs = append(g.recs, rec)
	g.size += len(key) + len(value)
	g.tx.Conditions = append(g.tx.Conditions, platform.Condition{Key: key, Version: rec.machine.version})
	g.tx.Puts = append(g.tx.Puts, platform.Put{Key: key, Value: value, TTL: rowRetention})
}

// settle hands the outcome of a transaction to its keys.
//
// After a lost reply the same conditional writes are sent again instead of
// reading each row. A read that finds no row proves nothing, because the lost
// write may still land; a conditional write either takes its place, or fails
// and returns the rows. It costs one transaction instead of a read per key.
func (m *Manager) settle(g *group, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Transactions++
	m.stats.Rows += uint64(len(g.recs))
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		m.recovered()
		for _, rec := range g.recs {
			m.apply(rec, rec.machine.committed())
		}
	case errors.As(err, &conflict) && m.settleConflict(g, conflict):
		m.recovered()
	default:
		m.settleFailure(g, err)
	}
}

// recovered notes that the store answered.
func (m *Manager) recovered() {
	if m.outage > 0 {
		m.cfg.Logger.Info("claim transactions succeed again", "failed", m.outage)
	}
	m.outage = 0
}

// settleConflict hands the rows in conflict to their keys and queues the rest
// again. It reports whether the conflict concerned any key of the group.
func (m *Manager) settleConflict(g *group, conflict *platform.ConflictError) bool {
	rows := make(map[string]platform.Row, len(conflict.Rows))
	for _, r := range conflict.Rows {
		rows[r.Key] = r
	}
	var rest []*record
	hit := false
	for _, rec := range g.recs {
		r, found := rows[rec.id.rowKey()]
		if !found {
			rest = append(rest, rec)
			continue
		}
		hit = true
		m.stats.Conflicts++
		m.settleRow(rec, r)
	}
	if !hit {
		return false
	}
	for _, rec := range rest {
		rec.machine.inFlight = nil
		rec.queued = true
	}
	m.retry = append(m.retry, rest...)
	return true
}

func (m *Manager) settleRow(rec *record, r platform.Row) {
	if r.Version == 0 {
		m.apply(rec, rec.machine.conflict(0, nil))
		return
	}
	stored, err := decodeRow(r.Value)
	if err != nil {
		m.cfg.Logger.Error("claim row cannot be read", "row", r.Key, "error", err)
		// An unreadable row may stand for a run, so it is never replaced.
		stored = &row{State: stateUnknown, Fingerprint: rec.machine.fp, Detail: "the claim row cannot be read"}
	}
	m.apply(rec, rec.machine.conflict(r.Version, stored))
}

func (m *Manager) settleFailure(g *group, err error) {
	limit := attemptFailures
	if m.outage >= attemptFailures {
		limit = 1
	}
	// Transactions that were in flight together fail for one cause and count
	// as one failure.
	first := g.failures == m.failures
	if first {
		m.outage++
		m.failures++
	}
	// Any error that does not promise "nothing written" leaves doubt, also
	// the end of the context.
	unknown := !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrConflict)
	if unknown {
		m.stats.LostReplies++
	} else {
		m.stats.Unavailable++
	}
	if first && m.outage == 1 {
		m.cfg.Logger.Warn("claim transaction failed", "keys", len(g.recs), "error", err)
	}
	for _, rec := range g.recs {
		m.apply(rec, rec.machine.failed(unknown, limit))
	}
	if m.outage >= attemptFailures {
		m.refuseQueued()
	}
}

// refuseQueued ends the attempts that were never sent, so that their callers
// learn of the outage before their deadline.
func (m *Manager) refuseQueued() {
	queued := m.urgent
	m.urgent = nil
	for _, rec := range queued {
		rec.queued = false
		m.apply(rec, rec.machine.unsent())
	}
}

// close ends the attempts that wait for a claim that is no longer written.
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

// Flush waits until every claim and result known so far is written. Run must
// still be active. It fails when ctx ends first.
func (m *Manager) Flush(ctx context.Context) error {
	m.flushNow(1)
	defer m.flushNow(-1)
	for {
		left, changed := m.unwritten()
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

// flushNow counts the callers of Flush; results do not wait while there are any.
func (m *Manager) flushNow(change int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.flushing += change
	m.wakeUp()
	m.outcomes.wakeUp()
}

func (m *Manager) unwritten() (int, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := len(m.outcomes.list)
	for _, rec := range m.records {
		if rec.machine.phase != finished || !rec.machine.settled() {
			n++
		}
	}
	return n, m.idle
}

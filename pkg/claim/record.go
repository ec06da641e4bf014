package claim

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

const (
	// outcomeHoldTime is how long the result of a forwarded request is kept while
	// the owner of the claim is alive. The owner writes it within maxResultDelay
	// plus one transaction, unless the store is slow or the owner dies.
	outcomeHoldTime = 30 * time.Second
	// ownerWriteTime is the time in which an owner that got the reply writes it.
	// A stopping executor leaves older results to their live owners: writing all
	// results of outcomeHoldTime would exceed the stop timeout in a large
	// deployment, where each entry instance may start few transactions.
	ownerWriteTime = time.Second
	// outcomeRetention bounds how long the write of a result is retried, so that a
	// store outage does not keep it in memory forever.
	outcomeRetention = time.Hour
	// outcomeInterval is how often the owners of held results are checked.
	outcomeInterval = 250 * time.Millisecond
	// maxOutcomes and maxOutcomeBytes bound the held results. With 100 forwarded
	// requests per second, outcomeHoldTime needs 3,000 of them.
	maxOutcomes     = 4096
	maxOutcomeBytes = 16 << 20
	minOutcomePause = 100 * time.Millisecond
	maxOutcomePause = 5 * time.Second
)

// AttemptRef identifies an attempt of a claim. The owner sends it with a forwarded
// request, so that the executor, the entry instance that runs the request, can
// write the outcome.
type AttemptRef struct {
	Owner     Incarnation
	AttemptID string
	// Version is the row version, 0 if the key has no row.
	Version uint64
}

// ForwardedOutcome is the result of a request that this entry instance ran for the
// owner of its claim.
type ForwardedOutcome struct {
	ID          ID
	Attempt     AttemptRef
	Fingerprint Fingerprint
	Result      Result
	// Undelivered means that the owner certainly did not get the reply.
	Undelivered bool
}

// outcome is the held result of a forwarded request.
type outcome struct {
	id         ID
	row        *row
	version    uint64
	receivedAt time.Duration // of Config.Elapsed, because a step of the wall clock must not expire it
	due        bool          // to be written
	inFlight   bool
	size       int
}

// outcomeQueue holds the results of forwarded requests. Manager.mu guards it.
type outcomeQueue struct {
	list     []*outcome // oldest first
	bytes    int
	failures int           // consecutive failed transactions
	nextTry  time.Duration // of Config.Elapsed
	wake     chan struct{} // holds one token when a result is due
}

// RecordOutcome holds the result of a forwarded request. It is written only if
// the owner of the claim did not get it or dies, or if this process stops soon
// after; writing it always would cost a second write for each forwarded request.
//
// Only results are written. "not run" could be false, because an owner that got
// this refusal may run the request elsewhere under the same attempt id.
func (m *Manager) RecordOutcome(run ForwardedOutcome) {
	r := &row{
		State:       stateDone,
		Entry:       run.Attempt.Owner.Entry,
		Incarnation: run.Attempt.Owner.Number,
		Attempt:     run.Attempt.AttemptID,
		Fingerprint: run.Fingerprint,
		Result:      run.Result.storedForm(),
	}
	o := &outcome{id: run.ID, row: r, version: run.Attempt.Version, receivedAt: m.cfg.Elapsed(), due: run.Undelivered, size: r.Result.size()}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.roomForOutcome(o) {
		m.stats.OutcomesDropped++
		m.cfg.Logger.Error("too many outcomes of peers to write; one was dropped and may answer as unknown",
			"customer", o.id.Customer, "service", o.id.Service, "key", o.id.Key, "owner", r.Entry)
		return
	}
	m.outcomes.list = append(m.outcomes.list, o)
	m.outcomes.bytes += o.size
	if o.due {
		m.outcomes.wakeUp()
	}
}

// roomForOutcome drops the oldest results that are not due until there is room;
// their owner is alive and most likely wrote them. It reports whether there is
// room.
func (m *Manager) roomForOutcome(o *outcome) bool {
	full := func() bool {
		return len(m.outcomes.list) >= maxOutcomes || m.outcomes.bytes+o.size > maxOutcomeBytes
	}
	for full() {
		i := slices.IndexFunc(m.outcomes.list, func(old *outcome) bool { return !old.due && !old.inFlight })
		if i < 0 {
			return false
		}
		m.stats.OutcomesDropped++
		m.dropOutcome(m.outcomes.list[i])
	}
	return true
}

func (m *Manager) dropOutcome(o *outcome) {
	i := slices.Index(m.outcomes.list, o)
	if i < 0 {
		return
	}
	m.outcomes.list = slices.Delete(m.outcomes.list, i, i+1)
	m.outcomes.bytes -= o.size
	m.signalProgress()
}

func (s *outcomeQueue) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runOutcomes writes the results that are due until ctx ends.
func (m *Manager) runOutcomes(ctx context.Context) {
	tick := time.NewTicker(outcomeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-m.outcomes.wake:
		}
		for g := m.nextOutcomes(); g != nil; g = m.nextOutcomes() {
			m.completeOutcomes(g, m.commitUngrouped(ctx, g.tx))
		}
	}
}

// outcomeGroup is the content of one transaction.
type outcomeGroup struct {
	list []*outcome
	tx   platform.Tx
	size int
}

// full reports whether the transaction has no room for another row.
func (g *outcomeGroup) full(limit int) bool {
	return len(g.list) >= limit || g.size >= maxGroupBytes
}

func (g *outcomeGroup) has(id ID) bool {
	return slices.ContainsFunc(g.list, func(o *outcome) bool { return o.id == id })
}

// nextOutcomes returns the results to write now, or nil. A result is due if its
// owner is not alive, if the owner did not get it, or if this process stops before
// the owner can have written it.
func (m *Manager) nextOutcomes() *outcomeGroup {
	alive := m.liveOwners()
	now := m.cfg.Elapsed()
	m.mu.Lock()
	defer m.mu.Unlock()
	g := &outcomeGroup{}
	for _, o := range slices.Clone(m.outcomes.list) {
		owner := o.row.owner()
		live, checked := alive[owner]
		age := now - o.receivedAt
		o.due = o.due || checked && !live || m.flushers > 0 && age <= ownerWriteTime
		switch {
		case o.inFlight:
		case age > outcomeRetention:
			m.cfg.Logger.Error("outcome of a peer's request could not be written", "customer", o.id.Customer,
				"service", o.id.Service, "key", o.id.Key, "owner", owner.Entry)
			m.dropOutcome(o)
		case !o.due && (age > outcomeHoldTime || m.flushers > 0):
			m.dropOutcome(o)
		case o.due && !g.full(m.cfg.MaxGroupSize) && now >= m.outcomes.nextTry && !g.has(o.id):
			m.addOutcome(g, o)
		}
	}
	if len(g.list) == 0 {
		return nil
	}
	return g
}

// liveOwners checks each owner of a result that is not due once. It does not hold
// m.mu meanwhile, because IsAlive takes the lock of the peer table.
func (m *Manager) liveOwners() map[Incarnation]bool {
	m.mu.Lock()
	owners := map[Incarnation]bool{}
	for _, o := range m.outcomes.list {
		if !o.due {
			owners[o.row.owner()] = false
		}
	}
	m.mu.Unlock()
	for owner := range owners {
		owners[owner] = m.isAlive(owner)
	}
	return owners
}

func (m *Manager) addOutcome(g *outcomeGroup, o *outcome) {
	value, err := o.row.encode()
	if err != nil {
		m.cfg.Logger.Error("outcome of a peer's request cannot be encoded", "key", o.id.Key, "error", err)
		m.dropOutcome(o)
		return
	}
	o.inFlight = true
	key := o.id.rowKey()
	g.list = append(g.list, o)
	g.size += len(key) + len(value)
	g.tx.Conditions = append(g.tx.Conditions, platform.Condition{Key: key, Version: o.version})
	g.tx.Puts = append(g.tx.Puts, platform.Put{Key: key, Value: value, TTL: rowRetention})
}

// completeOutcomes handles the outcome of a transaction. After a lost reply the same
// write is sent again; if the first one took effect, the conflict returns its row.
func (m *Manager) completeOutcomes(g *outcomeGroup, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range g.list {
		o.inFlight = false
	}
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		m.outcomes.failures = 0
		for _, o := range g.list {
			m.stats.OutcomesWritten++
			m.dropOutcome(o)
		}
	case errors.As(err, &conflict):
		m.outcomes.failures = 0
		m.completeOutcomeConflict(g, conflict)
	default:
		pause := min(minOutcomePause<<min(m.outcomes.failures, 10), maxOutcomePause)
		m.outcomes.failures++
		m.outcomes.nextTry = m.cfg.Elapsed() + pause
		m.cfg.Logger.Warn("outcomes of peers' requests not written; trying again", "keys", len(g.list), "pause", pause, "error", err)
	}
}

func (m *Manager) completeOutcomeConflict(g *outcomeGroup, conflict *platform.ConflictError) {
	for _, stored := range conflict.Rows {
		i := slices.IndexFunc(g.list, func(o *outcome) bool { return o.id.rowKey() == stored.Key })
		if i < 0 {
			continue
		}
		o := g.list[i]
		retry, problem := o.resolveConflict(stored)
		if retry {
			continue
		}
		if problem != "" {
			m.stats.OutcomesLost++
			m.cfg.Logger.Error("outcome of a peer's request lost to the row of its claim", "customer", o.id.Customer,
				"service", o.id.Service, "key", o.id.Key, "owner", o.row.Entry, "problem", problem)
		}
		m.dropOutcome(o)
	}
}

// resolveConflict handles the stored row that conflicts with the write. A row of
// the same attempt without a result is replaced (retry is true): an owner that did
// not get the reply writes "unknown", and this result is the outcome of its
// attempt. Any other row stays; problem is set if the result is lost.
func (o *outcome) resolveConflict(stored platform.Row) (retry bool, problem string) {
	if stored.Version == 0 {
		return false, "the row has expired"
	}
	r, err := decodeRow(stored.Value)
	switch {
	case err != nil:
		return false, err.Error()
	case r.resolvedByOperator():
		return false, o.differsFrom(r)
	case r.owner() != o.row.owner() || r.Attempt != o.row.Attempt:
		return false, "the row names another attempt, of " + r.Entry
	case r.State == stateDone:
		return false, ""
	case r.State == stateNotRun:
		return false, "the owner recorded that the attempt did not run"
	}
	o.version = stored.Version
	return true, ""
}

// differsFrom describes how the result contradicts an operator's resolution.
func (o *outcome) differsFrom(r *row) string {
	if r.State == stateDone && r.Result.Status == o.row.Result.Status {
		return ""
	}
	return "the request ran with status " + strconv.Itoa(o.row.Result.Status) + ", but " + r.describeResolution()
}

// lookupUnknown decides an entry-issued key that ended unknown in this process
// from its row, because the executor or an operator may have written the outcome.
func (m *Manager) lookupUnknown(ctx context.Context, id ID, fallback Decision) Decision {
	d := m.Lookup(ctx, id)
	if d.Verdict == Recorded || d.Verdict == NotRun && d.NeverRun {
		return d
	}
	return fallback
}

// AttemptRef identifies the attempt of this ticket to an executor.
func (t *Ticket) AttemptRef() AttemptRef {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	mc := &t.rec.machine
	return AttemptRef{Owner: mc.self, AttemptID: mc.attempt, Version: mc.version}
}

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
	// outcomeHold is how long the result of a run for another entry instance is
	// kept while the owner of the claim lives. The owner writes it within
	// maxResultWait and a transaction, unless the store is slow or it dies.
	outcomeHold = 30 * time.Second
	// ownerWriteTime is how long an owner that got the reply needs to write it.
	// A stopping executor leaves older results to their live owners: the writes
	// of a whole outcomeHold would exceed the time of a stop in a large
	// deployment, where each entry instance may start few transactions.
	ownerWriteTime = time.Second
	// outcomeRetention bounds how long a result is tried to be written, so that
	// an outage of the store does not keep it in memory for ever.
	outcomeRetention = time.Hour
	// outcomeInterval is how often the owners of kept results are looked at.
	outcomeInterval = 250 * time.Millisecond
	// maxOutcomes and maxOutcomeBytes bound the results in memory. At 100
	// forwarded requests per second, outcomeHold needs 3,000 of them.
	maxOutcomes     = 4096
	maxOutcomeBytes = 16 << 20
	minOutcomePause = 100 * time.Millisecond
	maxOutcomePause = 5 * time.Second
)

// AttemptRef names one attempt of a claim at its owner. The owner sends it with a
// forwarded request, so that the executor can write the outcome.
type AttemptRef struct {
	Owner     Incarnation
	AttemptID string
	// Version is the version of the row, 0 if the key has none.
	Version uint64
}

// ForwardedOutcome is the result of a request that this entry instance ran for the owner of its claim.
type ForwardedOutcome struct {
	ID          ID
	Attempt     AttemptRef
	Fingerprint Fingerprint
	Result      Result
	// Undelivered means that the owner is known not to have got the reply.
	Undelivered bool
}

// outcome is the result of a run for another entry instance.
type outcome struct {
	id       ID
	row      *row
	version  uint64
	since    time.Duration // by Config.Elapsed: a step of the wall clock must not drop it
	due      bool          // to be written
	inFlight bool
	size     int
}

// outcomes holds the results of runs for other entry instances. The lock of
// the manager guards it.
type outcomes struct {
	list     []*outcome // oldest first
	bytes    int
	failures int           // consecutive failed transactions
	nextTry  time.Duration // by Config.Elapsed
	wake     chan struct{} // holds one token when a result is due
}

// RecordOutcome keeps the result of a run for the owner of the claim. It is
// written only if the owner did not get it or dies, because otherwise each
// forwarded request would cost a second write.
//
// Only results are written. "not run" could be false: an owner that got this
// refusal may be running the request elsewhere under the same attempt id.
func (m *Manager) RecordOutcome(run ForwardedOutcome) {
	r := &row{
		State:       stateDone,
		Entry:       run.Attempt.Owner.Entry,
		Incarnation: run.Attempt.Owner.Number,
		Attempt:     run.Attempt.AttemptID,
		Fingerprint: run.Fingerprint,
		Result:      run.Result.kept(),
	}
	o := &outcome{id: run.ID, row: r, version: run.Attempt.Version, since: m.cfg.Elapsed(), due: run.Undelivered, size: r.Result.size()}
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

// roomForOutcome drops the oldest results whose owner lives, which most likely
// wrote them itself, until there is room.
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
	m.signalIdle()
}

func (s *outcomes) wakeUp() {
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
		for g := m.takeOutcomes(); g != nil; g = m.takeOutcomes() {
			m.settleOutcomes(g, m.commitAlone(ctx, g.tx))
		}
	}
}

// outcomeGroup is the content of one transaction.
type outcomeGroup struct {
	list []*outcome
	tx   platform.Tx
	size int
}

// full reports whether the transaction takes no further row.
func (g *outcomeGroup) full(limit int) bool {
	return len(g.list) >= limit || g.size >= maxGroupBytes
}

func (g *outcomeGroup) has(id ID) bool {
	return slices.ContainsFunc(g.list, func(o *outcome) bool { return o.id == id })
}

// takeOutcomes returns the results to write now, or nil. A result is due when
// its owner does not live, when the owner did not get it, and when this process
// stops before the owner can have written it.
func (m *Manager) takeOutcomes() *outcomeGroup {
	alive := m.liveOwners()
	now := m.cfg.Elapsed()
	m.mu.Lock()
	defer m.mu.Unlock()
	g := &outcomeGroup{}
	for _, o := range slices.Clone(m.outcomes.list) {
		owner := o.row.owner()
		live, asked := alive[owner]
		age := now - o.since
		o.due = o.due || asked && !live || m.flushing > 0 && age <= ownerWriteTime
		switch {
		case o.inFlight:
		case age > outcomeRetention:
			m.cfg.Logger.Error("outcome of a peer's request could not be written", "customer", o.id.Customer,
				"service", o.id.Service, "key", o.id.Key, "owner", owner.Entry)
			m.dropOutcome(o)
		case !o.due && (age > outcomeHold || m.flushing > 0):
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

// liveOwners asks about each owner once and without the lock, because the
// answer takes the lock of the peer table.
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
		owners[owner] = m.alive(owner)
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

// settleOutcomes handles the end of a transaction. After a lost reply the same
// write is sent again; a conflict then shows the row that it wrote.
func (m *Manager) settleOutcomes(g *outcomeGroup, err error) {
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
		m.settleOutcomeConflict(g, conflict)
	default:
		pause := min(minOutcomePause<<min(m.outcomes.failures, 10), maxOutcomePause)
		m.outcomes.failures++
		m.outcomes.nextTry = m.cfg.Elapsed() + pause
		m.cfg.Logger.Warn("outcomes of peers' requests not written; trying again", "keys", len(g.list), "pause", pause, "error", err)
	}
}

func (m *Manager) settleOutcomeConflict(g *outcomeGroup, conflict *platform.ConflictError) {
	for _, stored := range conflict.Rows {
		i := slices.IndexFunc(g.list, func(o *outcome) bool { return o.id.rowKey() == stored.Key })
		if i < 0 {
			continue
		}
		o := g.list[i]
		again, why := o.conflict(stored)
		if again {
			continue
		}
		if why != "" {
			m.stats.OutcomesLost++
			m.cfg.Logger.Error("outcome of a peer's request lost to the row of its claim", "customer", o.id.Customer,
				"service", o.id.Service, "key", o.id.Key, "owner", o.row.Entry, "problem", why)
		}
		m.dropOutcome(o)
	}
}

// conflict decides what follows from the row that is there. The write is tried
// again over a row of the same attempt without a result: "unknown" is what an
// owner writes that did not get the reply, and the run is the one it asked for.
// Any other row wins; why says what is lost.
func (o *outcome) conflict(stored platform.Row) (again bool, why string) {
	if stored.Version == 0 {
		return false, "the row has expired"
	}
	r, err := decodeRow(stored.Value)
	switch {
	case err != nil:
		return false, err.Error()
	case r.byHand():
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

// differsFrom describes how the result differs from what an operator recorded.
func (o *outcome) differsFrom(r *row) string {
	if r.State == stateDone && r.Result.Status == o.row.Result.Status {
		return ""
	}
	return "the request ran with status " + strconv.Itoa(o.row.Result.Status) + ", but " + r.resolved()
}

// adopt answers an entry-issued key that ended unknown in this memory from its
// row, because the executor or an operator may have written the outcome since.
func (m *Manager) adopt(ctx context.Context, id ID, own Decision) Decision {
	d := m.Lookup(ctx, id)
	if d.Verdict == Recorded || d.Verdict == NotRun && d.NeverRun {
		return d
	}
	return own
}

// AttemptRef returns what an executor needs to write the outcome of this ticket.
func (t *Ticket) AttemptRef() AttemptRef {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	mc := &t.rec.machine
	return AttemptRef{Owner: mc.self, AttemptID: mc.attempt, Version: mc.version}
}

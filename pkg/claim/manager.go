package claim

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"

	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// Defaults of Config.
const (
	defaultWriteBudget = 200.0 // transactions/s of all entry instances
	defaultReadBudget  = 500.0 // reads/s of all entry instances, a quarter of what the store allows
	defaultMaxPending  = 8192
	defaultMaxIssued   = 100_000
	defaultMaxBytes    = 32 << 20
	defaultMaxGroup    = 256
	// defaultCommitTimeout leaves time for the dispatch within MaxDispatchDelay and
	// tolerates a store that answers 2 s late.
	defaultCommitTimeout = 3 * time.Second
)

// Config configures a Manager. Zero limits take their defaults.
type Config struct {
	Self  Incarnation
	Table platform.Table
	// EntryCount returns the number of configured entry instances, dead or alive.
	EntryCount func() int
	// WriteBudget is in transactions/s and ReadBudget in reads/s, both for all
	// entry instances together.
	WriteBudget float64
	ReadBudget  float64
	Logger      hclog.Logger
	Now         func() time.Time
	// Elapsed reads a monotonic clock, which steps of the wall clock do not affect.
	// The default is the time since NewManager.
	Elapsed func() time.Duration
	// IsAlive reports whether an incarnation is known to be alive. Without it, every
	// other incarnation counts as dead.
	IsAlive func(Incarnation) bool
	// MaxPending bounds the caller-made keys in memory, MaxIssued the entry-issued
	// keys, and MaxBytes the size of the results of both.
	MaxPending int
	MaxIssued  int
	MaxBytes   int
	// MaxGroupSize bounds the number of keys in one transaction.
	MaxGroupSize  int
	CommitTimeout time.Duration
}

func (c Config) withDefaults() Config {
	setDefault(&c.WriteBudget, defaultWriteBudget)
	setDefault(&c.ReadBudget, defaultReadBudget)
	setDefault(&c.MaxPending, defaultMaxPending)
	setDefault(&c.MaxIssued, defaultMaxIssued)
	setDefault(&c.MaxBytes, defaultMaxBytes)
	setDefault(&c.MaxGroupSize, defaultMaxGroup)
	setDefault(&c.CommitTimeout, defaultCommitTimeout)
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Elapsed == nil {
		started := time.Now()
		c.Elapsed = func() time.Duration { return time.Since(started) }
	}
	if c.EntryCount == nil {
		c.EntryCount = func() int { return 1 }
	}
	return c
}

func setDefault[T int | float64 | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Manager decides attempts and writes claims in the background. It is safe
// for concurrent use.
type Manager struct {
	cfg         Config
	readLimiter *rate.Limiter
	wake        chan struct{} // holds one token when there is something to write

	mu          sync.Mutex
	closed      bool
	records     map[ID]*record
	issuedCount int // records of entry-issued keys that were claimed in memory
	resultBytes int // size of the results in memory
	// claimQueue holds claims that a caller waits for, resultQueue all other
	// writes, and retryQueue the keys of a group that failed through a conflict of
	// other keys. Each record is in at most one of them.
	claimQueue       []*record
	resultQueue      []*record
	retryQueue       []*record
	droppableResults []*record // entry-issued results that the store has, oldest first
	evictable        creationHeap
	// evictedThrough is the latest creation time of an evicted entry-issued key.
	// Whether an older key that is not in memory ran is known only from the store.
	evictedThrough      time.Time
	keyClock            keyClock
	lastSweep           time.Time
	consecutiveFailures int    // consecutive failed transactions
	failureCount        uint64 // failed transactions; those in flight together count as one
	inFlight            int    // transactions in flight
	// txLimiter paces the starts of transactions; see untilTokens.
	txLimiter *rate.Limiter
	flushers  int // callers of Flush
	stats     Stats
	progress  chan struct{} // closed and replaced when a claim or result is written
	outcomes  outcomeQueue
}

// record is the in-memory state of one key.
type record struct {
	id      ID
	created time.Time
	machine stateMachine
	ticket  *Ticket // of the current or last attempt; nil once evictable
	queued  bool
	// queuedAt is when the record was last queued.
	queuedAt    time.Time
	resultBytes int
	// resultDropped means that the result is in the store only.
	resultDropped bool
	// removed means that the record is no longer in Manager.records; the lists may
	// still hold it.
	removed bool
}

// Stats are the counters published through expvar.
type Stats struct {
	Pending      int    `json:"pending"`
	Issued       int    `json:"issued"`
	Bytes        int    `json:"bytes"`
	Transactions uint64 `json:"transactions"`
	Rows         uint64 `json:"rows"`
	Conflicts    uint64 `json:"conflicts"`
	LostReplies  uint64 `json:"lost_replies"`
	Unavailable  uint64 `json:"unavailable"`
	Reads        uint64 `json:"reads"`
	// Evicted counts the entry-issued keys removed from memory to admit new ones.
	Evicted    uint64 `json:"evicted"`
	Violations uint64 `json:"violations"`
	// OutcomesPending counts the results of requests forwarded by peers that are
	// held, OutcomesWritten those written for the owner, OutcomesLost those that
	// the stored row contradicts, and OutcomesDropped those for which there was no
	// room.
	OutcomesPending int    `json:"outcomes_pending"`
	OutcomesWritten uint64 `json:"outcomes_written"`
	OutcomesLost    uint64 `json:"outcomes_lost"`
	OutcomesDropped uint64 `json:"outcomes_dropped"`
}

// NewManager returns a manager that writes only while Run is active.
func NewManager(cfg Config) *Manager {
	cfg = cfg.withDefaults()
	return &Manager{
		cfg:         cfg,
		readLimiter: rate.NewLimiter(rate.Limit(cfg.ReadBudget), 1),
		txLimiter:   rate.NewLimiter(rate.Inf, txBurst),
		wake:        make(chan struct{}, 1),
		records:     make(map[ID]*record),
		progress:    make(chan struct{}),

		outcomes: outcomeQueue{wake: make(chan struct{}, 1)},
	}
}

// Stats returns a copy of the counters.
func (m *Manager) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stats
	s.Pending = len(m.records) - m.issuedCount
	s.Issued = m.issuedCount
	s.Bytes = m.resultBytes
	s.OutcomesPending = len(m.outcomes.list)
	return s
}

// Begin decides an attempt. It waits for the commit of the claim, or for the
// result of a request with the same key that is in flight in this process. With
// verdict Run the caller must end the ticket. If ctx ends first, the verdict is
// NotRun for an attempt whose claim is not written, and Unknown for one that
// waits for another attempt, because that one may run.
func (m *Manager) Begin(ctx context.Context, id ID, key Key, fingerprint Fingerprint) Decision {
	id.Key = key.Raw
	if ctx.Err() != nil {
		return refuse(ReasonDeadline, "the deadline passed before the claim")
	}
	if err := m.checkAge(key); err != nil {
		return refuse(ReasonKeyExpired, err.Error())
	}
	if key.Issued && key.Owner != m.cfg.Self {
		return Decision{Verdict: PassTo, PassTo: key.Owner}
	}
	t, started, d := m.join(id, key, fingerprint)
	switch {
	case d.Verdict == Recorded && d.Result == nil:
		return m.Lookup(ctx, id)
	case d.Verdict == Unknown && key.Issued:
		return m.lookupUnknown(ctx, id, d)
	case d.Verdict != 0:
		return d
	case started:
		return m.awaitClaim(ctx, t)
	}
	return awaitResult(ctx, t)
}

func (m *Manager) checkAge(key Key) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return key.CheckAge(m.keyTime())
}

// join starts an attempt (started is true), attaches to one in progress, or
// decides from memory. A Recorded decision without a result means that the result
// is in the store only.
func (m *Manager) join(id ID, key Key, fingerprint Fingerprint) (t *Ticket, started bool, d Decision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, false, refuse(ReasonNotReady, "the entry instance is stopping")
	}
	// Checked again under the lock, because the record of a key that expired since
	// the check in Begin may have been removed.
	if err := key.CheckAge(m.keyTime()); err != nil {
		return nil, false, refuse(ReasonKeyExpired, err.Error())
	}
	rec := m.records[id]
	if rec == nil {
		inMemory := key.Issued && !m.needsStore(key)
		if d := m.admit(inMemory); d.Verdict != 0 {
			return nil, false, d
		}
		return m.startAttempt(m.addRecord(id, key, fingerprint, inMemory)), true, Decision{}
	}
	switch {
	case rec.machine.fingerprint != fingerprint:
		return nil, false, refuse(ReasonKeyMismatch, "the key was used for another request")
	case rec.machine.canRestart():
		return m.startAttempt(rec), true, Decision{}
	case rec.machine.phase != finished:
		return rec.ticket, false, Decision{}
	case rec.resultDropped:
		return nil, false, Decision{Verdict: Recorded}
	}
	return nil, false, rec.machine.finalRow.finalDecision()
}

// admit refuses a new key if too many are in memory. During a store outage keys
// cannot be evicted, because their rows are not written.
func (m *Manager) admit(inMemory bool) Decision {
	full := len(m.records)-m.issuedCount >= m.cfg.MaxPending
	if inMemory {
		if m.issuedCount >= m.cfg.MaxIssued {
			m.sweep(m.cfg.Now())
			m.evict()
		}
		full = m.issuedCount >= m.cfg.MaxIssued
	}
	if full || m.resultBytes >= m.cfg.MaxBytes {
		return refuse(ReasonOverload, "too many claims in memory")
	}
	return Decision{}
}

// addRecord adds the record of a key. An entry-issued key that needs the store is
// claimed and removed like a caller-made one.
func (m *Manager) addRecord(id ID, key Key, fingerprint Fingerprint, inMemory bool) *record {
	rec := &record{id: id, created: key.Created}
	rec.machine = stateMachine{self: m.cfg.Self, issued: key.Issued, inMemory: inMemory, fingerprint: fingerprint}
	m.records[id] = rec
	if inMemory {
		m.issuedCount++
	}
	return rec
}

func (m *Manager) startAttempt(rec *record) *Ticket {
	t := newTicket(m, rec)
	rec.ticket = t
	m.apply(rec, rec.machine.start(newUUID(m.cfg.Now()).String()))
	return t
}

// apply carries out the effects of an event on the record and queues its next
// write. The caller holds m.mu.
func (m *Manager) apply(rec *record, e effects) {
	if e.violation != "" {
		m.stats.Violations++
		m.cfg.Logger.Error("claim invariant violated", "customer", rec.id.Customer,
			"service", rec.id.Service, "key", rec.id.Key, "problem", e.violation)
	}
	if e.lostResult != "" {
		m.cfg.Logger.Error("result lost to a resolution by hand", "customer", rec.id.Customer,
			"service", rec.id.Service, "key", rec.id.Key, "problem", e.lostResult)
	}
	if e.grant {
		close(rec.ticket.granted)
	}
	if e.decision != nil {
		rec.ticket.end(*e.decision)
	}
	m.updateResultBytes(rec)
	m.enqueue(rec)
	m.removeIfFinished(rec, e.violation == "")
}

// updateResultBytes updates the size of the results in memory.
func (m *Manager) updateResultBytes(rec *record) {
	size := 0
	if rec.machine.finalRow != nil {
		size = rec.machine.finalRow.Result.size()
	}
	m.resultBytes += size - rec.resultBytes
	rec.resultBytes = size
}

func (m *Manager) enqueue(rec *record) {
	if rec.queued || rec.machine.nextWrite == nil || rec.machine.inFlight != nil {
		return
	}
	rec.queued = true
	rec.queuedAt = m.cfg.Now()
	if rec.machine.phase == claiming {
		m.claimQueue = append(m.claimQueue, rec)
	} else {
		m.resultQueue = append(m.resultQueue, rec)
	}
	m.wakeUp()
}

// wakeUp makes Run check again whether a transaction may start.
func (m *Manager) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// removeIfFinished removes a finished key that has nothing left to write. A key
// claimed in memory stays until evict or sweep removes it, unless it ended not
// run. written is false if the row could not be written.
func (m *Manager) removeIfFinished(rec *record, written bool) {
	if rec.machine.phase != finished || !rec.machine.fullyWritten() {
		return
	}
	m.signalProgress()
	if !rec.machine.inMemory || rec.machine.canRestart() {
		m.remove(rec)
		return
	}
	rec.ticket = nil // frees a quarter of the memory of a key
	if written {
		heap.Push(&m.evictable, rec)
		m.droppableResults = append(m.droppableResults, rec)
		m.dropStoredResults()
	}
}

// signalProgress wakes the callers of Flush. The caller holds m.mu.
func (m *Manager) signalProgress() {
	close(m.progress)
	m.progress = make(chan struct{})
}

func (m *Manager) remove(rec *record) {
	if rec.removed {
		return
	}
	rec.removed = true
	delete(m.records, rec.id)
	m.resultBytes -= rec.resultBytes
	rec.resultBytes = 0
	if rec.machine.inMemory {
		m.issuedCount--
	}
}

// dropStoredResults drops the oldest results that are in the store while results
// use more than half of MaxBytes.
func (m *Manager) dropStoredResults() {
	for m.resultBytes > m.cfg.MaxBytes/2 && len(m.droppableResults) > 0 {
		rec := m.droppableResults[0]
		m.droppableResults[0] = nil
		m.droppableResults = m.droppableResults[1:]
		if rec.machine.finalRow.State != stateDone || rec.removed {
			continue
		}
		rec.machine.finalRow.Result = nil
		rec.resultDropped = true
		m.updateResultBytes(rec)
	}
}

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
	defaultWriteBudget = 200.0 // transactions/s over all entries
	defaultReadBudget  = 500.0 // reads/s over all entries, a quarter of the store's
	defaultMaxPending  = 8192
	defaultMaxIssued   = 100_000
	defaultMaxBytes    = 32 << 20
	defaultMaxGroup    = 256
	// defaultCommitTimeout leaves time for the dispatch within the 5 s after a
	// claim write was sent, and lets a store that is slow by 2 s still serve.
	defaultCommitTimeout = 3 * time.Second
)

// Config sets up a Manager. Zero limits take their defaults.
type Config struct {
	Self  Incarnation
	Table platform.Table
	// EntryCount returns the number of configured entry instances, dead or alive.
	EntryCount func() int
	// WriteBudget is in transactions/s and ReadBudget in reads/s, both over
	// all entries.
	WriteBudget float64
	ReadBudget  float64
	Logger      hclog.Logger
	Now         func() time.Time
	// Elapsed is a monotonic clock, which steps of the wall clock do not
	// change. The default is the time since NewManager.
	Elapsed func() time.Duration
	// IsAlive reports whether an incarnation is known to be alive. Without it,
	// Unresolved counts every other incarnation as dead.
	IsAlive func(Incarnation) bool
	// MaxPending bounds caller-made keys in memory, MaxIssued entry-issued
	// keys, and MaxBytes the results kept for both.
	MaxPending int
	MaxIssued  int
	MaxBytes   int
	// MaxGroupSize bounds the keys of one transaction.
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
	cfg   Config
	reads *rate.Limiter
	wake  chan struct{} // holds one token when there is something to write

	mu      sync.Mutex
	closed  bool
	records map[ID]*record
	issued  int // records of entry-issued keys
	bytes   int // results kept in memory
	// urgent holds claims that a caller waits for, background all other
	// writes, and retry the keys of a group that failed through a conflict of
	// others. Each record is in at most one of them.
	urgent     []*record
	background []*record
	retry      []*record
	copied     []*record // entry-issued results that the store has, oldest first
	evictable  byCreation
	// evictedThrough is the latest creation time of an evicted entry-issued
	// key. Only the store knows whether an older key that is not in memory ran.
	evictedThrough time.Time
	keys           keyClock
	lastSweep      time.Time
	outage         int    // consecutive failed transactions
	failures       uint64 // counted failures since the start
	inFlight       int    // transactions in flight
	// starts paces the transactions; see untilTokens.
	starts   *rate.Limiter
	flushing int // callers of Flush
	stats    Stats
	idle     chan struct{} // closed and replaced when a record settles
	outcomes outcomes
}

// record is the memory of one key.
type record struct {
	id      ID
	created time.Time
	machine machine
	ticket  *Ticket // of the current or last attempt
	queued  bool
	// queuedAt is when the record was last queued.
	queuedAt time.Time
	bytes    int
	// stripped means that the result was dropped because the store has it.
	stripped bool
	// forgotten means that the record left memory; lists may still hold it.
	forgotten bool
}

// Stats are counters for expvar.
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
	// Evicted counts the entry-issued keys that left memory for new ones.
	Evicted    uint64 `json:"evicted"`
	Violations uint64 `json:"violations"`
	// OutcomesPending counts the results of runs for peers that are kept,
	// OutcomesWritten those written in place of the owner, OutcomesLost those
	// that another row of the claim contradicts, and OutcomesDropped those that
	// found no room.
	OutcomesPending int    `json:"outcomes_pending"`
	OutcomesWritten uint64 `json:"outcomes_written"`
	OutcomesLost    uint64 `json:"outcomes_lost"`
	OutcomesDropped uint64 `json:"outcomes_dropped"`
}

// NewManager returns a manager whose writes start with Run.
func NewManager(cfg Config) *Manager {
	cfg = cfg.withDefaults()
	return &Manager{
		cfg:     cfg,
		reads:   rate.NewLimiter(rate.Limit(cfg.ReadBudget), 1),
		starts:  rate.NewLimiter(rate.Inf, startBurst),
		wake:    make(chan struct{}, 1),
		records: make(map[ID]*record),
		idle:    make(chan struct{}),

		outcomes: outcomes{wake: make(chan struct{}, 1)},
	}
}

// Stats returns a copy of the counters.
func (m *Manager) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stats
	s.Pending = len(m.records) - m.issued
	s.Issued = m.issued
	s.Bytes = m.bytes
	s.OutcomesPending = len(m.outcomes.list)
	return s
}

// Begin decides an attempt. It waits for the commit of the claim, or for the
// result of a request of the same key that is in flight here. With verdict
// Run the caller must end the ticket. For a caller-made key whose claim is not
// written when ctx ends the answer is NotRun; for an attempt that waits for
// another one it is Unknown, because that one may run.
func (m *Manager) Begin(ctx context.Context, id ID, key Key, fp Fingerprint) Decision {
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
	t, leads, d := m.join(id, key, fp)
	switch {
	case d.Verdict == Recorded && d.Result == nil:
		return m.Lookup(ctx, id)
	case d.Verdict == Unknown && key.Issued:
		return m.adopt(ctx, id, d)
	case d.Verdict != 0:
		return d
	case leads:
		return m.awaitClaim(ctx, t)
	}
	return awaitResult(ctx, t)
}

func (m *Manager) checkAge(key Key) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return key.CheckAge(m.keyTime())
}

// join starts an attempt (leads is true), attaches to one, or answers from
// memory. A Recorded decision without a result is in the store only.
func (m *Manager) join(id ID, key Key, fp Fingerprint) (t *Ticket, leads bool, d Decision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, false, refuse(ReasonNotReady, "the entry instance is stopping")
	}
	// Again under the lock: the record of a key that expired since Begin may
	// have been dropped.
	if err := key.CheckAge(m.keyTime()); err != nil {
		return nil, false, refuse(ReasonKeyExpired, err.Error())
	}
	rec := m.records[id]
	if rec == nil {
		inMemory := key.Issued && !m.needsStore(key)
		if d := m.admit(inMemory); d.Verdict != 0 {
			return nil, false, d
		}
		return m.lead(m.addRecord(id, key, fp, inMemory)), true, Decision{}
	}
	switch {
	case rec.machine.fp != fp:
		return nil, false, refuse(ReasonKeyMismatch, "the key was used for another request")
	case rec.machine.canRestart():
		return m.lead(rec), true, Decision{}
	case rec.machine.phase != finished:
		return rec.ticket, false, Decision{}
	case rec.stripped:
		return nil, false, Decision{Verdict: Recorded}
	}
	return nil, false, rec.machine.ending.finalDecision()
}

// admit refuses a new key when memory is short. During an outage nothing can
// be evicted, so inMemory keys fill the memory.
func (m *Manager) admit(inMemory bool) Decision {
	full := len(m.records)-m.issued >= m.cfg.MaxPending
	if inMemory {
		if m.issued >= m.cfg.MaxIssued {
			m.sweep(m.cfg.Now())
			m.evict()
		}
		full = m.issued >= m.cfg.MaxIssued
	}
	if full || m.bytes >= m.cfg.MaxBytes {
		return refuse(ReasonOverload, "too many claims in memory")
	}
	return Decision{}
}

// addRecord starts the memory of a key. An entry-issued key that needs the
// store is claimed and forgotten like a caller-made one.
func (m *Manager) addRecord(id ID, key Key, fp Fingerprint, inMemory bool) *record {
	rec := &record{id: id, created: key.Created}
	rec.machine = machine{self: m.cfg.Self, issued: key.Issued, inMemory: inMemory, fp: fp}
	m.records[id] = rec
	if inMemory {
		m.issued++
	}
	return rec
}

func (m *Manager) lead(rec *record) *Ticket {
	t := newTicket(m, rec)
	rec.ticket = t
	m.apply(rec, rec.machine.start(newUUID(m.cfg.Now()).String()))
	return t
}

// apply carries out the effects of a message and queues what is to be
// written. The caller holds the lock.
func (m *Manager) apply(rec *record, e effects) {
	if e.violated != "" {
		m.stats.Violations++
		m.cfg.Logger.Error("claim invariant violated", "customer", rec.id.Customer,
			"service", rec.id.Service, "key", rec.id.Key, "problem", e.violated)
	}
	if e.lost != "" {
		m.cfg.Logger.Error("result lost to a resolution by hand", "customer", rec.id.Customer,
			"service", rec.id.Service, "key", rec.id.Key, "problem", e.lost)
	}
	if e.grant {
		close(rec.ticket.granted)
	}
	if e.answer != nil {
		rec.ticket.end(*e.answer)
	}
	m.account(rec)
	m.enqueue(rec)
	m.release(rec, e.violated == "")
}

// account keeps the sum of result bytes.
func (m *Manager) account(rec *record) {
	size := 0
	if rec.machine.ending != nil {
		size = rec.machine.ending.Result.size()
	}
	m.bytes += size - rec.bytes
	rec.bytes = size
}

func (m *Manager) enqueue(rec *record) {
	if rec.queued || rec.machine.want == nil || rec.machine.inFlight != nil {
		return
	}
	rec.queued = true
	rec.queuedAt = m.cfg.Now()
	if rec.machine.phase == claiming {
		m.urgent = append(m.urgent, rec)
	} else {
		m.background = append(m.background, rec)
	}
	m.wakeUp()
}

// wakeUp makes Run look again at what may start.
func (m *Manager) wakeUp() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// release forgets a finished key that has nothing left to write. Keys claimed
// in memory stay until evict or sweep drops them.
// written is false when the store does not hold the result.
func (m *Manager) release(rec *record, written bool) {
	if rec.machine.phase != finished || !rec.machine.settled() {
		return
	}
	m.signalIdle()
	if !rec.machine.inMemory || rec.machine.canRestart() {
		m.forget(rec)
		return
	}
	rec.ticket = nil // its channels are a quarter of the memory of a key
	if written {
		heap.Push(&m.evictable, rec)
		m.copied = append(m.copied, rec)
		m.strip()
	}
}

// signalIdle wakes the callers of Flush. The caller holds the lock.
func (m *Manager) signalIdle() {
	close(m.idle)
	m.idle = make(chan struct{})
}

func (m *Manager) forget(rec *record) {
	if rec.forgotten {
		return
	}
	rec.forgotten = true
	delete(m.records, rec.id)
	m.bytes -= rec.bytes
	rec.bytes = 0
	if rec.machine.inMemory {
		m.issued--
	}
}

// strip drops the oldest results that the store has while memory is short.
func (m *Manager) strip() {
	for m.bytes > m.cfg.MaxBytes/2 && len(m.copied) > 0 {
		rec := m.copied[0]
		m.copied[0] = nil
		m.copied = m.copied[1:]
		if rec.machine.ending.State != stateDone || rec.forgotten {
			continue
		}
		rec.machine.ending.Result = nil
		rec.stripped = true
		m.account(rec)
	}
}

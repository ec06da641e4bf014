package claim

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// run is one dispatch as seen by the backend server.
type run struct {
	ticket       *Ticket
	body         string
	provedNotRun bool
	// executor is the entry instance that runs the request for the owner, or -1.
	executor  int
	ref       AttemptRef
	startedAt time.Time
	// arrived is false while the request waits at the executor; it reaches the
	// backend server within simulatedTimeout or never.
	arrived  bool
	answered bool // the backend server has answered
	// recorder is the executor's manager if it was told that the owner did not get
	// the reply.
	recorder *Manager
}

// attempt is one simulated call of Begin.
type attempt struct {
	entry        int
	id           ID
	ticket       *Ticket
	run          *run
	entryCrashed bool
	startedAt    time.Time
}

// groupInFlight is a transaction that was sent and has not ended.
type groupInFlight struct {
	*group
	at time.Time
}

// outcomesInFlight is the same for the results of forwarded requests.
type outcomesInFlight struct {
	*outcomeGroup
	at time.Time
}

// write is a transaction and the time at which it was sent.
type write struct {
	tx platform.Tx
	at time.Time
}

// maxWriteDelay bounds how long after it was sent a write can take effect.
const maxWriteDelay = time.Hour

// simulation runs several managers without goroutines: each step of the
// committer, each fault and each step of a caller is one action.
type simulation struct {
	t                *rapid.T
	now              time.Time
	table            *fakeTable
	entries          []*Manager
	groupsInFlight   [][]groupInFlight   // by entry instance, in no order
	outcomesInFlight []*outcomesInFlight // by entry instance
	delayed          []write             // may still take effect
	clockSkew        []time.Duration     // of the wall clock, by entry instance
	started          time.Time
	keys             []Key
	earlierKeys      []Key      // entry-issued keys that are no longer in keys
	attempts         []*attempt // that own a ticket
	attached         []*attempt
	runs             map[ID][]*run
	incarnations     uint64
	resolved         int
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: time.Date(2026, 5, 4, 3, 2, 1, 0, time.UTC), table: newFakeTable(), runs: map[ID][]*run{}}
	s.entries = make([]*Manager, 2)
	s.groupsInFlight = make([][]groupInFlight, 2)
	s.outcomesInFlight = make([]*outcomesInFlight, 2)
	s.started = s.now
	s.clockSkew = make([]time.Duration, 2)
	s.table.clock = func() time.Time { return s.now }
	s.table.lag = func() int { return rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "lag") }
	// Few keys and entry instances, so that attempts often conflict.
	s.keys = []Key{callerKey(s.now), callerKey(s.now), {}, {}}
	for i := range s.entries {
		s.startEntry(i)
	}
	return s
}

func (s *simulation) startEntry(i int) {
	s.incarnations++
	// Assumes that the clock is right within hours when a process starts.
	s.clockSkew[i] = 0
	s.entries[i] = NewManager(Config{
		ReadBudget:   1e9,
		WriteBudget:  1e9,
		Self:         Incarnation{Entry: fmt.Sprint("entry-", i), Number: s.incarnations},
		Table:        s.table,
		Now:          func() time.Time { return s.now.Add(s.clockSkew[i]) },
		Elapsed:      func() time.Duration { return s.now.Sub(s.started) },
		MaxGroupSize: 2,
		IsAlive:      func(i Incarnation) bool { return rapid.Bool().Draw(s.t, "live") },
		MaxIssued:    1, // so that every second key evicts one
	})
	if s.keys[2+i].Raw != "" {
		s.earlierKeys = append(s.earlierKeys, s.keys[2+i])
	}
	s.keys[2+i] = mustParse(s.entries[i].NewKey())
}

// renewKey replaces a key, because a finished key allows no further run.
func (s *simulation) renewKey() {
	i := rapid.IntRange(0, len(s.keys)-1).Draw(s.t, "renew")
	if s.keys[i].Issued {
		s.earlierKeys = append(s.earlierKeys, s.keys[i])
		s.keys[i] = mustParse(s.entries[i-2].NewKey())
		return
	}
	s.keys[i] = callerKey(s.now)
}

func (s *simulation) pickEntry() int { return rapid.IntRange(0, len(s.entries)-1).Draw(s.t, "entry") }

// possibleRuns returns the dispatches of a key that are not proved not to have run.
func (s *simulation) possibleRuns(id ID) []*run {
	return slices.DeleteFunc(slices.Clone(s.runs[id]), func(r *run) bool { return r.provedNotRun })
}

func (s *simulation) beginAttempt() {
	i := s.pickEntry()
	m := s.entries[i]
	key := rapid.SampledFrom(s.keys).Draw(s.t, "key")
	if n := len(s.earlierKeys); n > 0 && rapid.IntRange(0, 3).Draw(s.t, "old") == 0 {
		key = s.earlierKeys[n-rapid.IntRange(1, min(4, n)).Draw(s.t, "which")]
	}
	id := idOf(key)
	s.checkDecision(id, m.Lookup(context.Background(), id))
	if key.Issued && key.Owner != m.cfg.Self {
		d := m.Begin(context.Background(), id, key, testFingerprint)
		require.True(s.t, d.PassTo == key.Owner || d.Reason == ReasonKeyExpired)
		return
	}
	t, started, d := m.join(id, key, testFingerprint)
	a := &attempt{entry: i, id: id, ticket: t, startedAt: s.now}
	switch {
	case d.Verdict != 0:
		s.checkDecision(id, d)
	case started:
		s.attempts = append(s.attempts, a)
	default:
		s.attached = append(s.attached, a)
	}
}

// completeKey issues a key and runs it to its end in one step, so that claims are
// often evicted.
func (s *simulation) completeKey() {
	s.now = s.now.Add(time.Millisecond)
	i := s.pickEntry()
	m := s.entries[i]
	key := mustParse(m.NewKey())
	s.earlierKeys = append(s.earlierKeys, key)
	t, started, d := m.join(idOf(key), key, testFingerprint)
	if !started {
		s.checkDecision(idOf(key), d)
		return
	}
	a := &attempt{entry: i, id: idOf(key), ticket: t}
	s.attempts = append(s.attempts, a)
	s.dispatch(a)
	if a.run != nil {
		a.ticket.Done(Result{Status: 200, Body: []byte(a.run.body)})
	}
	if g := m.nextGroup(s.now); len(g.recs) > 0 {
		m.completeGroup(g, s.table.Commit(context.Background(), g.tx))
	}
}

// checkDecision compares a final decision with the recorded runs.
func (s *simulation) checkDecision(id ID, d Decision) {
	open := s.possibleRuns(id)
	switch d.Verdict {
	case Recorded:
		require.Len(s.t, open, 1)
		require.Equal(s.t, open[0].body, string(d.Result.Body))
	case NotRun:
		if d.Reason == ReasonKeyExpired && !d.NeverRun {
			return // concerns this attempt only
		}
		require.Empty(s.t, open, "not run was told of a key that may have run: %s", d.Reason)
	}
}

func (s *simulation) startGroup() {
	i := s.pickEntry()
	if len(s.groupsInFlight[i]) >= maxInFlightTx {
		return
	}
	if g := s.entries[i].nextGroup(s.now); len(g.recs) > 0 {
		s.groupsInFlight[i] = append(s.groupsInFlight[i], groupInFlight{g, s.now})
	}
	seen := map[ID]bool{}
	for _, g := range s.groupsInFlight[i] {
		for _, rec := range g.recs {
			require.False(s.t, seen[rec.id], "key in two transactions at once")
			seen[rec.id] = true
		}
	}
}

// completeGroup ends a transaction in flight; they may end in any order.
func (s *simulation) completeGroup() {
	i := s.pickEntry()
	if len(s.groupsInFlight[i]) == 0 {
		return
	}
	j := rapid.IntRange(0, len(s.groupsInFlight[i])-1).Draw(s.t, "flight")
	g := s.groupsInFlight[i][j]
	s.groupsInFlight[i] = slices.Delete(s.groupsInFlight[i], j, j+1)
	s.entries[i].completeGroup(g.group, s.commit(write{g.tx, g.at}))
}

// commit sends a transaction to the table with a random fault.
func (s *simulation) commit(x write) error {
	err := platform.ErrUnknownOutcome
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost after", "lost before", "late", "down"}).Draw(s.t, "fate") {
	case "ok":
		err = s.applyWrite(x)
	case "lost after":
		_ = s.applyWrite(x)
	case "late":
		s.delayed = append(s.delayed, x)
	case "down":
		err = platform.ErrUnavailable
	}
	return err
}

func (s *simulation) applyDelayed() {
	if len(s.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.delayed)-1).Draw(s.t, "delayed")
	_ = s.applyWrite(s.delayed[i])
}

// applyWrite applies a write unless it was sent too long ago.
func (s *simulation) applyWrite(x write) error {
	if s.now.Sub(x.at) >= maxWriteDelay {
		return platform.ErrUnknownOutcome
	}
	return s.table.Commit(context.Background(), x.tx)
}

// stepClock steps the wall clock of an entry instance forward or back.
func (s *simulation) stepClock() {
	hours := rapid.SampledFrom([]int{-49, -25, -2, 2, 25, 49}).Draw(s.t, "hours")
	s.clockSkew[s.pickEntry()] += time.Duration(hours) * time.Hour
}

// passHours lets hours pass, so that keys and rows expire. Pending writes are
// written first, because a result that is not written before its claim row expires
// is lost.
func (s *simulation) passHours() {
	s.writePending()
	s.drainOutcomes()
	for _, runs := range s.runs {
		for _, r := range runs {
			r.recorder = nil // its row may expire from now on
		}
	}
	hours := rapid.SampledFrom([]int{1, 13, 25, 49}).Draw(s.t, "hours")
	s.now = s.now.Add(time.Duration(hours) * time.Hour)
}

func (s *simulation) passSeconds() {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 7).Draw(s.t, "s")) * time.Second)
}

func (s *simulation) crash() {
	s.restart(s.pickEntry())
}

func (s *simulation) restart(i int) {
	for _, g := range s.groupsInFlight[i] {
		s.delayed = append(s.delayed, write{g.tx, g.at})
	}
	s.groupsInFlight[i] = nil
	if g := s.outcomesInFlight[i]; g != nil {
		s.delayed = append(s.delayed, write{g.tx, g.at})
	}
	s.outcomesInFlight[i] = nil
	for _, a := range s.attempts {
		a.entryCrashed = a.entryCrashed || a.entry == i
	}
	s.startEntry(i)
}

// stop stops an entry instance gracefully and restarts it. Seal fails while a
// claim has not ended.
func (s *simulation) stop() {
	i := s.pickEntry()
	if s.entries[i].Seal(context.Background()) == nil {
		require.Empty(s.t, s.groupsInFlight[i])
	}
	s.restart(i)
}

// stepCaller lets one caller act: give up, dispatch, or end its ticket.
func (s *simulation) stepCaller() {
	if len(s.attempts) == 0 {
		return
	}
	back := rapid.IntRange(1, min(4, len(s.attempts))).Draw(s.t, "attempt")
	a := s.attempts[len(s.attempts)-back]
	if a.entryCrashed {
		s.finishRun(a)
		return
	}
	step := rapid.SampledFrom([]string{"dispatch", "dispatch", "end", "end", "finish", "expire"}).Draw(s.t, "step")
	switch {
	case step == "expire" && a.run == nil && a.ticket.active():
		s.entries[a.entry].expire(a.ticket)
	case step == "dispatch":
		s.dispatch(a)
	case step == "finish":
		s.finishRun(a)
	case step == "end" && a.run != nil:
		s.endTicket(a)
	}
}

func (s *simulation) dispatch(a *attempt) {
	err := a.ticket.Dispatch(s.now)
	if err == nil && s.now.Sub(a.startedAt) > simulatedTimeout {
		a.ticket.NotRun(ReasonDeadline) // as the request path does
		return
	}
	if err != nil {
		if a.run == nil && isClosed(a.ticket.granted) {
			a.ticket.NotRun(ReasonDeadline)
		}
		return
	}
	require.False(s.t, isClosed(a.ticket.ended), "an ended ticket was dispatched")
	require.Empty(s.t, s.possibleRuns(a.id), "second dispatch of %s", a.id.Key)
	s.startRun(a)
}

// startRun starts a run at a backend server, through this entry instance or the
// other one.
func (s *simulation) startRun(a *attempt) {
	a.run = &run{ticket: a.ticket, body: fmt.Sprint("run ", len(s.runs[a.id]), " of ", a.id.Key), executor: -1, startedAt: a.startedAt, arrived: true}
	if rapid.Bool().Draw(s.t, "forward") {
		a.run.executor = 1 - a.entry
		a.run.arrived = rapid.Bool().Draw(s.t, "arrived")
		a.run.ref = a.ticket.AttemptRef()
	}
	s.runs[a.id] = append(s.runs[a.id], a.run)
}

// finishRun lets the executor of a forwarded request get the response. The owner
// may have crashed, and may or may not get the reply.
func (s *simulation) finishRun(a *attempt) {
	r := a.run
	if r == nil || r.executor < 0 || r.answered || r.provedNotRun || s.now.Sub(r.startedAt) > simulatedTimeout {
		return
	}
	r.answered, r.arrived = true, true
	undelivered := rapid.Bool().Draw(s.t, "undelivered")
	if undelivered {
		r.recorder = s.entries[r.executor]
	}
	s.entries[r.executor].RecordOutcome(ForwardedOutcome{
		ID: a.id, Attempt: r.ref, Fingerprint: testFingerprint,
		Result:      Result{Status: 200, Body: []byte(r.body)},
		Undelivered: undelivered,
	})
}

// simulatedTimeout is the longest run.
const simulatedTimeout = 5 * time.Second

// resolve lets an operator resolve a claim with its actual outcome at that time. A
// run that the preconditions of Resolve fail to exclude then shows as a second run
// or a wrong result.
func (s *simulation) resolve() {
	id := idOf(rapid.SampledFrom(slices.Concat(s.keys, s.earlierKeys)).Draw(s.t, "resolve"))
	if rapid.Bool().Draw(s.t, "later") {
		s.now = s.now.Add(15 * time.Second)
	}
	c := ResolveCommand{
		ID: id, ChangeID: newUUID(s.now).String(), Author: "operator", Timeout: simulatedTimeout,
		AliveReason: func(i Incarnation) string {
			for _, m := range s.entries {
				if m.cfg.Self == i {
					return "it lives"
				}
			}
			return ""
		},
	}
	open := s.possibleRuns(id)
	if len(open) > 0 && open[0].arrived {
		c.Result = &Result{Status: 200, Body: []byte(open[0].body)}
	}
	s.table.after = func(context.Context) error {
		if rapid.IntRange(0, 3).Draw(s.t, "lost") == 0 {
			return platform.ErrUnknownOutcome
		}
		return nil
	}
	m := s.entries[s.pickEntry()]
	_, err := m.Resolve(context.Background(), c)
	s.table.after = nil
	if errors.Is(err, platform.ErrUnknownOutcome) {
		_, err = m.Resolve(context.Background(), c)
	}
	if err == nil {
		s.resolved++
		for _, r := range open {
			r.provedNotRun = !r.arrived && s.now.Sub(r.startedAt) > simulatedTimeout
		}
		s.checkDecision(id, m.Lookup(context.Background(), id))
	}
}

// stepOutcomes starts a transaction with outcomes of an executor, or ends it.
func (s *simulation) stepOutcomes() {
	i := s.pickEntry()
	m, g := s.entries[i], s.outcomesInFlight[i]
	if g == nil {
		if g := m.nextOutcomes(); g != nil {
			s.outcomesInFlight[i] = &outcomesInFlight{g, s.now}
		}
		return
	}
	s.outcomesInFlight[i] = nil
	m.completeOutcomes(g.outcomeGroup, s.commit(write{g.tx, g.at}))
}

func (s *simulation) endTicket(a *attempt) {
	if isClosed(a.ticket.ended) {
		return
	}
	how := rapid.SampledFrom([]string{"done", "unknown", "not run", "moved"}).Draw(s.t, "end")
	if a.run.answered && how != "unknown" {
		how = "done"
	}
	if s.now.Sub(a.run.startedAt) > simulatedTimeout {
		how = "unknown" // a call ends at the deadline of its request
	}
	if how == "done" {
		s.finishRun(a)
	}
	switch how {
	case "moved":
		// The first backend server proved that it did not run the request; the owner
		// sends it to another one under the same attempt id.
		a.run.provedNotRun = true
		if s.now.Sub(a.startedAt) > simulatedTimeout {
			a.ticket.NotRun(ReasonDeadline)
			return
		}
		s.startRun(a)
	case "done":
		a.ticket.Done(Result{Status: 200, Body: []byte(a.run.body)})
	case "unknown":
		a.ticket.Unknown("connection lost")
	case "not run":
		a.run.provedNotRun = true
		a.ticket.NotRun(ReasonOverload)
	}
}

// checkDecisions checks the decision of every ended ticket against its run.
func (s *simulation) checkDecisions() {
	for _, a := range slices.Concat(s.attempts, s.attached) {
		if !isClosed(a.ticket.ended) {
			continue
		}
		d := a.ticket.decision
		for _, r := range s.possibleRuns(a.id) {
			same := d.Verdict == NotRun && r.ticket == a.ticket
			require.False(s.t, same, "not run was told of an attempt that may have run")
		}
		if d.Verdict == Recorded {
			s.checkDecision(a.id, d)
		}
	}
	require.Zero(s.t, s.entries[0].Stats().Violations+s.entries[1].Stats().Violations)
}

// writePending lets the store work again until nothing is left to write.
func (s *simulation) writePending() {
	for i, m := range s.entries {
		for _, g := range s.groupsInFlight[i] {
			s.delayed = append(s.delayed, write{g.tx, g.at})
			m.completeGroup(g.group, platform.ErrUnknownOutcome)
		}
		s.groupsInFlight[i] = nil
		for range 50 {
			g := m.nextGroup(s.now)
			if len(g.recs) == 0 {
				break
			}
			m.completeGroup(g, s.table.Commit(context.Background(), g.tx))
		}
	}
}

// drain checks that nothing stays unwritten once the store works again.
func (s *simulation) drain() {
	s.writePending()
	for _, m := range s.entries {
		for id, rec := range m.records {
			open := rec.machine.phase == granted || rec.machine.phase == dispatched
			require.True(s.t, open || rec.machine.fullyWritten(), "unwritten claim %s", id.Key)
			require.True(s.t, open || rec.machine.inMemory, "key kept in memory without need")
		}
	}
	s.drainOutcomes()
	for _, x := range s.delayed {
		_ = s.applyWrite(x)
	}
	s.checkNoStaleClaims()
}

// drainOutcomes writes the results held by executors and checks that no claim is
// left unknown although an executor knows its result.
func (s *simulation) drainOutcomes() {
	for i, m := range s.entries {
		if g := s.outcomesInFlight[i]; g != nil {
			m.completeOutcomes(g.outcomeGroup, platform.ErrUnknownOutcome)
			s.outcomesInFlight[i] = nil
		}
		s.now = s.now.Add(maxOutcomePause)
		m.addFlushers(1)
		for len(m.outcomes.list) > 0 {
			g := m.nextOutcomes()
			if g == nil {
				require.Empty(s.t, m.outcomes.list, "outcome not written")
				break
			}
			m.completeOutcomes(g, s.table.Commit(context.Background(), g.tx))
		}
		m.addFlushers(-1)
		require.Zero(s.t, m.Stats().OutcomesLost)
	}
	for id, runs := range s.runs {
		for _, r := range runs {
			if r.recorder == nil || r.recorder != s.entries[r.executor] {
				continue
			}
			stored, err := decodeRow(s.table.rows[id.rowKey()].Value)
			require.NoError(s.t, err, "no row of %s", id.Key)
			require.Equal(s.t, stateDone, stored.State, "known outcome was not recorded")
			require.Equal(s.t, r.body, string(stored.Result.Body))
		}
	}
}

// checkNoStaleClaims checks that a row is claimed by a live entry instance only
// while the attempt is in its memory; otherwise the key would end as a false
// "unknown".
func (s *simulation) checkNoStaleClaims() {
	s.table.expire()
	for key, stored := range s.table.rows {
		if strings.HasPrefix(key, sealPrefix) {
			continue
		}
		r, err := decodeRow(stored.Value)
		require.NoError(s.t, err)
		id, err := parseRowKey(key)
		require.NoError(s.t, err)
		for _, m := range s.entries {
			stale := r.State == stateClaimed && r.owner() == m.cfg.Self && m.records[id] == nil
			require.False(s.t, stale, "claimed row without an attempt")
		}
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// steps lists the actions. rapid draws low indexes more often, so actions that undo
// earlier progress, such as crashes and pauses, come last.
func (s *simulation) steps() []func() {
	return []func(){
		s.stepCaller, s.startGroup, s.completeGroup, s.beginAttempt, s.completeKey, s.stepCaller, s.startGroup, s.completeGroup, s.beginAttempt, s.stepOutcomes,
		s.stepCaller, s.startGroup, s.completeGroup, s.renewKey, s.applyDelayed, s.crash, s.passSeconds, s.stop, s.startGroup, s.stepOutcomes, s.resolve,
		s.renewKey, s.stepClock, s.passHours,
	}
}

// Guards against a second run, a false "not run", the result of another request
// and a claim that stays open, under crashes, pauses, lost and late writes,
// outages, evictions, stale reads, expiring rows and steps of the wall clock.
func TestAtMostOnce(t *testing.T) {
	resolved := 0
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rt)
		steps := s.steps()
		for range 300 {
			i := rapid.IntRange(0, len(steps)-1).Draw(rt, "step")
			steps[i]()
			s.checkDecisions()
		}
		s.drain()
		s.checkDecisions()
		resolved += s.resolved
	})
	t.Logf("%d claims resolved by the operator", resolved)
}

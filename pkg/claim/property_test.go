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

// run is one dispatch as the backend server would see it.
type run struct {
	ticket *Ticket
	body   string
	notRun bool // proved
	// executor is the entry that runs the request for the owner, or -1.
	executor int
	ref      AttemptRef
	began    time.Time
	// arrived is false while the request waits at the executor; it reaches the
	// backend server within worldTimeout or never.
	arrived bool
	over    bool // the backend server has answered
	// recorder is the incarnation of the executor that knows that the owner did
	// not get the answer.
	recorder *Manager
}

// attempt is one call of Begin in the world.
type attempt struct {
	entry  int
	id     ID
	ticket *Ticket
	run    *run
	dead   bool // its entry crashed
	began  time.Time
}

// flight is a transaction that was sent and whose reply is open or lost.
type flight struct {
	*group
	at time.Time
}

// outcomeFlight is the same for outcomes of runs for a peer.
type outcomeFlight struct {
	*outcomeGroup
	at time.Time
}

// write is a transaction and when it was sent.
type write struct {
	tx platform.Tx
	at time.Time
}

// landsWithin bounds how long after it was sent a write can land.
const landsWithin = time.Hour

// world drives several managers without goroutines: each step of the
// committer, each fault and each caller is one action.
type world struct {
	t        *rapid.T
	now      time.Time
	table    *fakeTable
	entries  []*Manager
	flying   [][]flight       // by entry, in no order
	writing  []*outcomeFlight // by entry: outcomes of runs for the other one
	delayed  []write          // may still land
	skew     []time.Duration  // of the wall clock, by entry
	epoch    time.Time
	keys     []Key
	old      []Key      // entry-issued keys of earlier incarnations
	attempts []*attempt // with the right to a ticket
	attached []*attempt
	runs     map[ID][]*run
	starts   uint64
	resolved int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Date(2026, 5, 4, 3, 2, 1, 0, time.UTC), table: newFakeTable(), runs: map[ID][]*run{}}
	w.entries = make([]*Manager, 2)
	w.flying = make([][]flight, 2)
	w.writing = make([]*outcomeFlight, 2)
	w.epoch = w.now
	w.skew = make([]time.Duration, 2)
	w.table.clock = func() time.Time { return w.now }
	w.table.lag = func() int { return rapid.SampledFrom([]int{0, 0, 0, 1, 2}).Draw(t, "lag") }
	// Few keys and entries, so that attempts meet often.
	w.keys = []Key{callerKey(w.now), callerKey(w.now), {}, {}}
	for i := range w.entries {
		w.startEntry(i)
	}
	return w
}

func (w *world) startEntry(i int) {
	w.starts++
	// A process must start with a clock that is right within hours.
	w.skew[i] = 0
	w.entries[i] = NewManager(Config{
		ReadBudget:   1e9,
		WriteBudget:  1e9,
		Self:         Incarnation{Entry: fmt.Sprint("entry-", i), Number: w.starts},
		Table:        w.table,
		Now:          func() time.Time { return w.now.Add(w.skew[i]) },
		Elapsed:      func() time.Duration { return w.now.Sub(w.epoch) },
		MaxGroupSize: 2,
		IsAlive:      func(i Incarnation) bool { return rapid.Bool().Draw(w.t, "live") },
		MaxIssued:    1, // so that every second key evicts one
	})
	if w.keys[2+i].Raw != "" {
		w.old = append(w.old, w.keys[2+i])
	}
	w.keys[2+i] = mustParse(w.entries[i].NewKey())
}

// renewKey replaces a key, since a key that ended allows no further run.
func (w *world) renewKey() {
	i := rapid.IntRange(0, len(w.keys)-1).Draw(w.t, "renew")
	if w.keys[i].Issued {
		w.old = append(w.old, w.keys[i])
		w.keys[i] = mustParse(w.entries[i-2].NewKey())
		return
	}
	w.keys[i] = callerKey(w.now)
}

func (w *world) pick() int { return rapid.IntRange(0, len(w.entries)-1).Draw(w.t, "entry") }

// open returns the dispatches of a key that are not proved not run.
func (w *world) open(id ID) []*run {
	return slices.DeleteFunc(slices.Clone(w.runs[id]), func(r *run) bool { return r.notRun })
}

func (w *world) begin() {
	i := w.pick()
	m := w.entries[i]
	key := rapid.SampledFrom(w.keys).Draw(w.t, "key")
	if n := len(w.old); n > 0 && rapid.IntRange(0, 3).Draw(w.t, "old") == 0 {
		key = w.old[n-rapid.IntRange(1, min(4, n)).Draw(w.t, "which")]
	}
	id := idOf(key)
	w.check(id, m.Lookup(context.Background(), id))
	if key.Issued && key.Owner != m.cfg.Self {
		d := m.Begin(context.Background(), id, key, testFP)
		require.True(w.t, d.PassTo == key.Owner || d.Reason == ReasonKeyExpired)
		return
	}
	t, leads, d := m.join(id, key, testFP)
	a := &attempt{entry: i, id: id, ticket: t, began: w.now}
	switch {
	case d.Verdict != 0:
		w.check(id, d)
	case leads:
		w.attempts = append(w.attempts, a)
	default:
		w.attached = append(w.attached, a)
	}
}

// complete issues a key and runs it to its end in one step, so that claims are
// evicted often.
func (w *world) complete() {
	w.now = w.now.Add(time.Millisecond)
	i := w.pick()
	m := w.entries[i]
	key := mustParse(m.NewKey())
	w.old = append(w.old, key)
	t, leads, d := m.join(idOf(key), key, testFP)
	if !leads {
		w.check(idOf(key), d)
		return
	}
	a := &attempt{entry: i, id: idOf(key), ticket: t}
	w.attempts = append(w.attempts, a)
	w.dispatch(a)
	if a.run != nil {
		a.ticket.Done(Result{Status: 200, Body: []byte(a.run.body)})
	}
	if g := m.collect(w.now); len(g.recs) > 0 {
		m.settle(g, w.table.Commit(context.Background(), g.tx))
	}
}

// check compares a final answer with the ledger of runs.
func (w *world) check(id ID, d Decision) {
	open := w.open(id)
	switch d.Verdict {
	case Recorded:
		require.Len(w.t, open, 1)
		require.Equal(w.t, open[0].body, string(d.Result.Body))
	case NotRun:
		if d.Reason == ReasonKeyExpired && !d.NeverRun {
			return // said of the attempt only
		}
		require.Empty(w.t, open, "not run was told of a key that may have run: %s", d.Reason)
	}
}

func (w *world) collect() {
	i := w.pick()
	if len(w.flying[i]) >= maxInFlight {
		return
	}
	if g := w.entries[i].collect(w.now); len(g.recs) > 0 {
		w.flying[i] = append(w.flying[i], flight{g, w.now})
	}
	seen := map[ID]bool{}
	for _, g := range w.flying[i] {
		for _, rec := range g.recs {
			require.False(w.t, seen[rec.id], "key in two transactions at once")
			seen[rec.id] = true
		}
	}
}

// settle ends a transaction in flight; they may end in any order.
func (w *world) settle() {
	i := w.pick()
	if len(w.flying[i]) == 0 {
		return
	}
	j := rapid.IntRange(0, len(w.flying[i])-1).Draw(w.t, "flight")
	g := w.flying[i][j]
	w.flying[i] = slices.Delete(w.flying[i], j, j+1)
	w.entries[i].settle(g.group, w.commit(write{g.tx, g.at}))
}

// commit sends a transaction to the table service, with faults.
func (w *world) commit(x write) error {
	err := platform.ErrUnknownOutcome
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "lost after", "lost before", "late", "down"}).Draw(w.t, "fate") {
	case "ok":
		err = w.land(x)
	case "lost after":
		_ = w.land(x)
	case "late":
		w.delayed = append(w.delayed, x)
	case "down":
		err = platform.ErrUnavailable
	}
	return err
}

func (w *world) landDelayed() {
	if len(w.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.delayed)-1).Draw(w.t, "delayed")
	_ = w.land(w.delayed[i])
}

// land applies a write unless it was sent too long ago.
func (w *world) land(x write) error {
	if w.now.Sub(x.at) >= landsWithin {
		return platform.ErrUnknownOutcome
	}
	return w.table.Commit(context.Background(), x.tx)
}

// stepClock sets the wall clock of an entry forward or back.
func (w *world) stepClock() {
	hours := rapid.SampledFrom([]int{-49, -25, -2, 2, 25, 49}).Draw(w.t, "hours")
	w.skew[w.pick()] += time.Duration(hours) * time.Hour
}

// age lets hours pass, so that keys and rows expire. The store works at least
// once in that time: a result that is not written before its claim row expires
// is lost, and nothing here can prevent that.
func (w *world) age() {
	w.writeOut()
	w.drainOutcomes()
	for _, runs := range w.runs {
		for _, r := range runs {
			r.recorder = nil // its row may expire from now on
		}
	}
	hours := rapid.SampledFrom([]int{1, 13, 25, 49}).Draw(w.t, "hours")
	w.now = w.now.Add(time.Duration(hours) * time.Hour)
}

func (w *world) pause() {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 7).Draw(w.t, "s")) * time.Second)
}

func (w *world) crash() {
	w.kill(w.pick())
}

func (w *world) kill(i int) {
	for _, g := range w.flying[i] {
		w.delayed = append(w.delayed, write{g.tx, g.at})
	}
	w.flying[i] = nil
	if g := w.writing[i]; g != nil {
		w.delayed = append(w.delayed, write{g.tx, g.at})
	}
	w.writing[i] = nil
	for _, a := range w.attempts {
		a.dead = a.dead || a.entry == i
	}
	w.startEntry(i)
}

// stop ends an entry gracefully, and replaces it. The seal fails while a
// claim is open.
func (w *world) stop() {
	i := w.pick()
	if w.entries[i].Seal(context.Background()) == nil {
		require.Empty(w.t, w.flying[i])
	}
	w.kill(i)
}

// caller lets one waiting caller act: give up, dispatch or end its ticket.
func (w *world) caller() {
	if len(w.attempts) == 0 {
		return
	}
	back := rapid.IntRange(1, min(4, len(w.attempts))).Draw(w.t, "attempt")
	a := w.attempts[len(w.attempts)-back]
	if a.dead {
		w.finishRun(a)
		return
	}
	step := rapid.SampledFrom([]string{"dispatch", "dispatch", "end", "end", "finish", "expire"}).Draw(w.t, "step")
	switch {
	case step == "expire" && a.run == nil && a.ticket.live():
		w.entries[a.entry].expire(a.ticket)
	case step == "dispatch":
		w.dispatch(a)
	case step == "finish":
		w.finishRun(a)
	case step == "end" && a.run != nil:
		w.end(a)
	}
}

func (w *world) dispatch(a *attempt) {
	err := a.ticket.Dispatch(w.now)
	if err == nil && w.now.Sub(a.began) > worldTimeout {
		a.ticket.NotRun(ReasonDeadline) // as the request path does
		return
	}
	if err != nil {
		if a.run == nil && isClosed(a.ticket.granted) {
			a.ticket.NotRun(ReasonDeadline)
		}
		return
	}
	require.False(w.t, isClosed(a.ticket.ended), "an ended ticket was dispatched")
	require.Empty(w.t, w.open(a.id), "second dispatch of %s", a.id.Key)
	w.send(a)
}

// send starts a run at a backend server, of this entry or of the other one.
func (w *world) send(a *attempt) {
	a.run = &run{ticket: a.ticket, body: fmt.Sprint("run ", len(w.runs[a.id]), " of ", a.id.Key), executor: -1, began: a.began, arrived: true}
	if rapid.Bool().Draw(w.t, "forward") {
		a.run.executor = 1 - a.entry
		a.run.arrived = rapid.Bool().Draw(w.t, "arrived")
		a.run.ref = a.ticket.AttemptRef()
	}
	w.runs[a.id] = append(w.runs[a.id], a.run)
}

// finishRun lets the executor of a forwarded request see the answer. It may
// live longer than the owner, which may or may not get the reply.
func (w *world) finishRun(a *attempt) {
	r := a.run
	if r == nil || r.executor < 0 || r.over || r.notRun || w.now.Sub(r.began) > worldTimeout {
		return
	}
	r.over, r.arrived = true, true
	undelivered := rapid.Bool().Draw(w.t, "undelivered")
	if undelivered {
		r.recorder = w.entries[r.executor]
	}
	w.entries[r.executor].RecordOutcome(ForwardedOutcome{
		ID: a.id, Attempt: r.ref, Fingerprint: testFP,
		Result:      Result{Status: 200, Body: []byte(r.body)},
		Undelivered: undelivered,
	})
}

// worldTimeout is the longest run.
const worldTimeout = 5 * time.Second

// resolve lets an operator settle a claim by the truth at that time. Any run
// that the preconditions fail to exclude would make that a second run or a
// foreign answer.
func (w *world) resolve() {
	id := idOf(rapid.SampledFrom(slices.Concat(w.keys, w.old)).Draw(w.t, "resolve"))
	if rapid.Bool().Draw(w.t, "later") {
		w.now = w.now.Add(15 * time.Second)
	}
	c := ResolveCommand{
		ID: id, ChangeID: newUUID(w.now).String(), Author: "operator", Timeout: worldTimeout,
		AliveReason: func(i Incarnation) string {
			for _, m := range w.entries {
				if m.cfg.Self == i {
					return "it lives"
				}
			}
			return ""
		},
	}
	open := w.open(id)
	if len(open) > 0 && open[0].arrived {
		c.Result = &Result{Status: 200, Body: []byte(open[0].body)}
	}
	w.table.after = func(context.Context) error {
		if rapid.IntRange(0, 3).Draw(w.t, "lost") == 0 {
			return platform.ErrUnknownOutcome
		}
		return nil
	}
	m := w.entries[w.pick()]
	_, err := m.Resolve(context.Background(), c)
	w.table.after = nil
	if errors.Is(err, platform.ErrUnknownOutcome) {
		_, err = m.Resolve(context.Background(), c)
	}
	if err == nil {
		w.resolved++
		for _, r := range open {
			r.notRun = !r.arrived && w.now.Sub(r.began) > worldTimeout
		}
		w.check(id, m.Lookup(context.Background(), id))
	}
}

// record starts a transaction with outcomes of an executor, or ends it.
func (w *world) record() {
	i := w.pick()
	m, g := w.entries[i], w.writing[i]
	if g == nil {
		if g := m.takeOutcomes(); g != nil {
			w.writing[i] = &outcomeFlight{g, w.now}
		}
		return
	}
	w.writing[i] = nil
	m.settleOutcomes(g.outcomeGroup, w.commit(write{g.tx, g.at}))
}

func (w *world) end(a *attempt) {
	if isClosed(a.ticket.ended) {
		return
	}
	how := rapid.SampledFrom([]string{"done", "unknown", "not run", "moved"}).Draw(w.t, "end")
	if a.run.over && how != "unknown" {
		how = "done"
	}
	if w.now.Sub(a.run.began) > worldTimeout {
		how = "unknown" // every call ends by the deadline of its request
	}
	if how == "done" {
		w.finishRun(a)
	}
	switch how {
	case "moved":
		// The first place proved that it did not run the request; the owner
		// sends it to another one under the same attempt id.
		a.run.notRun = true
		if w.now.Sub(a.began) > worldTimeout {
			a.ticket.NotRun(ReasonDeadline)
			return
		}
		w.send(a)
	case "done":
		a.ticket.Done(Result{Status: 200, Body: []byte(a.run.body)})
	case "unknown":
		a.ticket.Unknown("connection lost")
	case "not run":
		a.run.notRun = true
		a.ticket.NotRun(ReasonOverload)
	}
}

// answers checks the outcome of every ended ticket against its own run.
func (w *world) answers() {
	for _, a := range slices.Concat(w.attempts, w.attached) {
		if !isClosed(a.ticket.ended) {
			continue
		}
		d := a.ticket.outcome
		for _, r := range w.open(a.id) {
			same := d.Verdict == NotRun && r.ticket == a.ticket
			require.False(w.t, same, "not run was told of an attempt that may have run")
		}
		if d.Verdict == Recorded {
			w.check(a.id, d)
		}
	}
	require.Zero(w.t, w.entries[0].Stats().Violations+w.entries[1].Stats().Violations)
}

// writeOut lets the store work again until nothing is left to write.
func (w *world) writeOut() {
	for i, m := range w.entries {
		for _, g := range w.flying[i] {
			w.delayed = append(w.delayed, write{g.tx, g.at})
			m.settle(g.group, platform.ErrUnknownOutcome)
		}
		w.flying[i] = nil
		for range 50 {
			g := m.collect(w.now)
			if len(g.recs) == 0 {
				break
			}
			m.settle(g, w.table.Commit(context.Background(), g.tx))
		}
	}
}

// drain checks that nothing stays unwritten once the store works again.
func (w *world) drain() {
	w.writeOut()
	for _, m := range w.entries {
		for id, rec := range m.records {
			open := rec.machine.phase == granted || rec.machine.phase == dispatched
			require.True(w.t, open || rec.machine.settled(), "unwritten claim %s", id.Key)
			require.True(w.t, open || rec.machine.inMemory, "key kept in memory without need")
		}
	}
	w.drainOutcomes()
	for _, x := range w.delayed {
		_ = w.land(x)
	}
	w.noLeftovers()
}

// drainOutcomes writes what executors know and checks that a claim of a dead
// owner is not left unknown where another process knows the answer.
func (w *world) drainOutcomes() {
	for i, m := range w.entries {
		if g := w.writing[i]; g != nil {
			m.settleOutcomes(g.outcomeGroup, platform.ErrUnknownOutcome)
			w.writing[i] = nil
		}
		w.now = w.now.Add(maxOutcomePause)
		m.flushNow(1)
		for len(m.outcomes.list) > 0 {
			g := m.takeOutcomes()
			if g == nil {
				require.Empty(w.t, m.outcomes.list, "outcome not written")
				break
			}
			m.settleOutcomes(g, w.table.Commit(context.Background(), g.tx))
		}
		m.flushNow(-1)
		require.Zero(w.t, m.Stats().OutcomesLost)
	}
	for id, runs := range w.runs {
		for _, r := range runs {
			if r.recorder == nil || r.recorder != w.entries[r.executor] {
				continue
			}
			stored, err := decodeRow(w.table.rows[id.rowKey()].Value)
			require.NoError(w.t, err, "no row of %s", id.Key)
			require.Equal(w.t, stateDone, stored.State, "known outcome was not recorded")
			require.Equal(w.t, r.body, string(stored.Result.Body))
		}
	}
}

// noLeftovers checks that a row is claimed by a live entry only while that
// entry has the attempt open; it would become a false "unknown" later.
func (w *world) noLeftovers() {
	w.table.expire()
	for key, stored := range w.table.rows {
		if strings.HasPrefix(key, sealPrefix) {
			continue
		}
		r, err := decodeRow(stored.Value)
		require.NoError(w.t, err)
		id, err := parseRowKey(key)
		require.NoError(w.t, err)
		for _, m := range w.entries {
			leftover := r.State == stateClaimed && r.owner() == m.cfg.Self && m.records[id] == nil
			require.False(w.t, leftover, "claimed row without an attempt")
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

// steps lists the actions. rapid draws low indexes more often, and a crash or
// pause undoes what came before, so these come last.
func (w *world) steps() []func() {
	return []func(){
		w.caller, w.collect, w.settle, w.begin, w.complete, w.caller, w.collect, w.settle, w.begin, w.record,
		w.caller, w.collect, w.settle, w.renewKey, w.landDelayed, w.crash, w.pause, w.stop, w.collect, w.record, w.resolve,
		w.renewKey, w.stepClock, w.age,
	}
}

// Guards against a second run, a false "not run", a foreign result and a
// claim that is never resolved, under crashes, pauses, lost and late writes,
// outages, evictions, lagging reads, expiring rows and steps of the wall clock.
func TestAtMostOnce(t *testing.T) {
	resolved := 0
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		steps := w.steps()
		for range 300 {
			i := rapid.IntRange(0, len(steps)-1).Draw(rt, "step")
			steps[i]()
			w.answers()
		}
		w.drain()
		w.answers()
		resolved += w.resolved
	})
	t.Logf("%d claims resolved by the operator", resolved)
}

package scenarios

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
	"github.com/dandelionrack/dandelionrack/internal/testbed"
)

// cmdExpect checks the results of a call or a load:
// expect NAME [outcome=A|B] [reason=A|B] [status=N] [entry=ID] [within=D]
// [same_body=CALL] [next_key] [whole] [min=N] [answered=99.9%] [unknown=MAX]
// [not_run=MAX] [client=DOMAIN] [after=MOMENT] [before=MOMENT] [refused=REASON:99%]
//
// outcome, reason, status and within hold for every selected result; answered
// is the least share of answers, unknown and not_run the largest numbers.
// whole requires that each answer is complete and names its own request.
// reason holds for results that have one. refused gives a reason and its least
// share of the refusals.
func cmdExpect(s *scenario, _ *testscript.TestScript, a *arguments) error {
	j, err := s.finished(a.word("name"))
	if err != nil {
		return err
	}
	results, err := s.selectResults(j.results, a)
	if err != nil {
		return err
	}
	if least := int(a.number("min", 1)); len(results) < least {
		return errors.Errorf("%d results, at least %d are needed", len(results), least)
	}
	for _, check := range []func([]loadgen.Result, *arguments) error{expectEach, expectShares, expectWhole, s.expectBody} {
		if err := check(results, a); err != nil {
			return err
		}
	}
	return a.done()
}

// selectResults picks results by the time at which they were due and by the
// address of the caller.
func (s *scenario) selectResults(all []loadgen.Result, a *arguments) ([]loadgen.Result, error) {
	var after, before time.Time
	var err error
	if text, ok := a.take("after"); ok {
		if after, err = s.moment(text); err != nil {
			return nil, err
		}
	}
	if text, ok := a.take("before"); ok {
		if before, err = s.moment(text); err != nil {
			return nil, err
		}
	}
	prefixes := a.list("client")
	var out []loadgen.Result
	for _, r := range all {
		late := !before.IsZero() && r.SentAt.After(before)
		if r.SentAt.Before(after) || late || !anyPrefix(r.Client, prefixes) {
			continue
		}
		out = append(out, r)
	}
	return out, nil
}

func anyPrefix(text string, prefixes []string) bool {
	return prefixes == nil || slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(text, p) })
}

func expectEach(results []loadgen.Result, a *arguments) error {
	outcomes, reasons := a.list("outcome"), a.list("reason")
	entry, hasEntry := a.take("entry")
	within := a.duration("within", 0)
	status := int(a.number("status", 0))
	nextKey := a.flag("next_key")
	for _, r := range results {
		switch {
		case outcomes != nil && !slices.Contains(outcomes, r.Outcome),
			reasons != nil && r.Reason != "" && !slices.Contains(reasons, r.Reason),
			reasons != nil && r.Reason == "" && len(results) == 1,
			hasEntry && r.Entry != entry,
			status != 0 && r.Status != status,
			nextKey && r.NextKey == "",
			within > 0 && r.Latency > within:
			return errors.Errorf("got %s, status %d, key %s, next key %q", describe([]loadgen.Result{r}), r.Status, r.Key, r.NextKey)
		}
	}
	return nil
}

func expectShares(results []loadgen.Result, a *arguments) error {
	count := map[string]int{}
	for _, r := range results {
		count[r.Outcome]++
	}
	good := count[loadgen.OutcomeAnswered] + count[loadgen.OutcomeRecorded]
	if least := a.number("answered", 0); 100*float64(good) < least*float64(len(results)) {
		return errors.Errorf("%d of %d answered: %s", good, len(results), describe(results))
	}
	for reason, share := range a.rules("refused") {
		least, err := strconv.ParseFloat(strings.TrimSuffix(share, "%"), 64)
		a.fail(err)
		if n := countReason(results, reason); 100*float64(n) < least*float64(count[loadgen.OutcomeNotRun]) {
			return errors.Errorf("%d of %d refused as %s: %s", n, count[loadgen.OutcomeNotRun], reason, describe(results))
		}
	}
	for _, outcome := range []string{loadgen.OutcomeUnknown, loadgen.OutcomeNotRun} {
		if most := a.number(outcome, -1); most >= 0 && float64(count[outcome]) > most {
			return errors.Errorf("%d %s: %s", count[outcome], outcome, describe(results))
		}
	}
	return nil
}

func countReason(results []loadgen.Result, reason string) int {
	n := 0
	for _, r := range results {
		if r.Outcome == loadgen.OutcomeNotRun && r.Reason == reason {
			n++
		}
	}
	return n
}

// expectWhole requires that each answer is a whole body of the stand-in that
// names the request. A recorded answer names the request of the first attempt.
func expectWhole(results []loadgen.Result, a *arguments) error {
	if !a.flag("whole") {
		return nil
	}
	for _, r := range results {
		if r.Outcome != loadgen.OutcomeAnswered && r.Outcome != loadgen.OutcomeRecorded {
			continue
		}
		var answer backendstandin.Response
		if err := json.Unmarshal(r.Body, &answer); err != nil {
			return errors.Wrapf(err, "answer of request %s is not whole", r.RequestID)
		}
		foreign := r.Outcome == loadgen.OutcomeAnswered && answer.RequestID != r.RequestID
		if foreign || answer.IdempotencyKey != r.Key {
			return errors.Errorf("request %s with key %q got the answer to request %s with key %q",
				r.RequestID, r.Key, answer.RequestID, answer.IdempotencyKey)
		}
	}
	return nil
}

// expectBody requires that two calls got the same bytes.
func (s *scenario) expectBody(results []loadgen.Result, a *arguments) error {
	name, ok := a.take("same_body")
	if !ok {
		return nil
	}
	other, err := s.finished(name)
	if err != nil {
		return err
	}
	if !bytes.Equal(results[0].Body, other.results[0].Body) {
		return errors.Errorf("the body differs from that of %s: %q and %q", name, results[0].Body, other.results[0].Body)
	}
	return nil
}

// cmdRuns counts runs in the ledger of the backend servers:
// runs [key=K] [server=ID or PREFIX*] [after=MOMENT] [ended_by=MOMENT] [completed] [n=N] [min=N]
func cmdRuns(s *scenario, _ *testscript.TestScript, a *arguments) error {
	runs, err := s.selectRuns(a)
	if err != nil {
		return err
	}
	want, least := int(a.number("n", -1)), int(a.number("min", 0))
	completed := a.flag("completed")
	endedBy, err := s.optionalMoment(a, "ended_by")
	if err != nil {
		return err
	}
	if err := a.done(); err != nil {
		return err
	}
	if want >= 0 && len(runs) != want || len(runs) < least {
		return errors.Errorf("%d runs: %s", len(runs), describeRuns(runs))
	}
	for _, r := range runs {
		if completed && !r.Completed {
			return errors.Errorf("not completed: %s", describeRuns([]backendstandin.Run{r}))
		}
		if !endedBy.IsZero() && (r.End.IsZero() || r.End.After(endedBy)) {
			return errors.Errorf("ended too late: %s", describeRuns([]backendstandin.Run{r}))
		}
	}
	return nil
}

func (s *scenario) selectRuns(a *arguments) ([]backendstandin.Run, error) {
	key, byKey := a.take("key")
	server := a.text("server", "*")
	after, err := s.optionalMoment(a, "after")
	if err != nil {
		return nil, err
	}
	all, err := s.bed.BackendRuns(s.ctx, "")
	if err != nil {
		return nil, err
	}
	var out []backendstandin.Run
	for _, r := range all {
		if byKey && r.IdempotencyKey != s.keyValue(key) {
			continue
		}
		if matchesServer(r.Server, server) && !r.Start.Before(after) {
			out = append(out, r)
		}
	}
	return out, nil
}

// matchesServer compares an id with a pattern that may end in "*".
func matchesServer(id, pattern string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(id, prefix)
	}
	return id == pattern
}

func (s *scenario) optionalMoment(a *arguments, name string) (time.Time, error) {
	text, ok := a.take(name)
	if !ok {
		return time.Time{}, nil
	}
	return s.moment(text)
}

func describeRuns(runs []backendstandin.Run) string {
	var out strings.Builder
	for i, r := range runs {
		if i == 5 {
			fmt.Fprintf(&out, "and %d more", len(runs)-i)
			break
		}
		fmt.Fprintf(&out, "%s of request %s key %q from %s to %s completed=%v %s; ", r.Server, r.RequestID, r.IdempotencyKey,
			r.Start.Format("15:04:05.000"), r.End.Format("15:04:05.000"), r.Completed, r.Cause)
	}
	return out.String()
}

// cmdAudit compares everything that callers were told with the ledger: no key
// runs twice, answers have a completed run, refusals did not run, no backend
// server was over its slots, and shifts stayed under the cap.
func cmdAudit(s *scenario, ts *testscript.TestScript, a *arguments) error {
	if err := a.done(); err != nil {
		return err
	}
	runs, err := s.bed.BackendRuns(s.ctx, "")
	if err != nil {
		return err
	}
	stats, err := s.bed.BackendStats(s.ctx)
	if err != nil {
		return err
	}
	results := s.allResults()
	problems := testbed.Audit(results, runs)
	for id, st := range stats {
		if st.Overruns > 0 {
			problems = append(problems, fmt.Sprintf("backend server %s was over its %d slots %d times, up to %d", id, st.Slots, st.Overruns, st.MaxInFlight))
		}
	}
	problems = append(problems, s.watchProblems()...)
	problems = append(problems, s.bed.AuditShift(results, runs, s.restarts)...)
	ts.Logf("audit: %d results, %d runs, %d problems", len(results), len(runs), len(problems))
	if len(problems) > 0 {
		const shown = 10
		return errors.Errorf("%d problems:\n%s", len(problems), strings.Join(problems[:min(shown, len(problems))], "\n"))
	}
	return nil
}

// cmdIdle requires that a backend server has no request: idle SERVER
func cmdIdle(s *scenario, _ *testscript.TestScript, a *arguments) error {
	id := a.word("backend server")
	if err := a.done(); err != nil {
		return err
	}
	stats, err := s.bed.BackendStats(s.ctx)
	if err != nil {
		return err
	}
	st, ok := stats[id]
	if !ok {
		return errors.Errorf("no backend server %q", id)
	}
	if st.InFlight > 0 {
		return errors.Errorf("%d in flight", st.InFlight)
	}
	return nil
}

// cmdBusy requires requests in flight at a backend server: busy SERVER [min=1]
func cmdBusy(s *scenario, _ *testscript.TestScript, a *arguments) error {
	server := a.word("backend server")
	least := int(a.number("min", 1))
	if err := a.done(); err != nil {
		return err
	}
	stats, err := s.bed.BackendStats(s.ctx)
	if err != nil {
		return err
	}
	if n := stats[server].InFlight; n < least {
		return errors.Errorf("%d in flight", n)
	}
	return nil
}

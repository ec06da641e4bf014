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
// [not_run=MAX] [client=PREFIX|PREFIX] [after=MOMENT] [before=MOMENT] [refused=REASON:99%]
//
// client selects results by prefixes of the caller address, after and before by
// the time at which the request was sent. min is the minimum number of selected
// results.
// outcome, reason, status, entry and within apply to every selected result;
// reason only to those that have one, unless a single result is selected.
// answered is the minimum share of answers, unknown and not_run are maximum
// counts. refused gives a reason and its minimum share of the refusals. whole
// requires that each answer is complete and names its own request.
func cmdExpect(s *scenario, _ *testscript.TestScript, a *arguments) error {
	j, err := s.finishedJob(a.positional("name"))
	if err != nil {
		return err
	}
	results, err := s.selectResults(j.results, a)
	if err != nil {
		return err
	}
	if minResults := int(a.number("min", 1)); len(results) < minResults {
		return errors.Errorf("%d results, want at least %d", len(results), minResults)
	}
	for _, check := range []func([]loadgen.Result, *arguments) error{expectEachResult, expectShares, expectWhole, s.expectBody} {
		if err := check(results, a); err != nil {
			return err
		}
	}
	return a.done()
}

// selectResults filters results by the time at which the request was sent and by
// the address of the caller.
func (s *scenario) selectResults(all []loadgen.Result, a *arguments) ([]loadgen.Result, error) {
	var after, before time.Time
	var err error
	if text, ok := a.take("after"); ok {
		if after, err = s.parseMoment(text); err != nil {
			return nil, err
		}
	}
	if text, ok := a.take("before"); ok {
		if before, err = s.parseMoment(text); err != nil {
			return nil, err
		}
	}
	prefixes := a.list("client")
	var out []loadgen.Result
	for _, r := range all {
		sentLater := !before.IsZero() && r.SentAt.After(before)
		if r.SentAt.Before(after) || sentLater || !anyPrefix(r.ClientAddr, prefixes) {
			continue
		}
		out = append(out, r)
	}
	return out, nil
}

func anyPrefix(text string, prefixes []string) bool {
	return prefixes == nil || slices.ContainsFunc(prefixes, func(p string) bool { return strings.HasPrefix(text, p) })
}

func expectEachResult(results []loadgen.Result, a *arguments) error {
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
	answered := count[loadgen.OutcomeAnswered] + count[loadgen.OutcomeRecorded]
	if minShare := a.number("answered", 0); 100*float64(answered) < minShare*float64(len(results)) {
		return errors.Errorf("%d of %d answered: %s", answered, len(results), describe(results))
	}
	for reason, share := range a.mapping("refused") {
		minShare, err := strconv.ParseFloat(strings.TrimSuffix(share, "%"), 64)
		a.recordError(err)
		if n := countReason(results, reason); 100*float64(n) < minShare*float64(count[loadgen.OutcomeNotRun]) {
			return errors.Errorf("%d of %d refused as %s: %s", n, count[loadgen.OutcomeNotRun], reason, describe(results))
		}
	}
	for _, outcome := range []string{loadgen.OutcomeUnknown, loadgen.OutcomeNotRun} {
		if maxCount := a.number(outcome, -1); maxCount >= 0 && float64(count[outcome]) > maxCount {
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

// expectWhole requires that each answer is a complete body of the backend
// stand-in and contains the id and key of the request. A recorded answer contains
// the id of the first request with the key.
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
			return errors.Wrapf(err, "answer to request %s is incomplete", r.RequestID)
		}
		otherRequest := r.Outcome == loadgen.OutcomeAnswered && answer.RequestID != r.RequestID
		if otherRequest || answer.IdempotencyKey != r.Key {
			return errors.Errorf("request %s with key %q got the answer to request %s with key %q",
				r.RequestID, r.Key, answer.RequestID, answer.IdempotencyKey)
		}
	}
	return nil
}

// expectBody requires that two calls received the same response body.
func (s *scenario) expectBody(results []loadgen.Result, a *arguments) error {
	name, ok := a.take("same_body")
	if !ok {
		return nil
	}
	other, err := s.finishedJob(name)
	if err != nil {
		return err
	}
	if !bytes.Equal(results[0].Body, other.results[0].Body) {
		return errors.Errorf("the body differs from the body of %s: %q and %q", name, results[0].Body, other.results[0].Body)
	}
	return nil
}

// cmdRuns checks the number of matching runs that the backend servers recorded:
// runs [key=K] [server=ID or PREFIX*] [after=MOMENT] [ended_by=MOMENT] [completed] [n=N] [min=N]
func cmdRuns(s *scenario, _ *testscript.TestScript, a *arguments) error {
	runs, err := s.selectRuns(a)
	if err != nil {
		return err
	}
	wantCount, minCount := int(a.number("n", -1)), int(a.number("min", 0))
	completed := a.flag("completed")
	endedBy, err := s.optionalMoment(a, "ended_by")
	if err != nil {
		return err
	}
	if err := a.done(); err != nil {
		return err
	}
	if wantCount >= 0 && len(runs) != wantCount || len(runs) < minCount {
		return errors.Errorf("%d runs: %s", len(runs), describeRuns(runs))
	}
	for _, r := range runs {
		if completed && !r.Completed {
			return errors.Errorf("run is not completed: %s", describeRuns([]backendstandin.Run{r}))
		}
		if !endedBy.IsZero() && (r.End.IsZero() || r.End.After(endedBy)) {
			return errors.Errorf("run ended too late: %s", describeRuns([]backendstandin.Run{r}))
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
	all, err := s.testbed.BackendRuns(s.ctx, "")
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

// matchesServer compares an id with a pattern; a trailing "*" matches any suffix.
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
	return s.parseMoment(text)
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

// cmdAudit compares all results of callers with the runs that the backend servers
// recorded: no key runs twice, answers have a completed run, and refused requests
// have none. It also requires that no backend server ran more requests than it
// has slots, that shifts stayed within the cap, and that "watch" saw no version
// decrease.
func cmdAudit(s *scenario, ts *testscript.TestScript, a *arguments) error {
	if err := a.done(); err != nil {
		return err
	}
	runs, err := s.testbed.BackendRuns(s.ctx, "")
	if err != nil {
		return err
	}
	stats, err := s.testbed.BackendStats(s.ctx)
	if err != nil {
		return err
	}
	results := s.allResults()
	problems := testbed.Audit(results, runs)
	for id, st := range stats {
		if st.Overruns > 0 {
			problems = append(problems, fmt.Sprintf("backend server %s exceeded its %d slots %d times, with up to %d requests", id, st.Slots, st.Overruns, st.MaxInFlight))
		}
	}
	problems = append(problems, s.observedRegressions()...)
	problems = append(problems, s.testbed.AuditShift(results, runs, s.restarts)...)
	ts.Logf("audit: %d results, %d runs, %d problems", len(results), len(runs), len(problems))
	if len(problems) > 0 {
		const maxShown = 10
		return errors.Errorf("%d problems:\n%s", len(problems), strings.Join(problems[:min(maxShown, len(problems))], "\n"))
	}
	return nil
}

// cmdIdle requires that a backend server has no requests in flight: idle SERVER
func cmdIdle(s *scenario, _ *testscript.TestScript, a *arguments) error {
	id := a.positional("backend server")
	if err := a.done(); err != nil {
		return err
	}
	stats, err := s.testbed.BackendStats(s.ctx)
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

// cmdBusy requires a minimum number of requests in flight at a backend server:
// busy SERVER [min=1]
func cmdBusy(s *scenario, _ *testscript.TestScript, a *arguments) error {
	server := a.positional("backend server")
	minCount := int(a.number("min", 1))
	if err := a.done(); err != nil {
		return err
	}
	stats, err := s.testbed.BackendStats(s.ctx)
	if err != nil {
		return err
	}
	if n := stats[server].InFlight; n < minCount {
		return errors.Errorf("%d in flight", n)
	}
	return nil
}

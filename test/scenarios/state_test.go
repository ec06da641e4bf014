package scenarios

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	"github.com/dandelionrack/dandelionrack/internal/testbed"
)

type scenarioKey struct{}

// scenario is the state of one running script.
type scenario struct {
	ctx     context.Context
	dir     string
	token   string
	testbed *testbed.Testbed

	mu       sync.Mutex
	jobs     map[string]*job
	keys     map[string]string
	marks    map[string]time.Time
	restarts []testbed.Restart
	callers  map[string]*loadgen.Caller
	// samples are the link counters that "metering" read, oldest first.
	samples []linkSample
	// changeOutcomes holds the outcomes of each "changes" job by name.
	changeOutcomes map[string][]changeOutcome
	// versionRegressions describes the version decreases that "watch" saw.
	versionRegressions []string
}

// job is a call, a load or another command that may run in the background.
type job struct {
	done     chan struct{}
	started  time.Time
	duration time.Duration
	results  []loadgen.Result
	err      error
}

func newScenario(ctx context.Context, dir string) *scenario {
	return &scenario{
		ctx:            ctx,
		dir:            dir,
		jobs:           map[string]*job{},
		keys:           map[string]string{},
		marks:          map[string]time.Time{},
		callers:        map[string]*loadgen.Caller{},
		changeOutcomes: map[string][]changeOutcome{},
	}
}

func (s *scenario) close() {
	if s.testbed != nil {
		s.testbed.Close()
	}
}

// command implements a script command. It returns an error instead of failing the
// test, so that "eventually" can retry it.
type command func(s *scenario, ts *testscript.TestScript, a *arguments) error

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){"eventually": eventually}
	for name, run := range commandsByName() {
		out[name] = wrapCommand(name, run)
	}
	return out
}

func commandsByName() map[string]command {
	return map[string]command{
		"await":      cmdAwait,
		"audit":      cmdAudit,
		"backend":    cmdBackend,
		"bed":        cmdBed,
		"blockfile":  cmdBlockFile,
		"burn":       cmdBurn,
		"busy":       cmdBusy,
		"call":       cmdCall,
		"changes":    cmdChanges,
		"chaos":      cmdChaos,
		"cut":        cmdCut,
		"drctl":      cmdDrctl,
		"entry":      cmdEntry,
		"everywhere": cmdEverywhere,
		"expect":     cmdExpect,
		"free":       cmdFree,
		"heal":       cmdHeal,
		"hedges":     cmdHedges,
		"idle":       cmdIdle,
		"instances":  cmdInstances,
		"issuekey":   cmdIssueKey,
		"key":        cmdKey,
		"link":       cmdLink,
		"linkbytes":  cmdLinkBytes,
		"load":       cmdLoad,
		"located":    cmdLocated,
		"mark":       cmdMark,
		"metering":   cmdMetering,
		"pass":       cmdPass,
		"platform":   cmdPlatform,
		"race":       cmdRace,
		"ratelimit":  cmdRateLimit,
		"ready":      cmdReady,
		"retried":    cmdRetried,
		"runs":       cmdRuns,
		"stall":      cmdStall,
		"truthful":   cmdTruthful,
		"watch":      cmdWatch,
	}
}

func wrapCommand(name string, run command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, raw []string) {
		s := ts.Value(scenarioKey{}).(*scenario)
		err := s.invoke(ts, name, run, raw)
		if neg && err == nil {
			ts.Fatalf("%s %s: succeeded, want an error", name, strings.Join(raw, " "))
		}
		if !neg && err != nil {
			ts.Fatalf("%s %s: %v", name, strings.Join(raw, " "), err)
		}
	}
}

func (s *scenario) invoke(ts *testscript.TestScript, name string, run command, raw []string) error {
	if s.testbed == nil && name != "bed" {
		return errors.New("no testbed is running; start one with the command bed")
	}
	return run(s, ts, parseArguments(raw))
}

// retryInterval is the pause between two attempts of "eventually".
const retryInterval = 50 * time.Millisecond

// eventually implements the script command "eventually DURATION -- COMMAND", which
// repeats a command until it succeeds.
func eventually(ts *testscript.TestScript, neg bool, raw []string) {
	if neg || len(raw) < 3 || raw[1] != "--" {
		ts.Fatalf("usage: eventually DURATION -- COMMAND")
	}
	limit, err := time.ParseDuration(raw[0])
	ts.Check(err)
	run, ok := commandsByName()[raw[2]]
	if !ok {
		ts.Fatalf("eventually: unknown command %q", raw[2])
	}
	s := ts.Value(scenarioKey{}).(*scenario)
	started := time.Now()
	for {
		err := s.invoke(ts, raw[2], run, raw[3:])
		if err == nil {
			ts.Logf("succeeded after %s", time.Since(started).Round(time.Millisecond))
			return
		}
		if time.Since(started) > limit {
			ts.Fatalf("%s: did not succeed within %s: %v", strings.Join(raw[2:], " "), limit, err)
		}
		time.Sleep(retryInterval)
	}
}

// startJob runs a job, in the background if requested, and waits for it otherwise.
func (s *scenario) startJob(name string, background bool, work func() ([]loadgen.Result, error)) error {
	j := &job{done: make(chan struct{}), started: time.Now()}
	s.mu.Lock()
	_, exists := s.jobs[name]
	s.jobs[name] = j
	s.mu.Unlock()
	if exists {
		return errors.Errorf("the name %q is already in use", name)
	}
	go func() {
		defer close(j.done)
		j.results, j.err = work()
		j.duration = time.Since(j.started)
	}()
	if background {
		return nil
	}
	<-j.done
	return j.err
}

// finishedJob returns a job that has ended, and its error.
func (s *scenario) finishedJob(name string) (*job, error) {
	s.mu.Lock()
	j, ok := s.jobs[name]
	s.mu.Unlock()
	if !ok {
		return nil, errors.Errorf("no job %q", name)
	}
	select {
	case <-j.done:
		return j, j.err
	default:
		return nil, errors.Errorf("job %q has not ended", name)
	}
}

// cmdAwait waits until background jobs have ended: await NAME...
func cmdAwait(s *scenario, ts *testscript.TestScript, a *arguments) error {
	names := a.positionals
	for _, name := range names {
		s.mu.Lock()
		j, ok := s.jobs[name]
		s.mu.Unlock()
		if !ok {
			return errors.Errorf("no job %q", name)
		}
		<-j.done
		if j.err != nil {
			return errors.Wrap(j.err, name)
		}
		ts.Logf("%s took %s: %s", name, j.duration.Round(time.Millisecond), describe(j.results))
	}
	return nil
}

func describe(results []loadgen.Result) string {
	if len(results) == 1 {
		r := results[0]
		return fmt.Sprintf("%s %s at %s by %s after %s (request %s)", r.Outcome, r.Reason, r.Entry, r.BackendServer,
			r.Latency.Round(time.Millisecond), r.RequestID)
	}
	var out strings.Builder
	for name, sum := range loadgen.Summarize(results) {
		fmt.Fprintf(&out, "%s: %d requests, %v %v, p50 %.1f ms, p99 %.1f ms; ", name, sum.Sent, sum.Outcomes, sum.Reasons, sum.P50, sum.P99)
	}
	return out.String()
}

// allResults returns the results of all jobs that have ended.
func (s *scenario) allResults() []loadgen.Result {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []loadgen.Result
	for _, j := range s.jobs {
		select {
		case <-j.done:
			out = append(out, j.results...)
		default:
		}
	}
	return out
}

// cmdMark stores the current time under a name: mark NAME
func cmdMark(s *scenario, _ *testscript.TestScript, a *arguments) error {
	name := a.positional("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.marks[name] = time.Now()
	return a.done()
}

// cmdPass sleeps until a moment relative to a mark: pass MARK+DURATION
func cmdPass(s *scenario, _ *testscript.TestScript, a *arguments) error {
	at, err := s.parseMoment(a.positional("moment"))
	if err != nil {
		return err
	}
	time.Sleep(time.Until(at))
	return a.done()
}

// parseMoment returns the time of "MARK" or "MARK+DURATION".
func (s *scenario) parseMoment(text string) (time.Time, error) {
	name, offset, found := strings.Cut(text, "+")
	s.mu.Lock()
	at, ok := s.marks[name]
	s.mu.Unlock()
	if !ok {
		return time.Time{}, errors.Errorf("no mark %q", name)
	}
	if !found {
		return at, nil
	}
	d, err := time.ParseDuration(offset)
	return at.Add(d), err
}

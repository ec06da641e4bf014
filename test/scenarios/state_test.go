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

// scenario is the state of one script.
type scenario struct {
	ctx   context.Context
	dir   string
	token string
	bed   *testbed.Testbed

	mu       sync.Mutex
	jobs     map[string]*job
	keys     map[string]string
	marks    map[string]time.Time
	restarts []testbed.Restart
	callers  map[string]*loadgen.Caller
	// samples are the readings of "metering", oldest first.
	samples []linkSample
	// told holds the ends of "changes" by name.
	told map[string][]toldChange
	// watched holds what "watch" saw.
	watched []string
}

// job is a call, a load or a command that may run in the background.
type job struct {
	done    chan struct{}
	started time.Time
	took    time.Duration
	results []loadgen.Result
	err     error
}

func newScenario(ctx context.Context, dir string) *scenario {
	return &scenario{
		ctx:     ctx,
		dir:     dir,
		jobs:    map[string]*job{},
		keys:    map[string]string{},
		marks:   map[string]time.Time{},
		callers: map[string]*loadgen.Caller{},
		told:    map[string][]toldChange{},
	}
}

func (s *scenario) close() {
	if s.bed != nil {
		s.bed.Close()
	}
}

// command is one word of the language. It returns its failure, so that
// "eventually" can repeat it.
type command func(s *scenario, ts *testscript.TestScript, a *arguments) error

func commands() map[string]func(*testscript.TestScript, bool, []string) {
	out := map[string]func(*testscript.TestScript, bool, []string){"eventually": eventually}
	for name, run := range words() {
		out[name] = adapt(name, run)
	}
	return out
}

func words() map[string]command {
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

func adapt(name string, run command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, raw []string) {
		s := ts.Value(scenarioKey{}).(*scenario)
		err := s.invoke(ts, name, run, raw)
		if neg && err == nil {
			ts.Fatalf("%s %s: succeeded, should have failed", name, strings.Join(raw, " "))
		}
		if !neg && err != nil {
			ts.Fatalf("%s %s: %v", name, strings.Join(raw, " "), err)
		}
	}
}

func (s *scenario) invoke(ts *testscript.TestScript, name string, run command, raw []string) error {
	if s.bed == nil && name != "bed" {
		return errors.New("no bed is running")
	}
	return run(s, ts, parseArguments(raw))
}

// retryInterval is the pause between two tries of "eventually".
const retryInterval = 50 * time.Millisecond

// eventually DURATION -- COMMAND repeats a command until it succeeds.
func eventually(ts *testscript.TestScript, neg bool, raw []string) {
	if neg || len(raw) < 3 || raw[1] != "--" {
		ts.Fatalf("usage: eventually DURATION -- COMMAND")
	}
	limit, err := time.ParseDuration(raw[0])
	ts.Check(err)
	run, ok := words()[raw[2]]
	if !ok {
		ts.Fatalf("eventually: no command %q", raw[2])
	}
	s := ts.Value(scenarioKey{}).(*scenario)
	started := time.Now()
	for {
		err := s.invoke(ts, raw[2], run, raw[3:])
		if err == nil {
			ts.Logf("reached after %s", time.Since(started).Round(time.Millisecond))
			return
		}
		if time.Since(started) > limit {
			ts.Fatalf("%s: not reached within %s: %v", strings.Join(raw[2:], " "), limit, err)
		}
		time.Sleep(retryInterval)
	}
}

// start runs a job, in the background if the command asked for it.
func (s *scenario) start(name string, background bool, work func() ([]loadgen.Result, error)) error {
	j := &job{done: make(chan struct{}), started: time.Now()}
	s.mu.Lock()
	_, taken := s.jobs[name]
	s.jobs[name] = j
	s.mu.Unlock()
	if taken {
		return errors.Errorf("the name %q is used twice", name)
	}
	go func() {
		defer close(j.done)
		j.results, j.err = work()
		j.took = time.Since(j.started)
	}()
	if background {
		return nil
	}
	<-j.done
	return j.err
}

// finished returns a job that has ended.
func (s *scenario) finished(name string) (*job, error) {
	s.mu.Lock()
	j, ok := s.jobs[name]
	s.mu.Unlock()
	if !ok {
		return nil, errors.Errorf("nothing is named %q", name)
	}
	select {
	case <-j.done:
		return j, j.err
	default:
		return nil, errors.Errorf("%q has not ended", name)
	}
}

// cmdAwait waits for the end of background jobs.
func cmdAwait(s *scenario, ts *testscript.TestScript, a *arguments) error {
	names := a.words
	for _, name := range names {
		s.mu.Lock()
		j, ok := s.jobs[name]
		s.mu.Unlock()
		if !ok {
			return errors.Errorf("nothing is named %q", name)
		}
		<-j.done
		if j.err != nil {
			return errors.Wrap(j.err, name)
		}
		ts.Logf("%s took %s: %s", name, j.took.Round(time.Millisecond), describe(j.results))
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

// allResults are the results of all jobs that have ended.
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

// cmdMark remembers the present time under a name.
func cmdMark(s *scenario, _ *testscript.TestScript, a *arguments) error {
	name := a.word("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.marks[name] = time.Now()
	return a.done()
}

// cmdPass waits until a time after a mark has passed, for scenarios that are
// about that time.
func cmdPass(s *scenario, _ *testscript.TestScript, a *arguments) error {
	at, err := s.moment(a.word("moment"))
	if err != nil {
		return err
	}
	time.Sleep(time.Until(at))
	return a.done()
}

// moment reads "MARK" or "MARK+DURATION".
func (s *scenario) moment(text string) (time.Time, error) {
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

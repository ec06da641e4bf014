package scenarios

import (
	"bytes"
	"encoding/json"
	"net/http"
	"os/exec"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	"github.com/dandelionrack/dandelionrack/pkg/burn"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
)

// transitAllowance is the maximum transit time between a caller and an entry
// instance. A latency that exceeds a limit by no more than this at the caller may
// be within the limit at the entry instance.
const transitAllowance = 150 * time.Millisecond

// answerCounts counts the results of one service as callers saw them.
type answerCounts struct {
	total, bad int64
	borderline int64 // good or bad, depending on the transit time
	failed     int64 // answers with a 5xx status, also counted in bad
}

// cmdBurn compares "drctl burn" with the results of all finished jobs, per
// service. Results from the entry instance named by except= are ignored, and the
// report must list it as unreachable. failed= is the expected number of answers
// with a 5xx status:
// burn [entry=ID] [except=ID] [failed=SERVICE:N|SERVICE:N]
func cmdBurn(s *scenario, ts *testscript.TestScript, a *arguments) error {
	id := a.text("entry", s.testbed.Deployment().EntryInstances[0].ID)
	except := a.text("except", "")
	failed := a.mapping("failed")
	if err := a.done(); err != nil {
		return err
	}
	report, err := s.burnReport(id)
	if err != nil {
		return err
	}
	var unreachable []string
	if except != "" {
		unreachable = []string{except}
	}
	if !slices.Equal(unreachable, report.Unreachable) {
		return errors.Errorf("unreachable: %v, want %v", report.Unreachable, unreachable)
	}
	counts, err := s.countAnswers(except)
	if err != nil {
		return err
	}
	for name, wantFailed := range failed {
		if got := strconv.FormatInt(counts[name].failed, 10); got != wantFailed {
			return errors.Errorf("callers saw %s failed answers of %s, want %s", got, name, wantFailed)
		}
	}
	for _, svc := range report.Services {
		want := counts[svc.Service]
		for _, w := range svc.Windows {
			ts.Logf("burn %s %s: %d good, %d bad; callers saw %+v", svc.Service, w.Window, w.Good, w.Bad, want)
			if w.Good+w.Bad != want.total || w.Bad < want.bad || w.Bad > want.bad+want.borderline {
				return errors.Errorf("%s over %s: %d good, %d bad; callers saw %+v", svc.Service, w.Window, w.Good, w.Bad, want)
			}
			if err := checkRate(svc, w); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s *scenario) burnReport(id string) (operator.BurnReport, error) {
	var report operator.BurnReport
	args, err := s.drctlArguments(id)
	if err != nil {
		return report, err
	}
	var stderr bytes.Buffer
	cmd := exec.CommandContext(s.ctx, drctlPath(), append(args, "--output", "json", "burn")...)
	cmd.Stderr = &stderr
	data, err := cmd.Output()
	if err != nil {
		return report, errors.Wrapf(err, "drctl burn: %s", stderr.String())
	}
	return report, json.Unmarshal(data, &report)
}

// countAnswers counts results by current service name. It rejects results with
// several attempts: callers keep only the last attempt, but entry instances count
// each one.
func (s *scenario) countAnswers(except string) (map[string]answerCounts, error) {
	out := map[string]answerCounts{}
	for _, r := range s.allResults() {
		if r.Entry == except {
			continue
		}
		if r.Attempts != 1 || r.RequestID == "" {
			return nil, errors.Errorf("request %s took %d attempts", r.RequestID, r.Attempts)
		}
		svc, err := s.findService(r.Service)
		if err != nil {
			return nil, err
		}
		c := out[svc.Name]
		c.total++
		limit := svc.Objective.Latency.Std()
		answered := r.Outcome == loadgen.OutcomeAnswered || r.Outcome == loadgen.OutcomeRecorded
		failed := answered && r.Status >= http.StatusInternalServerError
		if failed {
			c.failed++
		}
		switch {
		case !answered, failed, r.Latency > limit+transitAllowance:
			c.bad++
		case r.Latency > limit:
			c.borderline++
		}
		out[svc.Name] = c
	}
	return out, nil
}

// checkRate requires a burn rate of (share of bad answers) / (1 - availability).
func checkRate(svc burn.ServiceBurn, w burn.WindowBurn) error {
	total := w.Good + w.Bad
	if total == 0 {
		return nil
	}
	want := float64(w.Bad) / float64(total) / (1 - svc.Objective.Availability)
	if w.BurnRate == nil || *w.BurnRate < want*0.999 || *w.BurnRate > want*1.001 {
		return errors.Errorf("%s over %s: burn rate %v, want %v", svc.Service, w.Window, w.BurnRate, want)
	}
	return nil
}

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

// wayAllowance is the most by which a caller may see an answer later than the
// entry instance that measured it. An answer that is late by less is either.
const wayAllowance = 150 * time.Millisecond

// answerCounts are the answers of one service as the callers saw them. failed
// ones are bad by their status.
type answerCounts struct{ total, bad, unclear, failed int64 }

// cmdBurn compares "drctl burn" with the results of all finished jobs, service
// by service. Results of an entry instance named by except= are left out, and
// the report has to name it as not reached. failed= gives the known number of
// answers that the backend servers failed:
// burn [entry=ID] [except=ID] [failed=SERVICE:N|SERVICE:N]
func cmdBurn(s *scenario, ts *testscript.TestScript, a *arguments) error {
	id := a.text("entry", s.bed.Deployment().EntryInstances[0].ID)
	except := a.text("except", "")
	failed := a.rules("failed")
	if err := a.done(); err != nil {
		return err
	}
	report, err := s.burnReport(id)
	if err != nil {
		return err
	}
	var missing []string
	if except != "" {
		missing = []string{except}
	}
	if !slices.Equal(missing, report.Unreachable) {
		return errors.Errorf("not reached: %v, want %v", report.Unreachable, missing)
	}
	seen, err := s.countAnswers(except)
	if err != nil {
		return err
	}
	for name, number := range failed {
		if have := strconv.FormatInt(seen[name].failed, 10); have != number {
			return errors.Errorf("callers saw %s failed answers of %s, want %s", have, name, number)
		}
	}
	for _, svc := range report.Services {
		want := seen[svc.Service]
		for _, w := range svc.Windows {
			ts.Logf("burn %s %s: %d good, %d bad; callers saw %+v", svc.Service, w.Window, w.Good, w.Bad, want)
			if w.Good+w.Bad != want.total || w.Bad < want.bad || w.Bad > want.bad+want.unclear {
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

// countAnswers counts by canonical service name. A result of several attempts
// has ends that its caller does not keep, so that counts cannot be compared.
func (s *scenario) countAnswers(except string) (map[string]answerCounts, error) {
	out := map[string]answerCounts{}
	for _, r := range s.allResults() {
		if r.Entry == except {
			continue
		}
		if r.Attempts != 1 || r.RequestID == "" {
			return nil, errors.Errorf("request %s took %d attempts", r.RequestID, r.Attempts)
		}
		svc, err := s.service(r.Service)
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
		case !answered, failed, r.Latency > limit+wayAllowance:
			c.bad++
		case r.Latency > limit:
			c.unclear++
		}
		out[svc.Name] = c
	}
	return out, nil
}

// checkRate requires bad share / (1 - availability).
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

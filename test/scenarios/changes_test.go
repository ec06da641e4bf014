package scenarios

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
)

// changeOutcome is the outcome of one change as reported to the operator.
type changeOutcome struct {
	id      string
	version uint64 // 0 if the change was not accepted
	unknown bool   // the change may have been accepted
	err     error
}

// cmdChanges alternately starts and cancels the drain of a backend server through
// an entry instance: changes NAME entry=ID server=SERVER for=20s [every=200ms] [&]
func cmdChanges(s *scenario, _ *testscript.TestScript, a *arguments) error {
	name, id := a.positional("name"), a.text("entry", "")
	runTime, interval := a.duration("for", 10*time.Second), a.duration("every", 200*time.Millisecond)
	server := a.text("server", "")
	client, err := s.testbed.Operator(id)
	a.recordError(err)
	if err := a.done(); err != nil {
		return err
	}
	return s.startJob(name, a.background, func() ([]loadgen.Result, error) {
		var outcomes []changeOutcome
		for end := time.Now().Add(runTime); time.Now().Before(end); time.Sleep(interval) {
			outcomes = append(outcomes, s.submitDrainChange(client, server))
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changeOutcomes[name] = outcomes
		return nil, nil
	})
}

func (s *scenario) submitDrainChange(client *operator.Client, server string) changeOutcome {
	ctx, cancel := s.withTimeout(roundTimeout)
	defer cancel()
	out := changeOutcome{id: loadgen.NewKey()}
	doc, err := client.Document(ctx)
	if err != nil {
		out.err = err // nothing was submitted
		return out
	}
	change := config.Change{ID: out.id, Author: server, At: time.Now()}
	next, _, err := (&race{server: server}).changeDrain(ctx, client, doc, change)
	var api *operator.Error
	switch {
	case err == nil:
		out.version = next.Version
	case errors.Is(err, operator.ErrNoResponse), errors.As(err, &api) && api.Code == operator.CodeUnknownOutcome:
		out.unknown = true
	}
	out.err = err
	return out
}

// cmdTruthful requires that the history agrees with the outcomes reported to
// operators: it has an accepted change once, at its version, no refused change,
// and one with an unknown outcome at most once. accepted and refused are minimum
// numbers: truthful NAME... [accepted=1] [refused=0]
func cmdTruthful(s *scenario, ts *testscript.TestScript, a *arguments) error {
	names := a.positionals
	a.positionals = nil
	minAccepted, minRefused := int(a.number("accepted", 1)), int(a.number("refused", 0))
	if err := a.done(); err != nil {
		return err
	}
	client, err := s.testbed.Operator(s.testbed.Deployment().EntryInstances[0].ID)
	if err != nil {
		return err
	}
	history, err := client.History(s.ctx, operator.MaxHistory)
	if err != nil {
		return err
	}
	versions := map[string][]uint64{}
	for _, h := range history {
		versions[h.Change.ID] = append(versions[h.Change.ID], h.Version)
	}
	for _, name := range names {
		if _, err := s.finishedJob(name); err != nil {
			return err
		}
		counts := map[string]int{}
		for _, c := range s.changeOutcomes[name] {
			got := versions[c.id]
			switch {
			case c.version > 0:
				counts["accepted"]++
				if len(got) != 1 || got[0] != c.version {
					return errors.Errorf("%s: change %s was accepted as version %d, the history has %v", name, c.id, c.version, got)
				}
			case c.unknown:
				counts["unknown"]++
				if len(got) > 1 {
					return errors.Errorf("%s: change %s has an unknown outcome, the history has %v", name, c.id, got)
				}
			default:
				counts["refused"]++
				if len(got) > 0 {
					return errors.Errorf("%s: change %s was refused (%v), the history has %v", name, c.id, c.err, got)
				}
			}
		}
		ts.Logf("%s: %s", name, fmt.Sprint(counts))
		if counts["accepted"] < minAccepted || counts["refused"] < minRefused {
			return errors.Errorf("%s: %v, want at least %d accepted and %d refused", name, counts, minAccepted, minRefused)
		}
	}
	return nil
}

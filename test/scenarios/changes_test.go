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

// toldChange is what an operator was told of one change.
type toldChange struct {
	id      string
	version uint64 // 0: not accepted
	unknown bool
	err     error
}

// cmdChanges starts and cancels the drain of a backend server in turn, at an
// entry instance: changes NAME entry=ID server=SERVER for=20s [every=200ms] [&]
func cmdChanges(s *scenario, _ *testscript.TestScript, a *arguments) error {
	name, id := a.word("name"), a.text("entry", "")
	length, every := a.duration("for", 10*time.Second), a.duration("every", 200*time.Millisecond)
	server := a.text("server", "")
	client, err := s.bed.Operator(id)
	a.fail(err)
	if err := a.done(); err != nil {
		return err
	}
	return s.start(name, a.background, func() ([]loadgen.Result, error) {
		var told []toldChange
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(every) {
			told = append(told, s.changeOnce(client, server))
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.told[name] = told
		return nil, nil
	})
}

func (s *scenario) changeOnce(client *operator.Client, server string) toldChange {
	ctx, cancel := s.limit(roundTimeout)
	defer cancel()
	out := toldChange{id: loadgen.NewKey()}
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

// cmdTruthful requires that the history agrees with what operators were told:
// an accepted change is there once, at its version, a refused one is not, and one
// with an unknown outcome at most once: truthful NAME... [accepted=1] [refused=0]
func cmdTruthful(s *scenario, ts *testscript.TestScript, a *arguments) error {
	names := a.words
	a.words = nil
	accepted, refused := int(a.number("accepted", 1)), int(a.number("refused", 0))
	if err := a.done(); err != nil {
		return err
	}
	client, err := s.bed.Operator(s.bed.Deployment().EntryInstances[0].ID)
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
		if _, err := s.finished(name); err != nil {
			return err
		}
		counts := map[string]int{}
		for _, c := range s.told[name] {
			have := versions[c.id]
			switch {
			case c.version > 0:
				counts["accepted"]++
				if len(have) != 1 || have[0] != c.version {
					return errors.Errorf("%s: change %s was accepted as version %d, the history has %v", name, c.id, c.version, have)
				}
			case c.unknown:
				counts["unknown"]++
				if len(have) > 1 {
					return errors.Errorf("%s: change %s is in the history as %v", name, c.id, have)
				}
			default:
				counts["refused"]++
				if len(have) > 0 {
					return errors.Errorf("%s: change %s was refused (%v), the history has it as %v", name, c.id, c.err, have)
				}
			}
		}
		ts.Logf("%s: %s", name, fmt.Sprint(counts))
		if counts["accepted"] < accepted || counts["refused"] < refused {
			return errors.Errorf("%s: %v, want at least %d accepted and %d refused", name, counts, accepted, refused)
		}
	}
	return nil
}

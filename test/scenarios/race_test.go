package scenarios

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
)

// acceptedChange is a change that the operator API reported as accepted.
type acceptedChange struct {
	version, base uint64
	author        string
}

// race runs rounds in which two operators concurrently submit changes of the same
// object.
type race struct {
	s       *scenario
	server  string
	clients []*operator.Client

	mu sync.Mutex
	// accepted holds the accepted changes of all rounds by change id. The base is
	// only set for contract changes.
	accepted map[string]acceptedChange
	// conflicts and indeterminate also cover all rounds. A change is indeterminate
	// if the response does not tell whether it was accepted.
	conflicts     []*config.ConflictError
	indeterminate map[string]bool
}

// roundTimeout limits one round of a race and one change of "changes".
const roundTimeout = 30 * time.Second

// cmdRace lets two operators concurrently submit changes that are based on the
// same version, at two entry instances, and then checks the history:
// race a=ID b=ID changes=N [drains=N server=SERVER]
//
// At most one change of a round may be accepted, and one must be unless an
// outcome is indeterminate. The history must contain every accepted change once,
// each contract change must directly follow the one it was based on, and every
// conflict must name a change in the history and its author.
func cmdRace(s *scenario, ts *testscript.TestScript, a *arguments) error {
	entries := []string{a.text("a", ""), a.text("b", "")}
	changes, drains := int(a.number("changes", 50)), int(a.number("drains", 0))
	r := &race{s: s, server: a.text("server", ""), accepted: map[string]acceptedChange{}, indeterminate: map[string]bool{}}
	if err := a.done(); err != nil {
		return err
	}
	for _, id := range entries {
		client, err := s.testbed.Operator(id)
		if err != nil {
			return err
		}
		r.clients = append(r.clients, client)
	}
	for i := range changes + drains {
		submit := r.changeContract
		if i%2 == 1 && i/2 < drains {
			submit = r.changeDrain
		}
		if err := r.round(submit); err != nil {
			return errors.Wrapf(err, "round %d", i)
		}
	}
	ts.Logf("race: %d changes accepted, %d conflicts, %d indeterminate", len(r.accepted), len(r.conflicts), len(r.indeterminate))
	return r.check()
}

type submitFunc func(ctx context.Context, client *operator.Client, doc *config.Document, change config.Change) (*config.Document, uint64, error)

// round waits until both entry instances return the same document and then
// submits the changes of both operators concurrently.
func (r *race) round(submit submitFunc) error {
	ctx, cancel := r.s.withTimeout(roundTimeout)
	defer cancel()
	doc, err := r.waitSameDocument(ctx)
	if err != nil {
		return err
	}
	before := r.counts()
	errs := make(chan error, len(r.clients))
	for i, client := range r.clients {
		change := config.Change{ID: loadgen.NewKey(), Author: fmt.Sprintf("operator-%d", i+1), At: time.Now()}
		go func() {
			next, base, err := submit(ctx, client, doc, change)
			errs <- r.record(change, base, next, err)
		}()
	}
	for range r.clients {
		if err := <-errs; err != nil {
			return err
		}
	}
	after := r.counts()
	newAccepted, newIndeterminate := after.accepted-before.accepted, after.indeterminate-before.indeterminate
	if newAccepted > 1 || newAccepted == 0 && newIndeterminate == 0 {
		return errors.Errorf("%d changes based on version %d were accepted, %d indeterminate", newAccepted, doc.Version, newIndeterminate)
	}
	return nil
}

type raceCounts struct{ accepted, indeterminate int }

func (r *race) counts() raceCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return raceCounts{len(r.accepted), len(r.indeterminate)}
}

func (r *race) waitSameDocument(ctx context.Context) (*config.Document, error) {
	for {
		first, err := r.clients[0].Document(ctx)
		if err != nil {
			return nil, err
		}
		second, err := r.clients[1].Document(ctx)
		if err != nil {
			return nil, err
		}
		if first.Version == second.Version {
			return first, nil
		}
	}
}

// changeContract submits a contract with an increased shift cap rate.
func (r *race) changeContract(ctx context.Context, client *operator.Client, doc *config.Document, change config.Change) (*config.Document, uint64, error) {
	contract := *doc.Contracts[r.s.testbed.Contract().Customer]
	contract.Services = append([]config.Service{}, contract.Services...)
	contract.Services[0].ShiftCap.Rate++
	base := contract.Version
	next, err := client.SubmitChange(ctx, change, config.ApplyContract{Contract: contract, BaseVersion: base})
	return next, base, err
}

// changeDrain starts the drain of the server, or cancels it if there is one.
func (r *race) changeDrain(ctx context.Context, client *operator.Client, doc *config.Document, change config.Change) (*config.Document, uint64, error) {
	var op config.Operation = config.StartDrain{Server: r.server, Reason: change.Author}
	if have := doc.Drains[r.server]; have != nil {
		op = config.CancelDrain{Server: r.server, BaseVersion: have.Version}
	}
	next, err := client.SubmitChange(ctx, change, op)
	return next, 0, err
}

// record stores the outcome of one change. It returns unexpected errors.
func (r *race) record(change config.Change, base uint64, next *config.Document, err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var conflict *config.ConflictError
	var api *operator.Error
	switch {
	case err == nil:
		r.accepted[change.ID] = acceptedChange{next.Version, base, change.Author}
	case errors.As(err, &conflict):
		r.conflicts = append(r.conflicts, conflict)
	case errors.As(err, &api) && (api.Code == operator.CodeUnavailable || api.Code == operator.CodeUnknownOutcome):
		r.indeterminate[change.ID] = true
	default:
		return err
	}
	return nil
}

func (r *race) check() error {
	ctx, cancel := r.s.withTimeout(10 * time.Second)
	defer cancel()
	history, err := r.clients[0].History(ctx, operator.MaxHistory)
	if err != nil {
		return err
	}
	if err := r.checkAcceptedOnce(history); err != nil {
		return err
	}
	if err := r.checkBases(history); err != nil {
		return err
	}
	return r.checkConflicts(history)
}

// checkAcceptedOnce requires that the history contains every accepted change
// once, at its version.
func (r *race) checkAcceptedOnce(history []config.HistoryEntry) error {
	seen := map[string]uint64{}
	for _, h := range history {
		if _, duplicate := seen[h.Change.ID]; duplicate {
			return errors.Errorf("change %s is in the history twice", h.Change.ID)
		}
		seen[h.Change.ID] = h.Version
	}
	for id, c := range r.accepted {
		if seen[id] != c.version {
			return errors.Errorf("change %s was accepted as version %d, the history has it at %d", id, c.version, seen[id])
		}
	}
	return nil
}

// checkBases requires that each contract change was based on the previous one;
// otherwise it overwrote that one.
func (r *race) checkBases(history []config.HistoryEntry) error {
	object := "contract/" + r.s.testbed.Contract().Customer
	var later *config.HistoryEntry
	for i := range history { // newest first
		h := &history[i]
		if h.Change.Object != object {
			continue
		}
		if later != nil {
			if c, ok := r.accepted[later.Change.ID]; ok && c.base != h.Version {
				return errors.Errorf("version %d was based on %d, but %d was in force", later.Version, c.base, h.Version)
			}
		}
		later = h
	}
	return nil
}

// checkConflicts requires that each conflict names a change in the history and its
// author.
func (r *race) checkConflicts(history []config.HistoryEntry) error {
	authors := map[string]string{}
	for _, h := range history {
		authors[h.Change.ID] = h.Change.Author
	}
	for _, c := range r.conflicts {
		author, ok := authors[c.ChangeID]
		if !ok || c.Author != author {
			return errors.Errorf("conflict %q names change %q by %q, which is not in the history", c.Error(), c.ChangeID, c.Author)
		}
	}
	return nil
}

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

// accepted is a change that an operator was told is in force.
type accepted struct {
	version, base uint64
	author        string
}

// race is two operators that submit changes of the same object at the same
// moment, round by round.
type race struct {
	s       *scenario
	server  string
	clients []*operator.Client

	mu sync.Mutex
	// accepted changes by change id, of all rounds; bases are only kept for
	// contract changes.
	accepted map[string]accepted
	// conflicts and unclear outcomes of all rounds.
	conflicts []*config.ConflictError
	unclear   map[string]bool
}

// roundTimeout bounds one round of a race.
const roundTimeout = 30 * time.Second

// cmdRace lets two operators submit changes at two entry instances at the same
// moment, based on the same version, and then checks the history:
// race a=ID b=ID changes=N [drains=N server=SERVER]
//
// At most one change of a round may be accepted, and exactly one if both
// outcomes were told. Every accepted change has to be in the history once,
// each contract change has to follow the one it was based on, and every
// conflict has to name a change of the history and its author.
func cmdRace(s *scenario, ts *testscript.TestScript, a *arguments) error {
	entries := []string{a.text("a", ""), a.text("b", "")}
	changes, drains := int(a.number("changes", 50)), int(a.number("drains", 0))
	r := &race{s: s, server: a.text("server", ""), accepted: map[string]accepted{}, unclear: map[string]bool{}}
	if err := a.done(); err != nil {
		return err
	}
	for _, id := range entries {
		client, err := s.bed.Operator(id)
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
	ts.Logf("race: %d changes accepted, %d conflicts, %d unclear", len(r.accepted), len(r.conflicts), len(r.unclear))
	return r.check()
}

type submitFunc func(ctx context.Context, client *operator.Client, doc *config.Document, change config.Change) (*config.Document, uint64, error)

// round waits until both entry instances show the same document and then lets
// both operators submit.
func (r *race) round(submit submitFunc) error {
	ctx, cancel := r.s.limit(roundTimeout)
	defer cancel()
	doc, err := r.sameDocument(ctx)
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
	won, unclear := after.accepted-before.accepted, after.unclear-before.unclear
	if won > 1 || won == 0 && unclear == 0 {
		return errors.Errorf("%d changes based on version %d were accepted, %d unclear", won, doc.Version, unclear)
	}
	return nil
}

type raceCounts struct{ accepted, unclear int }

func (r *race) counts() raceCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return raceCounts{len(r.accepted), len(r.unclear)}
}

func (r *race) sameDocument(ctx context.Context) (*config.Document, error) {
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

// changeContract sets a new rate.
func (r *race) changeContract(ctx context.Context, client *operator.Client, doc *config.Document, change config.Change) (*config.Document, uint64, error) {
	contract := *doc.Contracts[r.s.bed.Contract().Customer]
	contract.Services = append([]config.Service{}, contract.Services...)
	contract.Services[0].ShiftCap.Rate++
	base := contract.Version
	next, err := client.SubmitChange(ctx, change, config.ApplyContract{Contract: contract, BaseVersion: base})
	return next, base, err
}

// changeDrain starts the drain if there is none, else cancels it.
func (r *race) changeDrain(ctx context.Context, client *operator.Client, doc *config.Document, change config.Change) (*config.Document, uint64, error) {
	var op config.Operation = config.StartDrain{Server: r.server, Reason: change.Author}
	if have := doc.Drains[r.server]; have != nil {
		op = config.CancelDrain{Server: r.server, BaseVersion: have.Version}
	}
	next, err := client.SubmitChange(ctx, change, op)
	return next, 0, err
}

// record keeps the outcome of one change.
func (r *race) record(change config.Change, base uint64, next *config.Document, err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var conflict *config.ConflictError
	var api *operator.Error
	switch {
	case err == nil:
		r.accepted[change.ID] = accepted{next.Version, base, change.Author}
	case errors.As(err, &conflict):
		r.conflicts = append(r.conflicts, conflict)
	case errors.As(err, &api) && (api.Code == operator.CodeUnavailable || api.Code == operator.CodeUnknownOutcome):
		r.unclear[change.ID] = true
	default:
		return err
	}
	return nil
}

func (r *race) check() error {
	ctx, cancel := r.s.limit(10 * time.Second)
	defer cancel()
	history, err := r.clients[0].History(ctx, operator.MaxHistory)
	if err != nil {
		return err
	}
	if err := r.checkPresent(history); err != nil {
		return err
	}
	if err := r.checkOrder(history); err != nil {
		return err
	}
	return r.checkConflicts(history)
}

// checkPresent requires every accepted change once, at its version.
func (r *race) checkPresent(history []config.HistoryEntry) error {
	seen := map[string]uint64{}
	for _, h := range history {
		if _, twice := seen[h.Change.ID]; twice {
			return errors.Errorf("change %s is in the history twice", h.Change.ID)
		}
		seen[h.Change.ID] = h.Version
	}
	for id, c := range r.accepted {
		if seen[id] != c.version {
			return errors.Errorf("change %s was accepted as version %d and is at %d in the history", id, c.version, seen[id])
		}
	}
	return nil
}

// checkOrder requires that each contract change was based on the one before
// it: otherwise it took that one back.
func (r *race) checkOrder(history []config.HistoryEntry) error {
	object := "contract/" + r.s.bed.Contract().Customer
	var later *config.HistoryEntry
	for i := range history { // newest first
		h := &history[i]
		if h.Change.Object != object {
			continue
		}
		if later != nil {
			if c, known := r.accepted[later.Change.ID]; known && c.base != h.Version {
				return errors.Errorf("version %d was based on %d, but %d was in force", later.Version, c.base, h.Version)
			}
		}
		later = h
	}
	return nil
}

func (r *race) checkConflicts(history []config.HistoryEntry) error {
	authors := map[string]string{}
	for _, h := range history {
		authors[h.Change.ID] = h.Change.Author
	}
	for _, c := range r.conflicts {
		author, ok := authors[c.ChangeID]
		if !ok || c.Author != author {
			return errors.Errorf("conflict %q names change %q by %q, which the history does not have", c.Error(), c.ChangeID, c.Author)
		}
	}
	return nil
}

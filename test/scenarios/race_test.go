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
	rate          float64
}

// race is two operators that change the same contract and the same drain.
type race struct {
	s      *scenario
	server string

	mu        sync.Mutex
	changes   map[string]accepted // contract changes by change id
	drains    map[string]accepted
	conflicts []*config.ConflictError
	unclear   map[string]bool // change ids whose outcome was not told
}

// changeTimeout bounds one change of an operator, retries after conflicts
// included.
const changeTimeout = 60 * time.Second

// cmdRace lets two operators make changes at two entry instances at once and
// then checks the history:
// race a=ID b=ID changes=N drains=N server=SERVER
//
// Each operator makes half of the changes. Every accepted change has to be in
// the history once, each contract change has to follow the one it was based
// on, and every conflict has to name an accepted change and its author.
func cmdRace(s *scenario, ts *testscript.TestScript, a *arguments) error {
	entries := []string{a.text("a", ""), a.text("b", "")}
	changes, drains := int(a.number("changes", 50)), int(a.number("drains", 0))
	r := &race{
		s: s, server: a.text("server", ""),
		changes: map[string]accepted{}, drains: map[string]accepted{}, unclear: map[string]bool{},
	}
	if err := a.done(); err != nil {
		return err
	}
	errs := make(chan error, len(entries))
	for i, id := range entries {
		go func() {
			errs <- r.operate(fmt.Sprintf("operator-%d", i+1), id, changes/len(entries), drains/len(entries))
		}()
	}
	for range entries {
		if err := <-errs; err != nil {
			return err
		}
	}
	ts.Logf("race: %d contract changes and %d drain changes accepted, %d conflicts, %d unclear",
		len(r.changes), len(r.drains), len(r.conflicts), len(r.unclear))
	return r.check(entries[0])
}

func (r *race) operate(author, entry string, changes, drains int) error {
	client, err := r.s.bed.Operator(entry)
	if err != nil {
		return err
	}
	for i := range changes {
		if err := r.repeat(func(ctx context.Context) (bool, error) { return r.changeContract(ctx, client, author) }); err != nil {
			return errors.Wrapf(err, "%s, change %d", author, i)
		}
		if i < drains {
			if err := r.repeat(func(ctx context.Context) (bool, error) { return r.changeDrain(ctx, client, author) }); err != nil {
				return errors.Wrapf(err, "%s, drain %d", author, i)
			}
		}
	}
	return nil
}

// repeat makes a change until it is accepted.
func (r *race) repeat(change func(context.Context) (bool, error)) error {
	ctx, cancel := r.s.limit(changeTimeout)
	defer cancel()
	for {
		done, err := change(ctx)
		if done || err != nil {
			return err
		}
	}
}

// changeContract sets a new rate, based on the contract that the entry
// instance shows.
func (r *race) changeContract(ctx context.Context, client *operator.Client, author string) (bool, error) {
	doc, err := client.Document(ctx)
	if err != nil {
		return false, err
	}
	contract := *doc.Contracts[r.s.bed.Contract().Customer]
	contract.Services = append([]config.Service{}, contract.Services...)
	contract.Services[0].ShiftCap.Rate++
	change := config.Change{ID: loadgen.NewKey(), Author: author, At: time.Now()}
	base := contract.Version
	next, err := client.SubmitChange(ctx, change, config.ApplyContract{Contract: contract, BaseVersion: base})
	if err != nil {
		return false, r.refused(ctx, change.ID, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes[change.ID] = accepted{next.Version, base, author, contract.Services[0].ShiftCap.Rate}
	return true, nil
}

// changeDrain starts the drain if there is none, else cancels it.
func (r *race) changeDrain(ctx context.Context, client *operator.Client, author string) (bool, error) {
	doc, err := client.Document(ctx)
	if err != nil {
		return false, err
	}
	var op config.Operation = config.StartDrain{Server: r.server, Reason: author}
	base := uint64(0)
	if have := doc.Drains[r.server]; have != nil {
		base = have.Version
		op = config.CancelDrain{Server: r.server, BaseVersion: base}
	}
	change := config.Change{ID: loadgen.NewKey(), Author: author, At: time.Now()}
	next, err := client.SubmitChange(ctx, change, op)
	if err != nil {
		return false, r.refused(ctx, change.ID, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drains[change.ID] = accepted{version: next.Version, base: base, author: author}
	return true, nil
}

// refused keeps a conflict, and lets the operator try again after an outcome
// that was not told.
func (r *race) refused(ctx context.Context, id string, err error) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	var conflict *config.ConflictError
	var api *operator.Error
	switch {
	case ctx.Err() != nil:
		return err
	case errors.As(err, &conflict):
		r.conflicts = append(r.conflicts, conflict)
		return nil
	case errors.As(err, &api) && (api.Code == operator.CodeUnavailable || api.Code == operator.CodeUnknownOutcome):
		r.unclear[id] = true
		return nil
	case errors.As(err, &api) && api.Code == operator.CodeNotFound:
		return nil // the other operator has just cancelled the drain
	default:
		return err
	}
}

func (r *race) check(entry string) error {
	client, err := r.s.bed.Operator(entry)
	if err != nil {
		return err
	}
	ctx, cancel := r.s.limit(10 * time.Second)
	defer cancel()
	history, err := client.History(ctx, operator.MaxHistory)
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
	for _, set := range []map[string]accepted{r.changes, r.drains} {
		for id, c := range set {
			if seen[id] != c.version {
				return errors.Errorf("change %s was accepted as version %d and is at %d in the history", id, c.version, seen[id])
			}
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
			if c, known := r.changes[later.Change.ID]; known && c.base != h.Version {
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
			return errors.Errorf("conflict %v names change %q by %q, which the history does not have", c, c.ChangeID, c.Author)
		}
	}
	return nil
}

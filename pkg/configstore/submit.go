package configstore

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

const (
	// maxAttempts bounds the attempts of one submission when the caller set no
	// deadline. Each lost race means that another change was accepted.
	maxAttempts = 100
	// maxBackoff bounds the random delay between attempts.
	maxBackoff = 100 * time.Millisecond
	// backoffStep is the growth of that delay for each attempt.
	backoffStep = 2 * time.Millisecond
)

// Submit applies a change to the newest document and writes the result. When
// another change is accepted first, it applies the change again to that
// result. A change id that was accepted before returns the version it was
// accepted as, also when the reply to that write was lost.
//
// Errors: *config.ConflictError, *config.NotFoundError and *findings.Error
// mean that the change was refused; platform.ErrUnavailable that it was not
// made; platform.ErrUnknownOutcome that it may or may not have been made, so
// it must be submitted again with the same change id.
func (s *Store) Submit(ctx context.Context, ch config.Change, op config.Operation) (*config.Document, error) {
	if ch.ID == "" {
		ch.ID = s.newID()
	}
	if !config.ValidChangeID(ch.ID) {
		_, err := config.Apply(nil, ch, op)
		return nil, err
	}
	sub := &submission{store: s, change: ch, op: op}
	return sub.run(ctx)
}

// submission is the state of one call of Submit.
type submission struct {
	store  *Store
	change config.Change
	op     config.Operation
	row    platform.Row // config/current as last seen
	// written is true when a write may have taken effect unnoticed.
	written bool
}

func (s *submission) run(ctx context.Context) (*config.Document, error) {
	if err := s.readCurrent(ctx); err != nil {
		return nil, err
	}
	for attempt := range maxAttempts {
		doc, done, err := s.attempt(ctx)
		if done {
			return doc, err
		}
		if err := sleep(ctx, attempt); err != nil {
			return nil, s.notDone(err)
		}
	}
	return nil, s.notDone(errors.New("too many concurrent changes"))
}

func (s *submission) readCurrent(ctx context.Context) error {
	row, err := s.store.table.Get(ctx, currentKey)
	if errors.Is(err, platform.ErrNotFound) {
		row, err = platform.Row{Key: currentKey}, nil
	}
	s.row = row
	if err != nil {
		// Nothing was written, whatever the reason.
		return errors.Wrapf(platform.ErrUnavailable, "read configuration (%v)", err)
	}
	return nil
}

// attempt tries to write once. It reports done false when it should be tried
// again on the row that was seen last.
func (s *submission) attempt(ctx context.Context) (doc *config.Document, done bool, err error) {
	have, err := s.decodeCurrent()
	if err != nil {
		return nil, true, err
	}
	next, refused := config.Apply(have, s.change, s.op)
	tx := s.conditions()
	if refused == nil && next != have {
		if err := s.addWrites(&tx, next); err != nil {
			return nil, true, err
		}
	}
	// A refusal is committed too, without writes: it proves that it was based
	// on the newest row and that the change id was not accepted earlier.
	err = s.store.table.Commit(ctx, tx)
	switch {
	case err == nil && refused != nil:
		return nil, true, s.nameLastChange(ctx, refused)
	case err == nil:
		return next, true, nil
	case errors.Is(err, platform.ErrConflict):
		return s.resolveConflict(ctx, err)
	case errors.Is(err, platform.ErrUnavailable):
		return nil, !s.written, s.notDone(err)
	default:
		s.written = s.written || len(tx.Puts) > 0
		return nil, false, nil
	}
}

func (s *submission) decodeCurrent() (*config.Document, error) {
	if s.row.Version == 0 {
		return &config.Document{}, nil
	}
	return config.Decode(s.row.Value)
}

func (s *submission) conditions() platform.Tx {
	return platform.Tx{Conditions: []platform.Condition{
		{Key: currentKey, Version: s.row.Version},
		{Key: changeKey(s.change.ID), Version: 0},
	}}
}

func (s *submission) addWrites(tx *platform.Tx, next *config.Document) error {
	data, err := config.Encode(next)
	if err != nil {
		return err
	}
	accepted, err := json.Marshal(acceptedRow{Version: next.Version, Operation: config.Describe(s.op)})
	if err != nil {
		return errors.Wrap(err, "encode change row")
	}
	tx.Puts = []platform.Put{
		{Key: currentKey, Value: data},
		{Key: latestKey, Value: strconv.AppendUint(nil, next.Version, 10)},
		{Key: versionKey(next.Version), Value: data, TTL: HistoryRetention},
		{Key: changeKey(s.change.ID), Value: accepted, TTL: HistoryRetention},
	}
	return nil
}

// resolveConflict takes over the newest rows of a failed transaction. It is
// done when the change id turns out to be accepted already.
func (s *submission) resolveConflict(ctx context.Context, err error) (*config.Document, bool, error) {
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return nil, true, errors.Wrap(err, "table service names no rows")
	}
	for _, row := range conflict.Rows {
		switch row.Key {
		case changeKey(s.change.ID):
			doc, err := s.readAccepted(ctx, row)
			return doc, true, err
		case currentKey:
			s.row = row
		}
	}
	return nil, false, nil
}

// readAccepted reads the version that the change was accepted as. The row may
// be missing for a moment when the table service lags.
func (s *submission) readAccepted(ctx context.Context, row platform.Row) (*config.Document, error) {
	s.written = true
	var accepted acceptedRow
	if err := json.Unmarshal(row.Value, &accepted); err != nil {
		return nil, errors.Wrapf(err, "read row %s", row.Key)
	}
	if accepted.Operation != config.Describe(s.op) {
		return nil, usedChangeID(s.change.ID, accepted)
	}
	for attempt := range maxAttempts {
		r, err := s.store.table.Get(ctx, versionKey(accepted.Version))
		if err == nil {
			return config.Decode(r.Value)
		}
		if err := sleep(ctx, attempt); err != nil {
			return nil, s.notDone(err)
		}
	}
	return nil, s.notDone(errors.Errorf("version %d can not be read", accepted.Version))
}

func usedChangeID(id string, accepted acceptedRow) error {
	var list findings.List
	list.Add("change.id", "%q was used already, for %q (version %d)", id, accepted.Operation, accepted.Version)
	return list.Err()
}

// notDone turns an end without a decision into one of the two errors that
// tell whether the change may have been made.
func (s *submission) notDone(cause error) error {
	kind := platform.ErrUnavailable
	if s.written {
		kind = platform.ErrUnknownOutcome
	}
	return errors.Wrapf(kind, "submit change %s (%v)", s.change.ID, cause)
}

// nameLastChange completes a conflict about an object that was removed: the
// document no longer says who removed it, but the history does.
func (s *submission) nameLastChange(ctx context.Context, refused error) error {
	var conflict *config.ConflictError
	if !errors.As(refused, &conflict) || conflict.ChangeID != "" {
		return refused
	}
	entries, err := s.store.History(ctx, maxNamedHistory)
	if err != nil {
		return refused
	}
	for _, e := range entries {
		// A removed drain is also ended by a deployment that drops its server.
		dropped := strings.HasPrefix(conflict.Object, "drain/") && e.Change.Object == "deployment"
		if e.Change.Object == conflict.Object || dropped {
			conflict.ChangeID = e.Change.ID
			conflict.Author = e.Change.Author
			return refused
		}
	}
	return refused
}

// maxNamedHistory bounds the search for the change that removed an object.
const maxNamedHistory = 100

// sleep waits for a random time that grows with the attempt, so that racing
// submitters spread.
func sleep(ctx context.Context, attempt int) error {
	limit := min(time.Duration(attempt+1)*backoffStep, maxBackoff)
	return wait.Sleep(ctx, rand.N(limit))
}

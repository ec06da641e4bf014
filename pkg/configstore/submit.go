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
	// maxAttempts limits the attempts of one submission if the caller set no
	// deadline. A conflict means that another change was accepted first.
	maxAttempts = 100
	// maxBackoff limits the random delay between attempts.
	maxBackoff = 100 * time.Millisecond
	// backoffStep is the amount by which that delay grows per attempt.
	backoffStep = 2 * time.Millisecond
)

// Submit applies a change to the newest document and writes the result. If another
// change is accepted first, it applies the change to the new document. If the
// change ID was accepted before, Submit returns the version that it created, even
// if the reply to that write was lost.
//
// Errors: *config.ConflictError, *config.NotFoundError and *findings.Error mean
// that the change was refused. platform.ErrUnavailable means that it was not made.
// platform.ErrUnknownOutcome means that it may have been made and must be submitted
// again with the same change ID.
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
	store      *Store
	change     config.Change
	op         config.Operation
	currentRow platform.Row // config/current as last read
	// maybeWritten is set once a write may have succeeded without a reply.
	maybeWritten bool
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
		if err := backoff(ctx, attempt); err != nil {
			return nil, s.undecidedError(err)
		}
	}
	return nil, s.undecidedError(errors.New("too many concurrent changes"))
}

func (s *submission) readCurrent(ctx context.Context) error {
	row, err := s.store.table.Get(ctx, currentKey)
	if errors.Is(err, platform.ErrNotFound) {
		row, err = platform.Row{Key: currentKey}, nil
	}
	s.currentRow = row
	if err != nil {
		// Nothing has been written yet, so the outcome is known for every error.
		return errors.Wrapf(platform.ErrUnavailable, "read configuration (%v)", err)
	}
	return nil
}

// attempt tries to write once. If done is false, the caller should try again with
// the row that was read last.
func (s *submission) attempt(ctx context.Context) (doc *config.Document, done bool, err error) {
	current, err := s.decodeCurrent()
	if err != nil {
		return nil, true, err
	}
	next, refused := config.Apply(current, s.change, s.op)
	tx := s.conditions()
	if refused == nil && next != current {
		if err := s.addWrites(&tx, next); err != nil {
			return nil, true, err
		}
	}
	// A refusal is committed too, with conditions but no writes, to verify that it
	// is based on the newest row and that the change ID was not accepted before.
	err = s.store.table.Commit(ctx, tx)
	switch {
	case err == nil && refused != nil:
		return nil, true, s.addLastChange(ctx, refused)
	case err == nil:
		return next, true, nil
	case errors.Is(err, platform.ErrConflict):
		return s.resolveConflict(ctx, err)
	case errors.Is(err, platform.ErrUnavailable):
		return nil, !s.maybeWritten, s.undecidedError(err)
	default:
		s.maybeWritten = s.maybeWritten || len(tx.Puts) > 0
		return nil, false, nil
	}
}

func (s *submission) decodeCurrent() (*config.Document, error) {
	if s.currentRow.Version == 0 {
		return &config.Document{}, nil
	}
	return config.Decode(s.currentRow.Value)
}

func (s *submission) conditions() platform.Tx {
	return platform.Tx{Conditions: []platform.Condition{
		{Key: currentKey, Version: s.currentRow.Version},
		{Key: changeKey(s.change.ID), Version: 0},
	}}
}

func (s *submission) addWrites(tx *platform.Tx, next *config.Document) error {
	data, err := config.Encode(next)
	if err != nil {
		return err
	}
	accepted, err := json.Marshal(changeRow{Version: next.Version, Operation: config.Describe(s.op)})
	if err != nil {
		return errors.Wrap(err, "encode change row")
	}
	tx.Puts = []platform.Put{
		{Key: currentKey, Value: data},
		{Key: latestVersionKey, Value: strconv.AppendUint(nil, next.Version, 10)},
		{Key: versionKey(next.Version), Value: data, TTL: HistoryRetention},
		{Key: changeKey(s.change.ID), Value: accepted, TTL: HistoryRetention},
	}
	return nil
}

// resolveConflict uses the rows returned with a failed transaction for the next
// attempt. If they show that the change ID was accepted before, it returns that
// version and true.
func (s *submission) resolveConflict(ctx context.Context, err error) (*config.Document, bool, error) {
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return nil, true, errors.Wrap(err, "conflict without the conflicting rows")
	}
	for _, row := range conflict.Rows {
		switch row.Key {
		case changeKey(s.change.ID):
			doc, err := s.readAccepted(ctx, row)
			return doc, true, err
		case currentKey:
			s.currentRow = row
		}
	}
	return nil, false, nil
}

// readAccepted reads the version that the change created. Its row may be missing
// for a short time, because reads may be stale.
func (s *submission) readAccepted(ctx context.Context, row platform.Row) (*config.Document, error) {
	s.maybeWritten = true
	var accepted changeRow
	if err := json.Unmarshal(row.Value, &accepted); err != nil {
		return nil, errors.Wrapf(err, "read row %s", row.Key)
	}
	if accepted.Operation != config.Describe(s.op) {
		return nil, newReusedChangeIDError(s.change.ID, accepted)
	}
	for attempt := range maxAttempts {
		r, err := s.store.table.Get(ctx, versionKey(accepted.Version))
		if err == nil {
			return config.Decode(r.Value)
		}
		if err := backoff(ctx, attempt); err != nil {
			return nil, s.undecidedError(err)
		}
	}
	return nil, s.undecidedError(errors.Errorf("version %d cannot be read", accepted.Version))
}

func newReusedChangeIDError(id string, accepted changeRow) error {
	var list findings.List
	list.Add("change.id", "%q was used already, for %q (version %d)", id, accepted.Operation, accepted.Version)
	return list.Err()
}

// undecidedError returns the error of a submission that was neither accepted nor
// refused. It tells whether the change may have been made.
func (s *submission) undecidedError(cause error) error {
	kind := platform.ErrUnavailable
	if s.maybeWritten {
		kind = platform.ErrUnknownOutcome
	}
	return errors.Wrapf(kind, "submit change %s (%v)", s.change.ID, cause)
}

// addLastChange adds the missing change ID and author to a conflict about a removed
// object. The document does not contain who removed it, but the history does.
func (s *submission) addLastChange(ctx context.Context, refused error) error {
	var conflict *config.ConflictError
	if !errors.As(refused, &conflict) || conflict.ChangeID != "" {
		return refused
	}
	entries, err := s.store.History(ctx, maxHistorySearched)
	if err != nil {
		return refused
	}
	for _, e := range entries {
		// A deployment change may have removed the server and with it the drain.
		maybeRemoved := strings.HasPrefix(conflict.Object, "drain/") && e.Change.Object == "deployment"
		if e.Change.Object == conflict.Object || maybeRemoved {
			conflict.ChangeID = e.Change.ID
			conflict.Author = e.Change.Author
			return refused
		}
	}
	return refused
}

// maxHistorySearched limits the changes that are searched for the one that removed
// an object.
const maxHistorySearched = 100

// backoff waits for a random time whose limit grows with the attempt, so that
// concurrent submitters do not retry together.
func backoff(ctx context.Context, attempt int) error {
	limit := min(time.Duration(attempt+1)*backoffStep, maxBackoff)
	return wait.Sleep(ctx, rand.N(limit))
}

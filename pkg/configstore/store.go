// Package configstore keeps the configuration document in the platform's
// table service.
//
// Rows: config/current holds the newest document, config/version its version
// alone, config/v/<n> each accepted version, and config/change/<id> the version
// that a change id was accepted as. All are written in one transaction.
package configstore

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

const (
	currentKey    = "config/current"
	latestKey     = "config/version"
	versionPrefix = "config/v/"
	changePrefix  = "config/change/"

	// HistoryRetention is the TTL of the rows of the history. It bounds their
	// number; a change id can be submitted again this long without a second
	// effect.
	HistoryRetention = 14 * 24 * time.Hour

	// historyPage is the number of history rows that are read at once.
	historyPage = 50
)

// Store reads and writes the document. It is safe for concurrent use.
type Store struct {
	table platform.Table
	newID func() string
}

// New returns a store on a table service. newID makes a change id for changes
// that have none.
func New(table platform.Table, newID func() string) *Store {
	return &Store{table: table, newID: newID}
}

// Load reads the current document, or returns platform.ErrNotFound. The
// document may be older than the newest one when the table service lags.
func (s *Store) Load(ctx context.Context) (*config.Document, error) {
	row, err := s.table.Get(ctx, currentKey)
	if err != nil {
		return nil, errors.Wrap(err, "load configuration")
	}
	return config.Decode(row.Value)
}

// LoadNewer returns the current document if its version is above have, and nil
// otherwise. It reads the document only if the version row says so: every entry
// instance polls each second, and decoding a large document each time was most
// of its CPU time.
func (s *Store) LoadNewer(ctx context.Context, have uint64) (*config.Document, error) {
	row, err := s.table.Get(ctx, latestKey)
	if err != nil {
		return nil, errors.Wrap(err, "load configuration version")
	}
	latest, err := strconv.ParseUint(string(row.Value), 10, 64)
	if err != nil {
		return nil, errors.Wrapf(err, "row %s", latestKey)
	}
	if latest <= have {
		return nil, nil
	}
	return s.Load(ctx)
}

// History returns the newest accepted changes, newest first.
func (s *Store) History(ctx context.Context, limit int) ([]config.HistoryEntry, error) {
	doc, err := s.Load(ctx)
	if err != nil {
		return nil, err
	}
	if limit <= 0 {
		return nil, nil
	}
	after := ""
	if doc.Version > uint64(limit) {
		after = versionKey(doc.Version - uint64(limit))
	}
	entries, err := s.historyAfter(ctx, after)
	if err != nil {
		return nil, err
	}
	slices.Reverse(entries)
	// A change that was accepted after Load adds an entry.
	return entries[:min(limit, len(entries))], nil
}

// historyAfter reads in pages, because rows hold whole documents.
func (s *Store) historyAfter(ctx context.Context, after string) ([]config.HistoryEntry, error) {
	var entries []config.HistoryEntry
	for {
		rows, err := s.table.List(ctx, versionPrefix, after, historyPage)
		if err != nil {
			return nil, errors.Wrap(err, "read history")
		}
		if len(rows) == 0 {
			return entries, nil
		}
		for _, row := range rows {
			var e config.HistoryEntry
			if err := json.Unmarshal(row.Value, &e); err != nil {
				return nil, errors.Wrapf(err, "read history row %s", row.Key)
			}
			entries = append(entries, e)
			after = row.Key
		}
	}
}

// BootstrapDeployment writes version 1 into an empty store. A store that has a
// document already keeps it, and that document is returned.
func (s *Store) BootstrapDeployment(ctx context.Context, ch config.Change, d config.Deployment) (*config.Document, error) {
	doc, err := s.Submit(ctx, ch, config.ApplyDeployment{Deployment: d})
	var conflict *config.ConflictError
	if errors.As(err, &conflict) {
		return s.Load(ctx)
	}
	return doc, err
}

// versionKey pads the number to the width of the largest uint64, so that key
// order is version order.
func versionKey(version uint64) string {
	return fmt.Sprintf("%s%020d", versionPrefix, version)
}

func changeKey(id string) string { return changePrefix + id }

// acceptedRow is the value of config/change/<id>.
type acceptedRow struct {
	Version uint64 `json:"version"`
	// Operation tells a change that is submitted again from another one that
	// uses the same change id by mistake.
	Operation string `json:"operation"`
}

// Package configstore stores the configuration document in the platform's table
// service.
//
// Row config/current holds the newest document, config/version only its version
// number, config/v/<n> the document of each accepted version, and
// config/change/<id> the version that the change with that ID created. Each
// change writes all four in one transaction.
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
	currentKey       = "config/current"
	latestVersionKey = "config/version"
	versionPrefix    = "config/v/"
	changePrefix     = "config/change/"

	// HistoryRetention is the TTL of history rows and change ID rows, which limits
	// their number. For this long, resubmitting an accepted change has no effect.
	HistoryRetention = 14 * 24 * time.Hour

	// historyPageSize is the number of history rows per read.
	historyPageSize = 50
)

// Store reads and writes the document. It is safe for concurrent use.
type Store struct {
	table platform.Table
	newID func() string
}

// New returns a store that uses the given table service. newID generates IDs for
// changes that have none.
func New(table platform.Table, newID func() string) *Store {
	return &Store{table: table, newID: newID}
}

// Load reads the current document. It returns platform.ErrNotFound if there is
// none. Reads of the table service may be stale, so a newer document may exist.
func (s *Store) Load(ctx context.Context) (*config.Document, error) {
	row, err := s.table.Get(ctx, currentKey)
	if err != nil {
		return nil, errors.Wrap(err, "load configuration")
	}
	return config.Decode(row.Value)
}

// LoadNewer returns the current document if its version is greater than have, and
// nil otherwise. It checks the version row before reading the document: every entry
// instance polls each second, and decoding a large document each time used most of
// its CPU time.
func (s *Store) LoadNewer(ctx context.Context, have uint64) (*config.Document, error) {
	row, err := s.table.Get(ctx, latestVersionKey)
	if err != nil {
		return nil, errors.Wrap(err, "load configuration version")
	}
	latest, err := strconv.ParseUint(string(row.Value), 10, 64)
	if err != nil {
		return nil, errors.Wrapf(err, "row %s", latestVersionKey)
	}
	if latest <= have {
		return nil, nil
	}
	return s.Load(ctx)
}

// History returns at most limit accepted changes, newest first.
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
	// Changes accepted after Load add entries beyond limit.
	return entries[:min(limit, len(entries))], nil
}

// historyAfter reads in pages, because each row holds a whole document.
func (s *Store) historyAfter(ctx context.Context, after string) ([]config.HistoryEntry, error) {
	var entries []config.HistoryEntry
	for {
		rows, err := s.table.List(ctx, versionPrefix, after, historyPageSize)
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

// BootstrapDeployment writes version 1 to an empty store. If the store already has
// a document, it returns that document unchanged.
func (s *Store) BootstrapDeployment(ctx context.Context, ch config.Change, d config.Deployment) (*config.Document, error) {
	doc, err := s.Submit(ctx, ch, config.ApplyDeployment{Deployment: d})
	var conflict *config.ConflictError
	if errors.As(err, &conflict) {
		return s.Load(ctx)
	}
	return doc, err
}

// versionKey pads the version to the width of the largest uint64, so that keys sort
// by version.
func versionKey(version uint64) string {
	return fmt.Sprintf("%s%020d", versionPrefix, version)
}

func changeKey(id string) string { return changePrefix + id }

// changeRow is the value of config/change/<id>.
type changeRow struct {
	Version uint64 `json:"version"`
	// Operation distinguishes a resubmitted change from a different change that
	// mistakenly uses the same ID.
	Operation string `json:"operation"`
}

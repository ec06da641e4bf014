package replica

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a Store, to be checked with errors.Is.
var (
	// ErrHistoryGone means that the store no longer keeps the changes after a
	// version; a snapshot is needed.
	ErrHistoryGone = errors.New("replica: history is no longer available")
	// ErrRefused means that the store responded with a refusal and changed
	// nothing.
	ErrRefused = errors.New("replica: refused by the store")
)

// TableName is the product's name of a store table, independent of the platform.
type TableName string

// Tables of the store.
const (
	// Operator holds the routing document and the evacuated failure domains.
	Operator TableName = "operator"
	// Servers holds the registrations of backend servers.
	Servers TableName = "servers"
	// Members holds the registrations of entry instances.
	Members TableName = "members"
)

// Store is the part of the platform's metadata store that the ingress uses.
type Store interface {
	// Snapshot reads all rows of a table.
	Snapshot(ctx context.Context, table TableName) (Batch, error)
	// Changes returns the changes after a version, waiting up to wait for one.
	Changes(ctx context.Context, table TableName, after uint64, wait time.Duration) (Batch, error)
	// Put writes a row unconditionally.
	Put(ctx context.Context, table TableName, key string, value []byte) error
	// Remove deletes a row unconditionally.
	Remove(ctx context.Context, table TableName, key string) error
}

// eraBits is the number of the low bits of a version that the store counts itself.
const eraBits = 40

// NewVersion returns the version of what a store wrote in an era. A store that goes back
// to an older copy of its rows begins a new era and counts on from there, so that it
// gives out versions again. Versions of a newer era are above all of an older one.
func NewVersion(era, counted uint64) uint64 { return era<<eraBits | counted&(1<<eraBits-1) }

// Era returns the era of a version.
func Era(version uint64) uint64 { return version >> eraBits }

// Counted returns the version as the store counts it in its era.
func Counted(version uint64) uint64 { return version & (1<<eraBits - 1) }

package replica

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a Store that callers tell apart with errors.Is.
var (
	// ErrHistoryGone means that the changes after a version are no longer
	// kept; a snapshot is needed.
	ErrHistoryGone = errors.New("replica: history is no longer available")
	// ErrRefused means that the store answered and did nothing.
	ErrRefused = errors.New("replica: refused by the store")
)

// TableName names a table of the store in the product's terms.
type TableName string

// Tables that are copied.
const (
	// Operator holds the routing document and the evacuations.
	Operator TableName = "operator"
	// Servers holds the registrations of backend servers.
	Servers TableName = "servers"
	// Members holds the registrations of entry instances.
	Members TableName = "members"
)

// Store is what the ingress needs of the platform's metadata store.
type Store interface {
	// Snapshot reads all rows of a table.
	Snapshot(ctx context.Context, table TableName) (Batch, error)
	// Changes waits up to wait for changes after a version.
	Changes(ctx context.Context, table TableName, after uint64, wait time.Duration) (Batch, error)
	// Put writes a row without a condition.
	Put(ctx context.Context, table TableName, key string, value []byte) error
	// Remove deletes a row without a condition.
	Remove(ctx context.Context, table TableName, key string) error
}

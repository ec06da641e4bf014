// Package platform defines the interfaces of the platform's services, a
// transactional table, an object store and an instance list, and a client of
// them.
package platform

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Errors that callers match with errors.Is.
var (
	// ErrConflict means that a condition did not hold and nothing was written.
	ErrConflict = errors.New("platform: condition failed")
	// ErrUnavailable means that a read failed, or that a write did not reach the
	// service or was refused by it, so that nothing was written.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknownOutcome means that a write may or may not have taken effect.
	// The writer must read to find out.
	ErrUnknownOutcome = errors.New("platform: outcome unknown")
	// ErrNotFound means that a row or object does not exist.
	ErrNotFound = errors.New("platform: not found")
)

// Row is one row of the table. Version grows by one with each write; an
// absent row has version 0.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Condition requires a row to be at a version; 0 requires it to be absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Put writes a row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// TTL removes the row after this time; 0 keeps it.
	TTL time.Duration `json:"ttl_ns,omitempty"`
}

// Tx is an atomic transaction. Its writes happen only if all conditions hold.
type Tx struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Puts       []Put       `json:"puts,omitempty"`
	Deletes    []string    `json:"deletes,omitempty"`
}

// ConflictError lists the rows whose conditions failed.
type ConflictError struct {
	Rows []Row // current version of each row, value included
}

func (e *ConflictError) Error() string { return "platform: condition failed" }

// Is makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Table is the transactional table service.
type Table interface {
	// Commit applies a transaction. On error it returns a *ConflictError,
	// ErrUnavailable (nothing written) or ErrUnknownOutcome.
	Commit(ctx context.Context, tx Tx) error
	// Get reads a row, or returns ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// List reads rows by key prefix in key order, starting after a key.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the object store.
type Objects interface {
	PutObject(ctx context.Context, name string, data []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
	// ListObjects returns names by prefix in name order, starting after a
	// name.
	ListObjects(ctx context.Context, prefix, after string, limit int) ([]string, error)
}

// InstanceState is the state of an instance as the platform reports it.
type InstanceState string

// States of an instance. The list does not include stopped instances.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's instance list, which may be out of
// date.
type Instance struct {
	ID    string        `json:"id"`
	Kind  string        `json:"kind"` // "entry" or "backend"
	State InstanceState `json:"state"`
}

// Instances is the list of live and leaving instances, which may be out of date.
type Instances interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// Platform combines all services of the platform.
type Platform interface {
	Table
	Objects
	Instances
}

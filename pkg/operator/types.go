// Package operator defines the operator API of an entry instance: its types,
// its HTTP handlers and its client.
package operator

import (
	"context"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/blocks"
	"github.com/dandelionrack/dandelionrack/pkg/burn"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/trace"
)

// Backend implements the operations of the operator API in an entry instance.
//
// The API maps *config.ConflictError, *config.NotFoundError, *findings.Error,
// platform.ErrUnavailable and platform.ErrUnknownOutcome to codes of their own.
// Any other error is an internal one.
type Backend interface {
	// SubmitChange makes a change, and returns the document of its version.
	SubmitChange(ctx context.Context, ch config.Change, op config.Operation) (*config.Document, error)
	// Document returns the current document, or nil before the first one.
	Document() *config.Document
	// History returns the newest n changes, newest first.
	History(ctx context.Context, n int) ([]config.HistoryEntry, error)
	DrainStatus(ctx context.Context, server string) (DrainStatus, error)
	Trace(ctx context.Context, requestID string) (TraceReport, error)
	Burn(ctx context.Context) (BurnReport, error)
	Routes(ctx context.Context) (RoutesReport, error)
	// Unresolved returns the claims whose outcome is unknown or, with resolved,
	// those that an operator resolved.
	Unresolved(ctx context.Context, resolved bool) ([]UnresolvedClaim, error)
	// Resolve resolves a claim whose outcome is unknown. The same request may be
	// sent again after a lost response.
	Resolve(ctx context.Context, req ResolveRequest) (ResolveReport, error)
	Status(ctx context.Context) (EntryStatus, error)
	// MissingBlocks returns the hashes for which the object store has no client
	// block object.
	MissingBlocks(ctx context.Context, hashes []blocks.Hash) ([]blocks.Hash, error)
	// PutBlock stores a packed client block object that has the hash.
	PutBlock(ctx context.Context, hash blocks.Hash, packed []byte) error
}

// ChangeRequest is the body of POST /v1/changes.
type ChangeRequest struct {
	Change    config.Change        `json:"change"`
	Operation config.OperationJSON `json:"operation"`
}

// TraceReport is the trace of one request.
type TraceReport struct {
	RequestID string       `json:"request_id"`
	Spans     []trace.Span `json:"spans"`
	// Incomplete names the sources that could not be queried.
	Incomplete []string `json:"incomplete,omitempty"`
}

// BurnReport is the error budget consumption of all services.
type BurnReport struct {
	burn.Result
	// Unreachable names the entry instances whose counts are missing.
	Unreachable []string `json:"unreachable,omitempty"`
}

// DrainStatus is the progress of a drain.
type DrainStatus struct {
	Server   string `json:"server"`
	Draining bool   `json:"draining"`
	// Since is the time at which the server began to drain or leave.
	Since time.Time `json:"since,omitzero"`
	// InFlight is the number of requests in flight by entry instance.
	InFlight  map[string]int `json:"in_flight"`
	IdleSince time.Time      `json:"idle_since,omitzero"`
	// Unreachable names the entry instances whose counts are missing.
	Unreachable []string `json:"unreachable,omitempty"`
}

// Idle reports whether every entry instance answered and none has a request
// in flight.
func (s DrainStatus) Idle() bool {
	if len(s.Unreachable) > 0 {
		return false
	}
	for _, n := range s.InFlight {
		if n > 0 {
			return false
		}
	}
	return true
}

// RoutesReport lists the possible destinations of requests, as seen by one entry
// instance.
type RoutesReport struct {
	Entry         string        `json:"entry"`
	ConfigVersion uint64        `json:"config_version"`
	Entries       []EntryRoute  `json:"entries"`
	Servers       []ServerRoute `json:"servers"`
}

// EntryRoute is the state of an entry instance.
type EntryRoute struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	State         string `json:"state"`
	// FreeSlots is the number of free slots by service.
	FreeSlots map[string]int `json:"free_slots,omitempty"`
}

// ServerRoute is the state of a backend server.
type ServerRoute struct {
	ID            string   `json:"id"`
	FailureDomain string   `json:"failure_domain"`
	Services      []string `json:"services"`
	State         string   `json:"state"`
	Slots         int      `json:"slots"`
	// Share is the part of Slots that the reporting entry instance may use.
	Share     int `json:"share"`
	FreeSlots int `json:"free_slots"`
}

// UnresolvedClaim is an at-most-once request whose outcome is unknown.
type UnresolvedClaim struct {
	Customer    string    `json:"customer"`
	Service     string    `json:"service"`
	Key         string    `json:"key"`
	Entry       string    `json:"entry"`
	Incarnation string    `json:"incarnation"`
	ClaimedAt   time.Time `json:"claimed_at"`
	State       string    `json:"state"`
	Detail      string    `json:"detail,omitempty"`
	// RowVersion is the version of the claim's row, for ResolveRequest.
	RowVersion uint64      `json:"row_version"`
	Resolution *Resolution `json:"resolution,omitempty"`
}

// Resolution describes how an operator resolved a claim.
type Resolution struct {
	ChangeID string    `json:"change_id"`
	Author   string    `json:"author"`
	Reason   string    `json:"reason"`
	At       time.Time `json:"at"`
	Ran      bool      `json:"ran"`
	From     string    `json:"from"` // state before
}

// ResolveRequest is the body of POST /v1/unresolved/resolve.
type ResolveRequest struct {
	Change   config.Change `json:"change"`
	Customer string        `json:"customer"`
	Service  string        `json:"service"`
	Key      string        `json:"key"`
	Reason   string        `json:"reason"`
	// Ran means that the request ran, with Status and Body as its response;
	// otherwise it did not run.
	Ran         bool   `json:"ran"`
	Status      int    `json:"status,omitempty"`
	Body        []byte `json:"body,omitempty"`
	ContentType string `json:"content_type,omitempty"`
	// RowVersion is the expected version of the row, or 0 for any.
	RowVersion uint64 `json:"row_version,omitempty"`
}

// ResolveReport is the result of a ResolveRequest.
type ResolveReport struct {
	Customer   string `json:"customer"`
	Service    string `json:"service"`
	Key        string `json:"key"`
	Ran        bool   `json:"ran"`
	RowVersion uint64 `json:"row_version"`
	ChangeID   string `json:"change_id"`
}

// ClaimConflict describes why a claim was not resolved, and the state of its row.
// Reason is "settled", "changed", "owner_may_run", "too_young", "unproved" or
// "too_large".
type ClaimConflict struct {
	Reason     string      `json:"reason"`
	State      string      `json:"state,omitempty"`
	RowVersion uint64      `json:"row_version"`
	Resolution *Resolution `json:"resolution,omitempty"`
}

// EntryStatus is the state of the responding entry instance.
type EntryStatus struct {
	Entry         string         `json:"entry"`
	FailureDomain string         `json:"failure_domain"`
	Region        string         `json:"region"`
	Incarnation   string         `json:"incarnation"`
	State         string         `json:"state"`
	ConfigVersion uint64         `json:"config_version"`
	StartedAt     time.Time      `json:"started_at"`
	StoreOK       bool           `json:"store_ok"`
	Peers         []PeerStatus   `json:"peers"`
	FreeSlots     map[string]int `json:"free_slots,omitempty"`
	ClientBlocks  BlocksStatus   `json:"client_blocks"`
}

// PeerStatus is the state of another entry instance, as seen by the responding
// one.
type PeerStatus struct {
	ID            string `json:"id"`
	State         string `json:"state"`
	ConfigVersion uint64 `json:"config_version"`
}

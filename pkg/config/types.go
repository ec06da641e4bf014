// Package config holds the versioned configuration of a deployment: its
// topology, the contracts of its customers and its drains.
//
// The package is pure: it does no I/O and reads no clock. A Document is
// immutable once it is shared; Apply returns a changed copy.
package config

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Duration is a time.Duration that JSON holds as a string such as "250ms".
type Duration time.Duration

// MarshalJSON writes the duration as a string with its unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON accepts a string with a unit. A bare number is refused,
// because its unit would be a guess.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return errors.New(`duration must be a string with a unit, such as "250ms"`)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	*d = Duration(v)
	return nil
}

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Document is the whole configuration at one version.
type Document struct {
	// Version grows by one with every accepted change. Zero means that no
	// configuration is known.
	Version    uint64     `json:"version"`
	Change     Change     `json:"change"`
	Deployment Deployment `json:"deployment"`
	// DeploymentVersion is the document version that last changed Deployment.
	// DeploymentChangeID and DeploymentAuthor identify that change.
	DeploymentVersion  uint64 `json:"deployment_version"`
	DeploymentChangeID string `json:"deployment_change_id,omitempty"`
	DeploymentAuthor   string `json:"deployment_author,omitempty"`
	// DeploymentChangedAt is the time of that change, zero for the first
	// deployment: there were no earlier shares that a seat could still use.
	DeploymentChangedAt time.Time            `json:"deployment_changed_at,omitzero"`
	Contracts           map[string]*Contract `json:"contracts"` // by customer
	Drains              map[string]*Drain    `json:"drains"`    // by backend server id
}

// Change says who made a version of the document and why.
type Change struct {
	// ID is chosen by the operator's client. A write whose reply was lost is
	// resolved by looking for this id in the stored history.
	ID     string    `json:"id"`
	Author string    `json:"author,omitempty"`
	At     time.Time `json:"at"`
	// Summary is one line such as "apply contract kallitexnis".
	Summary string `json:"summary,omitempty"`
	// Object names what the change was made to, such as "drain/salio-1".
	// Apply sets it.
	Object string `json:"object,omitempty"`
}

// Deployment is the topology: where entry instances and backend servers are.
type Deployment struct {
	Regions        []Region        `json:"regions"`
	FailureDomains []FailureDomain `json:"failure_domains"`
	EntryInstances []EntryInstance `json:"entry_instances"`
	BackendServers []BackendServer `json:"backend_servers"`
	// Links lists the capacity between regions. A pair that is not listed has
	// DefaultLinkBitsPerSecond.
	Links                    []Link        `json:"links,omitempty"`
	DefaultLinkBitsPerSecond int64         `json:"default_link_bits_per_second"`
	ClientBlocks             []ClientBlock `json:"client_blocks,omitempty"`
	// ClientBlocksIndex is the SHA-256 of the index object (pkg/blocks) of
	// client blocks that are in the object store. It excludes ClientBlocks.
	ClientBlocksIndex string `json:"client_blocks_index,omitempty"`
}

// Region is a group of failure domains with short delays between them.
type Region struct {
	Name string `json:"name"`
}

// FailureDomain is a part of a region that can fail or be partitioned alone.
type FailureDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// EntryInstance is a configured entry address. It is also a seat: slots and
// caps are split over the configured entry instances, dead or alive.
type EntryInstance struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	CallerAddr    string `json:"caller_addr"`   // host:port for callers
	PeerAddr      string `json:"peer_addr"`     // host:port for other entry instances
	OperatorAddr  string `json:"operator_addr"` // host:port for operators
}

// BackendServer answers requests of one or more services.
type BackendServer struct {
	ID             string   `json:"id"`
	Addr           string   `json:"addr"` // host:port, HTTP
	FailureDomain  string   `json:"failure_domain"`
	Services       []string `json:"services"` // canonical service names
	Slots          int      `json:"slots"`
	MaxConnections int      `json:"max_connections"`
}

// Link is the capacity between two regions, each way.
type Link struct {
	A             string   `json:"a"`
	B             string   `json:"b"`
	BitsPerSecond int64    `json:"bits_per_second"`
	OneWayDelay   Duration `json:"one_way_delay,omitempty"`
}

// ClientBlock maps caller addresses to a failure domain by longest prefix.
type ClientBlock struct {
	Prefix        string `json:"prefix"` // CIDR
	FailureDomain string `json:"failure_domain"`
}

// Contract is the single contract of one customer.
type Contract struct {
	Customer string `json:"customer"`
	// Version is the document version that last changed this contract, so a
	// contract that is removed and created again never repeats a version. A
	// change names the version it was based on.
	Version uint64 `json:"version"`
	// ChangeID and Author identify the change that made this version.
	ChangeID string `json:"change_id,omitempty"`
	Author   string `json:"author,omitempty"`
	// TokenSHA256 are hex digests of the bearer tokens that callers may use.
	TokenSHA256 []string  `json:"token_sha256"`
	Services    []Service `json:"services"`
}

// Priority orders work when slots are short.
type Priority string

// Priorities, highest first.
const (
	PriorityInteractive Priority = "interactive" // a person waits for it now
	PrioritySettle      Priority = "settle"      // a person waits until it settles
	PriorityDeferred    Priority = "deferred"    // can wait; shed first
)

// Rank returns 0 for the highest priority.
func (p Priority) Rank() int {
	switch p {
	case PriorityInteractive:
		return 0
	case PrioritySettle:
		return 1
	default:
		return 2
	}
}

// Service is one service of a contract and its limits.
type Service struct {
	Name string `json:"name"`
	// Aliases are old names that callers still use for the same service.
	Aliases    []string `json:"aliases,omitempty"`
	Idempotent bool     `json:"idempotent"`
	Priority   Priority `json:"priority"`
	// Timeout is the longest time a request may take, and the default when
	// the caller gives none.
	Timeout Duration `json:"timeout"`
	// Regions lists where requests may be served; empty means everywhere.
	Regions []string `json:"regions,omitempty"`
	// RatePerSecond limits accepted requests over all entry instances; 0 means
	// no limit.
	RatePerSecond float64  `json:"rate_per_second,omitempty"`
	ShiftCap      ShiftCap `json:"shift_cap"`
	// RetryRatio is the share of requests that may be retried, such as 0.1.
	RetryRatio float64 `json:"retry_ratio"`
	// HedgeAfter starts one second attempt of an idempotent request; 0 is off.
	HedgeAfter Duration  `json:"hedge_after,omitempty"`
	Objective  Objective `json:"objective"`
}

// ShiftCap bounds how much traffic may change its serving region.
type ShiftCap struct {
	// Share of Rate that may move from one window to the next, 0 to 1.
	Share  float64  `json:"share"`
	Window Duration `json:"window"`
	// Rate is the nominal number of requests per second of the service.
	Rate float64 `json:"rate"`
}

// PerWindow is the number of requests that may move between two windows.
func (c ShiftCap) PerWindow() float64 {
	return c.Share * c.Rate * c.Window.Std().Seconds()
}

// Objective is the service level that the burn report measures against.
type Objective struct {
	// Availability is the wanted share of good answers, such as 0.999.
	Availability float64 `json:"availability"`
	// Latency is the time within which an answer counts as good.
	Latency Duration `json:"latency"`
}

// Drain asks for a backend server to be emptied.
type Drain struct {
	BackendServer string    `json:"backend_server"`
	Version       uint64    `json:"version"`
	ChangeID      string    `json:"change_id"`
	Author        string    `json:"author,omitempty"`
	Reason        string    `json:"reason,omitempty"`
	StartedAt     time.Time `json:"started_at"`
}

// FindService resolves a service name or alias of a contract.
func (c *Contract) FindService(name string) (*Service, bool) {
	for i := range c.Services {
		s := &c.Services[i]
		if s.Name == name {
			return s, true
		}
		for _, alias := range s.Aliases {
			if alias == name {
				return s, true
			}
		}
	}
	return nil, false
}

// RegionOf returns the region of a failure domain, or "" if it is unknown.
func (d *Deployment) RegionOf(failureDomain string) string {
	for _, fd := range d.FailureDomains {
		if fd.Name == failureDomain {
			return fd.Region
		}
	}
	return ""
}

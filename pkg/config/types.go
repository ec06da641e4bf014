// Package config defines the versioned configuration of a deployment: its
// topology, the contracts of its customers and the drains of its backend servers.
//
// The package is pure: it does no I/O and reads no clock. A Document is
// immutable once it is shared; Apply returns a changed copy.
package config

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Duration is a time.Duration with a JSON form such as "250ms".
type Duration time.Duration

// MarshalJSON writes the duration as a string with its unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON accepts a string with a unit. A bare number is rejected, because
// its unit is ambiguous.
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
	// Version increases by one with every accepted change. Zero means that no
	// configuration is known.
	Version    uint64     `json:"version"`
	Change     Change     `json:"change"`
	Deployment Deployment `json:"deployment"`
	// DeploymentVersion is the document version that last changed Deployment.
	// DeploymentChangeID and DeploymentAuthor identify that change.
	DeploymentVersion  uint64 `json:"deployment_version"`
	DeploymentChangeID string `json:"deployment_change_id,omitempty"`
	DeploymentAuthor   string `json:"deployment_author,omitempty"`
	// DeploymentChangedAt is the time of the last ApplyDeployment. It is zero for
	// the first deployment, because no entry instance can still use the slot
	// shares of an earlier one. SetClientBlocksIndex does not change it.
	DeploymentChangedAt time.Time            `json:"deployment_changed_at,omitzero"`
	Contracts           map[string]*Contract `json:"contracts"` // by customer
	Drains              map[string]*Drain    `json:"drains"`    // by backend server id
}

// Change describes the change that produced a version of the document.
type Change struct {
	// ID is chosen by the operator's client. If the reply to a write is lost,
	// searching the stored history for this id tells whether the write succeeded.
	ID     string    `json:"id"`
	Author string    `json:"author,omitempty"`
	At     time.Time `json:"at"`
	// Summary is a line such as "apply contract kallitexnis".
	Summary string `json:"summary,omitempty"`
	// Object is the name of the changed object, such as "drain/salio-1".
	// Apply sets it.
	Object string `json:"object,omitempty"`
}

// Deployment is the topology: the regions, failure domains, entry instances,
// backend servers, links and client blocks.
type Deployment struct {
	Regions        []Region        `json:"regions"`
	FailureDomains []FailureDomain `json:"failure_domains"`
	EntryInstances []EntryInstance `json:"entry_instances"`
	BackendServers []BackendServer `json:"backend_servers"`
	// Links lists the capacity between pairs of regions. Pairs that are not
	// listed have DefaultLinkBitsPerSecond.
	Links                    []Link        `json:"links,omitempty"`
	DefaultLinkBitsPerSecond int64         `json:"default_link_bits_per_second"`
	ClientBlocks             []ClientBlock `json:"client_blocks,omitempty"`
	// ClientBlocksIndex is the SHA-256 of an index (pkg/blocks) of client blocks
	// in the object store. Only one of it and ClientBlocks may be set.
	ClientBlocksIndex string `json:"client_blocks_index,omitempty"`
}

// Region is a group of failure domains with low latency between them.
type Region struct {
	Name string `json:"name"`
}

// FailureDomain is a part of a region that can fail or be partitioned
// independently of the rest.
type FailureDomain struct {
	Name   string `json:"name"`
	Region string `json:"region"`
}

// EntryInstance is a configured entry instance and its addresses. Slots and caps
// are divided among all configured entry instances, running or not.
type EntryInstance struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	CallerAddr    string `json:"caller_addr"`   // host:port for callers
	PeerAddr      string `json:"peer_addr"`     // host:port for other entry instances
	OperatorAddr  string `json:"operator_addr"` // host:port for operators
}

// BackendServer handles requests to one or more services.
type BackendServer struct {
	ID             string   `json:"id"`
	Addr           string   `json:"addr"` // host:port, HTTP
	FailureDomain  string   `json:"failure_domain"`
	Services       []string `json:"services"` // canonical service names
	Slots          int      `json:"slots"`
	MaxConnections int      `json:"max_connections"`
}

// Link is the capacity between two regions, in each direction.
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

// Contract lists the services of a customer and the tokens of its callers. A
// customer has one contract.
type Contract struct {
	Customer string `json:"customer"`
	// Version is the document version that last changed this contract. So a
	// contract that is removed and created again never reuses a version, and
	// changes that are based on the removed one conflict.
	Version uint64 `json:"version"`
	// ChangeID and Author identify the change that made this version.
	ChangeID string `json:"change_id,omitempty"`
	Author   string `json:"author,omitempty"`
	// TokenSHA256 holds hex digests of the bearer tokens that callers may use.
	TokenSHA256 []string  `json:"token_sha256"`
	Services    []Service `json:"services"`
}

// Priority decides which requests get slots first when slots are scarce.
type Priority string

// Priorities, highest first.
const (
	PriorityInteractive Priority = "interactive" // a user is waiting for the response
	PrioritySettle      Priority = "settle"      // a user is waiting for the final outcome
	PriorityDeferred    Priority = "deferred"    // can be delayed; shed first
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

// Service is a service of a contract and its limits.
type Service struct {
	Name string `json:"name"`
	// Aliases are old names that callers still use for the same service.
	Aliases    []string `json:"aliases,omitempty"`
	Idempotent bool     `json:"idempotent"`
	Priority   Priority `json:"priority"`
	// Timeout is the longest time a request may take, and the default if the
	// caller sets no timeout.
	Timeout Duration `json:"timeout"`
	// Regions lists the regions that may serve requests; empty means all.
	Regions []string `json:"regions,omitempty"`
	// RatePerSecond limits the requests accepted by all entry instances
	// together; 0 means no limit.
	RatePerSecond float64  `json:"rate_per_second,omitempty"`
	ShiftCap      ShiftCap `json:"shift_cap"`
	// RetryRatio is the fraction of requests that may be retried, such as 0.1.
	RetryRatio float64 `json:"retry_ratio"`
	// HedgeAfter is the delay before a hedged second attempt of an idempotent
	// request; 0 disables hedging.
	HedgeAfter Duration  `json:"hedge_after,omitempty"`
	Objective  Objective `json:"objective"`
}

// ShiftCap limits how much traffic may move to another serving region.
type ShiftCap struct {
	// Share is the fraction of Rate, 0 to 1, that may move from one window to
	// the next.
	Share  float64  `json:"share"`
	Window Duration `json:"window"`
	// Rate is the nominal rate of the service in requests per second.
	Rate float64 `json:"rate"`
}

// PerWindow returns the number of requests that may move from one window to the
// next.
func (c ShiftCap) PerWindow() float64 {
	return c.Share * c.Rate * c.Window.Std().Seconds()
}

// Objective is a service level objective (SLO). Burn rates are relative to it.
type Objective struct {
	// Availability is the target fraction of good responses, such as 0.999.
	Availability float64 `json:"availability"`
	// Latency is the time within which a response counts as good.
	Latency Duration `json:"latency"`
}

// Drain is a request to drain a backend server.
type Drain struct {
	BackendServer string    `json:"backend_server"`
	Version       uint64    `json:"version"`
	ChangeID      string    `json:"change_id"`
	Author        string    `json:"author,omitempty"`
	Reason        string    `json:"reason,omitempty"`
	StartedAt     time.Time `json:"started_at"`
}

// FindService returns the service with the given name or alias.
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

// Package fleet describes what the ingress serves and by which backend servers:
// the routing document, its services and limits, and the registered servers.
// It is pure; the platform adapter decodes these types from stored rows.
package fleet

import (
	"slices"
	"strings"
	"time"
)

// Route sends the requests of a host and path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string // begins and ends with a slash
	// Services are the services of the route with their weights. A route to one
	// service has one part.
	Services []WeightedService
	// Idempotent requests may run more than once; others at most once.
	Idempotent bool
	// Timeout bounds the time until the final answer, TargetLatency is the
	// latency objective.
	Timeout, TargetLatency time.Duration
	// MaxAttempts bounds the backend servers that one client attempt may
	// be sent to.
	MaxAttempts int
	Priority    int // 0 is the highest
	// AllowedRegions lists where requests may run; empty means everywhere.
	AllowedRegions []string
	// Sticky says that a server which has recently handled an object is
	// faster for it.
	Sticky bool
}

// WeightedService is the share of a service in the requests of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // of one server, from all callers
	// ColdStart is how long a new server stays cold, and ColdPerSecond the
	// rate of requests that a cold server tolerates.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// Document is one version of the routing configuration. It is immutable after
// NewDocument.
type Document struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	byHost map[string][]*Route // longest prefix first
}

// NewDocument indexes the routes of a document.
func NewDocument(version uint64, routes []Route, services []Service, limits Limits) *Document {
	d := &Document{
		Version: version, Routes: routes, Limits: limits,
		Services: make(map[string]Service, len(services)),
		byHost:   make(map[string][]*Route),
	}
	for _, s := range services {
		d.Services[s.Name] = s
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		d.byHost[host] = append(d.byHost[host], r)
	}
	for _, rs := range d.byHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return d
}

// Match returns the route with the longest prefix of path among the routes of
// a host, or nil.
func (d *Document) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range d.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// BackendServer is the registration of one run of a backend server.
type BackendServer struct {
	ID            string
	Service       string
	Addr          string // host:port
	FailureDomain string
	Slots         int
	// Draining servers get no new requests.
	Draining bool
	// ColdRemaining is how much longer the server stays cold after the
	// registration was written.
	ColdRemaining time.Duration
	// StartTime is the start of the server by its own clock. An id may be used
	// again by a later start.
	StartTime time.Time
}

// Member is the registration of one run of an entry instance.
type Member struct {
	ID            string `json:"id"`
	Incarnation   uint64 `json:"incarnation"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	ClientAddr    string `json:"client_addr"`
	PeerAddr      string `json:"peer_addr"`
	// LinkMbps is the capacity of the machine's link; 0 if it is not known.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

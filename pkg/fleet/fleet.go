// Package fleet defines the configuration of the ingress: the routing document
// with its services and limits, the registrations of backend servers and entry
// instances, and the settings of an instance. It does no I/O; the platform
// adapter decodes these types.
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
	// Services are the services of the route with their weights; at least one.
	Services []WeightedService
	// Idempotent says that requests may run more than once; others run at
	// most once.
	Idempotent bool
	// Timeout bounds the time until the final response, TargetLatency is the
	// latency objective.
	Timeout, TargetLatency time.Duration
	// MaxAttempts bounds the number of backend servers to which one client
	// request may be sent.
	MaxAttempts int
	Priority    int // 0 is the highest
	// AllowedRegions lists the regions in which requests may run; empty means
	// all.
	AllowedRegions []string
	// Sticky says that a server that has recently handled an object is faster
	// for it.
	Sticky bool
	// Public says that requests need no key, even if the document has organisations.
	Public bool
}

// WeightedService is a service of a route; its share of the requests is
// proportional to Weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // to one server, from all callers
	// ColdStart is how long a new server stays cold, and ColdPerSecond the
	// request rate that a cold server tolerates.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Limits bound what a client may send.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// Document is one version of the routing configuration. It is immutable after
// NewDocument and SetOrganisations.
type Document struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	byHost        map[string][]*Route // longest prefix first
	organisations *organisations      // nil if requests carry no keys
}

// NewDocument returns a document with its routes indexed by host.
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

// BackendServer is the registration of one process of a backend server.
type BackendServer struct {
	ID            string
	Service       string
	Addr          string // host:port
	FailureDomain string
	Slots         int
	// Draining says that the server is to get no new requests.
	Draining bool
	// ColdRemaining is how long the server stays cold after the registration
	// was written.
	ColdRemaining time.Duration
	// StartTime is the start of the process by its own clock. A later process
	// may reuse the id.
	StartTime time.Time
}

// HasStart reports whether the registration says when the process started.
func (s BackendServer) HasStart() bool { return s.StartTime.UnixMilli() > 0 }

// Member is the registration of one process of an entry instance.
type Member struct {
	ID            string `json:"id"`
	Incarnation   uint64 `json:"incarnation"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	ClientAddr    string `json:"client_addr"`
	PeerAddr      string `json:"peer_addr"`
	// LinkMbps is the capacity of the machine's network link; 0 if unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

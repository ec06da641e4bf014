// Package ingress serves the routes of a platform's routing documents: it
// listens for clients, selects a backend server for each request and forwards
// it, replicates tables from the store, and serves directory lookups. The decision
// logic is in packages placement, registry, roster, replica and budget, which do
// no I/O.
package ingress

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionrack/dandelionrack/internal/bytebudget"
	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/httpserver"
	"github.com/dandelionrack/dandelionrack/pkg/notices"
	"github.com/dandelionrack/dandelionrack/pkg/peer"
	"github.com/dandelionrack/dandelionrack/pkg/registry"
	"github.com/dandelionrack/dandelionrack/pkg/replica"
	"github.com/dandelionrack/dandelionrack/pkg/roster"
	"github.com/dandelionrack/dandelionrack/pkg/upstream"

	"github.com/zeromicro/go-zero/rest"
)

// Options configures New.
type Options struct {
	Instance fleet.InstanceConfig
	Settings Settings
	Protocol Protocol
	// NewStore returns a client of the store at an address. It is called again
	// when a reload changes the address. The client reports each call to observe.
	NewStore func(addr string, observe func(call string, took time.Duration, err error)) replica.Store
	Log      hclog.Logger
	// DroppedLines, if set, returns the number of log lines that were dropped
	// because the reader of the log was blocked.
	DroppedLines func() int64
}

// Ingress is one entry instance on the platform.
type Ingress struct {
	settings Settings
	protocol Protocol
	newStore func(addr string, observe func(string, time.Duration, error)) replica.Store
	instance atomic.Pointer[fleet.InstanceConfig]
	store    atomic.Pointer[storeClient]
	self     fleet.Member
	log      *rateLimitedLogger
	metrics  *metrics

	selector   *selector
	quotas     *quotas
	backends   *upstream.Pool
	peers      *peer.Pool
	peerServer *peer.Server
	bodyBudget *bytebudget.Budget
	headMemory *httpserver.HeadMemory

	mu       sync.Mutex // guards the fields below
	tables   map[replica.TableName]*replica.Table
	eras     map[replica.TableName]uint64 // of the store, as last logged
	registry *registry.Registry
	roster   *roster.Roster
	links    map[string]*link
	rows     *rowEncoder
	// membersRequestedAt is when a peer was last asked for all members it knows.
	membersRequestedAt time.Time
	unknownMembers     bool      // a peer has named members that are not known here
	started            time.Time // set by New, then read-only

	noticesMu sync.Mutex // guards notices; taken after mu
	notices   *notices.Book

	membersRead       atomic.Bool  // the members table has been read from the store
	viewOutdated      atomic.Bool  // refresh must run: the members or the limited servers have changed
	lastStoreResponse atomic.Int64 // Unix time in nanoseconds; 0: never
	document          atomic.Pointer[fleet.Document]
	serversKnown      atomic.Bool
	leaving           atomic.Bool
	stopping          atomic.Pointer[stopSchedule] // nil unless a planned stop has begun; set before leaving
	inFlight          inFlight
	// abandoned ends when requests in flight must get their final reply, because the
	// process ends. abandon ends it.
	abandoned     context.Context
	abandon       context.CancelFunc
	following     atomic.Bool      // reads the store for its region
	followers     []*tableFollower // one for each replicated table; read-only after New
	pushRequested chan struct{}
	rolledBack    chan struct{} // the store has gone back to an older copy
}

// storeClient is a store client with the address that it was built for.
type storeClient struct {
	replica.Store
	addr string
}

// New returns an Ingress. It opens no listener before Run.
func New(o Options) *Ingress {
	now := time.Now()
	g := &Ingress{
		settings: o.Settings, protocol: o.Protocol, newStore: o.NewStore,
		self: fleet.Member{
			ID: o.Instance.ID, Incarnation: uint64(now.UnixMicro()),
			FailureDomain: o.Instance.FailureDomain, Region: o.Instance.Region,
			ClientAddr: o.Instance.ClientAddr, PeerAddr: o.Instance.PeerAddr, LinkMbps: o.Instance.LinkMbps,
		},
		log:        newRateLimitedLogger(o.Log, o.Settings.LogLinesPerSecond),
		metrics:    newMetrics(),
		selector:   newSelector(o.Instance),
		backends:   upstream.New(upstream.Config{}),
		bodyBudget: bytebudget.New(o.Settings.MaxBufferedBytes),
		headMemory: httpserver.NewHeadMemory(o.Settings.MaxBufferedBytes / headMemoryShare),
		tables: map[replica.TableName]*replica.Table{
			replica.Operator: replica.New(), replica.Servers: replica.New(),
		},
		eras:          map[replica.TableName]uint64{},
		registry:      registry.New(o.Protocol),
		notices:       notices.NewBook(),
		links:         map[string]*link{},
		rows:          newRowEncoder(),
		started:       now,
		pushRequested: make(chan struct{}, 1),
		rolledBack:    make(chan struct{}, 1),
	}
	for _, table := range replicatedTables {
		g.followers = append(g.followers, newTableFollower(g, table))
	}
	g.abandoned, g.abandon = context.WithCancel(context.Background())
	g.roster = roster.New(g.self)
	g.quotas = newQuotas(g.self)
	g.backends.OnOpen = func() { g.metrics.connections.Add(1) }
	g.setInstance(o.Instance)
	base := peer.Config{
		Self: g.self.ID, Incarnation: g.self.Incarnation, Logger: hclog.NewNullLogger(),
		KeepAlive: peerKeepAlive, ControlTimeout: heartbeatTimeout, DialTimeout: heartbeatTimeout,
	}
	g.peers = peer.NewPool(base)
	base.Handler = g
	g.peerServer = peer.NewServer(base)
	g.metrics.publishGauges(g)
	if o.DroppedLines != nil {
		g.metrics.root.Set("log_lines_dropped", expvar.Func(func() any { return o.DroppedLines() }))
	}
	return g
}

// setInstance applies new platform settings.
func (g *Ingress) setInstance(n fleet.InstanceConfig) {
	g.instance.Store(&n)
	g.selector.setLimits(time.Now(), &n)
	g.mu.Lock()
	g.registry.SetLimits(n.Bounds.Drain, n.HeartbeatInterval)
	g.roster.SetBounds(n.Bounds)
	g.mu.Unlock()
	if old := g.store.Load(); old == nil || old.addr != n.StoreAddr {
		g.store.Store(&storeClient{g.newStore(n.StoreAddr, g.observeStore), n.StoreAddr})
	}
}

// Reload applies changed platform settings. Changed listen addresses take effect
// only after a restart.
func (g *Ingress) Reload(n fleet.InstanceConfig) {
	g.log.write(hclog.Info, "settings reloaded", "store", n.StoreAddr)
	g.setInstance(n)
	g.refresh(time.Now())
}

// Run serves until ctx ends and then stops gracefully.
func (g *Ingress) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, groupCtx := errgroup.WithContext(background)
	servers, err := g.listen(group)
	if err != nil {
		return err
	}
	tasks := []func(context.Context){g.register, g.registerAgain, g.runPeers, g.runTimers}
	for _, f := range g.followers {
		tasks = append(tasks, f.run)
	}
	for _, run := range tasks {
		group.Go(func() error { run(groupCtx); return nil })
	}
	g.log.write(hclog.Info, "entry instance started", "incarnation", g.self.Incarnation, "failure_domain", g.self.FailureDomain,
		"clients", g.self.ClientAddr, "peers", g.self.PeerAddr, "store", g.instance.Load().StoreAddr)
	select {
	case <-ctx.Done():
		g.stop(servers)
	case <-groupCtx.Done():
		g.log.write(hclog.Error, "entry instance failed; stopping")
	}
	cancel()
	g.peers.Close()
	g.backends.Close()
	return group.Wait()
}

// localServers are the HTTP servers of this process.
type localServers struct {
	clients *httpserver.Server
	others  []*httpserver.Server
}

// Names of listeners.
const (
	clientListener  = "clients"
	metricsListener = "metrics"
)

const (
	// reservedFiles is the number of descriptors that the platform reserves for files.
	reservedFiles = 200
	// clientFileShare is the divisor for the descriptors that clients may use; the
	// others are for backend servers, peers and the store.
	clientFileShare = 2
	// directoryFileShare is the divisor for those that clients of the directory may use.
	// A lookup takes milliseconds, and its connection is not used again soon.
	directoryFileShare = 8
	// The platform makes one readiness check a second, and one process reads metrics.
	maxReadyConnections   = 64
	maxMetricsConnections = 16
	// headMemoryShare is the divisor of Settings.MaxBufferedBytes that gives the memory
	// for heads of requests.
	headMemoryShare = 4
	// defaultIdleTimeout applies while no document is known.
	defaultIdleTimeout = 15 * time.Second
)

// maxConnections returns the bound of open connections of a listener that may use a
// share of the descriptors, given by its divisor; 0 for none.
func maxConnections(maxOpenFiles, share int) int {
	if maxOpenFiles <= 0 {
		return 0
	}
	return max(1, (maxOpenFiles-reservedFiles)/share)
}

// clientIdleTimeout returns how long a client's connection may be idle.
func (g *Ingress) clientIdleTimeout() time.Duration {
	if doc := g.document.Load(); doc != nil && doc.Limits.IdleTimeout > 0 {
		return doc.Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

func (g *Ingress) listen(group *errgroup.Group) (*localServers, error) {
	n := g.instance.Load()
	out := &localServers{}
	for _, l := range []struct {
		name, addr     string
		routes         []rest.Route
		fallback       http.HandlerFunc
		maxConnections int
	}{
		{clientListener, n.ClientAddr, nil, g.handleRequest, maxConnections(n.MaxOpenFiles, clientFileShare)},
		{"ready", n.ReadyAddr, []rest.Route{{Method: http.MethodGet, Path: g.protocol.ReadyPath(), Handler: g.handleReady}}, nil, maxReadyConnections},
		{"directory", n.DirectoryAddr, []rest.Route{{Method: http.MethodGet, Path: g.protocol.LookupPath(), Handler: g.handleLookup}}, nil, maxConnections(n.MaxOpenFiles, directoryFileShare)},
		{metricsListener, n.MetricsAddr, nil, g.metrics.handle, maxMetricsConnections},
	} {
		if l.addr == "" {
			continue
		}
		cfg := httpserver.Config{
			Name: l.name, Routes: l.routes, Fallback: l.fallback, Closing: g.leaving.Load,
			MaxConnections: l.maxConnections, HeadMemory: g.headMemory, Refuse: g.refuseHead,
		}
		if l.name == clientListener {
			cfg.IdleTimeout = g.clientIdleTimeout
		}
		srv, err := httpserver.New(cfg)
		if err != nil {
			return nil, err
		}
		listener, err := net.Listen("tcp", l.addr)
		if err != nil && l.name == metricsListener {
			// Requests are served without metrics.
			g.log.write(hclog.Warn, "metrics are unavailable: cannot listen", "addr", l.addr, "error", err)
			continue
		}
		if err != nil {
			return nil, errors.Wrapf(err, "listen for %s on %s", l.name, l.addr)
		}
		group.Go(func() error { return srv.Serve(listener) })
		if l.name == clientListener {
			out.clients = srv
		} else {
			out.others = append(out.others, srv)
		}
	}
	if n.PeerAddr != "" {
		listener, err := net.Listen("tcp", n.PeerAddr)
		if err != nil {
			return nil, errors.Wrapf(err, "listen for peers on %s", n.PeerAddr)
		}
		group.Go(func() error { return g.peerServer.Serve(listener) })
	}
	return out, nil
}

// ready reports whether requests can be served.
func (g *Ingress) ready() bool {
	return !g.leaving.Load() && g.document.Load() != nil && g.serversKnown.Load()
}

func (g *Ingress) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !g.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (g *Ingress) handleLookup(w http.ResponseWriter, r *http.Request) {
	g.metrics.lookups.Add(1)
	g.mu.Lock()
	addrs := g.roster.ClientAddrs(time.Now(), g.protocol.ReadLookup(r.URL.Query()), newRand())
	g.mu.Unlock()
	if len(addrs) == 0 {
		g.log.writeLimited("lookup", hclog.Warn, "lookup refused: no ready entry instance is known")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ttl := min(g.settings.LookupTTL.Std(), g.instance.Load().Bounds.MaxLookupTTL)
	body, err := g.protocol.EncodeLookupResponse(addrs, ttl)
	if err != nil {
		g.log.write(hclog.Error, "lookup failed", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // fails only if the client has disconnected
}

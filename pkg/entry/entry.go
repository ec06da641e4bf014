// Package entry implements an entry instance: the listeners for callers,
// operators and peers, the request path, and the timers that drive the packages
// without I/O, such as admission and membership.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/dandelionrack/dandelionrack/internal/bytebudget"
	"github.com/dandelionrack/dandelionrack/pkg/admission"
	"github.com/dandelionrack/dandelionrack/pkg/backend"
	"github.com/dandelionrack/dandelionrack/pkg/burn"
	"github.com/dandelionrack/dandelionrack/pkg/claim"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/configstore"
	"github.com/dandelionrack/dandelionrack/pkg/httpserver"
	"github.com/dandelionrack/dandelionrack/pkg/membership"
	"github.com/dandelionrack/dandelionrack/pkg/peer"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
	"github.com/dandelionrack/dandelionrack/pkg/trace"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// Entry is one entry instance.
type Entry struct {
	settings Settings
	self     claim.Incarnation
	started  time.Time
	log      hclog.Logger
	metrics  *metrics

	platform       platform.Platform
	store          *configstore.Store
	config         *config.Holder
	applyMu        sync.Mutex
	view           atomic.Pointer[configView]
	fetchingConfig atomic.Bool

	blocks *blockStore
	// blockReadLimiter limits the rate at which client block objects are read for
	// operators.
	blockReadLimiter *rate.Limiter
	gate             *gate
	limits           *limits
	claims           *claim.Manager
	backends         *backend.Pool
	poller           *backend.Poller
	buffers          *bytebudget.Budget
	headMemory       *httpserver.HeadMemory
	rankings         rankingCache
	// serversChanged wakes runWarm after a configuration change.
	serversChanged chan struct{}

	membersMu    sync.Mutex
	members      *membership.Members
	heartbeatDue chan struct{} // see triggerHeartbeat
	senders      heartbeatSenders
	peers        *peer.Pool
	peerServer   *peer.Server

	leavingMu          sync.Mutex
	leavingPlatform    map[string]bool // backend servers that the platform lists as leaving
	platformEntries    map[string]bool // entry instances in the platform's list
	platformListReadAt time.Time
	leavingHealth      map[string]bool // backend servers that report that they drain
	unreachable        map[string]bool // backend servers that accept no connections

	handoverMu        sync.Mutex
	handoverConfirmed map[string]bool // peers that confirmed a clean stop of the predecessor
	holdOffCleared    bool

	burn     *burn.Counters
	spans    *trace.Ring
	archiver *trace.Archiver

	callers   *httpserver.Server
	operators *httpserver.Server

	fenceMu  sync.Mutex
	fence    *membership.Fence
	replaced chan struct{} // closed when a newer incarnation of this entry instance is known
	stopped  chan struct{} // closed at the end of Run
	// unconfirmed is set while the fence blocks admission after a pause.
	unconfirmed atomic.Bool

	leaving       atomic.Bool
	heardAllPeers atomic.Bool // set by heardFromPeers
	inFlight      sync.WaitGroup
}

// platformTimeout bounds one call to the platform. It is longer than the commit
// timeout of claims, so that the commit timeout decides how long a slow store is
// waited for. Code that needs a shorter limit sets its own deadline.
const platformTimeout = 4 * time.Second

// newIncarnationNumber returns a number that orders the runs of an entry
// instance: the start time in milliseconds, followed by random bits that
// distinguish starts within the same millisecond.
func newIncarnationNumber(now time.Time) uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:])
	const randomBits = 20
	return uint64(now.UnixMilli())<<randomBits | binary.BigEndian.Uint64(random[:])>>(64-randomBits)
}

// New returns an entry instance. It does not listen before Run is called.
func New(settings Settings, logger hclog.Logger) (*Entry, error) {
	settings.SetDefaults()
	now := time.Now()
	self := claim.Incarnation{Entry: settings.ID, Number: newIncarnationNumber(now)}
	e := &Entry{
		settings:          settings,
		self:              self,
		started:           now,
		log:               logger.With("entry", settings.ID),
		metrics:           newMetrics(),
		platform:          platform.NewClient(platform.ClientConfig{BaseURL: settings.PlatformURL, Timeout: platformTimeout}),
		config:            &config.Holder{},
		backends:          backend.NewPool(backend.Config{}),
		buffers:           bytebudget.New(settings.MaxBufferedBytes),
		headMemory:        httpserver.NewHeadMemory(settings.MaxBufferedBytes / headMemoryShare),
		members:           membership.New(membership.Config{Self: settings.ID}),
		leavingPlatform:   map[string]bool{},
		leavingHealth:     map[string]bool{},
		unreachable:       map[string]bool{},
		handoverConfirmed: map[string]bool{},
		fence:             membership.NewFence(self.Number),
		replaced:          make(chan struct{}),
		stopped:           make(chan struct{}),
		serversChanged:    make(chan struct{}, 1),
		heartbeatDue:      make(chan struct{}, 1),
		burn:              burn.New(burn.Config{}),
		spans:             trace.NewRing(trace.RingConfig{}),
	}
	e.senders.entry = e
	e.senders.byPeer = map[string]*heartbeatSender{}
	e.store = configstore.New(e.platform, newRequestID)
	e.blocks = newBlockStore(settings.BlocksBytesPerSecond, blockSeed(settings.ID), storeSource{e.platform}, e.log)
	e.blocks.peers = e.blockPeers
	e.blockReadLimiter = rate.NewLimiter(blockReadsPerSecond, maxConcurrentBlockReads)
	e.limits = newLimits(now, settings.NoPredecessor)
	e.archiver = trace.NewArchiver(trace.ArchiverConfig{
		Entry:       settings.ID,
		Objects:     e.platform,
		WriterCount: e.configuredEntries,
		Logger:      e.log,
	})
	e.claims = claim.NewManager(claim.Config{
		Self:       self,
		Table:      e.platform,
		EntryCount: e.configuredEntries,
		IsAlive:    e.incarnationAlive,
		Logger:     e.log,
	})
	if err := e.buildPeers(); err != nil {
		return nil, err
	}
	e.publishState()
	return e, e.buildListeners()
}

func (e *Entry) buildPeers() error {
	client, server, err := e.settings.PeerTLS.load()
	if err != nil {
		return err
	}
	traffic := &peer.Traffic{}
	e.metrics.publish("peer_traffic", func() any { return traffic.Snapshot() })
	base := peer.Config{Self: e.self.Entry, Incarnation: e.self.Number, Logger: e.log, Traffic: traffic}
	pool, accept := base, base
	pool.TLS = client
	accept.TLS = server
	accept.Handler = e
	e.peers = peer.NewPool(pool)
	e.peerServer = peer.NewServer(accept)
	return nil
}

const (
	// headMemoryShare is the divisor of Settings.MaxBufferedBytes that gives the memory
	// for heads of requests.
	headMemoryShare = 4
	// maxOperatorConnections bounds the open connections of operators, who send a few
	// calls a second.
	maxOperatorConnections = 64
)

func (e *Entry) buildListeners() error {
	var err error
	e.callers, err = httpserver.New(httpserver.Config{
		Name:           "callers",
		Routes:         e.callerRoutes(),
		Fallback:       e.handleCall,
		MaxConnections: e.settings.MaxCallerConnections,
		Closing:        e.leaving.Load,
		HeadMemory:     e.headMemory,
		Refuse:         e.refuseHead,
	})
	if err != nil {
		return err
	}
	tlsConfig, err := e.settings.TLS.load()
	if err != nil {
		return err
	}
	e.operators, err = httpserver.New(httpserver.Config{
		Name:   "operators",
		Routes: e.operatorRoutes(),
		TLS:    tlsConfig,

		MaxConnections: maxOperatorConnections,
		HeadMemory:     e.headMemory,
	})
	return err
}

// Run serves until ctx ends and then stops gracefully. It returns when no
// request is in flight any more.
func (e *Entry) Run(ctx context.Context) error {
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	e.gate = newGate(admission.New(admission.Config{
		// This process accepts connections from now on. An entry instance that
		// borrows its slots may still find it gone for up to RefusalMaxAge after
		// the last refused connection.
		Start:         time.Now().Add(membership.DefaultRefusalMaxAge),
		NoPredecessor: e.settings.NoPredecessor,
	}), e.handlePause)
	defer close(e.stopped)
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	e.poller = backend.NewPoller(background, backend.PollerConfig{Interval: reportInterval}, e.handleReport)
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { return e.callers.Serve(listeners.callers) })
	group.Go(func() error { return e.operators.Serve(listeners.operators) })
	group.Go(func() error { return e.peerServer.Serve(listeners.peers) })
	e.startTimers(groupCtx, group)
	e.log.Info("entry instance started", "incarnation", e.self.Number, "callers", e.settings.CallerAddr,
		"peers", e.settings.PeerAddr, "operators", e.settings.OperatorAddr)

	var failure error
	select {
	case <-ctx.Done():
		e.stop()
	case <-e.replaced:
		e.stopReplaced()
		failure = ErrReplaced
	case <-groupCtx.Done():
		e.log.Error("entry instance failed; stopping")
	}
	cancel()
	e.peers.Close()
	e.backends.Close()
	if err := group.Wait(); err != nil {
		return err
	}
	return failure
}

func (e *Entry) startTimers(ctx context.Context, group *errgroup.Group) {
	for _, run := range []func(context.Context){
		e.gate.run,
		e.runConfigPoll,
		e.runHeartbeats,
		e.runInstanceList,
		e.blocks.run,
		e.runWarm,
		e.archiver.Run,
	} {
		group.Go(func() error {
			run(ctx)
			return nil
		})
	}
	group.Go(func() error { return untilCanceled(ctx, e.claims.Run) })
}

// untilCanceled calls run and drops its error if ctx has ended.
func untilCanceled(ctx context.Context, run func(context.Context) error) error {
	err := run(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

type listeners struct {
	callers, operators, peers net.Listener
}

func (e *Entry) listen() (*listeners, error) {
	var out listeners
	for _, l := range []struct {
		addr string
		into *net.Listener
	}{
		{e.settings.CallerAddr, &out.callers},
		{e.settings.OperatorAddr, &out.operators},
		{e.settings.PeerAddr, &out.peers},
	} {
		listener, err := net.Listen("tcp", l.addr)
		if err != nil {
			return nil, errors.Wrapf(err, "listen on %s", l.addr)
		}
		*l.into = listener
	}
	return &out, nil
}

// Handle implements peer.Handler: it dispatches a peer's request by type.
func (e *Entry) Handle(ctx context.Context, req *wire.Request) *wire.Response {
	switch call := req.GetCall().(type) {
	case *wire.Request_Forward:
		return e.handleForward(ctx, req.GetFromEntry(), call.Forward)
	case *wire.Request_ConfigFetch:
		return e.handleConfigFetch(req.GetFromEntry(), call.ConfigFetch)
	case *wire.Request_ConfigPush:
		return e.handleConfigPush(call.ConfigPush)
	case *wire.Request_Leave:
		return e.handleLeave(req.GetFromEntry(), req.GetFromIncarnation(), call.Leave)
	case *wire.Request_TraceQuery:
		return e.handleTraceQuery(call.TraceQuery)
	case *wire.Request_BurnQuery:
		return e.handleBurnQuery()
	case *wire.Request_StatusQuery:
		return e.handleStatusQuery(call.StatusQuery)
	case *wire.Request_BlockFetch:
		return e.handleBlockFetch(call.BlockFetch)
	default:
		return &wire.Response{Error: "unknown call"}
	}
}

// callPeer sends a request to the peer with the given configured address.
func (e *Entry) callPeer(ctx context.Context, addr string, req *wire.Request) (*wire.Response, error) {
	return e.peers.Call(ctx, e.settings.dialAddr(addr), req)
}

func (e *Entry) currentView() *configView { return e.view.Load() }

func (e *Entry) configVersion() uint64 {
	if v := e.currentView(); v != nil {
		return v.doc.Version
	}
	return 0
}

// aliveTimeout is the age of its last heartbeat up to which an incarnation counts
// as alive and is expected to settle its claims itself. After that they are
// listed as unresolved, although a process behind a broken link may still run.
const aliveTimeout = 2 * time.Second

// incarnationAlive reports whether an incarnation is this one or has sent a
// heartbeat within aliveTimeout.
func (e *Entry) incarnationAlive(i claim.Incarnation) bool {
	if i == e.self {
		return true
	}
	e.membersMu.Lock()
	defer e.membersMu.Unlock()
	st := e.members.Peer(i.Entry)
	return st.Incarnation == i.Number && time.Since(st.LastHeard) < aliveTimeout
}

func (e *Entry) configuredEntries() int {
	if v := e.currentView(); v != nil {
		return len(v.doc.Deployment.EntryInstances)
	}
	return 1
}

func (e *Entry) state() wire.EntryState {
	switch {
	case e.leaving.Load():
		return wire.EntryState_ENTRY_STATE_LEAVING
	case e.canServe():
		return wire.EntryState_ENTRY_STATE_READY
	default:
		return wire.EntryState_ENTRY_STATE_NOT_READY
	}
}

// canServe reports whether this entry instance can serve: the current
// configuration lists it, its client blocks are complete (a partial table would
// give callers the wrong home region), no confirmation is pending after a pause,
// and it has heard from its peers.
func (e *Entry) canServe() bool {
	v := e.currentView()
	if v == nil || e.unconfirmed.Load() {
		return false
	}
	_, ok := v.entries[e.settings.ID]
	return ok && v.blocks.Load() != nil && e.heardFromPeers(v)
}

// startupPeerWait is how long after a start an entry instance waits for the first
// heartbeats of all peers. Unreachable peers do not delay readiness any longer.
const startupPeerWait = time.Second

// heardFromPeers reports whether every peer has sent a heartbeat since the start,
// or startupPeerWait has passed. Until then this instance would refuse requests
// that its peers can serve: its own slots are in the hold-off, in which requests of
// its predecessor may still use them, and it knows of no free slots elsewhere.
// Without a predecessor there is no hold-off to wait for.
func (e *Entry) heardFromPeers(v *configView) bool {
	if e.settings.NoPredecessor || e.heardAllPeers.Load() {
		return true
	}
	if time.Since(e.started) < startupPeerWait {
		e.membersMu.Lock()
		defer e.membersMu.Unlock()
		for id := range v.entries {
			if id != e.settings.ID && e.members.Peer(id).LastHeard.IsZero() {
				return false
			}
		}
	}
	e.heardAllPeers.Store(true)
	return true
}

// serve processes a caller's request and returns the reply to send.
func (e *Entry) serve(ctx context.Context, req *request) reply {
	if req.service.Idempotent {
		return e.dispatch(ctx, req)
	}
	return e.serveAtMostOnce(ctx, req)
}

// recordSpan adds a span of a request to the in-memory ring and to the archive.
func (e *Entry) recordSpan(req *request, s trace.Span) {
	s.RequestID = req.id
	s.At = time.Now()
	s.Entry = e.settings.ID
	s.FailureDomain = e.settings.FailureDomain
	s.Customer = req.contract.Customer
	s.Service = req.service.Name
	s.ContractVersion = req.contract.Version
	s.ConfigVersion = req.view.doc.Version
	e.spans.Add(s)
	e.archiver.Add(s)
}

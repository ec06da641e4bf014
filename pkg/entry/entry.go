// Package entry assembles one entry instance: listeners for callers, operators
// and peers, the request path, and the timers that drive the pure packages.
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

	platform platform.Platform
	store    *configstore.Store
	config   *config.Holder
	applyMu  sync.Mutex
	view     atomic.Pointer[configView]
	fetching atomic.Bool

	blocks *blockStore
	// blockReads paces the reads of client block objects for operators.
	blockReadLimiter *rate.Limiter
	gate             *gate
	limits           *limits
	claims           *claim.Manager
	backends         *backend.Pool
	poller           *backend.Poller
	buffers          *bytebudget.Budget
	orders           orderCache
	// serversChanged wakes runWarm after a configuration change.
	serversChanged chan struct{}

	membersMu    sync.Mutex
	members      *membership.Members
	heartbeatDue chan struct{} // see heartbeatNow
	senders      heartbeatSenders
	peers        *peer.Pool
	peerServer   *peer.Server

	leavingMu          sync.Mutex
	leavingPlatform    map[string]bool
	platformEntries    map[string]bool // entry instances in the platform's list
	platformListReadAt time.Time
	leavingHealth      map[string]bool
	unreachable        map[string]bool

	handoverMu        sync.Mutex
	handoverConfirmed map[string]bool
	holdOffCleared    bool

	burn     *burn.Counters
	spans    *trace.Ring
	archiver *trace.Archiver

	callers   *httpserver.Server
	operators *httpserver.Server

	fenceMu  sync.Mutex
	fence    *membership.Fence
	replaced chan struct{} // closed when a newer process is known at this seat
	stopped  chan struct{} // closed at the end of Run
	// unconfirmed is set while no work may be admitted after a pause.
	unconfirmed atomic.Bool

	leaving       atomic.Bool
	heardAllPeers atomic.Bool // see metPeers
	inFlight      sync.WaitGroup
}

// platformTimeout bounds one call to the platform. It is longer than the commit
// timeout of claims, so that a slow store is waited for as long as that allows;
// other callers bound their calls themselves.
const platformTimeout = 4 * time.Second

// newIncarnationNumber orders the runs of an entry instance: the start time in
// milliseconds, then random bits for starts within the same millisecond.
func newIncarnationNumber(now time.Time) uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:])
	const randomBits = 20
	return uint64(now.UnixMilli())<<randomBits | binary.BigEndian.Uint64(random[:])>>(64-randomBits)
}

// New builds an entry instance. Nothing listens before Run.
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
		Entry:   settings.ID,
		Objects: e.platform,
		Writers: e.configuredEntries,
		Logger:  e.log,
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

func (e *Entry) buildListeners() error {
	var err error
	e.callers, err = httpserver.New(httpserver.Config{
		Name:           "callers",
		Routes:         e.callerRoutes(),
		Fallback:       e.handleCall,
		MaxConnections: e.settings.MaxCallerConnections,
		Closing:        e.leaving.Load,
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
	})
	return err
}

// Run serves until ctx ends and then stops gracefully. It returns after no
// request is in flight.
func (e *Entry) Run(ctx context.Context) error {
	listeners, err := e.listen()
	if err != nil {
		return err
	}
	e.gate = newGate(admission.New(admission.Config{
		// A seat that borrows from this one may have made its last check up to
		// RefusalMaxAge after the last refused connection, and this process has
		// accepted connections since just now.
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

// untilCanceled drops the error that only says that the context ended.
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

// Handle answers the calls of peers.
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

// callPeer calls the peer at a configured address.
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

// liveFor is how long after its last heartbeat an incarnation may still settle
// its claims by itself. Later they are listed as unresolved; a process behind a
// cut link is not provably gone.
const aliveTimeout = 2 * time.Second

// incarnationLive reports whether an incarnation is known to be running.
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
	case e.configured():
		return wire.EntryState_ENTRY_STATE_READY
	default:
		return wire.EntryState_ENTRY_STATE_NOT_READY
	}
}

// configured reports whether a configuration is known and names this entry
// instance, so that it has a seat, and whether its client blocks are complete:
// a partial table would give callers the wrong home region.
func (e *Entry) configured() bool {
	v := e.currentView()
	if v == nil || e.unconfirmed.Load() {
		return false
	}
	_, ok := v.entries[e.settings.ID]
	return ok && v.blocks.Load() != nil && e.heardFromPeers(v)
}

// meetingTime bounds the wait for the first heartbeats of peers after a start.
// Dead or cut peers do not delay it further.
const startupPeerWait = time.Second

// metPeers reports whether every peer was heard from since the start, or
// meetingTime has passed. Before, this instance has no slots of its own (the
// hold-off) and knows of none elsewhere, so it would refuse requests that its
// peers can serve. Without a predecessor its own slots are usable at once.
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

// serve runs a caller's request to its end.
func (e *Entry) serve(ctx context.Context, req *request) reply {
	if req.service.Idempotent {
		return e.dispatch(ctx, req)
	}
	return e.serveAtMostOnce(ctx, req)
}

// span records one step of a request in the ring and for the archive.
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

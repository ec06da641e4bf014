package ingress

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/peer"
	"github.com/dandelionrack/dandelionrack/pkg/registry"
	"github.com/dandelionrack/dandelionrack/pkg/replica"
	"github.com/dandelionrack/dandelionrack/pkg/roster"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

const (
	// heartbeatTimeout bounds one exchange with a peer: several round trips
	// of 110 ms, and less than the interval and the life of a peer.
	heartbeatTimeout = 900 * time.Millisecond
	// peerKeepAlive is the interval of yamux pings. Heartbeats find silent
	// connections earlier, so it is long.
	peerKeepAlive = 30 * time.Second
	// silentInterval is the time between heartbeats to a peer that does not
	// answer.
	silentInterval = 2 * time.Second
	// pushPace is the least time between two exchanges with a peer.
	pushPace = 50 * time.Millisecond
	// introduceInterval is the least time between two requests for all members
	// that a peer knows, and meetingTime how long after its start an instance
	// makes them: instances that start together learn of each other late.
	introduceInterval = time.Second
	meetingTime       = 10 * time.Second
)

// link is the exchange of heartbeats with one peer.
type link struct {
	member fleet.Member
	wake   chan struct{}
	cancel context.CancelFunc
	// has is what the peer had at its last message.
	has map[replica.TableName]replica.State
	met bool
	// lost says that the last call failed, for the log.
	lost bool
}

// runPeers keeps one link to every known member, and asks the seeds for
// members at the start.
func (g *Ingress) runPeers(ctx context.Context) {
	go g.runSeeds(ctx)
	ticker := time.NewTicker(followCheck)
	defer ticker.Stop()
	// If the store has not answered by then, peers are asked for their tables.
	time.AfterFunc(replica.PullDelay, g.pushNow)
	for {
		g.reconcileLinks(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.changed:
			g.wakeLinks()
		}
	}
}

// runSeeds asks the seeds for members, again until the members were read from the
// store: after a restart of all, the seeds may start later.
func (g *Ingress) runSeeds(ctx context.Context) {
	for {
		for _, addr := range g.node.Load().Seeds {
			if addr != g.self.PeerAddr {
				go g.askSeed(ctx, addr)
			}
		}
		if wait.Sleep(ctx, introduceInterval) != nil || g.membersRead.Load() {
			return
		}
	}
}

// askSeed exchanges one heartbeat with an address of which no member is known.
func (g *Ingress) askSeed(ctx context.Context, addr string) {
	message := g.callMessage(&link{})
	message.Introduce = true
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := g.callPeer(callCtx, addr, message)
	if err != nil {
		g.log.line(hclog.Debug, "seed does not answer", "addr", addr, "error", err)
		return
	}
	g.takeSync(time.Now(), reply)
}

func (g *Ingress) reconcileLinks(ctx context.Context) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	known := map[string]bool{}
	for _, m := range g.roster.HeartbeatPeers(now) {
		known[m.ID] = true
		if l := g.links[m.ID]; l != nil {
			if l.member.PeerAddr == m.PeerAddr {
				continue
			}
			l.cancel()
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := &link{member: m, wake: make(chan struct{}, 1), cancel: cancel, has: map[replica.TableName]replica.State{}}
		g.links[m.ID] = l
		go g.runLink(linkCtx, l, m.PeerAddr)
	}
	for id, l := range g.links {
		if !known[id] {
			l.cancel()
			delete(g.links, id)
			g.peers.CloseSessions(l.member.PeerAddr)
		}
	}
}

func (g *Ingress) wakeLinks() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.links {
		l.wakeUp()
	}
}

// wakeUp makes the link send at once.
func (l *link) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// pushNow makes all links send at once.
func (g *Ingress) pushNow() {
	select {
	case g.changed <- struct{}{}:
	default:
	}
}

func (g *Ingress) runLink(ctx context.Context, l *link, addr string) {
	for ctx.Err() == nil {
		ok := g.beat(ctx, l, addr)
		interval := g.settings.HeartbeatInterval.Std()
		if !ok {
			interval = silentInterval
		}
		_ = wait.Sleep(ctx, pushPace) // the select sees the end of ctx
		timer := time.NewTimer(interval - pushPace)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-l.wake:
		}
		timer.Stop()
	}
}

// beat exchanges one heartbeat with a peer.
func (g *Ingress) beat(ctx context.Context, l *link, addr string) bool {
	message := g.callMessage(l)
	message.Introduce = g.introduction(l)
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := g.callPeer(callCtx, addr, message)
	if err == nil {
		l.met, l.lost = true, false
		g.takeSync(time.Now(), reply)
		return true
	}
	refused := errors.Is(err, peer.ErrRefused)
	g.mu.Lock()
	g.roster.RecordMissedHeartbeat(time.Now(), l.member.ID)
	if refused {
		g.roster.RecordConnectionRefused(l.member.ID)
	}
	g.mu.Unlock()
	if !refused && callCtx.Err() != nil && ctx.Err() == nil {
		g.peers.CloseSessions(addr) // the connection may have gone silent for good
	}
	if l.met && !l.lost && ctx.Err() == nil {
		g.log.limited("peer", hclog.Info, "peer lost", "peer", l.member.ID, "incarnation", l.member.Incarnation,
			"failure_domain", l.member.FailureDomain, "refused", refused, "error", err)
	}
	l.lost = true
	return false
}

func (g *Ingress) callPeer(ctx context.Context, addr string, message *wire.ReplicaSync) (*wire.ReplicaSync, error) {
	resp, err := g.peers.Call(ctx, addr, &wire.Request{Call: &wire.Request_ReplicaSync{ReplicaSync: message}})
	if err != nil {
		return nil, err
	}
	if resp.GetReplicaSync() == nil {
		return nil, errors.Errorf("peer answered: %s", resp.GetError())
	}
	return resp.GetReplicaSync(), nil
}

// Handle answers the calls of peers.
func (g *Ingress) Handle(_ context.Context, req *wire.Request) *wire.Response {
	in := req.GetReplicaSync()
	if in == nil {
		return &wire.Response{Error: "unknown call"}
	}
	out := g.replyMessage(g.takeSync(time.Now(), in))
	if in.GetIntroduce() {
		g.introduce(out)
	}
	return &wire.Response{Reply: &wire.Response_ReplicaSync{ReplicaSync: out}}
}

// introduction reports whether to ask a peer for all members that it knows. A
// list of 300 members takes 30 KB, and a new instance has dozens of peers.
func (g *Ingress) introduction(l *link) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if l.met && now.Sub(g.started) > meetingTime || now.Sub(g.introduced) < introduceInterval {
		return false
	}
	g.introduced = now
	return true
}

// takeSync takes in a peer's message and returns what the peer has.
func (g *Ingress) takeSync(now time.Time, in *wire.ReplicaSync) map[replica.TableName]replica.State {
	from := decodeMember(in.GetMember())
	status := roster.Status{StoreResponseAge: time.Duration(in.GetMember().GetStoreAgeMs()) * time.Millisecond, Following: in.GetMember().GetFollowing()}
	for state, w := range wireStates {
		if w == in.GetMember().GetState() {
			status.State = state
		}
	}
	g.mu.Lock()
	met := g.roster.RecordHeartbeat(now, from, status)
	for _, m := range in.GetKnown() {
		g.roster.Add(now, decodeMember(m))
	}
	has := statesOf(in)
	if l := g.links[from.ID]; l != nil {
		clear(l.has)
		for name, state := range has {
			l.has[name] = replica.State{Version: state.Version, Digest: state.Digest}
		}
	}
	g.mu.Unlock()
	if met {
		g.log.line(hclog.Info, "peer heard", "peer", from.ID, "incarnation", from.Incarnation, "failure_domain", from.FailureDomain)
		g.membersChanged.Store(true)
	}
	if failing := in.GetFailingServers(); len(failing) > 0 && from.Region == g.self.Region {
		g.steering.suspect(now, failing)
		g.log.limited("suspect", hclog.Info, "peer reports failing backend servers", "peer", from.ID, "servers", failing)
	}
	for _, rows := range in.GetRows() {
		batch, err := decodeBatch(rows)
		if err != nil {
			g.log.limited("rows", hclog.Warn, "rows of a peer cannot be read", "peer", from.ID, "error", err)
			continue
		}
		g.merge(now, replica.TableName(rows.GetTable()), batch, "peer "+from.ID)
	}
	g.compareTables(now, from.ID, has)
	return has
}

// compareTables compares the own copies with those of a peer, whose rows have
// been merged before. If the own copy lacks rows, the peer is called again when
// they may be asked for.
func (g *Ingress) compareTables(now time.Time, peerID string, has map[replica.TableName]replica.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, state := range has {
		t := g.tables[name]
		if l := g.links[peerID]; t != nil && t.ObservePeer(now, state) && l != nil {
			time.AfterFunc(replica.PullDelay, l.wakeUp)
		}
	}
}

func (g *Ingress) updateStatus(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateStatusLocked(now)
}

func (g *Ingress) updateStatusLocked(now time.Time) { g.roster.SetSelf(g.statusLocked(now)) }

func (g *Ingress) statusLocked(now time.Time) roster.Status {
	s := roster.Status{State: roster.NotReady, StoreResponseAge: g.storeAge(now), Following: g.following.Load() && !g.storeAway.Load()}
	switch {
	case g.leaving.Load():
		s.State = roster.Leaving
	case g.ready():
		s.State = roster.Ready
	}
	return s
}

func (g *Ingress) logEvents(events []registry.Event, source string) {
	for _, e := range events {
		args := []any{"key", e.Key, "row_version", e.RowVersion, "source", source}
		level := hclog.Info
		if e.DocumentVersion > 0 {
			args = append(args, "document", e.DocumentVersion)
		}
		if e.Detail != "" {
			args = append(args, "detail", e.Detail)
		}
		if e.Error != nil {
			level = hclog.Warn
			args = append(args, "error", e.Error)
		}
		g.log.limited(string(e.Kind), level, string(e.Kind), args...)
	}
}

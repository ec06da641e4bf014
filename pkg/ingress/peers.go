package ingress

import (
	"context"
	"math/rand/v2"
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
	// heartbeatTimeout bounds one exchange with a peer. It allows several round
	// trips of 110 ms and is shorter than the heartbeat interval and the time
	// after which a peer counts as dead.
	heartbeatTimeout = 900 * time.Millisecond
	// peerKeepAlive is the interval of yamux pings. It is long because
	// heartbeats detect broken connections earlier.
	peerKeepAlive = 30 * time.Second
	// unresponsiveInterval is the time between heartbeats to a peer that does
	// not respond.
	unresponsiveInterval = 2 * time.Second
	// minPushInterval is the minimum time between two exchanges with a peer.
	minPushInterval = 50 * time.Millisecond
	// otherRegionDelay is how long a follower waits before it sends rows to an
	// instance of another region, whose own follower mostly has them by then: a
	// response of the store takes up to 60 ms from region to region.
	otherRegionDelay = 150 * time.Millisecond
	// membersRequestInterval is the minimum time between two requests for all
	// members that a peer knows. For membersRequestPeriod after its start an
	// instance makes them to any peer, because instances that start together
	// learn of each other late; afterwards only to peers not reached before, and
	// to any other once in roster.RefreshInterval.
	membersRequestInterval = time.Second
	membersRequestPeriod   = 10 * time.Second
)

// link exchanges heartbeats with one peer.
type link struct {
	member fleet.Member
	wake   chan struct{}
	cancel context.CancelFunc
	// tables are the peer's table states as of its last message.
	tables map[replica.TableName]replica.State
	// lackingSince is when a message of a peer of another region first showed
	// that it lacks rows; zero if it lacks none.
	lackingSince time.Time
	// reached reports whether a call has ever succeeded.
	reached bool
	// lost reports whether the last call failed.
	lost bool
	// standbyRank is the place among the standbys of this instance of which the
	// peer was last informed.
	standbyRank int
}

// runPeers maintains one link to every member that the roster selects, and asks the
// seeds for members at the start.
func (g *Ingress) runPeers(ctx context.Context) {
	go g.runSeeds(ctx)
	ticker := time.NewTicker(maxFollowCheckInterval)
	defer ticker.Stop()
	// If no follower has sent its tables by then, other peers are asked for them.
	time.AfterFunc(replica.StartPullDelay, g.pushNow)
	for {
		g.reconcileLinks(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.pushRequested:
			g.wakeLinks()
		}
	}
}

// runSeeds asks the seeds for members repeatedly until the members have been read
// from the store: after a restart of all instances, the seeds may start later.
func (g *Ingress) runSeeds(ctx context.Context) {
	for {
		for _, addr := range g.instance.Load().Seeds {
			if addr != g.self.PeerAddr {
				go g.contactSeed(ctx, addr)
			}
		}
		if wait.Sleep(ctx, membersRequestInterval) != nil || g.membersRead.Load() {
			return
		}
	}
}

// contactSeed exchanges one heartbeat with an address whose member is not known.
func (g *Ingress) contactSeed(ctx context.Context, addr string) {
	message := g.syncRequest(&link{})
	message.Introduce = true
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := g.callPeer(callCtx, addr, message)
	if err != nil {
		g.log.write(hclog.Debug, "seed does not respond", "addr", addr, "error", err)
		return
	}
	g.handleSync(time.Now(), reply)
}

// reconcileLinks starts missing links and stops those that are no longer needed.
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
		l := &link{member: m, wake: make(chan struct{}, 1), cancel: cancel, tables: map[replica.TableName]replica.State{}}
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
	g.informStandbys(now)
}

// informStandbys sends a heartbeat to each member that has become or is no longer a
// standby of this instance. The caller holds mu.
func (g *Ingress) informStandbys(now time.Time) {
	for id, l := range g.links {
		if rank := g.roster.StandbyRank(now, id); rank != l.standbyRank {
			l.standbyRank = rank
			l.wakeUp()
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

// wakeUp makes the link send its next heartbeat immediately.
func (l *link) wakeUp() { notify(l.wake) }

// pushNow makes all links send their next heartbeat immediately.
func (g *Ingress) pushNow() { notify(g.pushRequested) }

func (g *Ingress) runLink(ctx context.Context, l *link, addr string) {
	for ctx.Err() == nil {
		// The first missed heartbeat is repeated at the usual interval, because a
		// standby that hears nothing soon takes over.
		wasLost, interval := l.lost, g.heartbeatInterval(l)
		if !g.heartbeat(ctx, l, addr) && wasLost {
			interval = unresponsiveInterval
		}
		_ = wait.Sleep(ctx, minPushInterval) // the select below handles the end of ctx
		timer := time.NewTimer(interval - minPushInterval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-l.wake:
		}
		timer.Stop()
	}
}

func (g *Ingress) heartbeatInterval(l *link) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.roster.HeartbeatInterval(time.Now(), l.member.ID, g.settings.HeartbeatInterval.Std())
}

// heartbeat exchanges one heartbeat with a peer and reports whether it succeeded.
func (g *Ingress) heartbeat(ctx context.Context, l *link, addr string) bool {
	message := g.syncRequest(l)
	message.Introduce, message.Refresh = g.membersToRequest(l)
	callCtx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := g.callPeer(callCtx, addr, message)
	if err == nil {
		l.reached, l.lost = true, false
		g.handleSync(time.Now(), reply)
		return true
	}
	refused := errors.Is(err, peer.ErrRefused)
	g.mu.Lock()
	g.roster.RecordMissedHeartbeat(time.Now(), l.member.ID)
	if refused {
		g.roster.RecordConnectionRefused(l.member.ID)
		g.quotas.forget(l.member.ID)
	}
	g.mu.Unlock()
	if !refused && callCtx.Err() != nil && ctx.Err() == nil {
		g.peers.CloseSessions(addr) // the connection may be broken without a reset
	}
	if l.reached && !l.lost && ctx.Err() == nil {
		g.log.writeLimited("peer", hclog.Info, "peer lost", "peer", l.member.ID, "incarnation", l.member.Incarnation,
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
		return nil, errors.Errorf("peer returned an error: %s", resp.GetError())
	}
	return resp.GetReplicaSync(), nil
}

// Handle handles calls from peers.
func (g *Ingress) Handle(_ context.Context, req *wire.Request) *wire.Response {
	in := req.GetReplicaSync()
	if in == nil {
		return &wire.Response{Error: "unknown call"}
	}
	out := g.syncResponse(decodeMember(in.GetMember()), g.handleSync(time.Now(), in))
	if in.GetIntroduce() || in.GetRefresh() {
		g.addKnownMembers(out, in.GetIntroduce())
	}
	return &wire.Response{Reply: &wire.Response_ReplicaSync{ReplicaSync: out}}
}

// membersToRequest returns whether to ask a peer for all members that it knows, or for
// their ids and ages only. Requests are limited because a list of 300 members takes 30
// KB and a new instance has dozens of peers.
func (g *Ingress) membersToRequest(l *link) (all, refresh bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	since := now.Sub(g.membersRequestedAt)
	routine := l.reached && now.Sub(g.started) > membersRequestPeriod
	switch {
	case since < membersRequestInterval, routine && since < roster.RefreshInterval && !g.unknownMembers:
		return false, false
	case routine && rand.IntN(max(1, len(g.links))) > 0:
		return false, false // all links get their turn
	}
	g.membersRequestedAt = now
	all = !routine || g.unknownMembers
	g.unknownMembers = false
	return all, !all
}

// recordKnown records the members that a peer knows. The caller holds mu.
func (g *Ingress) recordKnown(now time.Time, known []*wire.ReplicaMember) {
	for _, m := range known {
		if m == nil || m.GetAliveAgeMs() < 0 || m.GetAliveAgeMs() > maxStatedAge.Milliseconds() {
			continue
		}
		if m.AliveAgeMs == nil {
			g.roster.Add(now, decodeMember(m)) // says nothing of members that are known
			continue
		}
		k := roster.KnownMember{Member: decodeMember(m), Age: time.Duration(m.GetAliveAgeMs()) * time.Millisecond}
		g.unknownMembers = !g.roster.Refresh(now, k) || g.unknownMembers
	}
}

// handleSync applies a peer's message and returns the table states of the peer.
func (g *Ingress) handleSync(now time.Time, in *wire.ReplicaSync) map[replica.TableName]replica.State {
	from := decodeMember(in.GetMember())
	status := roster.Status{
		StoreResponseAge: time.Duration(in.GetMember().GetStoreAgeMs()) * time.Millisecond, Following: in.GetMember().GetFollowing(),
		StandbyRank: int(in.GetStandbyRank()),
	}
	for state, w := range wireStates {
		if w == in.GetMember().GetState() {
			status.State = state
		}
	}
	g.mu.Lock()
	newPeer := g.roster.RecordHeartbeat(now, from, status)
	lostFollower := g.roster.LostFollower()
	g.recordKnown(now, in.GetKnown())
	has := decodeStates(in)
	if l := g.links[from.ID]; l != nil {
		g.recordTables(now, l, has)
	}
	g.mu.Unlock()
	if lostFollower {
		g.wakeFollowers()
	}
	if newPeer {
		g.log.write(hclog.Info, "peer heard", "peer", from.ID, "incarnation", from.Incarnation, "failure_domain", from.FailureDomain)
		g.viewOutdated.Store(true)
	}
	if failing := in.GetFailingServers(); len(failing) > 0 && from.Region == g.self.Region {
		g.selector.markSuspect(now, failing)
		g.log.writeLimited("suspect", hclog.Info, "peer reports failing backend servers", "peer", from.ID, "servers", failing)
	}
	if g.selector.suspectRestarts(now, in.GetRestartedServers()) {
		g.viewOutdated.Store(true)
	}
	g.mergeNotices(now, from.ID, in.GetNotices())
	g.quotas.record(now, from, in.GetQuota())
	if loads := in.GetLoads(); len(loads) > 0 && from.Region == g.self.Region {
		g.selector.recordLoads(now, decodeLoads(loads))
	}
	for _, rows := range in.GetRows() {
		batch, err := decodeBatch(rows)
		if err != nil {
			g.log.writeLimited("rows", hclog.Warn, "cannot decode rows from a peer", "peer", from.ID, "error", err)
			continue
		}
		g.merge(now, replica.TableName(rows.GetTable()), batch, "peer "+from.ID)
	}
	g.compareTables(now, from.ID, has)
	if status.Following && status.StoreResponseAge >= 0 {
		g.confirmRegistrations(now.Add(-status.StoreResponseAge), has[replica.Servers])
	}
	return has
}

// confirmRegistrations records that a peer's registrations were those in the store at
// a time, if the local copy is not older.
func (g *Ingress) confirmRegistrations(at time.Time, peer replica.State) {
	g.mu.Lock()
	own := g.tables[replica.Servers].State()
	g.mu.Unlock()
	if own.Version >= peer.Version || own.Digest == peer.Digest {
		g.selector.confirmRegistrations(at)
	}
}

// recordTables records the table states of a peer. The caller holds mu.
func (g *Ingress) recordTables(now time.Time, l *link, has map[replica.TableName]replica.State) {
	clear(l.tables)
	lacks, empty := false, false
	for name, state := range has {
		l.tables[name] = replica.State{Version: state.Version, Digest: state.Digest}
		if t := g.tables[name]; t != nil {
			own := t.State()
			lacks = lacks || state.Version < own.Version && state.Digest != own.Digest
			empty = empty || state.Version == 0 && t.Initialized()
		}
	}
	if empty && g.following.Load() && l.member.Region == g.self.Region {
		l.wakeUp() // an instance that has just started waits for its tables
	}
	switch {
	case l.member.Region == g.self.Region || !lacks:
		l.lackingSince = time.Time{}
	case l.lackingSince.IsZero():
		l.lackingSince = now
		if g.following.Load() {
			time.AfterFunc(otherRegionDelay, l.wakeUp)
		}
	}
}

// lacksRows reports whether a peer of another region has lacked rows for
// otherRegionDelay.
func (l *link) lacksRows(now time.Time) bool {
	return !l.lackingSince.IsZero() && now.Sub(l.lackingSince) >= otherRegionDelay
}

// compareTables compares the local tables with those of a peer, whose rows must
// have been merged before. If the local table lacks rows, the peer is called again
// as soon as they may be requested.
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
	s := roster.Status{State: roster.NotReady, StoreResponseAge: g.storeAge(now), Following: g.following.Load() && !g.storeUnavailable()}
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
		g.log.writeLimited(string(e.Kind), level, string(e.Kind), args...)
	}
}

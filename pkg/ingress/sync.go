package ingress

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/placement"
	"github.com/dandelionrack/dandelionrack/pkg/registry"
	"github.com/dandelionrack/dandelionrack/pkg/replica"
	"github.com/dandelionrack/dandelionrack/pkg/roster"
)

const (
	// registerRetryInterval is the pause after a failed registration.
	registerRetryInterval = time.Second
	// unregisterTimeout bounds the removal of the registration at shutdown.
	unregisterTimeout = time.Second
	// timerInterval is how often time-dependent views are refreshed and idle
	// connections closed. The grace period of an expired registration may last
	// that much longer, which stays below the shortest drain limit (2.5 s).
	timerInterval = 200 * time.Millisecond
)

// merge applies rows from the store or a peer.
func (g *Ingress) merge(now time.Time, table replica.TableName, batch replica.Batch, source string) {
	g.mu.Lock()
	t := g.tables[table]
	if t == nil {
		g.mu.Unlock()
		return
	}
	wasKnown := t.Initialized()
	era, batchEra := replica.Era(t.Version()), replica.Era(batch.Version)
	rows := t.Merge(now, batch)
	newEra := false
	if wasKnown && batchEra > era {
		g.registry.RecordRollback(now)
		newEra = batchEra > g.eras[table]
		g.eras[table] = batchEra
	}
	var events []registry.Event
	if table == replica.Operator {
		events = g.registry.ApplyOperator(now, rows)
	} else {
		events = g.registry.ApplyServers(now, rows, t.Initialized())
	}
	becameKnown := t.Initialized() && !wasKnown
	g.mu.Unlock()
	if newEra {
		g.log.write(hclog.Warn, "the store has gone back to an older copy", "table", table, "era", batchEra, "before", era, "source", source)
		g.metrics.rollbacks.Add(1)
		notify(g.rolledBack)
	}
	g.logEvents(events, source)
	if len(rows) == 0 && !becameKnown {
		return
	}
	g.refresh(now)
	// Only a follower sends changes immediately. All other instances exchange
	// them with their next heartbeats, in case the follower is disconnected.
	if g.following.Load() {
		g.pushNow()
	}
}

// refresh computes the usable servers and the routing document and passes them to
// the request path.
func (g *Ingress) refresh(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.registry.View(now)
	bounds := g.instance.Load().Bounds
	servers := make([]placement.Server, 0, len(v.Servers))
	unknownStarts := g.selector.unknownStarts()
	for _, s := range v.Servers {
		notice, pausedUntil := g.noticeOf(now, s.BackendServer)
		if v.Evacuated[s.FailureDomain] || notice.Leaving {
			continue
		}
		in := placement.Server{
			ID: s.ID, Service: s.Service, Addr: s.Addr,
			Region: g.instance.Load().DomainRegions[s.FailureDomain], Slots: s.Slots, StartTime: s.StartTime, ColdUntil: s.ColdUntil, ColdQuota: placement.QuotaUnknown,
			PausedUntil: pausedUntil,
		}
		if now.Before(s.ColdUntil) || slices.Contains(unknownStarts, s.ID) {
			// Only for limited servers, because it ranks all members: for all of
			// 3,000 servers and 300 members that took 100 ms.
			in.ColdQuota = g.coldQuota(v.Document, bounds, s.BackendServer)
		}
		if notice.Limited {
			in.RateLimit = &placement.RateLimit{PerSecond: notice.Limit, Share: g.limitShare(notice.Limit, s.BackendServer)}
		}
		servers = append(servers, in)
	}
	members := 1 + len(g.roster.Peers(now))
	g.selector.update(servers, members)
	g.quotas.update(now, v.Document, members, bounds)
	if v.Document != nil {
		g.document.Store(v.Document)
	}
	g.serversKnown.Store(g.tables[replica.Servers].Initialized())
	g.updateStatusLocked(now)
}

// usableColdRate is the fraction of the request rate to a cold server that is used.
// The rest covers instances that count a different number of members.
const usableColdRate = 0.75

// coldQuota returns the number of requests per second that this instance may send to
// a cold server. The members of the server's region share the limit; if it is too
// small for all, those that rank first get one request each.
func (g *Ingress) coldQuota(doc *fleet.Document, b fleet.Bounds, s fleet.BackendServer) int {
	rate := 0.0
	if doc != nil {
		rate = doc.Services[s.Service].ColdPerSecond
	}
	total := int((rate*b.ColdOver + b.ColdSlack) * usableColdRate)
	size, rank := g.roster.RegionRank(g.instance.Load().DomainRegions[s.FailureDomain], s.ID)
	switch {
	case !g.membersRead.Load():
		// The instance may know few of the others, for example after a restart
		// of all instances while the store was unreachable.
		return min(1, total)
	case rank < 0 && size > 0:
		return 0
	case rank < 0:
		return 1
	case size <= total:
		return total / size
	case rank < total:
		return 1
	default:
		return 0
	}
}

// limitShare returns the requests per second that this instance may send to a server
// that takes perSecond from all instances. The members of the server's region share
// the limit, and all members if there is enough for each.
func (g *Ingress) limitShare(perSecond float64, s fleet.BackendServer) float64 {
	if !g.membersRead.Load() {
		return 0 // it may know few of the others, which have their shares
	}
	size, rank := g.roster.RegionRank(g.instance.Load().DomainRegions[s.FailureDomain], s.ID)
	if all, rankOfAll := g.roster.RegionRank(roster.AnyRegion, s.ID); size == 0 || perSecond >= float64(all) {
		size, rank = all, rankOfAll
	}
	return placement.ShareOfLimit(perSecond, rank, size)
}

// storeAge returns the time since the last response of the store; negative if there
// was none.
func (g *Ingress) storeAge(now time.Time) time.Duration {
	at := g.lastStoreResponse.Load()
	if at == 0 {
		return -1
	}
	return now.Sub(time.Unix(0, at))
}

func (g *Ingress) observeStore(call string, _ time.Duration, err error) {
	result := "ok"
	switch {
	case errors.Is(err, replica.ErrRefused):
		result = "refused"
	case errors.Is(err, replica.ErrHistoryGone):
		result = "history_gone"
	case err != nil:
		result = "lost"
	}
	g.metrics.storeCalls.Add(call+" "+result, 1)
}

// registerAgain registers this instance whenever the store has gone back to an older copy,
// which may lack the registration.
func (g *Ingress) registerAgain(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.rolledBack:
			if !g.leaving.Load() {
				g.register(ctx)
			}
		}
	}
}

// register writes this instance into the members table and reads the other members
// from it.
func (g *Ingress) register(ctx context.Context) {
	value, err := json.Marshal(g.self)
	if err != nil {
		g.log.write(hclog.Error, "registration cannot be encoded", "error", err)
		return
	}
	written, failing := false, false
	for ctx.Err() == nil {
		if !written {
			err = g.store.Load().Put(ctx, replica.Members, g.self.ID, value)
			written = err == nil
		}
		if written {
			if err = g.readMembers(ctx); err == nil {
				return
			}
		}
		if !failing && ctx.Err() == nil {
			failing = true
			g.log.write(hclog.Warn, "registration failed; trying again", "written", written, "error", err)
		}
		_ = wait.Sleep(ctx, registerRetryInterval) // the loop condition handles the end of ctx
	}
}

func (g *Ingress) readMembers(ctx context.Context) error {
	batch, err := g.store.Load().Snapshot(ctx, replica.Members)
	if err != nil {
		return err
	}
	now := time.Now()
	g.mu.Lock()
	for _, row := range batch.Rows {
		var m fleet.Member
		if err := json.Unmarshal(row.Value, &m); err != nil {
			g.log.write(hclog.Warn, "cannot decode the registration of a member", "key", row.Key, "error", err)
			continue
		}
		g.roster.Add(now, m)
	}
	g.mu.Unlock()
	g.membersRead.Store(true)
	g.wakeFollowers()
	g.refresh(now)
	g.pushNow()
	return nil
}

// unregister removes the registration at a graceful shutdown.
func (g *Ingress) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, unregisterTimeout)
	defer cancel()
	if err := g.store.Load().Remove(ctx, replica.Members, g.self.ID); err != nil {
		g.log.write(hclog.Warn, "could not remove the registration; peers detect the stop by missing heartbeats", "error", err)
	}
}

// runTimers refreshes time-dependent state and closes idle connections.
func (g *Ingress) runTimers(ctx context.Context) {
	headsRefused := int64(0)
	for ctx.Err() == nil {
		_ = wait.Sleep(ctx, timerInterval) // the loop condition handles the end of ctx
		now := time.Now()
		g.mu.Lock()
		due := g.registry.ViewOutdated(now)
		g.mu.Unlock()
		if due || g.viewOutdated.Swap(false) {
			g.refresh(now)
		}
		if n := g.headMemory.Refused(); n != headsRefused {
			g.log.writeLimited("heads", hclog.Warn, "requests refused: heads take up the memory for them",
				"refused", n-headsRefused, "counted_bytes", g.headMemory.Used())
			headsRefused = n
		}
		g.logQuotas()
		g.backends.Sweep(now)
		g.noticesMu.Lock()
		g.notices.Prune(now)
		g.noticesMu.Unlock()
		g.mu.Lock()
		g.updateStatusLocked(now)
		g.mu.Unlock()
	}
}

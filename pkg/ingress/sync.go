package ingress

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/placement"
	"github.com/dandelionrack/dandelionrack/pkg/registry"
	"github.com/dandelionrack/dandelionrack/pkg/replica"
)

const (
	// storeRetry is the pause after a failed call to the store. It doubles
	// up to storeRetryMax, so that an outage costs few calls and its end is
	// noticed well within the bounds of 2.5 s.
	storeRetry    = 100 * time.Millisecond
	storeRetryMax = 800 * time.Millisecond
	// followCheck is how often an instance that does not follow the store
	// checks whether it has to.
	followCheck = 200 * time.Millisecond
	// feedPace is the least time between two calls for changes, so that
	// changes in quick succession cost one call. It is small against the
	// shortest bound (2.5 s).
	feedPace = 150 * time.Millisecond
	// registerRetry is the pause after a failed registration.
	registerRetry = time.Second
	// removeTimeout bounds the removal of the registration at a stop.
	removeTimeout = time.Second
	// timerInterval is how often views that change by time are refreshed and
	// idle connections closed. The grace of a lapse may last that much longer,
	// which stays below the shortest drain bound (2.5 s).
	timerInterval = 200 * time.Millisecond
)

// follow keeps the copy of a table up to date from the store, while this
// instance is one of those that follow it.
func (g *Ingress) follow(ctx context.Context, table replica.TableName) {
	pause := storeRetry
	away := false
	snapshot := false // the next call must read the whole table
	for ctx.Err() == nil {
		if !g.follows(table) {
			_ = wait.Sleep(ctx, followCheck) // the loop sees the end of ctx
			continue
		}
		started := time.Now()
		batch, err := g.readTable(ctx, table, snapshot)
		now := time.Now()
		if errors.Is(err, replica.ErrHistoryGone) {
			g.log.line(hclog.Info, "the store no longer has the history; reading the whole table", "table", table)
			g.storeAnswered.Store(now.UnixNano())
			snapshot = true
			continue
		}
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			if !away {
				g.log.line(hclog.Warn, "store lost", "table", table, "error", err, "answer_age_ms", g.storeAge(now).Milliseconds())
			}
			away = true
			g.storeAway.Store(true)
			g.mu.Lock()
			g.registry.RecordStoreFailure(started, now)
			g.mu.Unlock()
			_ = wait.Sleep(ctx, pause) // the loop sees the end of ctx
			pause = min(2*pause, storeRetryMax)
			continue
		}
		if away {
			g.log.line(hclog.Info, "store regained", "table", table)
			away = false
		}
		g.storeAway.Store(false)
		snapshot = false
		pause = storeRetry
		g.storeAnswered.Store(now.UnixNano())
		g.merge(now, table, batch, "store")
		_ = wait.Sleep(ctx, feedPace-time.Since(started)) // the loop sees the end of ctx
	}
}

func (g *Ingress) follows(table replica.TableName) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	following := g.roster.FollowsStore(time.Now())
	if g.following.Swap(following) != following {
		g.log.line(hclog.Info, "following of the store changed", "following", following)
	}
	return !g.tables[table].Initialized() || following
}

func (g *Ingress) readTable(ctx context.Context, table replica.TableName, snapshot bool) (replica.Batch, error) {
	g.mu.Lock()
	known, version := g.tables[table].Initialized(), g.tables[table].Version()
	g.mu.Unlock()
	store := g.store.Load()
	if !known || snapshot {
		return store.Snapshot(ctx, table)
	}
	return store.Changes(ctx, table, version, g.settings.StoreWait.Std())
}

// merge takes in rows from the store or a peer.
func (g *Ingress) merge(now time.Time, table replica.TableName, batch replica.Batch, source string) {
	g.mu.Lock()
	t := g.tables[table]
	if t == nil {
		g.mu.Unlock()
		return
	}
	wasKnown := t.Initialized()
	rows := t.Merge(now, batch)
	var events []registry.Event
	if table == replica.Operator {
		events = g.registry.ApplyOperator(now, rows)
	} else {
		events = g.registry.ApplyServers(now, rows, t.Initialized())
	}
	becameKnown := t.Initialized() && !wasKnown
	g.mu.Unlock()
	g.logEvents(events, source)
	if len(rows) == 0 && !becameKnown {
		return
	}
	g.refresh(now)
	// Only a follower passes changes on at once. All others exchange them
	// with their next heartbeats, which covers a follower that is cut off.
	if g.following.Load() {
		g.pushNow()
	}
}

// refresh computes what may be used now and passes it to the request path.
func (g *Ingress) refresh(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := g.registry.View(now)
	bounds := g.node.Load().Bounds
	servers := make([]placement.Server, 0, len(v.Servers))
	for _, s := range v.Servers {
		if v.Evacuated[s.FailureDomain] {
			continue
		}
		in := placement.Server{
			ID: s.ID, Service: s.Service, Addr: s.Addr,
			Region: g.node.Load().DomainRegions[s.FailureDomain], Slots: s.Slots, StartTime: s.StartTime, ColdUntil: s.ColdUntil,
		}
		if now.Before(s.ColdUntil) {
			// Ranks all members for the server, which is too much for all
			// servers: 3,000 servers and 300 members took 100 ms.
			in.ColdQuota = g.coldQuota(v.Document, bounds, s.BackendServer)
		}
		servers = append(servers, in)
	}
	g.steering.update(servers, 1+len(g.roster.Peers(now)))
	if v.Document != nil {
		g.document.Store(v.Document)
	}
	g.serversKnown.Store(g.tables[replica.Servers].Initialized())
	g.updateStatusLocked(now)
}

// coldHeadroom is the part of the rate into a cold server that is given out.
// The rest covers instances that count a different number of members.
const coldHeadroom = 0.75

// coldQuota is the number of requests that this instance may send to a cold
// server in a second. The members of the server's region share the bound;
// if it is too small for all, those that come first by rank get one each.
func (g *Ingress) coldQuota(doc *fleet.Document, b fleet.Bounds, s fleet.BackendServer) int {
	rate := 0.0
	if doc != nil {
		rate = doc.Services[s.Service].ColdPerSecond
	}
	total := int((rate*b.ColdOver + b.ColdSlack) * coldHeadroom)
	size, place := g.roster.RegionRank(g.node.Load().DomainRegions[s.FailureDomain], s.ID)
	switch {
	case !g.membersRead.Load():
		// The instance may know few of the others, as after a restart of all
		// while the store was away.
		return min(1, total)
	case place < 0 && size > 0:
		return 0
	case place < 0:
		return 1
	case size <= total:
		return total / size
	case place < total:
		return 1
	default:
		return 0
	}
}

// storeAge is the age of the last answer of the store; negative if it never
// answered.
func (g *Ingress) storeAge(now time.Time) time.Duration {
	at := g.storeAnswered.Load()
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

// register writes this instance into the table of members and learns the
// others from it.
func (g *Ingress) register(ctx context.Context) {
	value, err := json.Marshal(g.self)
	if err != nil {
		g.log.line(hclog.Error, "registration cannot be encoded", "error", err)
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
			g.log.line(hclog.Warn, "registration failed; trying again", "written", written, "error", err)
		}
		_ = wait.Sleep(ctx, registerRetry) // the loop sees the end of ctx
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
			g.log.line(hclog.Warn, "a member's registration cannot be read", "key", row.Key, "error", err)
			continue
		}
		g.roster.Add(now, m)
	}
	g.mu.Unlock()
	g.membersRead.Store(true)
	g.refresh(now)
	g.pushNow()
	return nil
}

// unregister removes the registration at a planned stop.
func (g *Ingress) unregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	if err := g.store.Load().Remove(ctx, replica.Members, g.self.ID); err != nil {
		g.log.line(hclog.Warn, "the registration could not be removed; peers notice the end by silence", "error", err)
	}
}

// runTimers refreshes what changes by time alone.
func (g *Ingress) runTimers(ctx context.Context) {
	for ctx.Err() == nil {
		_ = wait.Sleep(ctx, timerInterval) // the loop sees the end of ctx
		now := time.Now()
		g.mu.Lock()
		due := g.registry.ViewOutdated(now)
		g.mu.Unlock()
		if due || g.membersChanged.Swap(false) {
			g.refresh(now)
		}
		g.backends.Sweep(now)
		g.mu.Lock()
		g.updateStatusLocked(now)
		g.mu.Unlock()
	}
}

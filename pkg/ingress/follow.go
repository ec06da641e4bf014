package ingress

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/replica"
)

const (
	// minStoreBackoff is the backoff after a failed call to the store. It
	// doubles up to maxStoreBackoff, so that an outage costs few calls and its
	// end is noticed well within the limits of 2.5 s.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = 800 * time.Millisecond
	// maxFollowCheckInterval is how often an instance that does not follow the
	// store checks whether it must, unless the bounds require more.
	maxFollowCheckInterval = 200 * time.Millisecond
	// minChangesInterval is the minimum time between two calls for changes, so
	// that changes in quick succession cost one call. It is small compared with
	// the shortest limit (2.5 s).
	minChangesInterval = 150 * time.Millisecond
	// A follower whose call is overdue reports the loss of the store while it
	// goes on waiting. The time until one of several silenced followers notices
	// and the time that it waits beyond its call's end are these parts of the
	// shorter of the bounds for documents and for draining servers; the rest is
	// for the takeover and the way to the other instances.
	noticeShare  = 0.2
	overdueShare = 0.25
	// A slow store is not a lost one: a call is not overdue before
	// overdueFactor times the last delay of a response, up to maxOverdue.
	overdueFactor = 2
	maxOverdue    = time.Second
)

// tableFollower keeps the local copy of one table up to date from the store while
// this instance is a follower of its region.
type tableFollower struct {
	g     *Ingress
	table replica.TableName
	// unavailable is set while calls fail or one is overdue.
	unavailable atomic.Bool
	// wake ends the wait of an instance that does not follow the store.
	wake chan struct{}

	// The fields below belong to run.
	backoff  time.Duration
	failing  bool          // the last call failed
	snapshot bool          // the next call must read the whole table
	checked  bool          // the store has responded since this instance began to follow
	wait     time.Duration // of the last call
	delay    time.Duration // of the last response beyond the call's wait
	// storeTime is the store's clock at storeTimeAt; 0 if unknown.
	storeTime   time.Duration
	storeTimeAt time.Time
}

func newTableFollower(g *Ingress, table replica.TableName) *tableFollower {
	return &tableFollower{g: g, table: table, wake: make(chan struct{}, 1), backoff: minStoreBackoff}
}

func (f *tableFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.g.shouldFollow(f.table) {
			f.checked = false
			select {
			case <-ctx.Done():
			case <-f.wake:
			case <-time.After(f.g.followCheckInterval()):
			}
			continue
		}
		started := time.Now()
		batch, err := f.read(ctx, started)
		if ctx.Err() != nil {
			return
		}
		f.handle(ctx, started, batch, err)
	}
}

// read reads the changes to the table, or the whole table if there is no copy yet or
// the store no longer has the changes.
func (f *tableFollower) read(ctx context.Context, now time.Time) (replica.Batch, error) {
	g := f.g
	g.mu.Lock()
	known, version := g.tables[f.table].Initialized(), g.tables[f.table].Version()
	g.mu.Unlock()
	store := g.store.Load()
	whole := !known || f.snapshot
	f.wait = 0
	if !whole && f.checked {
		f.wait = f.schedule().Wait(f.storeTime + now.Sub(f.storeTimeAt))
	}
	overdue := time.AfterFunc(f.wait+f.overdueAfter(), f.reportOverdue)
	defer overdue.Stop()
	if whole {
		return store.Snapshot(ctx, f.table)
	}
	batch, err := store.Changes(ctx, f.table, version, f.wait)
	if took := time.Since(now); err == nil && len(batch.Rows) == 0 {
		f.delay = took - f.wait
	}
	return batch, err
}

// schedule returns when the waiting calls of this follower end, so that those of the
// two tables and of the followers of all regions end at different times.
func (f *tableFollower) schedule() replica.PollSchedule {
	n := f.g.instance.Load()
	var regions []string
	for _, region := range n.DomainRegions {
		if !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
	}
	slices.Sort(regions)
	phases := len(replicatedTables) * max(1, len(regions))
	notice := time.Duration(noticeShare * float64(n.Bounds.Propagation()))
	return replica.PollSchedule{
		Interval: min(f.g.settings.StoreWait.Std(), notice*time.Duration(phases)),
		Phase:    max(0, slices.Index(regions, n.Region))*len(replicatedTables) + slices.Index(replicatedTables, f.table),
		Phases:   phases,
	}
}

func (f *tableFollower) overdueAfter() time.Duration {
	after := time.Duration(overdueShare * float64(f.g.instance.Load().Bounds.Propagation()))
	return min(maxOverdue, max(after, overdueFactor*f.delay))
}

// reportOverdue tells the region that this instance may have lost the store. The call
// goes on, because a slow store still responds.
func (f *tableFollower) reportOverdue() {
	if f.unavailable.Swap(true) {
		return
	}
	f.g.log.writeLimited("overdue", hclog.Info, "store call overdue", "table", f.table, "answer_age_ms", f.g.storeAge(time.Now()).Milliseconds())
	f.g.pushNow()
}

func (f *tableFollower) handle(ctx context.Context, started time.Time, batch replica.Batch, err error) {
	g := f.g
	now := time.Now()
	if errors.Is(err, replica.ErrHistoryGone) {
		g.log.write(hclog.Info, "the store no longer has the history; reading the whole table", "table", f.table)
		g.lastStoreResponse.Store(now.UnixNano())
		f.snapshot = true
		return
	}
	if err != nil {
		f.handleError(ctx, started, now, err)
		return
	}
	if f.unavailable.Swap(false) {
		g.log.writeLimited("regained", hclog.Info, "store regained", "table", f.table)
	}
	f.failing = false
	f.snapshot, f.checked = false, true
	f.storeTime, f.storeTimeAt = batch.StoreTime, now
	f.backoff = minStoreBackoff
	g.lastStoreResponse.Store(now.UnixNano())
	g.merge(now, f.table, batch, "store")
	if f.table == replica.Servers {
		g.selector.confirmRegistrations(f.answeredAt(started, now, len(batch.Rows) > 0))
	}
	_ = wait.Sleep(ctx, minChangesInterval-time.Since(started)) // run handles the end of ctx
}

// answeredAt returns a time at which the store had not yet answered or was just
// answering. The time at which the answer was read may be much later, if the process
// was paused.
func (f *tableFollower) answeredAt(started, now time.Time, changed bool) time.Time {
	if end := started.Add(f.wait); !changed && end.Before(now) {
		return end
	}
	return started
}

func (f *tableFollower) handleError(ctx context.Context, started, now time.Time, err error) {
	g := f.g
	if !f.failing {
		g.log.write(hclog.Warn, "store lost", "table", f.table, "error", err, "answer_age_ms", g.storeAge(now).Milliseconds())
	}
	f.failing = true
	if !f.unavailable.Swap(true) {
		g.pushNow()
	}
	g.mu.Lock()
	g.registry.RecordStoreFailure(started, now)
	g.mu.Unlock()
	_ = wait.Sleep(ctx, f.backoff) // run handles the end of ctx
	f.backoff = min(2*f.backoff, maxStoreBackoff)
}

// storeUnavailable reports whether calls to the store fail or are overdue.
func (g *Ingress) storeUnavailable() bool {
	return slices.ContainsFunc(g.followers, func(f *tableFollower) bool { return f.unavailable.Load() })
}

// wakeFollowers makes an instance that does not follow the store check at once
// whether it must.
func (g *Ingress) wakeFollowers() {
	for _, f := range g.followers {
		notify(f.wake)
	}
}

// notify sends to a channel with room for one notice, unless one is pending.
func notify(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (g *Ingress) followCheckInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return min(maxFollowCheckInterval, g.roster.TakeoverStep())
}

// startPeerWait is how long after its start an instance waits for a copy of a table
// from its region before it reads the table from the store.
const startPeerWait = 1500 * time.Millisecond

// shouldFollow reports whether to read a table from the store. Without a copy an
// instance reads it at once, since clients may wait for it. At the first start of the
// deployment only the instance that ranks first in its region does so, and hundreds
// get theirs from it.
func (g *Ingress) shouldFollow(table replica.TableName) bool {
	now := time.Now()
	g.mu.Lock()
	following := g.roster.FollowsStore(now)
	initialized := g.tables[table].Initialized()
	ranksFirst := g.membersRead.Load() && g.roster.RanksFirst(now)
	g.mu.Unlock()
	if !initialized {
		return !g.instance.Load().FirstStart || ranksFirst || now.Sub(g.started) >= startPeerWait
	}
	if g.following.Swap(following) != following {
		g.log.write(hclog.Info, "following of the store changed", "following", following)
		if following {
			g.pushNow() // also starts the links that a follower has
		}
	}
	return following
}

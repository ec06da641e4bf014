package ingress

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/notices"
	"github.com/dandelionrack/dandelionrack/pkg/placement"
	"github.com/dandelionrack/dandelionrack/pkg/registry"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

func processOf(s placement.Server) notices.Process {
	return notices.Process{ID: s.ID, Addr: s.Addr, StartTime: s.StartTime.UnixMilli()}
}

// recordNotices records what a backend server announces in its response to a request
// that was sent at a time.
func (g *Ingress) recordNotices(r *request, s placement.Server, sentAt time.Time, head fleet.ResponseHead) {
	if head.LimitState == fleet.LimitUnreadable {
		g.log.writeLimited("limit unreadable", hclog.Warn, "limit in a response is not a rate", "server", s.ID, "request", r.head.ID)
	}
	now := time.Now()
	p := processOf(s)
	g.noticesMu.Lock()
	before := g.notices.Of(now, p)
	changed := g.notices.Record(now, sentAt, p, head)
	after := g.notices.Of(now, p)
	if head.RetryAfter > 0 {
		g.notices.Pause(now, p, head.RetryAfter)
	}
	g.noticesMu.Unlock()
	if head.RetryAfter > 0 {
		g.metrics.pauses.Add(1)
		g.log.writeLimited("pause", hclog.Info, "backend server wants no requests for a time",
			"server", s.ID, "start", s.StartTime, "request", r.head.ID, "for_ms", head.RetryAfter.Milliseconds())
	}
	if before.Leaving {
		g.metrics.responsesAfterLeaving.Add(1)
	}
	if !changed {
		return
	}
	g.refresh(now)
	g.mu.Lock()
	state := g.registry.StateOf(s.ID)
	g.mu.Unlock()
	g.logNotices(before, after, "server", s.ID, "start", s.StartTime, "request", r.head.ID, "registration", state)
}

// noticeOf returns what the process of a registered server has announced, and until
// when it wants no requests from this instance.
func (g *Ingress) noticeOf(now time.Time, s fleet.BackendServer) (notices.Notice, time.Time) {
	p := notices.ProcessOf(s)
	g.noticesMu.Lock()
	defer g.noticesMu.Unlock()
	return g.notices.Of(now, p), g.notices.PausedUntil(p)
}

// mergeNotices records the notices in a peer's message.
func (g *Ingress) mergeNotices(now time.Time, peer string, in []*wire.ServerNotice) {
	for _, n := range in {
		report := decodeNotice(n)
		g.noticesMu.Lock()
		before := g.notices.Of(now, report.Process)
		changed := g.notices.Merge(now, report)
		after := g.notices.Of(now, report.Process)
		g.noticesMu.Unlock()
		if changed {
			g.viewOutdated.Store(true)
			g.logNotices(before, after, "server", n.GetServer(), "start", time.UnixMilli(n.GetStartMs()), "peer", peer)
		}
	}
}

// logNotices writes a line for each notice that has changed.
func (g *Ingress) logNotices(before, after notices.Notice, args ...any) {
	if after.Leaving && !before.Leaving {
		g.metrics.leavingNotices.Add(1)
		g.log.writeLimited("leaving", hclog.Info, "backend server announces that it leaves", args...)
	}
	switch {
	case after.Limited && after.Limit != before.Limit || after.Limited && !before.Limited:
		g.metrics.limitNotices.Add(1)
		g.log.writeLimited("limit", hclog.Info, "backend server names a limit", append(args, "per_second", after.Limit, "before", before.Limit)...)
	case before.Limited && !after.Limited:
		g.log.writeLimited("limit ended", hclog.Info, "backend server no longer names a limit", append(args, "before", before.Limit)...)
	}
}

// noticesLocked returns the notices to report to peers. Those of servers that their
// registrations already withdraw are left out. The caller holds mu.
func (g *Ingress) noticesLocked(now time.Time) []*wire.ServerNotice {
	g.noticesMu.Lock()
	reports := g.notices.Reports(now)
	g.noticesMu.Unlock()
	var out []*wire.ServerNotice
	for _, r := range reports {
		if g.registry.StateOf(r.ID) == registry.StateReady {
			out = append(out, encodeNotice(r))
		}
	}
	return out
}

// maxStatedAge bounds the ages that a peer may state, so that they fit a duration.
const maxStatedAge = 24 * time.Hour

func encodeNotice(r notices.Report) *wire.ServerNotice {
	out := &wire.ServerNotice{Server: r.ID, Addr: r.Addr, StartMs: r.StartTime, Leaving: r.Leaving, Limited: r.Limited, Limit: r.Limit}
	if r.LimitAge >= 0 {
		out.LimitAgeMs = proto.Int64(r.LimitAge.Milliseconds())
	}
	return out
}

func decodeNotice(n *wire.ServerNotice) notices.Report {
	out := notices.Report{
		Process:  notices.Process{ID: n.GetServer(), Addr: n.GetAddr(), StartTime: n.GetStartMs()},
		Notice:   notices.Notice{Leaving: n.GetLeaving(), Limited: n.GetLimited(), Limit: n.GetLimit()},
		LimitAge: -1,
	}
	if n.LimitAgeMs != nil {
		out.LimitAge = time.Duration(min(n.GetLimitAgeMs(), maxStatedAge.Milliseconds())) * time.Millisecond
	}
	return out
}

package ingress

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/notices"
	"github.com/dandelionrack/dandelionrack/pkg/placement"
	"github.com/dandelionrack/dandelionrack/pkg/registry"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

func processOf(s placement.Server) notices.Process {
	return notices.Process{ID: s.ID, Addr: s.Addr, StartTime: s.StartTime.UnixMilli()}
}

// recordNotices records what a backend server announces in its response to a request.
func (g *Ingress) recordNotices(r *request, s placement.Server, head fleet.ResponseHead) {
	if !head.Leaving {
		return
	}
	now := time.Now()
	g.mu.Lock()
	changed := g.notices.Record(now, processOf(s), head)
	state := g.registry.StateOf(s.ID)
	g.mu.Unlock()
	if !changed {
		g.metrics.responsesAfterLeaving.Add(1)
		return
	}
	g.refresh(now)
	g.metrics.leavingNotices.Add(1)
	g.log.writeLimited("leaving", hclog.Info, "backend server announces that it leaves",
		"server", s.ID, "start", s.StartTime, "request", r.head.ID, "registration", state)
}

// mergeNotices records the notices in a peer's message.
func (g *Ingress) mergeNotices(now time.Time, peer string, in []*wire.ServerNotice) {
	for _, n := range in {
		g.mu.Lock()
		changed := g.notices.Merge(now, decodeNotice(n))
		g.mu.Unlock()
		if changed {
			g.viewOutdated.Store(true)
			g.log.writeLimited("leaving", hclog.Info, "peer reports that a backend server leaves",
				"server", n.GetServer(), "start", time.UnixMilli(n.GetStartMs()), "peer", peer)
		}
	}
}

// noticesLocked returns the notices to report to peers. Those of servers that their
// registrations already withdraw are left out. The caller holds mu.
func (g *Ingress) noticesLocked() []*wire.ServerNotice {
	var out []*wire.ServerNotice
	for _, r := range g.notices.Reports() {
		if g.registry.StateOf(r.ID) == registry.StateReady {
			out = append(out, encodeNotice(r))
		}
	}
	return out
}

func encodeNotice(r notices.Report) *wire.ServerNotice {
	return &wire.ServerNotice{Server: r.ID, Addr: r.Addr, StartMs: r.StartTime, Leaving: r.Leaving}
}

func decodeNotice(n *wire.ServerNotice) notices.Report {
	return notices.Report{
		Process: notices.Process{ID: n.GetServer(), Addr: n.GetAddr(), StartTime: n.GetStartMs()},
		Leaving: n.GetLeaving(),
	}
}

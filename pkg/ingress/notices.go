package ingress

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/notices"
	"github.com/dandelionrack/dandelionrack/pkg/placement"
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
	g.metrics.leavingNotices.Add(1)
	g.log.writeLimited("leaving", hclog.Info, "backend server announces that it leaves",
		"server", s.ID, "start", s.StartTime, "request", r.head.ID, "registration", state)
}

package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/admission"
	"github.com/dandelionrack/dandelionrack/pkg/backend"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// reportInterval leaves time for one lost report within the 3 s after which a
// leaving backend server gets no new work.
const reportInterval = time.Second

// Reasons for which a backend server counts as leaving.
const (
	leavingByDrain    = "drain"
	leavingByPlatform = "platform"
	leavingByHealth   = "health"
	leavingByPeer     = "peer"
	// takesNoConnections marks a server that is not leaving but gone.
	leavingUnreachable = "unreachable"
)

// applyServers gives the admission controller this seat's shares of the
// backend servers that it may admit work to.
func (e *Entry) applyServers(v *configView) {
	var servers []admission.Server
	for _, s := range v.doc.Deployment.BackendServers {
		if !e.mayAdmit(v, s) {
			continue
		}
		share := 0
		if s.FailureDomain == e.settings.FailureDomain {
			share = admission.Share(s.Slots, s.ID, v.entriesByDomain[s.FailureDomain], e.settings.ID)
			e.backends.Configure(s.ID, e.settings.dialAddr(s.Addr), e.connectionShare(v, s))
		}
		servers = append(servers, admission.Server{
			ID:         s.ID,
			Services:   s.Services,
			Share:      share,
			MaxTimeout: maxTimeout(v, s),
			ChangedAt:  v.doc.DeploymentChangedAt,
		})
	}
	e.gate.update(func(ctl *admission.Controller, now time.Time) []admission.Event {
		ctl.SetServers(now, servers)
		return ctl.Tick(now)
	})
	e.updateLeaving(v)
}

// mayAdmit reports whether this seat has a share of the server, or could
// borrow one: it is a possible borrower in its own failure domain, and in the
// domains of its region that have a single seat.
func (e *Entry) mayAdmit(v *configView, s config.BackendServer) bool {
	if s.FailureDomain == e.settings.FailureDomain {
		return true
	}
	return v.regionByDomain[s.FailureDomain] == v.region && len(v.entriesByDomain[s.FailureDomain]) == 1
}

// connectionShare splits the connections of a server over the seats of its
// failure domain like the slots, but never below one.
func (e *Entry) connectionShare(v *configView, s config.BackendServer) int {
	instances := max(len(v.entriesByDomain[s.FailureDomain]), 1)
	return max(s.MaxConnections/instances, 1)
}

// maxTimeout is the largest timeout of the services that a server offers.
func maxTimeout(v *configView, s config.BackendServer) time.Duration {
	var longest time.Duration
	for _, contract := range v.doc.Contracts {
		for _, name := range s.Services {
			if svc, ok := contract.FindService(name); ok {
				longest = max(longest, svc.Timeout.Std())
			}
		}
	}
	return longest
}

// borrowers returns the seats that share the slots of a gone seat: the others
// of its failure domain or, when it is alone there, those of the other domains
// of its region.
func (v *configView) borrowers(lender config.EntryInstance) []string {
	if entries := v.entriesByDomain[lender.FailureDomain]; len(entries) > 1 {
		return without(entries, lender.ID)
	}
	var out []string
	for fd, entries := range v.entriesByDomain {
		if fd != lender.FailureDomain && v.regionByDomain[fd] == v.regionByDomain[lender.FailureDomain] {
			out = append(out, entries...)
		}
	}
	return out
}

func without(list []string, drop string) []string {
	out := make([]string, 0, len(list))
	for _, s := range list {
		if s != drop {
			out = append(out, s)
		}
	}
	return out
}

// updateLending sets what this seat may borrow from seats whose process is
// provably gone. The right ends with the freshness of the evidence; the
// admission controller drops it by itself when this process was paused.
func (e *Entry) updateLoans(v *configView) {
	now := time.Now()
	for _, lender := range v.doc.Deployment.EntryInstances {
		if lender.ID == e.settings.ID {
			continue
		}
		gone := e.provablyGone(now, lender.ID) && e.refusalProvesGone(now, lender)
		borrowers := v.borrowers(lender)
		for _, s := range v.doc.Deployment.BackendServers {
			if s.FailureDomain != lender.FailureDomain || !e.mayAdmit(v, s) {
				continue
			}
			extra := 0
			if gone {
				extra = admission.LentShare(s.Slots, s.ID, v.entriesByDomain[s.FailureDomain], lender.ID, borrowers, e.settings.ID)
			}
			e.gate.setLent(now, s.ID, lender.ID, extra)
		}
	}
}

// platformListFresh is the age at which the platform's list no longer supports
// the proof that a seat is gone.
const platformListMaxAge = 5 * time.Second

// refusalCounts reports whether a refused connection proves that the process of
// a seat is gone. Inside the own failure domain it does. Between failure domains
// a cut may answer with refusals in the name of a live process, so the
// platform's list must also have dropped the seat.
func (e *Entry) refusalProvesGone(now time.Time, peer config.EntryInstance) bool {
	if peer.FailureDomain == e.settings.FailureDomain {
		return true
	}
	return e.missingFromPlatform(now, peer.ID)
}

// unlisted reports whether the platform's list, read just now, lacks an entry
// instance. An empty list says nothing.
func (e *Entry) missingFromPlatform(now time.Time, id string) bool {
	e.leavingMu.Lock()
	defer e.leavingMu.Unlock()
	return len(e.platformEntries) > 0 && !e.platformEntries[id] && now.Sub(e.platformListReadAt) < platformListMaxAge
}

func (e *Entry) provablyGone(now time.Time, id string) bool {
	e.membersMu.Lock()
	defer e.membersMu.Unlock()
	return e.members.ProvablyGone(now, id)
}

// predecessorClean tells a peer that its seat's previous process left after
// finishing its requests, and that this seat has none in flight on a share
// borrowed from it.
func (e *Entry) predecessorLeftCleanly(peerID string) bool {
	v := e.currentView()
	if v == nil {
		return false
	}
	e.membersMu.Lock()
	clean := e.members.LeftCleanly(peerID)
	e.membersMu.Unlock()
	if !clean {
		return false
	}
	domain := v.entries[peerID].FailureDomain
	borrowed := 0
	e.gate.read(func(ctl *admission.Controller, now time.Time) {
		for _, s := range ctl.Snapshot(now) {
			if v.servers[s.ID].FailureDomain == domain {
				borrowed += s.LentInUse
			}
		}
	})
	return borrowed == 0
}

// clearHoldOff ends the hold-off of this seat when every seat that could have
// borrowed from it has confirmed that it has nothing in flight.
func (e *Entry) handlePredecessorClean(from string) {
	v := e.currentView()
	if v == nil {
		return
	}
	e.handoverMu.Lock()
	defer e.handoverMu.Unlock()
	if e.holdOffCleared {
		return
	}
	e.handoverConfirmed[from] = true
	borrowers := v.borrowers(v.entries[e.settings.ID])
	if len(borrowers) == 0 {
		borrowers = []string{from}
	}
	for _, id := range borrowers {
		if !e.handoverConfirmed[id] {
			return
		}
	}
	e.holdOffCleared = true
	e.log.Info("predecessor left cleanly; slots are usable at once")
	e.gate.update(func(ctl *admission.Controller, now time.Time) []admission.Event {
		ctl.ClearHoldOff(now)
		return ctl.Tick(now)
	})
}

// updateLeaving tells the admission controller which servers get no new work.
func (e *Entry) updateLeaving(v *configView) {
	e.membersMu.Lock()
	byPeer := e.members.LeavingServers(time.Now())
	e.membersMu.Unlock()
	e.leavingMu.Lock()
	defer e.leavingMu.Unlock()
	e.gate.update(func(ctl *admission.Controller, now time.Time) []admission.Event {
		for id := range v.servers {
			_, draining := v.doc.Drains[id]
			_, peerSaysSo := byPeer[id]
			ctl.SetLeaving(now, id, draining, leavingByDrain)
			ctl.SetLeaving(now, id, peerSaysSo, leavingByPeer)
			ctl.SetLeaving(now, id, e.leavingPlatform[id], leavingByPlatform)
			ctl.SetLeaving(now, id, e.leavingHealth[id], leavingByHealth)
			ctl.SetLeaving(now, id, e.unreachable[id], leavingUnreachable)
		}
		return ctl.Tick(now)
	})
}

// ownLeavingServers lists the servers that this instance itself has seen
// leaving. What peers said is not repeated, or two instances would keep an
// ended drain alive for each other.
func (e *Entry) ownLeavingServers() []string {
	e.leavingMu.Lock()
	defer e.leavingMu.Unlock()
	var out []string
	for id := range e.leavingPlatform {
		out = append(out, id)
	}
	for id := range e.leavingHealth {
		if !e.leavingPlatform[id] {
			out = append(out, id)
		}
	}
	// In order, so that an unchanged list is not sent again.
	slices.Sort(out)
	return out
}

func (e *Entry) handleInstanceList(list []platform.Instance) {
	leaving, entries := map[string]bool{}, map[string]bool{}
	for _, in := range list {
		if in.Kind == "entry" {
			entries[in.ID] = true
		}
		if in.Kind == "backend" && in.State == platform.InstanceLeaving {
			leaving[in.ID] = true
		}
	}
	e.leavingMu.Lock()
	changed := !maps.Equal(leaving, e.leavingPlatform)
	e.leavingPlatform = leaving
	e.platformEntries = entries
	e.platformListReadAt = time.Now()
	e.leavingMu.Unlock()
	if changed {
		e.triggerHeartbeat()
	}
	if v := e.currentView(); v != nil {
		e.updateLeaving(v)
	}
}

// noteReachable takes a server out of use while it refuses connections. Its
// slots would count as free otherwise and attract requests that then find the
// retry budget used up. Only servers of this failure domain are noted, because
// the polls that end it are theirs.
func (e *Entry) setReachable(server string, reachable bool) {
	v := e.currentView()
	if v == nil || v.servers[server].FailureDomain != e.settings.FailureDomain {
		return
	}
	if !reachable && !v.hasAlternative(server) {
		return
	}
	e.leavingMu.Lock()
	changed := e.unreachable[server] == reachable
	if reachable {
		delete(e.unreachable, server)
	} else {
		e.unreachable[server] = true
	}
	e.leavingMu.Unlock()
	if changed {
		e.log.Info("backend server reachability changed", "backend_server", server, "reachable", reachable)
		e.updateLeaving(v)
	}
}

// hasAlternative reports whether other servers offer what a server offers. One
// without an alternative stays in use, so that the first request after its
// return reaches it.
func (v *configView) hasAlternative(server string) bool {
	for _, service := range v.servers[server].Services {
		if len(v.serversByService[service]) < 2 {
			return false
		}
	}
	return true
}

// handleReport takes a backend server's own report. Reports may mislead, so
// only "draining" has an effect; slots are counted here.
func (e *Entry) handleReport(server string, r backend.Report) {
	e.setReachable(server, !r.Unreachable)
	if r.State == backend.StateUnknown {
		return
	}
	draining := r.State == backend.StateDraining
	e.leavingMu.Lock()
	changed := e.leavingHealth[server] != draining
	if draining {
		e.leavingHealth[server] = true
	} else {
		delete(e.leavingHealth, server)
	}
	e.leavingMu.Unlock()
	if !changed {
		return
	}
	e.log.Info("backend server report changed", "backend_server", server, "draining", draining)
	e.triggerHeartbeat()
	if v := e.currentView(); v != nil {
		e.updateLeaving(v)
	}
}

// pollTargets are the servers of this instance's own failure domain.
func (e *Entry) pollTargets(v *configView) []backend.Target {
	var out []backend.Target
	for _, s := range v.doc.Deployment.BackendServers {
		if s.FailureDomain == e.settings.FailureDomain {
			out = append(out, backend.Target{Server: s.ID, Addr: e.settings.dialAddr(s.Addr)})
		}
	}
	return out
}

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

// reportInterval is the time between two polls of a backend server. A leaving
// server must get no new requests after 3 s; 1 s allows for one lost report.
const reportInterval = time.Second

// Reasons for which the admission controller treats a backend server as leaving.
const (
	leavingByDrain    = "drain"
	leavingByPlatform = "platform"
	leavingByHealth   = "health"
	leavingByPeer     = "peer"
	// leavingUnreachable marks a server that refuses connections. It is not shown
	// to operators as leaving.
	leavingUnreachable = "unreachable"
)

// applyServers sets this instance's shares of the backend servers in the admission
// controller.
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

// mayAdmit reports whether this instance has a share of the server or may borrow
// slots of it. It may borrow in its own failure domain, and in the domains of its
// region that have a single entry instance.
func (e *Entry) mayAdmit(v *configView, s config.BackendServer) bool {
	if s.FailureDomain == e.settings.FailureDomain {
		return true
	}
	return v.regionByDomain[s.FailureDomain] == v.region && len(v.entriesByDomain[s.FailureDomain]) == 1
}

// connectionShare returns the number of connections to a server that each entry
// instance of its failure domain may open. It is at least 1.
func (e *Entry) connectionShare(v *configView, s config.BackendServer) int {
	instances := max(len(v.entriesByDomain[s.FailureDomain]), 1)
	return max(s.MaxConnections/instances, 1)
}

// maxTimeout returns the largest timeout of the services that a server offers.
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

// borrowers returns the entry instances that share the slots of one that is gone
// (membership.StateGone), the lender: the others of its failure domain or, if there
// are none, those of the other domains of its region.
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

// updateLoans sets how many slots this instance may borrow from entry instances
// that are provably gone. It is called with every heartbeat round: the admission
// controller ends a loan that is not renewed within admission.LoanValidity, for
// example because this process was paused.
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

// platformListMaxAge is the age from which the platform's instance list no longer
// counts as evidence that an entry instance is gone.
const platformListMaxAge = 5 * time.Second

// refusalProvesGone reports whether a refused connection proves that a peer is
// gone. Within this failure domain it does. Between failure domains a network
// partition may also cause refusals while the process is running, so the peer must
// be missing from the platform's list too.
func (e *Entry) refusalProvesGone(now time.Time, peer config.EntryInstance) bool {
	if peer.FailureDomain == e.settings.FailureDomain {
		return true
	}
	return e.missingFromPlatform(now, peer.ID)
}

// missingFromPlatform reports whether the platform's instance list lacks an entry
// instance. A list that is empty or too old is no evidence.
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

// predecessorLeftCleanly reports whether the previous incarnation of a peer
// stopped after finishing its requests and this instance has no requests in
// flight on slots borrowed from it.
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

// handlePredecessorClean processes a peer's confirmation that the predecessor of
// this process stopped cleanly. The hold-off ends when every entry instance that
// could have borrowed slots has confirmed.
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

// updateLeaving tells the admission controller which servers get no new requests.
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

// ownLeavingServers returns the servers that are leaving according to the platform
// or to their own reports. Reports of peers are not included, because two instances
// would otherwise keep repeating an ended drain to each other.
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
	// Sorted, so that an unchanged list is not sent again.
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

// setReachable takes a server out of use while it refuses connections. Its slots
// would otherwise count as free and attract requests that fail once the retry
// budget is used up. It ignores servers of other failure domains, because they are
// not polled from here and would never be put into use again.
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

// hasAlternative reports whether each service of a server is also offered by
// another one. A server without an alternative stays in use, so that the first
// request after its return reaches it.
func (v *configView) hasAlternative(server string) bool {
	for _, service := range v.servers[server].Services {
		if len(v.serversByService[service]) < 2 {
			return false
		}
	}
	return true
}

// handleReport processes a backend server's report of itself. Reports may be
// wrong, so only the state "draining" is used; slots are counted by the admission
// controller.
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

// pollTargets returns the servers of this failure domain.
func (e *Entry) pollTargets(v *configView) []backend.Target {
	var out []backend.Target
	for _, s := range v.doc.Deployment.BackendServers {
		if s.FailureDomain == e.settings.FailureDomain {
			out = append(out, backend.Target{Server: s.ID, Addr: e.settings.dialAddr(s.Addr)})
		}
	}
	return out
}

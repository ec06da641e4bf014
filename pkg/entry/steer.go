package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/admission"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/membership"
	"github.com/dandelionrack/dandelionrack/pkg/routing"
	"github.com/dandelionrack/dandelionrack/pkg/trace"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

const (
	// maxAttempts limits how many times a request is sent to a backend server.
	maxAttempts = 3
	// maxCandidates limits how many entry instances one attempt asks for a slot.
	maxCandidates = 5
	// maxFullPeers limits how many peers of this failure domain are asked for a
	// slot although they reported none. A call takes less than a millisecond,
	// waiting for the next free slot takes a service time.
	maxFullPeers = 1
	// regionReserve is how many free slots another region keeps for its own
	// callers; it gets a request from here only if it reports more.
	regionReserve = 2
	// The wait for a slot in the home region, before other regions are asked, is
	// at most timeLeft/homeWaitDivisor and at least minHomeWait.
	homeWaitDivisor = 4
	minHomeWait     = 5 * time.Millisecond
	// firstHeartbeatPoll is how often a request that waits for the first heartbeat of
	// a peer looks for it. Heartbeats between regions take up to 55 ms.
	firstHeartbeatPoll = 10 * time.Millisecond
)

// dispatcher sends one request to backend servers until it has a final reply.
type dispatcher struct {
	e       *Entry
	req     *request
	attempt uint32
	// excludeServers and excludeEntries have already failed this request.
	excludeServers []string
	excludeEntries []string
	target         atomic.Pointer[attemptTarget]
}

// dispatch sends a request to a backend server and retries on others while that
// is safe and within the retry budget.
//
// A request that must run at most once is retried only after a reply that proves
// that it did not run.
func (e *Entry) dispatch(ctx context.Context, req *request) reply {
	e.countRequest(req)
	d := &dispatcher{e: e, req: req}
	mayHaveRun := false
	for {
		rep := d.tryHedged(ctx)
		mayHaveRun = mayHaveRun || rep.outcome == wire.Outcome_OUTCOME_UNKNOWN
		if !d.mayRetry(ctx, rep) {
			rep = finalReply(rep, mayHaveRun)
			if rep.isNotRun() {
				e.recordRefused(req)
			}
			return rep
		}
		d.excludeFailed(rep)
		e.metrics.retries.Add(1)
	}
}

// mergeFailures combines the results of two attempts. An unknown outcome takes
// precedence over a later refusal, because the request must not be reported as
// "not run" when one attempt may have run.
func mergeFailures(earlier, later reply) reply {
	if earlier.outcome == wire.Outcome_OUTCOME_UNKNOWN && later.isNotRun() {
		return earlier
	}
	return later
}

// finalReply turns the reply of the last attempt into the reply of the request,
// which may be "not run" only if no attempt can have run.
func finalReply(rep reply, mayHaveRun bool) reply {
	if rep.reason == reasonPeerUnreachable {
		rep = notRun(ReasonOverload, "no entry instance with a slot could be reached")
	}
	if rep.isNotRun() && mayHaveRun {
		return unknownOutcome(ReasonConnectionLost,
			"an earlier attempt may have run; the last one was refused: %s: %s", rep.reason, rep.message)
	}
	return rep
}

// excludeFailed excludes the server or entry instance that has just failed from
// later attempts.
func (d *dispatcher) excludeFailed(rep reply) {
	if rep.server != "" {
		d.excludeServers = append(d.excludeServers, rep.server)
		return
	}
	if target := d.target.Load(); target != nil && target.entry != d.e.settings.ID {
		d.excludeEntries = append(d.excludeEntries, target.entry)
	}
}

// mayRetry reports whether another attempt is safe and allowed. A refusal that
// names no backend server means that no candidate had a slot, so another attempt
// would find none either.
func (d *dispatcher) mayRetry(ctx context.Context, rep reply) bool {
	if rep.answered() || d.attempt >= maxAttempts {
		return false
	}
	if rep.isNotRun() && rep.server == "" {
		return false
	}
	if rep.outcome == wire.Outcome_OUTCOME_UNKNOWN && !d.req.service.Idempotent {
		return false
	}
	if ctx.Err() != nil || d.req.timeLeft(time.Now()) <= 0 {
		return false
	}
	return d.e.allowRetry(d.req)
}

// try looks for a slot in the home region first. It asks other regions only if no
// slot becomes free within the time that going there would take, because a request
// that leaves its home region counts against the shift cap, and so does the later
// return of that traffic.
func (d *dispatcher) try(ctx context.Context) reply {
	home, remote, reason := d.plan()
	rep := d.tryCandidates(ctx, home, reason)
	if !notSent(rep) {
		return rep
	}
	if len(remote) > 0 {
		if rep = d.waitForSlot(ctx, rep, d.homeWait(remote)); !notSent(rep) {
			return rep
		}
		if rep = d.tryCandidates(ctx, remote, reason); !notSent(rep) {
			return rep
		}
	}
	rep = d.waitForSlot(ctx, rep, d.maxQueueWait())
	if notSent(rep) && reason == ReasonShiftCap && rep.reason == ReasonOverload {
		// The request was queued at home only because the shift cap ruled out other
		// regions.
		rep.reason = ReasonShiftCap
	}
	return rep
}

// tryFree asks the candidates for a free slot, best first, and does not queue.
func (d *dispatcher) tryFree(ctx context.Context) reply {
	home, remote, reason := d.plan()
	return d.tryCandidates(ctx, append(home, remote...), reason)
}

// notSent reports whether the request was refused before it was sent to a backend
// server, so that another candidate may be asked.
func notSent(rep reply) bool {
	return rep.isNotRun() && rep.server == ""
}

// tryCandidates asks candidates for a free slot in order. reason is the reason of
// the refusal if there are no candidates.
func (d *dispatcher) tryCandidates(ctx context.Context, candidates []routing.Candidate, reason Reason) reply {
	last := notRun(reason, "no entry instance can take a request for service %s now", d.req.service.Name)
	for _, c := range candidates[:min(len(candidates), maxCandidates)] {
		if last = d.tryCandidate(ctx, c, 0); !notSent(last) {
			return last
		}
	}
	return last
}

// homeWait returns how long to wait for a slot in the home region: the round trip
// to the nearest remote candidate, but at most a fraction of the time left.
func (d *dispatcher) homeWait(remote []routing.Candidate) time.Duration {
	shortest := d.req.timeLeft(time.Now()) / homeWaitDivisor
	for _, c := range remote {
		shortest = min(shortest, 2*d.req.view.linkDelay(d.req.view.region, c.Region))
	}
	return max(shortest, minHomeWait)
}

// maxQueueWait returns the longest time in a queue. An interactive request that
// has waited for its whole latency objective is refused: its response would miss
// the objective anyway, and waiting longer would only delay later requests too.
func (d *dispatcher) maxQueueWait() time.Duration {
	left := d.req.timeLeft(time.Now())
	objective := d.req.service.Objective.Latency.Std()
	if d.req.service.Priority == config.PriorityInteractive && objective > 0 {
		return min(left, objective)
	}
	return left
}

// waitForSlot queues the request at the best candidate. refused is the reply if
// there is no candidate, also after the first heartbeats that are due.
func (d *dispatcher) waitForSlot(ctx context.Context, refused reply, maxWait time.Duration) reply {
	until := time.Now().Add(maxWait)
	candidate, ok := d.queueCandidate()
	for !ok && d.firstHeartbeatDue() && time.Now().Before(until) {
		if wait.Sleep(ctx, firstHeartbeatPoll) != nil {
			return refused
		}
		candidate, ok = d.queueCandidate()
	}
	if !ok {
		return refused
	}
	return d.tryCandidate(ctx, candidate, time.Until(until))
}

// firstHeartbeatDue reports whether an entry instance in a failure domain with servers
// of the service has become a peer less than startupPeerWait ago and has not sent a
// heartbeat yet. An instance without a predecessor is ready before it has heard from
// its peers, and would refuse requests that these can serve.
func (d *dispatcher) firstHeartbeatDue() bool {
	now := time.Now()
	d.e.membersMu.Lock()
	statuses := d.e.members.Peers(now)
	d.e.membersMu.Unlock()
	return slices.ContainsFunc(statuses, func(s membership.Status) bool {
		return s.State == membership.StateUnknown && now.Sub(s.Since) < startupPeerWait &&
			d.hasServers(d.req.view.entries[s.Entry].FailureDomain)
	})
}

// queueCandidate returns the first candidate in a failure domain with servers of
// the service, regardless of free slots. The home region comes first.
func (d *dispatcher) queueCandidate() (routing.Candidate, bool) {
	in := d.routingInput()
	for i := range in.Peers {
		// A peer without a free slot can still queue the request.
		in.Peers[i].Free = max(in.Peers[i].Free, 1)
	}
	in.RegionReserve = 0
	home, remote := d.splitByHome(routing.Candidates(in))
	for _, c := range append(home, remote...) {
		if d.hasServers(c.FailureDomain) {
			return c, true
		}
	}
	return routing.Candidate{}, false
}

// hasServers reports whether a failure domain has servers of the service that are
// not excluded.
func (d *dispatcher) hasServers(failureDomain string) bool {
	for _, server := range d.req.view.serversByService[d.req.service.Name] {
		if server.FailureDomain == failureDomain && !slices.Contains(d.excludeServers, server.ID) {
			return true
		}
	}
	return false
}

// plan returns the candidates with free slots in the home region and in other
// regions, best first, and the reason of the refusal if there are none.
func (d *dispatcher) plan() (home, remote []routing.Candidate, reason Reason) {
	in := d.routingInput()
	freeAt := map[string]int{in.Self.Entry: in.LocalFree}
	for _, p := range in.Peers {
		freeAt[p.Entry] = p.Free
	}
	candidates, excluded := routing.Plan(in)
	reason = ReasonNoBackendServer
	if len(d.req.view.serversByService[d.req.service.Name]) > 0 {
		reason = ReasonOverload
	}
	for _, x := range excluded {
		d.e.metrics.routeExclusions.Add(x.Reason, 1)
		capped := x.Reason == routing.ReasonShiftOrLinkLimit || x.Reason == routing.ReasonOtherRegion
		if capped && freeAt[x.Entry] > 0 {
			reason = ReasonShiftCap
		}
	}
	free := candidates[:0]
	for _, c := range candidates {
		if !c.Local || c.Free > 0 {
			free = append(free, c)
		}
	}
	home, remote = d.splitByHome(free)
	return home, remote, reason
}

// splitByHome splits candidates into those of the home region and the others.
func (d *dispatcher) splitByHome(candidates []routing.Candidate) (home, remote []routing.Candidate) {
	for _, c := range candidates {
		if c.Region == d.req.homeRegion {
			home = append(home, c)
		} else {
			remote = append(remote, c)
		}
	}
	return home, remote
}

func (d *dispatcher) routingInput() routing.Input {
	e, v, req := d.e, d.req.view, d.req
	now := time.Now()
	free := 0
	e.gate.read(func(ctl *admission.Controller, now time.Time) {
		free = ctl.FreeSlots(now, req.service.Name)
	})
	return routing.Input{
		Self:           routing.Self{Entry: e.settings.ID, FailureDomain: e.settings.FailureDomain, Region: v.region},
		Service:        req.service.Name,
		HomeRegion:     req.homeRegion,
		AllowedRegions: req.service.Regions,
		Exclude:        d.excludeEntries,
		OnlyRegion:     e.requiredRegion(req),
		Peers:          e.routingPeers(v, req.service.Name, now),
		LocalFree:      free,
		Delay:          v.linkDelay,
		Permitted:      func(region string) bool { return e.shiftPermits(req, region) },
		TimeLeft:       req.timeLeft(now),
		RegionReserve:  regionReserve,
		MaxFullPeers:   maxFullPeers,
		Rand:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// shiftPermits reports whether the shift cap allows a request to be served in a
// region, without counting it.
func (e *Entry) shiftPermits(req *request, region string) bool {
	r, ok := e.reserveShift(req, region)
	if ok {
		r.end(false)
	}
	return ok
}

// tryCandidate asks one entry instance, this one or a peer, for a slot and waits
// up to maxWait for it.
func (d *dispatcher) tryCandidate(ctx context.Context, c routing.Candidate, maxWait time.Duration) reply {
	reservation, ok := d.e.reserveShift(d.req, c.Region)
	if !ok {
		d.e.recordSpan(d.req, trace.Span{Kind: "skip", Attempt: int(d.attempt), Peer: c.Entry, Reason: string(ReasonShiftCap)})
		return notRun(ReasonShiftCap, "the shift cap keeps requests of home region %s out of region %s for now", d.req.homeRegion, c.Region)
	}
	d.target.Store(&attemptTarget{entry: c.Entry})
	var rep reply
	if c.Local {
		rep = d.e.admitAndCall(ctx, d.req, admitOptions{
			attempt: d.attempt,
			maxWait: maxWait,
			exclude: d.excludeServers,
			admitted: func(server string) {
				d.target.Store(&attemptTarget{entry: c.Entry, server: server})
			},
		})
	} else {
		rep = d.e.forward(ctx, d.req, forwardOptions{
			entry:   d.req.view.entries[c.Entry],
			attempt: d.attempt,
			maxWait: maxWait,
			exclude: d.excludeServers,
		})
	}
	reservation.end(!rep.isNotRun())
	return rep
}

// routingPeers returns the status of the other entry instances for routing.
func (e *Entry) routingPeers(v *configView, service string, now time.Time) []routing.Peer {
	e.membersMu.Lock()
	statuses := e.members.Peers(now)
	e.membersMu.Unlock()
	out := make([]routing.Peer, 0, len(statuses))
	for _, st := range statuses {
		in, ok := v.entries[st.Entry]
		if !ok {
			continue
		}
		out = append(out, routing.Peer{
			Entry:         st.Entry,
			FailureDomain: in.FailureDomain,
			Region:        v.regionByDomain[in.FailureDomain],
			Free:          st.Free[service],
			HeartbeatAge:  now.Sub(st.LastHeard),
			State:         routingState(st.State),
		})
	}
	return out
}

func routingState(s membership.State) routing.State {
	switch s {
	case membership.StateReady:
		return routing.StateReady
	case membership.StateLeaving:
		return routing.StateLeaving
	case membership.StateGone:
		return routing.StateGone
	case membership.StateSilent:
		return routing.StateSilent
	default:
		return routing.StateNotReady
	}
}

package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/admission"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/membership"
	"github.com/dandelionrack/dandelionrack/pkg/routing"
	"github.com/dandelionrack/dandelionrack/pkg/trace"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

const (
	// maxAttempts bounds how often a request reaches a backend server.
	maxAttempts = 3
	// maxPlaces bounds how many entry instances one attempt asks for a slot.
	maxPlaces = 5
	// askFull bounds the seats of the own failure domain that are asked for a
	// slot although they reported none. One call costs less than a
	// millisecond, a wait for the next slot a service time.
	askFull = 1
	// regionReserve is how many free slots another region must report before
	// it gets a request from here, so that its own callers find room.
	regionReserve = 2
	// patienceShare and minPatience bound the wait for a slot in the home
	// region before other regions are asked.
	patienceShare = 4
	minPatience   = 5 * time.Millisecond
)

// steering is the search for an answer to one request.
type steering struct {
	e       *Entry
	req     *request
	attempt uint32
	// excludeServers and excludeEntries failed this request already.
	excludeServers []string
	excludeEntries []string
	place          atomic.Pointer[place]
}

// steer sends a request to a backend server and tries others while that is
// safe and within the retry budget.
//
// A request that must run at most once is tried again only after a reply that
// proves that it did not run.
func (e *Entry) steer(ctx context.Context, req *request) reply {
	e.countRequest(req)
	s := &steering{e: e, req: req}
	mayHaveRun := false
	for {
		rep := s.tryHedged(ctx)
		mayHaveRun = mayHaveRun || rep.outcome == wire.Outcome_OUTCOME_UNKNOWN
		if !s.mayRetry(ctx, rep) {
			rep = forCaller(rep, mayHaveRun)
			if rep.isNotRun() {
				e.noteRefused(req)
			}
			return rep
		}
		s.exclude(rep)
		e.metrics.retries.Add(1)
	}
}

// worse keeps an unknown outcome over a later refusal: the request as a whole
// must not be called "not run" when one attempt may have run.
func worse(earlier, later reply) reply {
	if earlier.outcome == wire.Outcome_OUTCOME_UNKNOWN && later.isNotRun() {
		return earlier
	}
	return later
}

// forCaller makes a reply speak for the request and not only for its last
// attempt: "not run" must hold for every attempt.
func forCaller(rep reply, mayHaveRun bool) reply {
	if rep.reason == reasonPeerUnreachable {
		rep = notRun(ReasonOverload, "no entry instance with a slot could be reached")
	}
	if rep.isNotRun() && mayHaveRun {
		return unknownOutcome(ReasonConnectionLost,
			"an earlier attempt may have run; the last one was refused: %s: %s", rep.reason, rep.message)
	}
	return rep
}

// exclude keeps later attempts away from what has just failed.
func (s *steering) exclude(rep reply) {
	if rep.server != "" {
		s.excludeServers = append(s.excludeServers, rep.server)
		return
	}
	if at := s.place.Load(); at != nil && at.entry != s.e.settings.ID {
		s.excludeEntries = append(s.excludeEntries, at.entry)
	}
}

// mayRetry reports whether another attempt is safe and allowed. A refusal
// without a backend server means that no slot was found; the search was
// complete then.
func (s *steering) mayRetry(ctx context.Context, rep reply) bool {
	if rep.answered() || s.attempt >= maxAttempts {
		return false
	}
	if rep.isNotRun() && rep.server == "" {
		return false
	}
	if rep.outcome == wire.Outcome_OUTCOME_UNKNOWN && !s.req.service.Idempotent {
		return false
	}
	if ctx.Err() != nil || s.req.timeLeft(time.Now()) <= 0 {
		return false
	}
	return s.e.allowRetry(s.req)
}

// try looks for a slot in the home region first. Only when none comes free
// within the time that another region would cost does it ask there: a request
// that is sent away uses up the shift cap and, later, has to return.
func (s *steering) try(ctx context.Context) reply {
	near, far, reason := s.plan()
	rep := s.tryEach(ctx, near, reason)
	if !wantsOther(rep) {
		return rep
	}
	if len(far) > 0 {
		if rep = s.wait(ctx, rep, s.patience(far)); !wantsOther(rep) {
			return rep
		}
		if rep = s.tryEach(ctx, far, reason); !wantsOther(rep) {
			return rep
		}
	}
	rep = s.wait(ctx, rep, s.longestWait())
	if wantsOther(rep) && reason == ReasonShiftCap && rep.reason == ReasonOverload {
		// The queue at home was the last resort; the cap is why it had to be.
		rep.reason = ReasonShiftCap
	}
	return rep
}

// tryFree asks the planned places for a free slot, best first, and never
// waits.
func (s *steering) tryFree(ctx context.Context) reply {
	near, far, reason := s.plan()
	return s.tryEach(ctx, append(near, far...), reason)
}

// wantsOther reports whether another place may be asked: no backend server got
// the request.
func wantsOther(rep reply) bool {
	return rep.isNotRun() && rep.server == ""
}

// tryEach asks places for a free slot. reason is the refusal when there is none.
func (s *steering) tryEach(ctx context.Context, places []routing.Candidate, reason Reason) reply {
	last := notRun(reason, "no entry instance can take a request for service %s now", s.req.service.Name)
	for _, c := range places[:min(len(places), maxPlaces)] {
		if last = s.tryPlace(ctx, c, 0); !wantsOther(last) {
			return last
		}
	}
	return last
}

// patience is the round trip to the nearest of the other places, within a part
// of the time that is left.
func (s *steering) patience(far []routing.Candidate) time.Duration {
	shortest := s.req.timeLeft(time.Now()) / patienceShare
	for _, c := range far {
		shortest = min(shortest, 2*s.req.view.delay(s.req.view.region, c.Region))
	}
	return max(shortest, minPatience)
}

// longestWait bounds the time in a queue. An interactive request that has
// waited for its whole latency objective is refused, because its answer would
// count as bad and the wait would only make later requests late as well.
func (s *steering) longestWait() time.Duration {
	left := s.req.timeLeft(time.Now())
	objective := s.req.service.Objective.Latency.Std()
	if s.req.service.Priority == config.PriorityInteractive && objective > 0 {
		return min(left, objective)
	}
	return left
}

// wait queues the request where it would be served best. refused is the reply
// if there is no place to wait.
func (s *steering) wait(ctx context.Context, refused reply, maxWait time.Duration) reply {
	place, ok := s.waitingPlace()
	if !ok {
		return refused
	}
	return s.tryPlace(ctx, place, maxWait)
}

// waitingPlace is the first place of the routing order that has servers of the
// service, whatever its free slots. The home region comes first.
func (s *steering) waitingPlace() (routing.Candidate, bool) {
	in := s.input()
	for i := range in.Peers {
		// A peer without a free slot has a queue as well.
		in.Peers[i].Free = max(in.Peers[i].Free, 1)
	}
	in.RegionReserve = 0
	near, far := s.byHome(routing.Candidates(in))
	for _, c := range append(near, far...) {
		if s.hasServers(c.FailureDomain) {
			return c, true
		}
	}
	return routing.Candidate{}, false
}

// hasServers reports whether a failure domain has servers of the service.
func (s *steering) hasServers(failureDomain string) bool {
	for _, server := range s.req.view.byService[s.req.service.Name] {
		if server.FailureDomain == failureDomain && !slices.Contains(s.excludeServers, server.ID) {
			return true
		}
	}
	return false
}

// plan returns the places with free slots, best first, those of the home
// region apart, and the reason to give when there is none.
func (s *steering) plan() (near, far []routing.Candidate, reason Reason) {
	in := s.input()
	freeAt := map[string]int{in.Self.Entry: in.LocalFree}
	for _, p := range in.Peers {
		freeAt[p.Entry] = p.Free
	}
	candidates, excluded := routing.Plan(in)
	reason = ReasonNoBackendServer
	if len(s.req.view.byService[s.req.service.Name]) > 0 {
		reason = ReasonOverload
	}
	for _, x := range excluded {
		s.e.metrics.routeExclusions.Add(x.Reason, 1)
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
	near, far = s.byHome(free)
	return near, far, reason
}

// byHome splits places into those of the home region and the others.
func (s *steering) byHome(places []routing.Candidate) (near, far []routing.Candidate) {
	for _, c := range places {
		if c.Region == s.req.homeRegion {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	return near, far
}

func (s *steering) input() routing.Input {
	e, v, req := s.e, s.req.view, s.req
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
		Exclude:        s.excludeEntries,
		OnlyRegion:     e.mustStayAway(req),
		Peers:          e.routingPeers(v, req.service.Name, now),
		LocalFree:      free,
		Delay:          v.delay,
		Permitted:      func(region string) bool { return e.shiftPermits(req, region) },
		TimeLeft:       req.timeLeft(now),
		RegionReserve:  regionReserve,
		MaxFullPeers:   askFull,
		Rand:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// shiftPermits asks the cap without counting.
func (e *Entry) shiftPermits(req *request, region string) bool {
	r, ok := e.reserveShift(req, region)
	if ok {
		r.end(false)
	}
	return ok
}

// tryPlace asks one entry instance, this one or a peer, for a slot and waits
// for it up to maxWait.
func (s *steering) tryPlace(ctx context.Context, c routing.Candidate, maxWait time.Duration) reply {
	reservation, ok := s.e.reserveShift(s.req, c.Region)
	if !ok {
		s.e.span(s.req, trace.Span{Kind: "skip", Attempt: int(s.attempt), Peer: c.Entry, Reason: string(ReasonShiftCap)})
		return notRun(ReasonShiftCap, "the shift cap keeps requests of home region %s out of region %s for now", s.req.homeRegion, c.Region)
	}
	s.place.Store(&place{entry: c.Entry})
	var rep reply
	if c.Local {
		rep = s.e.admitAndCall(ctx, s.req, admitOptions{
			attempt: s.attempt,
			maxWait: maxWait,
			exclude: s.excludeServers,
			admitted: func(server string) {
				s.place.Store(&place{entry: c.Entry, server: server})
			},
		})
	} else {
		rep = s.e.forward(ctx, s.req, forwardOptions{
			entry:   s.req.view.entries[c.Entry],
			attempt: s.attempt,
			maxWait: maxWait,
			exclude: s.excludeServers,
		})
	}
	reservation.end(!rep.isNotRun())
	return rep
}

// routingPeers describes the other entry instances as routing needs them.
func (e *Entry) routingPeers(v *view, service string, now time.Time) []routing.Peer {
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
			Region:        v.regions[in.FailureDomain],
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

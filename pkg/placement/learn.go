package placement

import (
	"slices"
	"time"
)

// Done ends a choice and updates the estimates from its result.
func (b *Balancer) Done(now time.Time, c Choice, r Result) {
	if r.Connect > 0 {
		b.recordRoundTrip(c.Server.Region, r.Connect)
	}
	s := b.servers[c.Server.ID]
	if s == nil || s.generation != c.generation {
		return
	}
	i := slices.Index(s.pending, pendingRequest{c.sentAt, c.ExpectedLatency})
	s.pending = slices.Delete(s.pending, i, i+1)
	s.probing = false
	if r.Refused {
		b.suspectRestart(now, s)
	}
	if r.RetryAfter > 0 {
		s.PausedUntil = later(s.PausedUntil, now.Add(r.RetryAfter))
	}
	if r.LoadReported {
		s.othersLoad = max(0, float64(r.Load-len(s.pending)))
		s.othersLoadMean += loadReportWeight * (s.othersLoad - s.othersLoadMean)
		s.loadReportedAt = now
		b.observeLoad(now, s, r)
	}
	switch r.Outcome {
	case Served:
		s.ejections, s.consecutiveFailures = 0, 0
		b.recordServed(now, s, c)
	case Shed:
		s.ejections = 0
		s.fullUntil = now.Add(shedBackoff)
	case Misdirected, Unreachable:
		b.eject(now, s)
	case Failed, Broken:
		// A server may pass health checks and still fail all requests.
		s.consecutiveFailures++
		if r.NewConnection && r.Outcome == Broken {
			s.consecutiveFailures += newConnectionFailures - 1
		}
		if s.consecutiveFailures >= ejectAfterFailures || s.ejections > 0 {
			b.eject(now, s)
			if r.ClosedAtOnce {
				b.suspectRestart(now, s)
			}
		}
	case Abandoned:
		b.recordAbandoned(now, s, c)
	}
}

// eject stops requests to a server for a time that doubles with each ejection.
func (b *Balancer) eject(now time.Time, s *server) {
	b.troubled[s.ID] = s
	duration := min(maxEjection, minEjection<<min(s.ejections, 8))
	s.ejections++
	s.ejectedUntil = now.Add(duration)
}

// recordRoundTrip updates the round trip to a region. It tracks a slowly rising
// minimum, because load on this instance adds to the measured time.
func (b *Balancer) recordRoundTrip(region string, d time.Duration) {
	old, ok := b.roundTrips[region]
	if !ok || d < old {
		b.roundTrips[region] = d
		return
	}
	b.roundTrips[region] = old + time.Duration(ewmaWeight*float64(min(d, 2*old)-old))
}

// recordServed takes the time of a response as a sample of the service time.
func (b *Balancer) recordServed(now time.Time, s *server, c Choice) {
	took := max(time.Millisecond, now.Sub(c.sentAt)-b.roundTrip(s))
	s.meanServiceTime = ewma(s.meanServiceTime, took-min(c.queueWait, took*9/10), ewmaWeight)
	w := b.serviceTimes[c.class]
	if w == nil {
		return
	}
	if c.object != "" {
		s.markWarm(now, c.object)
	}
	if c.queueWait > 0 {
		return // the queue wait is only estimated, so the service time is unknown
	}
	middle := (w.warm + w.cold) / 2
	hit := float64(took) < float64(middle)*s.currentSlowdown(now)
	if h := b.hitRates[c.Server.Service]; h != nil {
		h.record(c.cache, hit)
	}
	base := w.cold
	if hit {
		base = w.warm
	}
	ratio := min(maxSlowdown, float64(took)/float64(max(base, time.Millisecond)))
	slowdown := s.currentSlowdown(now)
	s.slowdown = slowdown + slowdownWeight*(ratio-slowdown)
	s.slowdownAt = now
	if now.Before(s.ColdUntil) {
		return
	}
	w.measured = true
	if hit {
		w.warm = ewma(w.warm, took, ewmaWeight)
	} else {
		w.cold = ewma(w.cold, took, ewmaWeight)
	}
	// A cold request never takes less time than a warm one.
	w.cold = max(w.cold, w.warm)
}

// recordAbandoned takes the time of an abandoned request as a lower bound of its
// latency.
func (b *Balancer) recordAbandoned(now time.Time, s *server, c Choice) {
	took := now.Sub(c.sentAt)
	if took <= c.ExpectedLatency || c.ExpectedLatency <= 0 {
		return
	}
	ratio := min(maxSlowdown, float64(took)/float64(c.ExpectedLatency))
	if slowdown := s.currentSlowdown(now); ratio > slowdown {
		s.slowdown = slowdown + slowdownWeight*(ratio-slowdown)
		s.slowdownAt = now
	}
}

func (s *server) markWarm(now time.Time, object string) {
	if len(s.warmObjects) >= maxWarmObjects {
		for o, at := range s.warmObjects {
			if now.Sub(at) >= warmTTL {
				delete(s.warmObjects, o)
			}
		}
	}
	if len(s.warmObjects) < maxWarmObjects {
		s.warmObjects[object] = now
	}
}

// ewma returns the exponentially weighted moving average after a sample.
func ewma(old, sample time.Duration, weight float64) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(weight*float64(sample-old))
}

// Ejected returns the servers that are ejected because of failed requests of
// this instance, in id order. Reports of other instances are not passed on.
func (b *Balancer) Ejected(now time.Time) []string {
	var out []string
	for id, s := range b.troubled {
		switch {
		case now.Before(s.ejectedUntil):
			out = append(out, id)
		case s.restartSuspectedAt.IsZero():
			delete(b.troubled, id)
		}
	}
	slices.Sort(out)
	return out
}

// MarkSuspect avoids servers for suspectTTL that another entry instance of the
// region reported as failing, so that not every instance loses requests there.
// It accepts reports up to maxSuspectShare only, because the reporting instance
// may itself be cut off.
func (b *Balancer) MarkSuspect(now time.Time, ids []string) {
	type group struct{ service, region string }
	avoided := map[group]int{}
	for _, s := range b.servers {
		if now.Before(s.suspectUntil) || now.Before(s.ejectedUntil) {
			avoided[group{s.Service, s.Region}]++
		}
	}
	for _, id := range ids {
		s := b.servers[id]
		if s == nil {
			continue
		}
		if now.Before(s.suspectUntil) {
			s.suspectUntil = now.Add(suspectTTL)
			continue
		}
		g := group{s.Service, s.Region}
		if float64(avoided[g]+1) <= maxSuspectShare*float64(b.groupSize(g.service, g.region)) {
			s.suspectUntil = now.Add(suspectTTL)
			avoided[g]++
		}
	}
}

func (b *Balancer) groupSize(service, region string) int {
	n := 0
	for _, s := range b.byService[service] {
		if s.Region == region {
			n++
		}
	}
	return n
}

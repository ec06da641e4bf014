package placement

import (
	"slices"
	"time"
)

// Done ends a choice and learns from its result.
func (b *Balancer) Done(now time.Time, c Choice, r Result) {
	if r.Connect > 0 {
		b.noteConnect(c.Server.Region, r.Connect)
	}
	s := b.servers[c.Server.ID]
	if s == nil || s.epoch != c.epoch {
		return
	}
	i := slices.Index(s.flights, flight{c.sentAt, c.ExpectedLatency})
	s.flights = slices.Delete(s.flights, i, i+1)
	s.probing = false
	if r.LoadReported {
		s.others = max(0, float64(r.Load-len(s.flights)))
		s.othersMean += othersWeight * (s.others - s.othersMean)
		s.othersAt = now
	}
	switch r.Outcome {
	case Served:
		s.failures, s.broken = 0, 0
		b.learn(now, s, c)
	case Shed:
		s.failures = 0
		s.fullUntil = now.Add(shedHold)
	case Misdirected, Unreachable:
		s.eject(now)
	case Failed, Broken:
		// A server may look healthy and fail all it gets.
		s.broken++
		if r.NewConnection && r.Outcome == Broken {
			s.broken += freshBroken - 1
		}
		if s.broken >= brokenEject || s.failures > 0 {
			s.eject(now)
		}
	case Abandoned:
		b.learnLower(now, s, c)
	}
}

// eject keeps requests away from a server for a while.
func (s *server) eject(now time.Time) {
	pause := min(lastEject, firstEject<<min(s.failures, 8))
	s.failures++
	s.ejected = now.Add(pause)
}

// noteConnect learns the round trip to a region. The minimum counts, slowly
// forgotten, because a busy entry instance adds to it.
func (b *Balancer) noteConnect(region string, d time.Duration) {
	old, ok := b.connects[region]
	if !ok || d < old {
		b.connects[region] = d
		return
	}
	b.connects[region] = old + time.Duration(learnWeight*float64(min(d, 2*old)-old))
}

// learn takes the time of an answer as a sample of the work.
func (b *Balancer) learn(now time.Time, s *server, c Choice) {
	took := max(time.Millisecond, now.Sub(c.sentAt)-b.roundTrip(s))
	s.mean = blend(s.mean, took-min(c.wait, took*9/10), learnWeight)
	w := b.works[c.class]
	if w == nil {
		return
	}
	if c.object != "" {
		s.noteWarm(now, c.object)
	}
	if c.wait > 0 {
		return // the wait is a guess, so the work is not known
	}
	middle := (w.warm + w.cold) / 2
	hit := float64(took) < float64(middle)*s.speedNow(now)
	if h := b.hits[c.Server.Service]; h != nil {
		h.learn(c.knows, hit)
	}
	base := w.cold
	if hit {
		base = w.warm
	}
	ratio := min(maxSpeed, float64(took)/float64(max(base, time.Millisecond)))
	speed := s.speedNow(now)
	s.speed = speed + speedWeight*(ratio-speed)
	s.speedAt = now
	if now.Before(s.ColdUntil) {
		return
	}
	w.measured = true
	if hit {
		w.warm = blend(w.warm, took, learnWeight)
	} else {
		w.cold = blend(w.cold, took, learnWeight)
	}
	// Cold work is never less than warm work.
	w.cold = max(w.cold, w.warm)
}

// learnLower takes an abandoned request as a lower bound of the time.
func (b *Balancer) learnLower(now time.Time, s *server, c Choice) {
	took := now.Sub(c.sentAt)
	if took <= c.ExpectedLatency || c.ExpectedLatency <= 0 {
		return
	}
	ratio := min(maxSpeed, float64(took)/float64(c.ExpectedLatency))
	if speed := s.speedNow(now); ratio > speed {
		s.speed = speed + speedWeight*(ratio-speed)
		s.speedAt = now
	}
}

func (s *server) noteWarm(now time.Time, object string) {
	if len(s.warm) >= maxWarm {
		for o, at := range s.warm {
			if now.Sub(at) >= warmLife {
				delete(s.warm, o)
			}
		}
	}
	if len(s.warm) < maxWarm {
		s.warm[object] = now
	}
}

// blend is a moving mean.
func blend(old, sample time.Duration, weight float64) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(weight*float64(sample-old))
}

// Ejected returns the servers that are ejected because they failed this
// instance, in id order. What others say of servers is not passed on.
func (b *Balancer) Ejected(now time.Time) []string {
	var out []string
	for id, s := range b.servers {
		if now.Before(s.ejected) {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// MarkSuspect passes servers over for a while because they failed another entry
// instance of the region, so that not each instance has to lose requests there.
// A few words are taken only: the other instance may be the one that is cut off.
func (b *Balancer) MarkSuspect(now time.Time, ids []string) {
	type group struct{ service, region string }
	passed := map[group]int{}
	for _, s := range b.servers {
		if now.Before(s.suspect) || now.Before(s.ejected) {
			passed[group{s.Service, s.Region}]++
		}
	}
	for _, id := range ids {
		s := b.servers[id]
		if s == nil {
			continue
		}
		if now.Before(s.suspect) {
			s.suspect = now.Add(suspectLife)
			continue
		}
		g := group{s.Service, s.Region}
		if float64(passed[g]+1) <= suspectMost*float64(b.groupSize(g.service, g.region)) {
			s.suspect = now.Add(suspectLife)
			passed[g]++
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

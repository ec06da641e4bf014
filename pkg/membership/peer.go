package membership

import (
	"maps"
	"slices"
	"time"
)

// peer is what is known of one entry instance.
type peer struct {
	id    string
	addr  string
	state State
	since time.Time

	incarnation uint64
	sequence    uint64
	heartbeat   Heartbeat
	lastHeard   time.Time // zero before the first heartbeat of an incarnation

	firstRefusal time.Time // start of the current run; zero without one
	lastRefusal  time.Time

	left             bool // this incarnation announced its stop
	clean            bool // it had finished all its requests
	predecessorClean bool

	// The platform's list lags and names no incarnation. It counts only for
	// the incarnation that was current when the list began to say leaving.
	platformLeaving     bool
	platformIncarnation uint64
}

func (p *peer) startIncarnation(incarnation uint64) {
	p.predecessorClean = p.clean
	p.left, p.clean = false, false
	p.incarnation = incarnation
	p.sequence = 0
	p.heartbeat = Heartbeat{}
	p.lastHeard = time.Time{}
}

func (p *peer) apply(now time.Time, hb *Heartbeat) {
	p.sequence = hb.Sequence
	p.lastHeard = now
	p.heartbeat = *hb
	p.heartbeat.Free = maps.Clone(hb.Free)
	p.heartbeat.QueueLength = maps.Clone(hb.QueueLength)
	p.heartbeat.LeavingServers = slices.Clone(hb.LeavingServers)
	p.clearRefusals()
}

func (p *peer) clearRefusals() {
	p.firstRefusal, p.lastRefusal = time.Time{}, time.Time{}
}

func (p *peer) refuse(now time.Time, fresh time.Duration) {
	if p.firstRefusal.IsZero() || now.Sub(p.lastRefusal) > fresh {
		p.firstRefusal = now
	}
	p.lastRefusal = now
}

func (p *peer) listed(leaving bool) {
	if leaving && !p.platformLeaving {
		p.platformIncarnation = p.incarnation
	}
	p.platformLeaving = leaving
}

func (p *peer) provablyGone(now time.Time, cfg Config) bool {
	if p.firstRefusal.IsZero() || now.Sub(p.lastRefusal) > cfg.RefusalMaxAge {
		return false
	}
	return p.lastRefusal.Sub(p.firstRefusal) >= cfg.GoneAfter
}

// derive returns the state at now and its start.
func (p *peer) derive(now time.Time, cfg Config) (State, time.Time) {
	if p.provablyGone(now, cfg) {
		return StateGone, p.firstRefusal.Add(cfg.GoneAfter)
	}
	if p.left {
		return StateLeaving, now
	}
	if p.lastHeard.IsZero() {
		return StateUnknown, now
	}
	if now.Sub(p.lastHeard) > cfg.SilentAfter {
		return StateSilent, p.lastHeard.Add(cfg.SilentAfter)
	}
	if p.platformLeaving && p.platformIncarnation == p.incarnation {
		return StateLeaving, now
	}
	switch p.heartbeat.State {
	case StateReady, StateLeaving:
		return p.heartbeat.State, now
	default:
		return StateNotReady, now
	}
}

func (p *peer) status() Status {
	return Status{
		Entry:          p.id,
		State:          p.state,
		Incarnation:    p.incarnation,
		ConfigVersion:  p.heartbeat.ConfigVersion,
		Free:           maps.Clone(p.heartbeat.Free),
		QueueLength:    maps.Clone(p.heartbeat.QueueLength),
		LeavingServers: slices.Clone(p.heartbeat.LeavingServers),
		Since:          p.since,
		LastHeard:      p.lastHeard,
	}
}

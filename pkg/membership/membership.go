package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// maxEvents limits the events kept between two calls of Events.
const maxEvents = 1024

// Members is the table of peers.
type Members struct {
	cfg            Config
	now            time.Time // latest time passed to any method
	peers          map[string]*peer
	leavingServers map[string]bool // backend servers that the platform lists as leaving
	events         []Event
}

// New returns a table without peers.
func New(cfg Config) *Members {
	if cfg.SilentAfter <= 0 {
		cfg.SilentAfter = DefaultSilentAfter
	}
	if cfg.GoneAfter <= 0 {
		cfg.GoneAfter = DefaultGoneAfter
	}
	if cfg.RefusalMaxAge <= 0 {
		cfg.RefusalMaxAge = DefaultRefusalMaxAge
	}
	return &Members{cfg: cfg, peers: make(map[string]*peer), leavingServers: make(map[string]bool)}
}

// SetPeers sets the configured entry instances. The state of an entry instance
// that is still configured is kept. If its peer address has changed, its
// refusals are discarded, since they say nothing about the new address.
func (m *Members) SetPeers(now time.Time, entries []config.EntryInstance) {
	m.advance(now)
	next := make(map[string]*peer, len(entries))
	for _, e := range entries {
		if e.ID == m.cfg.Self {
			continue
		}
		p := m.peers[e.ID]
		if p == nil {
			p = &peer{id: e.ID, state: StateUnknown, since: now}
		}
		if p.addr != e.PeerAddr {
			p.addr = e.PeerAddr
			p.clearRefusals()
		}
		next[e.ID] = p
	}
	m.peers = next
	m.refresh()
}

// HandleHeartbeat processes a heartbeat of a peer and reports whether it was
// accepted. Heartbeats are ordered by incarnation, then by sequence; one that
// is not newer than the last accepted one is dropped, so a delayed heartbeat
// never replaces a newer one.
func (m *Members) HandleHeartbeat(now time.Time, entry string, hb *Heartbeat) bool {
	m.advance(now)
	if entry == m.cfg.Self {
		return false
	}
	p := m.peers[entry]
	if p == nil {
		m.addEvent(Event{At: now, Entry: entry, Kind: EventUnknownEntry, Incarnation: hb.Incarnation})
		return false
	}
	if hb.Incarnation < p.incarnation {
		m.addEvent(Event{At: now, Entry: entry, Kind: EventStaleIncarnation, Incarnation: hb.Incarnation})
		return false
	}
	if hb.Incarnation == p.incarnation && hb.Sequence <= p.sequence {
		return false
	}
	if hb.Incarnation > p.incarnation {
		p.startIncarnation(hb.Incarnation)
		m.addEvent(Event{At: now, Entry: entry, Kind: EventIncarnation, Incarnation: hb.Incarnation})
	}
	p.apply(now, hb)
	m.refreshPeer(p)
	return true
}

// HandleLeave processes the announcement of a peer that it stops. clean means
// that all its requests have finished.
func (m *Members) HandleLeave(now time.Time, entry string, incarnation uint64, clean bool) {
	m.advance(now)
	p := m.peers[entry]
	if p == nil || incarnation < p.incarnation {
		return
	}
	if incarnation > p.incarnation {
		p.startIncarnation(incarnation)
	}
	p.announcedLeave = true
	p.leftCleanly = p.leftCleanly || clean
	m.addEvent(Event{At: now, Entry: entry, Kind: EventLeft, Incarnation: incarnation})
	m.refreshPeer(p)
}

// HandleFailure processes a failed call to a peer. refused means that the
// connection was refused; any other failure interrupts the refusals, because a
// process may be listening. A call that did not try to connect says nothing
// about the peer and must not be passed in.
func (m *Members) HandleFailure(now time.Time, entry string, refused bool) {
	m.advance(now)
	p := m.peers[entry]
	if p == nil {
		return
	}
	if refused {
		p.recordRefusal(now, m.cfg.RefusalMaxAge)
	} else {
		p.clearRefusals()
	}
	m.refreshPeer(p)
}

// HandleInstanceList processes the platform's instance list. The list lags, so
// an instance that is not in it may be running.
func (m *Members) HandleInstanceList(now time.Time, instances []platform.Instance) {
	m.advance(now)
	m.leavingServers = make(map[string]bool)
	leaving := make(map[string]bool)
	for _, i := range instances {
		if i.State != platform.InstanceLeaving {
			continue
		}
		switch i.Kind {
		case "backend":
			m.leavingServers[i.ID] = true
		case "entry":
			leaving[i.ID] = true
		}
	}
	for id, p := range m.peers {
		p.setPlatformLeaving(leaving[id])
	}
	m.refresh()
}

// Peer returns the status of a peer at the latest time passed to any method.
// An entry that is not a configured peer has state unknown.
func (m *Members) Peer(entry string) Status {
	p := m.peers[entry]
	if p == nil {
		return Status{Entry: entry, State: StateUnknown}
	}
	m.refreshPeer(p)
	return p.status()
}

// Peers returns all peers in order of their ids.
func (m *Members) Peers(now time.Time) []Status {
	m.advance(now)
	m.refresh()
	out := make([]Status, 0, len(m.peers))
	for _, id := range slices.Sorted(maps.Keys(m.peers)) {
		out = append(out, m.peers[id].status())
	}
	return out
}

// ProvablyGone reports whether connections to the entry instance have been
// refused continuously for at least GoneAfter, the last one no longer than
// RefusalMaxAge ago.
func (m *Members) ProvablyGone(now time.Time, entry string) bool {
	m.advance(now)
	p := m.peers[entry]
	return p != nil && p.provablyGone(now, m.cfg)
}

// LeftCleanly reports whether the newest known incarnation of the entry instance
// has stopped after finishing all its requests or, while that one is running,
// whether its last known predecessor did. There may have been an incarnation in
// between that this process has not heard of.
func (m *Members) LeftCleanly(entry string) bool {
	p := m.peers[entry]
	return p != nil && (p.leftCleanly || p.predecessorLeftCleanly)
}

// LeavingServers returns the backend servers that are leaving according to the
// platform's list or to the heartbeat of a peer that is neither silent nor
// gone, with the reason.
func (m *Members) LeavingServers(now time.Time) map[string]string {
	m.advance(now)
	m.refresh()
	out := make(map[string]string)
	for _, id := range slices.Sorted(maps.Keys(m.peers)) {
		p := m.peers[id]
		if p.state == StateSilent || p.state == StateGone {
			continue
		}
		for _, server := range p.heartbeat.LeavingServers {
			if _, known := out[server]; !known {
				out[server] = "reported by entry instance " + id
			}
		}
	}
	for server := range m.leavingServers {
		out[server] = "platform instance list"
	}
	return out
}

// Events returns the events since the previous call, oldest first.
func (m *Members) Events(now time.Time) []Event {
	m.advance(now)
	m.refresh()
	out := m.events
	m.events = nil
	return out
}

func (m *Members) advance(now time.Time) {
	if now.After(m.now) {
		m.now = now
	}
}

func (m *Members) refresh() {
	for _, p := range m.peers {
		m.refreshPeer(p)
	}
}

func (m *Members) refreshPeer(p *peer) {
	state, since := p.currentState(m.now, m.cfg)
	if state == p.state {
		return
	}
	m.addEvent(Event{At: since, Entry: p.id, Kind: EventState, From: p.state, To: state, Incarnation: p.incarnation})
	p.state, p.since = state, since
}

func (m *Members) addEvent(e Event) {
	if len(m.events) >= maxEvents {
		m.events = m.events[1:]
	}
	m.events = append(m.events, e)
}

package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// maxEvents bounds the events kept between two calls of Events.
const maxEvents = 1024

// Members is the table of peers.
type Members struct {
	cfg     Config
	now     time.Time // latest time passed in
	peers   map[string]*peer
	servers map[string]bool // backend servers that the platform lists as leaving
	events  []Event
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
	return &Members{cfg: cfg, peers: make(map[string]*peer), servers: make(map[string]bool)}
}

// SetPeers sets the configured entry instances. State of an entry instance
// that is still configured is kept, unless its peer address changed: the old
// address proves nothing about the new one.
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

// HandleHeartbeat takes a heartbeat of a peer and reports whether it was
// accepted. Heartbeats are ordered by incarnation, then by sequence; one that
// is not newer than the last accepted one is dropped, so a delayed heartbeat
// of an old incarnation never replaces a newer one.
func (m *Members) HandleHeartbeat(now time.Time, entry string, hb *Heartbeat) bool {
	m.advance(now)
	if entry == m.cfg.Self {
		return false
	}
	p := m.peers[entry]
	if p == nil {
		m.event(Event{At: now, Entry: entry, Kind: EventUnknownEntry, Incarnation: hb.Incarnation})
		return false
	}
	if hb.Incarnation < p.incarnation {
		m.event(Event{At: now, Entry: entry, Kind: EventStaleIncarnation, Incarnation: hb.Incarnation})
		return false
	}
	if hb.Incarnation == p.incarnation && hb.Sequence <= p.sequence {
		return false
	}
	if hb.Incarnation > p.incarnation {
		p.startIncarnation(hb.Incarnation)
		m.event(Event{At: now, Entry: entry, Kind: EventIncarnation, Incarnation: hb.Incarnation})
	}
	p.apply(now, hb)
	m.refreshPeer(p)
	return true
}

// HandleLeave takes the announcement of a peer that it stops. Clean means
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
	p.left = true
	p.clean = p.clean || clean
	m.event(Event{At: now, Entry: entry, Kind: EventLeft, Incarnation: incarnation})
	m.refreshPeer(p)
}

// HandleFailure takes a failed call to a peer. Refused means that the
// connection was refused just now; any other failure interrupts a run of
// refusals, because something may be listening. A call that did not try to
// connect is no evidence and must not be passed in.
func (m *Members) HandleFailure(now time.Time, entry string, refused bool) {
	m.advance(now)
	p := m.peers[entry]
	if p == nil {
		return
	}
	if refused {
		p.refuse(now, m.cfg.RefusalMaxAge)
	} else {
		p.clearRefusals()
	}
	m.refreshPeer(p)
}

// HandleInstanceList takes the platform's instance list, which lags. Absence
// from the list proves nothing.
func (m *Members) HandleInstanceList(now time.Time, instances []platform.Instance) {
	m.advance(now)
	m.servers = make(map[string]bool)
	leaving := make(map[string]bool)
	for _, i := range instances {
		if i.State != platform.InstanceLeaving {
			continue
		}
		switch i.Kind {
		case "backend":
			m.servers[i.ID] = true
		case "entry":
			leaving[i.ID] = true
		}
	}
	for id, p := range m.peers {
		p.listed(leaving[id])
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

// ProvablyGone reports whether the connection to the entry has been refused
// for at least GoneAfter, last within RefusalMaxAge.
func (m *Members) ProvablyGone(now time.Time, entry string) bool {
	m.advance(now)
	p := m.peers[entry]
	return p != nil && p.provablyGone(now, m.cfg)
}

// LeftCleanly reports whether the newest known incarnation of the entry left
// after finishing all its requests or, once a newer one was heard, whether
// its last known predecessor did. An incarnation in between that this process
// never heard of cannot be excluded.
func (m *Members) LeftCleanly(entry string) bool {
	p := m.peers[entry]
	return p != nil && (p.clean || p.predecessorClean)
}

// LeavingServers returns the backend servers that are leaving by the
// platform's list or by the heartbeat of a peer that is not silent, with the
// reason.
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
	for server := range m.servers {
		out[server] = "platform instance list"
	}
	return out
}

// Events returns the events since its last call, oldest first.
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
	state, since := p.derive(m.now, m.cfg)
	if state == p.state {
		return
	}
	m.event(Event{At: since, Entry: p.id, Kind: EventState, From: p.state, To: state, Incarnation: p.incarnation})
	p.state, p.since = state, since
}

func (m *Members) event(e Event) {
	if len(m.events) >= maxEvents {
		m.events = m.events[1:]
	}
	m.events = append(m.events, e)
}

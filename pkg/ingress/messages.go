package ingress

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/placement"
	"github.com/dandelionrack/dandelionrack/pkg/replica"
	"github.com/dandelionrack/dandelionrack/pkg/roster"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// decodeStates returns the table states of the sender.
func decodeStates(in *wire.ReplicaSync) map[replica.TableName]replica.State {
	out := make(map[replica.TableName]replica.State, len(in.GetHave()))
	for _, s := range in.GetHave() {
		out[replica.TableName(s.GetTable())] = replica.State{Version: s.GetVersion(), Digest: s.GetDigest(), Pull: replica.Pull(s.GetAsk())}
	}
	return out
}

func encodeState(name replica.TableName, s replica.State) *wire.TableState {
	return &wire.TableState{Table: string(name), Version: s.Version, Digest: s.Digest, Ask: wire.TableAsk(s.Pull)}
}

// syncRequest returns a heartbeat with the table states of this instance and the
// rows that it asks for. An instance that follows the store adds the rows that a
// peer lacks; one of another region gets them only if its own follower has not
// provided them in time.
func (g *Ingress) syncRequest(l *link) *wire.ReplicaSync {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.statusMessageLocked(now, l.member)
	if l.member.Region == g.self.Region {
		// Not in responses: the peer makes calls of its own.
		out.Loads = encodeLoads(g.selector.loads(now))
	}
	push := g.following.Load() && (l.member.Region == g.self.Region || l.lacksRows(now))
	for _, name := range replicatedTables {
		t := g.tables[name]
		peer, heard := l.tables[name]
		out.Have = append(out.Have, encodeState(name, t.StateFor(now, peer)))
		switch {
		case !push:
		case heard && peer.Version == 0 && l.member.Region == g.self.Region && t.Initialized():
			g.addRows(out, name, t.Since(now, 0))
		default:
			if batch, ok := t.ChangesFor(now, peer); ok {
				g.addRows(out, name, batch)
			}
		}
	}
	return out
}

// syncResponse returns the table states of this instance and the rows that the
// caller asked for.
func (g *Ingress) syncResponse(caller fleet.Member, has map[replica.TableName]replica.State) *wire.ReplicaSync {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.statusMessageLocked(now, caller)
	for _, name := range replicatedTables {
		t := g.tables[name]
		out.Have = append(out.Have, encodeState(name, t.State()))
		if batch, ok := t.RespondToPull(now, has[name]); ok {
			g.addRows(out, name, batch)
		}
	}
	return out
}

// replicatedTables are the tables that peers exchange.
var replicatedTables = []replica.TableName{replica.Operator, replica.Servers}

func (g *Ingress) addRows(out *wire.ReplicaSync, name replica.TableName, batch replica.Batch) {
	out.Rows = append(out.Rows, g.rows.encode(name, batch))
	if batch.Full {
		g.metrics.fullTables.Add(1)
	}
}

// statusMessageLocked returns a message to a peer with this instance's status and the
// backend servers that fail for it. The caller holds mu.
func (g *Ingress) statusMessageLocked(now time.Time, peer fleet.Member) *wire.ReplicaSync {
	status := g.statusLocked(now)
	out := &wire.ReplicaSync{Member: encodeMember(g.self), FailingServers: g.selector.ejected(now), RestartedServers: g.selector.unknownStarts(), Notices: g.noticesLocked(now)}
	out.Quota = g.quotas.report(now, peer)
	out.Member.State = wireStates[status.State]
	out.Member.Following = status.Following
	out.StandbyRank = uint32(g.roster.StandbyRank(now, peer.ID))
	out.Member.StoreAgeMs = status.StoreResponseAge.Milliseconds()
	if status.StoreResponseAge < 0 {
		out.Member.StoreAgeMs = -1
	}
	return out
}

// addKnownMembers adds all known members to a response; addresses and places only if
// whole is set.
func (g *Ingress) addKnownMembers(out *wire.ReplicaSync, whole bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, k := range g.roster.Known(now) {
		m := &wire.ReplicaMember{Id: k.ID, Incarnation: k.Incarnation}
		if whole {
			m = encodeMember(k.Member)
		}
		m.AliveAgeMs = proto.Int64(k.Age.Milliseconds())
		out.Known = append(out.Known, m)
	}
}

var wireStates = map[roster.State]wire.EntryState{
	roster.NotReady: wire.EntryState_ENTRY_STATE_NOT_READY,
	roster.Ready:    wire.EntryState_ENTRY_STATE_READY,
	roster.Leaving:  wire.EntryState_ENTRY_STATE_LEAVING,
}

func encodeMember(m fleet.Member) *wire.ReplicaMember {
	return &wire.ReplicaMember{
		Id: m.ID, Incarnation: m.Incarnation, FailureDomain: m.FailureDomain, Region: m.Region,
		ClientAddr: m.ClientAddr, PeerAddr: m.PeerAddr, LinkMbps: m.LinkMbps,
	}
}

func decodeMember(m *wire.ReplicaMember) fleet.Member {
	return fleet.Member{
		ID: m.GetId(), Incarnation: m.GetIncarnation(), FailureDomain: m.GetFailureDomain(), Region: m.GetRegion(),
		ClientAddr: m.GetClientAddr(), PeerAddr: m.GetPeerAddr(), LinkMbps: m.GetLinkMbps(),
	}
}

// Units of loads in messages.
const (
	loadUnit     = 1.0 / 8
	slowdownUnit = 1.0 / 100
)

func encodeLoads(loads []placement.LoadReport) []*wire.ServerLoad {
	out := make([]*wire.ServerLoad, 0, len(loads))
	for _, l := range loads {
		out = append(out, &wire.ServerLoad{
			Server: l.Server, LoadX8: uint32(l.Load/loadUnit + 0.5), SlowdownPercent: uint32(l.Slowdown/slowdownUnit + 0.5),
		})
	}
	return out
}

func decodeLoads(in []*wire.ServerLoad) []placement.LoadReport {
	out := make([]placement.LoadReport, 0, len(in))
	for _, l := range in {
		out = append(out, placement.LoadReport{
			Server: l.GetServer(), Load: float64(l.GetLoadX8()) * loadUnit, Slowdown: float64(l.GetSlowdownPercent()) * slowdownUnit,
		})
	}
	return out
}

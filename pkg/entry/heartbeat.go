package entry

import (
	"context"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/admission"
	"github.com/dandelionrack/dandelionrack/pkg/membership"
	"github.com/dandelionrack/dandelionrack/pkg/peer"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

const (
	heartbeatInterval = 200 * time.Millisecond
	// heartbeatTimeout bounds the opening of a stream. It is shorter than
	// membership.DefaultSilentAfter and long enough for the longest round trip.
	heartbeatTimeout     = 600 * time.Millisecond
	instanceListInterval = time.Second
)

// membershipUpdate calls change with the peer table locked and logs the resulting
// events.
func (e *Entry) membershipUpdate(change func()) {
	e.membersMu.Lock()
	change()
	events := e.members.Events(time.Now())
	e.membersMu.Unlock()
	for _, ev := range events {
		e.log.Info("peer changed", "peer", ev.Entry, "event", string(ev.Kind),
			"from", string(ev.From), "to", string(ev.To), "incarnation", ev.Incarnation)
	}
}

func (e *Entry) runHeartbeats(ctx context.Context) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	defer e.senders.wg.Wait()
	for {
		e.heartbeatRound(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-e.heartbeatDue:
		}
	}
}

// triggerHeartbeat makes runHeartbeats send a heartbeat to all peers at once. It is
// meant for rare changes that peers act on, not for free slots, which change with
// each request.
func (e *Entry) triggerHeartbeat() {
	select {
	case e.heartbeatDue <- struct{}{}:
	default:
	}
}

func (e *Entry) heartbeatRound(ctx context.Context) {
	v := e.currentView()
	if v == nil {
		return
	}
	own := e.ownHeartbeat()
	for id, target := range v.entries {
		if id != e.settings.ID {
			e.senders.offer(ctx, id, outgoingHeartbeat{addr: target.PeerAddr, hb: e.heartbeatTo(own, id)})
		}
	}
	for _, id := range e.senders.peerIDs() {
		if _, configured := v.entries[id]; !configured {
			e.senders.offer(ctx, id, outgoingHeartbeat{})
		}
	}
	e.updateLoans(v)
	e.updateLeaving(v)
}

// heartbeat returns the current heartbeat of this entry instance for one peer.
func (e *Entry) heartbeat(to string) *wire.Heartbeat {
	return e.heartbeatTo(e.ownHeartbeat(), to)
}

// heartbeatTo returns a copy of own with the fields that depend on the peer. The
// maps and slices of own are shared by the heartbeats to all peers and must not be
// changed.
func (e *Entry) heartbeatTo(own *wire.Heartbeat, to string) *wire.Heartbeat {
	return &wire.Heartbeat{
		Entry:             own.Entry,
		Incarnation:       own.Incarnation,
		State:             own.State,
		ConfigVersion:     own.ConfigVersion,
		FreeSlots:         own.FreeSlots,
		QueueLength:       own.QueueLength,
		LeavingServers:    own.LeavingServers,
		PredecessorClean:  e.predecessorLeftCleanly(to),
		NewestIncarnation: e.newestIncarnationOf(to),
	}
}

// ownHeartbeat returns a heartbeat with the fields that are the same for all peers.
func (e *Entry) ownHeartbeat() *wire.Heartbeat {
	hb := &wire.Heartbeat{
		Entry:          e.settings.ID,
		Incarnation:    e.self.Number,
		State:          e.state(),
		ConfigVersion:  e.configVersion(),
		FreeSlots:      map[string]int32{},
		QueueLength:    map[string]int32{},
		LeavingServers: e.ownLeavingServers(),
	}
	v := e.currentView()
	if v == nil {
		return hb
	}
	e.gate.read(func(ctl *admission.Controller, now time.Time) {
		for service := range v.serversByService {
			if free := ctl.FreeSlots(now, service); free > 0 {
				hb.FreeSlots[service] = int32(free)
			}
			if queued := ctl.QueueLength(service); queued > 0 {
				hb.QueueLength[service] = int32(queued)
			}
		}
	})
	return hb
}

// HandleHeartbeat processes a heartbeat of a peer. replier is set with the first
// heartbeat of a stream and sends heartbeats to the peer on that stream.
func (e *Entry) HandleHeartbeat(ctx context.Context, hb *wire.Heartbeat, replier *peer.HeartbeatReplier) {
	from := hb.GetEntry()
	started := false
	e.membershipUpdate(func() {
		before := e.members.Peer(from).Incarnation
		accepted := e.members.HandleHeartbeat(time.Now(), from, &membership.Heartbeat{
			Incarnation:    hb.GetIncarnation(),
			Sequence:       hb.GetSequence(),
			State:          stateFromWire(hb.GetState()),
			ConfigVersion:  hb.GetConfigVersion(),
			Free:           intMap(hb.GetFreeSlots()),
			QueueLength:    intMap(hb.GetQueueLength()),
			LeavingServers: hb.GetLeavingServers(),
		})
		started = accepted && before < hb.GetIncarnation()
	})
	e.updateFence(func(s *membership.Fence) { s.ObserveIncarnation(hb.GetNewestIncarnation()) })
	if started {
		// A peer that has just started waits for the heartbeats of its peers.
		e.triggerHeartbeat()
	}
	if replier != nil {
		e.senders.setReplier(from, replier)
	}
	if hb.GetPredecessorClean() {
		e.handlePredecessorClean(from)
	}
	if hb.GetConfigVersion() > e.configVersion() {
		e.fetchConfigFrom(ctx, from)
	}
}

// fetchConfigFrom fetches the configuration from a peer in the background, unless
// another such call is running.
func (e *Entry) fetchConfigFrom(ctx context.Context, peerID string) {
	v := e.currentView()
	if v == nil || !e.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.fetchingConfig.Store(false)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), configCallTimeout)
		defer cancel()
		e.adoptConfig(e.fetchConfig(ctx, v.entries[peerID].PeerAddr), "peer "+peerID)
	}()
}

func stateFromWire(s wire.EntryState) membership.State {
	switch s {
	case wire.EntryState_ENTRY_STATE_READY:
		return membership.StateReady
	case wire.EntryState_ENTRY_STATE_LEAVING:
		return membership.StateLeaving
	default:
		return membership.StateNotReady
	}
}

func intMap(in map[string]int32) map[string]int {
	out := make(map[string]int, len(in))
	for k, v := range in {
		out[k] = int(v)
	}
	return out
}

// runInstanceList polls the platform's instance list, which lags.
func (e *Entry) runInstanceList(ctx context.Context) {
	t := time.NewTicker(instanceListInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		callCtx, cancel := context.WithTimeout(ctx, configCallTimeout)
		list, err := e.platform.Instances(callCtx)
		cancel()
		if err != nil {
			e.metrics.storeErrors.Add(1)
			continue
		}
		e.handleInstanceList(list)
		e.membershipUpdate(func() { e.members.HandleInstanceList(time.Now(), list) })
	}
}

// entryState returns the state of an entry instance, this one or a peer.
func (e *Entry) entryState(id string) membership.State {
	if id == e.settings.ID {
		return stateFromWire(e.state())
	}
	e.membersMu.Lock()
	defer e.membersMu.Unlock()
	return e.members.Peer(id).State
}

package entry

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/admission"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/membership"
	"github.com/dandelionrack/dandelionrack/pkg/peer"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

const (
	heartbeatInterval = 200 * time.Millisecond
	// heartbeatTimeout is shorter than the time after which a silent peer is
	// suspected, and long enough for the longest round trip.
	heartbeatTimeout     = 600 * time.Millisecond
	instanceListInterval = time.Second
)

// membershipUpdate runs a change of the peer table, which is not safe for
// concurrent use, and logs what changed.
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
	// busy holds the peers whose heartbeat is still unanswered, so that a
	// silent peer does not collect calls.
	busy := &sync.Map{}
	for {
		e.heartbeatRound(ctx, busy)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (e *Entry) heartbeatRound(ctx context.Context, busy *sync.Map) {
	v := e.currentView()
	if v == nil {
		return
	}
	for _, target := range v.doc.Deployment.EntryInstances {
		if target.ID == e.settings.ID || e.heardJustNow(target.ID) {
			continue
		}
		if _, running := busy.LoadOrStore(target.ID, true); running {
			continue
		}
		go func() {
			defer busy.Delete(target.ID)
			e.sendHeartbeat(ctx, target)
		}()
	}
	e.updateLending(v)
	e.updateLeaving(v)
}

// heardJustNow reports whether a heartbeat of the peer arrived within the last
// interval. A call carries the heartbeats of both sides, so one call in either
// direction is enough for both.
func (e *Entry) heardJustNow(id string) bool {
	e.membersMu.Lock()
	defer e.membersMu.Unlock()
	st := e.members.Peer(id)
	return st.State == membership.StateReady && time.Since(st.LastHeard) < heartbeatInterval*3/4
}

func (e *Entry) sendHeartbeat(ctx context.Context, target config.EntryInstance) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	res, err := e.callPeer(ctx, target.PeerAddr, &wire.Request{Call: &wire.Request_Heartbeat{
		Heartbeat: e.heartbeat(target.ID),
	}})
	if err != nil {
		e.noteFailure(target.ID, err)
		return
	}
	if hb := res.GetHeartbeat(); hb != nil {
		e.receiveHeartbeat(ctx, target.ID, hb)
	}
}

// noteFailure records a failed call to a peer. A call that was not tried
// because a dial failed a moment ago says nothing new.
func (e *Entry) noteFailure(peerID string, err error) {
	if errors.Is(err, peer.ErrBackoff) {
		return
	}
	e.membershipUpdate(func() {
		e.members.HandleFailure(time.Now(), peerID, errors.Is(err, peer.ErrRefused))
	})
}

// heartbeat is what this entry instance says of itself to one peer.
func (e *Entry) heartbeat(to string) *wire.Heartbeat {
	hb := &wire.Heartbeat{
		Entry:            e.settings.ID,
		Incarnation:      e.self.Number,
		State:            e.state(),
		ConfigVersion:    e.configVersion(),
		Sequence:         e.heartbeatSeq.Add(1),
		FreeSlots:        map[string]int32{},
		QueueLength:      map[string]int32{},
		LeavingServers:   e.ownLeavingServers(),
		PredecessorClean: e.predecessorClean(to),

		NewestIncarnation: e.newestIncarnation(to),
	}
	v := e.currentView()
	if v == nil {
		return hb
	}
	e.gate.read(func(ctl *admission.Controller, now time.Time) {
		for service := range v.byService {
			if free := ctl.Free(now, service); free > 0 {
				hb.FreeSlots[service] = int32(free)
			}
			if queued := ctl.QueueLength(service); queued > 0 {
				hb.QueueLength[service] = int32(queued)
			}
		}
	})
	return hb
}

func (e *Entry) receiveHeartbeat(ctx context.Context, from string, hb *wire.Heartbeat) {
	e.membershipUpdate(func() {
		e.members.HandleHeartbeat(time.Now(), from, &membership.Heartbeat{
			Incarnation:    hb.GetIncarnation(),
			Sequence:       hb.GetSequence(),
			State:          stateFromWire(hb.GetState()),
			ConfigVersion:  hb.GetConfigVersion(),
			Free:           intMap(hb.GetFreeSlots()),
			QueueLength:    intMap(hb.GetQueueLength()),
			LeavingServers: hb.GetLeavingServers(),
		})
	})
	e.updateSeat(func(s *membership.Seat) { s.Learn(hb.GetNewestIncarnation()) })
	if hb.GetPredecessorClean() {
		e.clearHoldOff(from)
	}
	if hb.GetConfigVersion() > e.configVersion() {
		e.fetchFrom(ctx, from)
	}
}

// fetchFrom asks a peer for its configuration, one call at a time.
func (e *Entry) fetchFrom(ctx context.Context, peerID string) {
	v := e.currentView()
	if v == nil || !e.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer e.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), configCallTimeout)
		defer cancel()
		e.adopt(e.fetchConfig(ctx, v.entries[peerID].PeerAddr), "peer "+peerID)
	}()
}

func (e *Entry) handleHeartbeat(ctx context.Context, hb *wire.Heartbeat) *wire.Response {
	e.receiveHeartbeat(ctx, hb.GetEntry(), hb)
	return &wire.Response{Reply: &wire.Response_Heartbeat{Heartbeat: e.heartbeat(hb.GetEntry())}}
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

// runInstanceList reads the platform's lagging list of instances.
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
		e.setPlatformLeaving(list)
		e.membershipUpdate(func() { e.members.HandlePlatformList(time.Now(), list) })
	}
}

// entryState is the state of an entry instance as lookups need it.
func (e *Entry) entryState(id string) membership.State {
	if id == e.settings.ID {
		return stateFromWire(e.state())
	}
	e.membersMu.Lock()
	defer e.membersMu.Unlock()
	return e.members.Peer(id).State
}

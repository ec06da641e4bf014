package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/peer"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// quietAfter is the time without a heartbeat of a peer after which the connection
// to it is checked. If the peer is paused or unreachable, the connection is closed
// 1 s later and the sender dials again.
const quietAfter = 2 * heartbeatInterval

// quietRestartInterval is the time between two new streams to a quiet peer. A new
// stream makes the peer check its own connection in the other direction, which may
// be the dead one.
const quietRestartInterval = 3 * heartbeatInterval

// outgoingHeartbeat is a heartbeat for one peer. An empty address means that the
// peer is no longer configured.
type outgoingHeartbeat struct {
	addr string
	hb   *wire.Heartbeat
}

// heartbeatSender keeps the heartbeat stream to one peer open. Each peer has its
// own goroutine, so that a hanging one does not delay the others.
type heartbeatSender struct {
	entry *Entry
	peer  string
	// next holds the newest heartbeat. One that was not sent in time is replaced,
	// so that a slow peer gets only the current state.
	next chan outgoingHeartbeat
	// peerStreams holds the newest stream that the peer has opened, see
	// heartbeatSenders.setPeerStream.
	peerStreams chan *peer.HeartbeatReplier

	sequence uint64 // grows over all streams to the peer
	addr     string
	stream   *peer.HeartbeatStream // nil when none is open
	opened   time.Time
	// peerStream is a stream that the peer has opened, or nil. It carries heartbeats
	// to the peer while no stream can be opened from here, for example when the
	// network drops connections in one direction only.
	peerStream *peer.HeartbeatReplier
	// restarted is the time of the last new stream to a quiet peer.
	restarted time.Time
}

// heartbeatSenders holds the senders of one entry instance by peer. A sender is kept
// when its peer is removed, because its sequence must not restart.
type heartbeatSenders struct {
	entry *Entry
	wg    sync.WaitGroup

	mu     sync.Mutex
	byPeer map[string]*heartbeatSender
}

// offer sets the next heartbeat of a sender. Only runHeartbeats calls it.
func (s *heartbeatSenders) offer(ctx context.Context, id string, out outgoingHeartbeat) {
	sender := s.sender(ctx, id)
	select {
	case <-sender.next:
	default:
	}
	// Nothing else sends on the channel, so its buffer has room now.
	sender.next <- out
}

func (s *heartbeatSenders) sender(ctx context.Context, id string) *heartbeatSender {
	s.mu.Lock()
	defer s.mu.Unlock()
	sender := s.byPeer[id]
	if sender == nil {
		sender = &heartbeatSender{entry: s.entry, peer: id, next: make(chan outgoingHeartbeat, 1), peerStreams: make(chan *peer.HeartbeatReplier, 1)}
		s.byPeer[id] = sender
		s.wg.Go(func() { sender.run(ctx) })
	}
	return sender
}

// peerIDs returns the ids of the peers that have a sender.
func (s *heartbeatSenders) peerIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.byPeer))
}

// setPeerStream passes a new stream that a peer has opened to its sender.
func (s *heartbeatSenders) setPeerStream(id string, peerStream *peer.HeartbeatReplier) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sender := s.byPeer[id]
	if sender == nil {
		return
	}
	select {
	case <-sender.peerStreams:
	default:
	}
	sender.peerStreams <- peerStream // has room: only sent on under the lock
}

func (s *heartbeatSender) run(ctx context.Context) {
	defer s.closeStream()
	for {
		var ended <-chan struct{}
		if s.stream != nil {
			ended = s.stream.Done()
		}
		select {
		case <-ctx.Done():
			return
		case out := <-s.next:
			s.send(ctx, out)
		case s.peerStream = <-s.peerStreams:
			// A peer that opens a stream has just started, has lost its connection,
			// or receives nothing from here.
			if s.stream != nil {
				s.stream.Probe()
			}
		case <-ended:
			s.restart(ctx)
		}
	}
}

// restart dials at once when a stream ends, so that a killed process is detected
// before the next heartbeat is due. If the stream lasted less than an interval, it
// leaves the dial to the next heartbeat, so that a peer that closes each stream is
// not dialed in a loop.
func (s *heartbeatSender) restart(ctx context.Context) {
	short := time.Since(s.opened) < heartbeatInterval
	s.closeStream()
	if !short {
		s.send(ctx, outgoingHeartbeat{addr: s.addr, hb: s.entry.heartbeat(s.peer)})
	}
}

func (s *heartbeatSender) closeStream() {
	if s.stream != nil {
		s.stream.Close()
		s.stream = nil
	}
}

func (s *heartbeatSender) send(ctx context.Context, out outgoingHeartbeat) {
	if out.addr != s.addr {
		s.closeStream()
		s.addr = out.addr
	}
	s.checkQuiet()
	if s.addr == "" {
		return
	}
	opened := s.open(ctx)
	s.sequence++
	out.hb.Sequence = s.sequence
	if opened {
		if err := s.stream.Send(out.hb); err != nil {
			s.closeStream()
		}
		return
	}
	if s.peerStream == nil {
		return
	}
	if err := s.peerStream.Send(out.hb); err != nil {
		s.peerStream = nil
	}
}

// checkQuiet checks the connections in both directions if the peer is quiet.
func (s *heartbeatSender) checkQuiet() {
	if s.stream == nil || time.Since(s.opened) < quietAfter || !s.entry.quiet(s.peer) {
		return
	}
	s.stream.Probe()
	if time.Since(s.restarted) > quietRestartInterval {
		s.restarted = time.Now()
		s.closeStream()
	}
}

// open opens a stream if none is open and records the result of the attempt. It
// reports whether a stream is open.
func (s *heartbeatSender) open(ctx context.Context) bool {
	if s.stream != nil {
		return true
	}
	limit := heartbeatTimeout
	if s.peerStream != nil {
		// The dial continues in the background; heartbeats must not wait for it.
		limit = heartbeatInterval * 3 / 4
	}
	openCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	stream, err := s.entry.peers.OpenHeartbeats(openCtx, s.entry.settings.dialAddr(s.addr), func(hb *wire.Heartbeat) {
		if hb.GetEntry() == s.peer {
			s.entry.HandleHeartbeat(ctx, hb, nil)
		}
	})
	s.entry.recordContact(s.peer, err)
	if err != nil {
		return false
	}
	s.stream, s.opened = stream, time.Now()
	// Heartbeats now go over the new stream; the sequence on the peer's stream would
	// fall behind.
	s.peerStream = nil
	return true
}

// recordContact passes the result of an attempt to connect to a peer to the
// membership table. An accepted connection interrupts the refusals, as does a
// failure of another kind: a process is listening, even if it is paused. An attempt
// that was not made because of the backoff after a failed dial says nothing.
func (e *Entry) recordContact(peerID string, err error) {
	if errors.Is(err, peer.ErrBackoff) {
		return
	}
	e.membershipUpdate(func() {
		e.members.HandleFailure(time.Now(), peerID, errors.Is(err, peer.ErrRefused))
	})
}

// quiet reports whether no heartbeat of a peer has arrived for quietAfter.
func (e *Entry) quiet(peerID string) bool {
	e.membersMu.Lock()
	defer e.membersMu.Unlock()
	return time.Since(e.members.Peer(peerID).LastHeard) > quietAfter
}

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

// quietAfter is the silence of a peer after which the connection to it is
// checked. A paused process or a cut ends the connection 1 s later, and the
// sender dials again.
const quietAfter = 2 * heartbeatInterval

// quietRestart is the time between two new streams to a quiet peer. A new stream
// makes the peer check its own connection in the other direction, which may be
// the one that is dead.
const quietRestartInterval = 3 * heartbeatInterval

// outgoing is a heartbeat for one peer. Without an address the peer is no longer
// configured.
type outgoingHeartbeat struct {
	addr string
	hb   *wire.Heartbeat
}

// heartbeatSender keeps the heartbeat stream to one peer open. Each peer has a
// goroutine of its own, so that a frozen one delays no other.
type heartbeatSender struct {
	entry *Entry
	peer  string
	// next holds the newest heartbeat; one that was not sent in time is
	// replaced, so that a slow peer gets the present state only.
	next chan outgoingHeartbeat
	// streams holds the newest stream of the peer, see heartbeatSenders.noteStream.
	peerStreams chan *peer.HeartbeatReply

	sequence uint64 // grows over all streams to the peer
	addr     string
	stream   *peer.HeartbeatStream // nil when none is open
	opened   time.Time
	// back leads to the peer while no stream can be opened, as when a cut stops
	// connections in one direction only. Nil when the peer has no stream here.
	peerStream *peer.HeartbeatReply
	// restarted is the time of the last new stream to a quiet peer.
	restarted time.Time
}

// heartbeatSenders are the senders of one entry instance by peer. A sender stays
// when its peer is removed, because its sequence must not start again.
type heartbeatSenders struct {
	entry *Entry
	wg    sync.WaitGroup

	mu     sync.Mutex
	byPeer map[string]*heartbeatSender
}

// offer gives a sender its next heartbeat. Only runHeartbeats calls it.
func (s *heartbeatSenders) offer(ctx context.Context, id string, out outgoingHeartbeat) {
	sender := s.sender(ctx, id)
	select {
	case <-sender.next:
	default:
	}
	// Nothing else adds to the channel, so there is room now.
	sender.next <- out
}

func (s *heartbeatSenders) sender(ctx context.Context, id string) *heartbeatSender {
	s.mu.Lock()
	defer s.mu.Unlock()
	sender := s.byPeer[id]
	if sender == nil {
		sender = &heartbeatSender{entry: s.entry, peer: id, next: make(chan outgoingHeartbeat, 1), peerStreams: make(chan *peer.HeartbeatReply, 1)}
		s.byPeer[id] = sender
		s.wg.Go(func() { sender.run(ctx) })
	}
	return sender
}

// known returns the peers that have a sender.
func (s *heartbeatSenders) peerIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.byPeer))
}

// noteStream takes the way back on a new stream of a peer.
func (s *heartbeatSenders) setPeerStream(id string, peerStream *peer.HeartbeatReply) {
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
	sender.peerStreams <- peerStream // only added to under the lock
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
			// A peer that starts a stream was started itself, had lost its
			// connection, or hears nothing from here.
			if s.stream != nil {
				s.stream.Check()
			}
		case <-ended:
			s.restart(ctx)
		}
	}
}

// restart dials at once when a stream ends, so that a killed process is noticed
// before the next heartbeat is due. A stream that lasted less than an interval
// waits for the next one, so that a peer that ends each stream is not dialed in
// a loop.
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

// checkQuiet checks both directions when nothing was heard of the peer.
func (s *heartbeatSender) checkQuiet() {
	if s.stream == nil || time.Since(s.opened) < quietAfter || !s.entry.quiet(s.peer) {
		return
	}
	s.stream.Check()
	if time.Since(s.restarted) > quietRestartInterval {
		s.restarted = time.Now()
		s.closeStream()
	}
}

// open opens a stream if none is open and tells the membership what the attempt
// says of the peer.
func (s *heartbeatSender) open(ctx context.Context) bool {
	if s.stream != nil {
		return true
	}
	limit := heartbeatTimeout
	if s.peerStream != nil {
		// The dial goes on by itself, and heartbeats must not wait for it.
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
	// Its sequence would fall behind that of the stream.
	s.peerStream = nil
	return true
}

// noteContact records the end of an attempt to reach a peer. One that was not made
// because a dial failed a moment ago says nothing new. A connection that was accepted ends
// a run of refusals, as a failure of another kind does: a process listens there,
// even if it is paused.
func (e *Entry) recordContact(peerID string, err error) {
	if errors.Is(err, peer.ErrBackoff) {
		return
	}
	e.membershipUpdate(func() {
		e.members.HandleFailure(time.Now(), peerID, errors.Is(err, peer.ErrRefused))
	})
}

// quiet reports whether nothing was heard of a peer for quietAfter.
func (e *Entry) quiet(peerID string) bool {
	e.membersMu.Lock()
	defer e.membersMu.Unlock()
	return time.Since(e.members.Peer(peerID).LastHeard) > quietAfter
}

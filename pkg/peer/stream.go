package peer

import (
	"bufio"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"

	"github.com/dandelionrack/dandelionrack/pkg/heartbeat"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// maxHeartbeat is the size limit of a message on a heartbeat stream in bytes. The
// largest field is the list of backend servers that are leaving.
const maxHeartbeat = 1 << 20

// HeartbeatHandler is a Handler that also accepts heartbeat streams. The messages
// of a stream are passed in order; two streams of one peer may overlap while the
// older one ends.
type HeartbeatHandler interface {
	Handler
	// HandleHeartbeat handles the state of a peer. With the first message of a
	// stream, replier sends replies on that stream; otherwise it is nil.
	HandleHeartbeat(ctx context.Context, hb *wire.Heartbeat, replier *HeartbeatReplier)
}

// HeartbeatReplier sends heartbeats back on a stream that a peer opened, for a
// process that cannot dial that peer. It is not safe for concurrent use.
type HeartbeatReplier struct {
	stream  *yamux.Stream
	encoder heartbeat.Encoder
}

// Send sends the state in hb, which must not be modified afterwards. After an
// error the stream has ended.
func (r *HeartbeatReplier) Send(hb *wire.Heartbeat) error {
	frame, err := encodeFrame(r.encoder.Next(hb))
	if err != nil {
		return err
	}
	_, err = r.stream.Write(frame)
	return err
}

// HeartbeatStream sends heartbeats to one peer on a stream of its control
// session. The peer's heartbeats arrive on a stream that the peer opens or, while
// it cannot open one, as replies on this one. Since each side dials, each side
// observes refused connections, and simultaneous dials need no special handling.
// Send is not safe for concurrent use; the other methods are.
type HeartbeatStream struct {
	link      *link
	session   *clientSession
	stream    *yamux.Stream
	cfg       Config
	encoder   heartbeat.Encoder
	firstSent bool
	probing   atomic.Bool
	receive   func(hb *wire.Heartbeat)
	closeOnce sync.Once
	done      chan struct{}
}

// OpenHeartbeats opens a heartbeat stream to the peer at addr and dials if no
// control session is open. It passes the peer's replies to receive. It returns
// the same errors as Call.
func (p *Pool) OpenHeartbeats(ctx context.Context, addr string, receive func(hb *wire.Heartbeat)) (*HeartbeatStream, error) {
	l, err := p.link(sessionKey{addr: addr, class: controlClass})
	if err != nil {
		return nil, newNotSentError(addr, err)
	}
	session, err := l.session(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, newNotSentError(addr, errors.Wrap(err, "open stream"))
	}
	s := &HeartbeatStream{link: l, session: session, stream: stream, cfg: p.cfg, receive: receive, done: make(chan struct{})}
	l.heartbeatStreams.Add(1)
	go s.readReplies()
	return s, nil
}

// Send sends the state in hb, which must not be modified afterwards. If the peer
// is frozen, it may block for up to the write timeout of the session. After an
// error the stream has ended.
func (s *HeartbeatStream) Send(hb *wire.Heartbeat) error {
	frame, err := s.frame(hb)
	if err == nil {
		_, err = s.stream.Write(frame)
	}
	if err != nil {
		s.Close()
		return newReplyLostError(s.link.key.addr, errors.Wrap(err, "send heartbeat"))
	}
	return nil
}

// frame encodes the next message. The first one is wrapped in a Request, as on any
// other stream; the peer detects a heartbeat stream by its complete heartbeat.
func (s *HeartbeatStream) frame(hb *wire.Heartbeat) ([]byte, error) {
	message := s.encoder.Next(hb)
	if s.firstSent {
		return encodeFrame(message)
	}
	s.firstSent = true
	return encodeFrame(&wire.Request{
		FromEntry:       s.cfg.Self,
		FromIncarnation: s.cfg.Incarnation,
		Call:            &wire.Request_Heartbeat{Heartbeat: message},
	})
}

// Done returns a channel that is closed when the stream ends: the connection
// failed, Close was called, or the peer needs a complete message on a new stream.
func (s *HeartbeatStream) Done() <-chan struct{} { return s.done }

// Probe pings the peer and closes the connection if no reply arrives, so that the
// next stream uses a new one. It returns immediately and does nothing while an
// earlier probe is running. Call it when the peer is silent.
func (s *HeartbeatStream) Probe() {
	if !s.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.probing.Store(false)
		if _, err := s.session.Ping(); err != nil {
			_ = s.session.Close()
		}
	}()
}

// Close ends the stream. The connection stays open.
func (s *HeartbeatStream) Close() {
	s.closeOnce.Do(func() {
		s.link.heartbeatStreams.Add(-1)
		_ = s.stream.SetDeadline(time.Now())
		// In a goroutine, because it blocks while the peer is frozen.
		go func() { _ = s.stream.Close() }()
		close(s.done)
	})
}

// readReplies passes replies to receive until the peer closes its side.
func (s *HeartbeatStream) readReplies() {
	defer s.Close()
	r := bufio.NewReader(s.stream)
	var decoder heartbeat.Decoder
	for {
		message := &wire.Heartbeat{}
		if readMessage(r, message, maxHeartbeat) != nil {
			return
		}
		state, err := decoder.Apply(message)
		if err != nil {
			return
		}
		s.receive(state)
	}
}

// receiveHeartbeats handles the messages of a heartbeat stream until it ends. They
// are not calls: they are accepted while the server drains, and Shutdown does not
// wait for the stream.
func (s *serverSession) receiveHeartbeats(ctx context.Context, stream *yamux.Stream, r *bufio.Reader, first *wire.Heartbeat) {
	handler, ok := s.server.cfg.Handler.(HeartbeatHandler)
	if !ok {
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	stop := context.AfterFunc(s.server.streamsCtx, func() { _ = stream.SetReadDeadline(time.Now()) })
	defer stop()
	s.server.heartbeatStreams.Add(1)
	defer s.server.heartbeatStreams.Add(-1)
	var decoder heartbeat.Decoder
	replier := &HeartbeatReplier{stream: stream}
	for message := first; ; replier = nil {
		state, err := decoder.Apply(message)
		if err != nil {
			s.handleHeartbeatError(err)
			return
		}
		handler.HandleHeartbeat(ctx, state, replier)
		message = &wire.Heartbeat{}
		if err := readMessage(r, message, maxHeartbeat); err != nil {
			s.handleHeartbeatError(err)
			return
		}
	}
}

// handleHeartbeatError closes the session of a peer that sent malformed input. A
// gap in the sequence or the end of the input ends only the stream.
func (s *serverSession) handleHeartbeatError(err error) {
	switch {
	case errors.Is(err, errMalformed) || errors.Is(err, heartbeat.ErrMalformed):
		s.disconnect(err)
	case errors.Is(err, heartbeat.ErrGap):
		s.server.heartbeatGaps.Add(1)
		s.server.cfg.Logger.Warn("closed a heartbeat stream", "address", s.host, "error", err)
	case !errors.Is(err, io.EOF):
		s.server.cfg.Logger.Debug("heartbeat stream ended", "address", s.host, "error", err)
	}
}

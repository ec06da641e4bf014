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

// maxHeartbeat bounds a message on a heartbeat stream in bytes. The longest
// part is the list of backend servers that are leaving.
const maxHeartbeat = 1 << 20

// HeartbeatHandler is a Handler that also takes heartbeat streams. It is called
// in the order of the messages of each stream; two streams of one peer may
// overlap while the older one ends.
type HeartbeatHandler interface {
	Handler
	// HandleHeartbeat takes the state of a peer. With the first message of a
	// stream comes the way back to its sender, otherwise nil.
	HandleHeartbeat(ctx context.Context, hb *wire.Heartbeat, back *HeartbeatReplier)
}

// HeartbeatReplier sends heartbeats to the peer that opened a stream, on that
// stream. It is for a process that cannot dial the peer itself. It is not safe
// for concurrent use.
type HeartbeatReplier struct {
	stream  *yamux.Stream
	encoder heartbeat.Encoder
}

// Send sends the state in hb, which must not be changed afterwards. After an
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
// session. The peer's heartbeats come on a stream that the peer opens or, while
// it cannot open one, as replies on this one. So each side dials by itself, sees refused connections by itself,
// and no rule is needed for two sides that dial at once. Send is not safe for
// concurrent use; the other methods are.
type HeartbeatStream struct {
	link     *link
	session  *clientSession
	stream   *yamux.Stream
	from     Config
	encoder  heartbeat.Encoder
	started  bool
	checking atomic.Bool
	receive  func(hb *wire.Heartbeat)
	once     sync.Once
	done     chan struct{}
}

// OpenHeartbeats opens a heartbeat stream to the peer at addr, over a new
// connection if none is open. It passes replies to receive. Errors are those of
// Call.
func (p *Pool) OpenHeartbeats(ctx context.Context, addr string, receive func(hb *wire.Heartbeat)) (*HeartbeatStream, error) {
	l, err := p.link(sessionKey{addr: addr, lane: control})
	if err != nil {
		return nil, notSent(addr, err)
	}
	session, err := l.session(ctx)
	if err != nil {
		return nil, err
	}
	stream, err := session.OpenStream()
	if err != nil {
		return nil, notSent(addr, errors.Wrap(err, "open stream"))
	}
	s := &HeartbeatStream{link: l, session: session, stream: stream, from: p.cfg, receive: receive, done: make(chan struct{})}
	l.heartbeats.Add(1)
	go s.readReplies()
	return s, nil
}

// Send sends the state in hb, which must not be changed afterwards. It may
// block until the write timeout of the session while the peer is frozen. After
// an error the stream has ended.
func (s *HeartbeatStream) Send(hb *wire.Heartbeat) error {
	frame, err := s.frame(hb)
	if err == nil {
		_, err = s.stream.Write(frame)
	}
	if err != nil {
		s.Close()
		return lost(s.link.key.addr, errors.Wrap(err, "send heartbeat"))
	}
	return nil
}

// frame puts the first message into a Request, by which the peer tells a
// heartbeat stream from a call.
func (s *HeartbeatStream) frame(hb *wire.Heartbeat) ([]byte, error) {
	message := s.encoder.Next(hb)
	if s.started {
		return encodeFrame(message)
	}
	s.started = true
	return encodeFrame(&wire.Request{
		FromEntry:       s.from.Self,
		FromIncarnation: s.from.Incarnation,
		Call:            &wire.Request_Heartbeat{Heartbeat: message},
	})
}

// Done is closed when the stream has ended: the connection broke, or the peer
// wants a complete message on a new stream.
func (s *HeartbeatStream) Done() <-chan struct{} { return s.done }

// Probe sends a ping and closes the connection if it stays unanswered, so that
// the next stream uses a new one. It returns at once and does nothing while an
// earlier check runs. The caller checks when it hears nothing from the peer.
func (s *HeartbeatStream) Probe() {
	if !s.checking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.checking.Store(false)
		if _, err := s.session.Ping(); err != nil {
			_ = s.session.Close()
		}
	}()
}

// Close ends the stream. The connection stays open.
func (s *HeartbeatStream) Close() {
	s.once.Do(func() {
		s.link.heartbeats.Add(-1)
		_ = s.stream.SetDeadline(time.Now())
		// In the background, because it blocks while the peer is frozen.
		go func() { _ = s.stream.Close() }()
		close(s.done)
	})
}

// readReplies reads until the peer ends its side.
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

// heartbeats takes the messages of a heartbeat stream until it ends. They are
// not calls: they are taken while the server drains and do not hold up its end.
func (s *serverSession) heartbeats(ctx context.Context, stream *yamux.Stream, r *bufio.Reader, first *wire.Heartbeat) {
	handler, ok := s.server.cfg.Handler.(HeartbeatHandler)
	if !ok {
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	stop := context.AfterFunc(s.server.streams, func() { _ = stream.SetReadDeadline(time.Now()) })
	defer stop()
	s.server.heartbeats.Add(1)
	defer s.server.heartbeats.Add(-1)
	var decoder heartbeat.Decoder
	back := &HeartbeatReplier{stream: stream}
	for message := first; ; back = nil {
		state, err := decoder.Apply(message)
		if err != nil {
			s.streamFailed(err)
			return
		}
		handler.HandleHeartbeat(ctx, state, back)
		message = &wire.Heartbeat{}
		if err := readMessage(r, message, maxHeartbeat); err != nil {
			s.streamFailed(err)
			return
		}
	}
}

// streamFailed ends the session of a peer that sent garbage. A gap or the end
// of the input ends the stream only.
func (s *serverSession) streamFailed(err error) {
	switch {
	case errors.Is(err, errGarbage) || errors.Is(err, heartbeat.ErrMalformed):
		s.disconnect(err)
	case errors.Is(err, heartbeat.ErrGap):
		s.server.gaps.Add(1)
		s.server.cfg.Logger.Warn("ended a heartbeat stream", "address", s.host, "error", err)
	case !errors.Is(err, io.EOF):
		s.server.cfg.Logger.Debug("heartbeat stream ended", "address", s.host, "error", err)
	}
}

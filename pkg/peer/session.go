package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"

	"github.com/dandelionrack/dandelionrack/pkg/heartbeat"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// serverSession is a session that a peer opened.
type serverSession struct {
	server         *Server
	mux            *yamux.Session
	host           string
	activeStreams  atomic.Int64
	disconnectOnce sync.Once
}

// serve accepts streams until the session ends, then waits for its handlers.
func (s *serverSession) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			s.handleAcceptError(err)
			return
		}
		n := s.activeStreams.Add(1)
		calls.Go(func() {
			defer s.activeStreams.Add(-1)
			s.handleStream(ctx, stream, n)
		})
	}
}

func (s *serverSession) handleAcceptError(err error) {
	for _, bad := range []error{
		yamux.ErrInvalidVersion, yamux.ErrInvalidMsgType, yamux.ErrDuplicateStream,
		yamux.ErrUnexpectedFlag, yamux.ErrRecvWindowExceeded,
	} {
		if errors.Is(err, bad) {
			s.disconnect(err)
			return
		}
	}
	var noTLS tls.RecordHeaderError
	if errors.As(err, &noTLS) {
		s.disconnect(err)
		return
	}
	_ = s.mux.Close()
}

// disconnect closes the session of a peer that violated the protocol.
func (s *serverSession) disconnect(cause error) {
	s.disconnectOnce.Do(func() {
		s.server.protocolViolations.Add(1)
		s.server.cfg.Logger.Warn("closed a peer session: protocol violation", "address", s.host, "error", cause)
	})
	_ = s.mux.Close()
}

// handleStream serves one stream; n is the number of concurrent streams with it.
// Streams beyond MaxStreams are rejected. Beyond twice MaxStreams the peer ignores
// rejections, so the session is closed.
func (s *serverSession) handleStream(ctx context.Context, stream *yamux.Stream, n int64) {
	defer stream.Close()
	limit := int64(s.server.cfg.MaxStreams)
	if n > 2*limit {
		s.disconnect(errors.New("too many streams"))
		return
	}
	_ = stream.SetReadDeadline(time.Now().Add(s.server.cfg.RequestTimeout))
	if n > limit {
		s.rejectAndDrain(stream, "too many calls on the session")
		return
	}
	req := &wire.Request{}
	r := bufio.NewReader(stream)
	if err := readMessage(r, req, MaxMessageSize); err != nil {
		s.handleRequestError(err)
		return
	}
	if hb := req.GetHeartbeat(); hb != nil && heartbeat.IsComplete(hb) {
		s.receiveHeartbeats(ctx, stream, r, hb)
		return
	}
	if err := requireNoMoreData(r); err != nil {
		s.handleRequestError(err)
		return
	}
	if !s.server.beginCall() {
		s.reject(stream, "shutting down")
		return
	}
	defer s.server.endCall()
	s.handleCall(ctx, stream, req)
}

func (s *serverSession) handleRequestError(err error) {
	if errors.Is(err, errMalformed) {
		s.disconnect(err)
		return
	}
	s.server.cancelled.Add(1)
}

// handleCall runs the handler and cancels it when the caller closes the stream.
func (s *serverSession) handleCall(ctx context.Context, stream *yamux.Stream, req *wire.Request) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_ = stream.SetReadDeadline(time.Time{})
	var answered atomic.Bool
	go s.watchCaller(stream, &answered, cancel)
	s.server.calls.Add(1)
	resp, ok := s.runHandler(ctx, req)
	answered.Store(true)
	if ok {
		s.reply(stream, resp)
	}
}

// runHandler runs the handler. A panic affects this call only. The caller then gets no
// response, since it is unknown how far the handler got.
func (s *serverSession) runHandler(ctx context.Context, req *wire.Request) (resp *wire.Response, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			s.server.cfg.Logger.Error("a call from a peer failed in its handler", "address", s.host, "panic", p, "stack", string(debug.Stack()))
		}
	}()
	return s.server.cfg.Handler.Handle(ctx, req), true
}

// watchCaller waits until the caller closes its side of the stream, then cancels
// the handler. Data after the request is a protocol violation.
func (s *serverSession) watchCaller(stream *yamux.Stream, answered *atomic.Bool, cancel context.CancelFunc) {
	defer cancel()
	n, _ := stream.Read(make([]byte, 1))
	if n > 0 {
		s.disconnect(errors.New("data after the request"))
		return
	}
	if !answered.Load() {
		s.server.cancelled.Add(1)
	}
}

func (s *serverSession) reply(stream *yamux.Stream, resp *wire.Response) {
	if resp == nil {
		resp = &wire.Response{Error: "no response"}
	}
	frame, err := encodeFrame(resp)
	if err != nil {
		frame, err = encodeFrame(&wire.Response{Error: err.Error()})
	}
	if err != nil {
		return
	}
	_ = stream.SetWriteDeadline(time.Now().Add(s.server.cfg.RequestTimeout))
	if _, err := stream.Write(frame); err != nil {
		s.server.cfg.Logger.Debug("response not written", "address", s.host, "error", err)
	}
}

func (s *serverSession) reject(stream *yamux.Stream, reason string) {
	s.server.rejected.Add(1)
	s.reply(stream, &wire.Response{Error: rejectPrefix + reason})
}

// rejectAndDrain also reads the rest of the request, because the caller reads the
// response only after it has written the whole request.
func (s *serverSession) rejectAndDrain(stream *yamux.Stream, reason string) {
	s.reject(stream, reason)
	_, _ = io.Copy(io.Discard, io.LimitReader(stream, MaxMessageSize))
}

// close closes the connection after the callers have closed their streams: an
// earlier close could reset the connection and lose responses.
func (s *serverSession) close(ctx context.Context) {
	// Closing also unblocks sendGoAway, which waits while the peer is frozen.
	defer s.mux.Close()
	notified := make(chan struct{})
	go func() {
		defer close(notified)
		s.sendGoAway()
	}()
	select {
	case <-notified:
	case <-ctx.Done():
		return
	case <-time.After(closeStallTimeout):
		return
	}
	s.waitForStreams(ctx)
}

// sendGoAway makes callers dial a new connection instead of opening streams on
// this session. Once the ping is answered, the peer has read the GoAway and this
// side has received all streams that the peer opened before.
func (s *serverSession) sendGoAway() {
	if err := s.mux.GoAway(); err != nil {
		return
	}
	_, _ = s.mux.Ping()
}

// waitForStreams waits until the callers have closed all streams or the number of
// open streams has not changed for closeStallTimeout. It waits at least one tick,
// so that queued resets are sent.
func (s *serverSession) waitForStreams(ctx context.Context) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	open, progress := s.mux.NumStreams(), time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n := s.mux.NumStreams()
		if n == 0 || n == open && time.Since(progress) > closeStallTimeout {
			return
		}
		if n != open {
			open, progress = n, time.Now()
		}
	}
}

package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"

	"github.com/dandelionrack/dandelionrack/pkg/heartbeat"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// serverSession is one accepted session.
type serverSession struct {
	server *Server
	mux    *yamux.Session
	host   string
	active atomic.Int64
	once   sync.Once
}

// serve accepts streams until the session ends, then waits for its calls.
func (s *serverSession) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	var calls sync.WaitGroup
	defer calls.Wait()
	defer cancel()
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			s.ended(err)
			return
		}
		n := s.active.Add(1)
		calls.Go(func() {
			defer s.active.Add(-1)
			s.call(ctx, stream, n)
		})
	}
}

func (s *serverSession) ended(err error) {
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

// disconnect ends the session of a peer that violates the protocol.
func (s *serverSession) disconnect(cause error) {
	s.once.Do(func() {
		s.server.garbage.Add(1)
		s.server.cfg.Logger.Warn("closed a peer session: protocol violation", "address", s.host, "error", cause)
	})
	_ = s.mux.Close()
}

// call answers one stream. The n-th concurrent call beyond the bound is
// rejected; twice the bound means that the peer ignores rejections.
func (s *serverSession) call(ctx context.Context, stream *yamux.Stream, n int64) {
	defer stream.Close()
	limit := int64(s.server.cfg.MaxStreams)
	if n > 2*limit {
		s.disconnect(errors.New("too many streams"))
		return
	}
	_ = stream.SetReadDeadline(time.Now().Add(s.server.cfg.RequestTimeout))
	if n > limit {
		s.drainAndReject(stream, "too many calls on the session")
		return
	}
	req := &wire.Request{}
	r := bufio.NewReader(stream)
	if err := readMessage(r, req, MaxMessageSize); err != nil {
		s.requestFailed(err)
		return
	}
	if hb := req.GetHeartbeat(); hb != nil && heartbeat.IsComplete(hb) {
		s.heartbeats(ctx, stream, r, hb)
		return
	}
	if err := nothingBuffered(r); err != nil {
		s.requestFailed(err)
		return
	}
	if !s.server.begin() {
		s.reject(stream, "shutting down")
		return
	}
	defer s.server.end()
	s.handle(ctx, stream, req)
}

func (s *serverSession) requestFailed(err error) {
	if errors.Is(err, errGarbage) {
		s.disconnect(err)
		return
	}
	s.server.cancelled.Add(1)
}

// handle runs the handler and cancels it when the caller closes its stream.
func (s *serverSession) handle(ctx context.Context, stream *yamux.Stream, req *wire.Request) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_ = stream.SetReadDeadline(time.Time{})
	var answered atomic.Bool
	go s.watch(stream, &answered, cancel)
	s.server.calls.Add(1)
	resp := s.server.cfg.Handler.Handle(ctx, req)
	answered.Store(true)
	s.reply(stream, resp)
}

// watch waits for the end of the caller's side. A caller sends nothing after
// its request, so data means a protocol violation.
func (s *serverSession) watch(stream *yamux.Stream, answered *atomic.Bool, cancel context.CancelFunc) {
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

// drainAndReject also reads the request, because the caller reads the response
// only after its last byte was taken.
func (s *serverSession) drainAndReject(stream *yamux.Stream, reason string) {
	s.reject(stream, reason)
	_, _ = io.Copy(io.Discard, io.LimitReader(stream, MaxMessageSize))
}

// close waits until the callers have closed their streams, so that no
// response is lost in a TCP reset, and then closes the connection.
func (s *serverSession) close(ctx context.Context) {
	// Close also ends sayGoAway, which blocks while the peer is frozen.
	defer s.mux.Close()
	told := make(chan struct{})
	go func() {
		defer close(told)
		s.sayGoAway()
	}()
	select {
	case <-told:
	case <-ctx.Done():
		return
	case <-time.After(closeGrace):
		return
	}
	s.waitForStreams(ctx)
}

// sayGoAway makes callers dial instead of opening streams here. The answered
// ping shows that the peer has read the notice and that the streams it opened
// before are known here.
func (s *serverSession) sayGoAway() {
	if err := s.mux.GoAway(); err != nil {
		return
	}
	_, _ = s.mux.Ping()
}

// waitForStreams waits until the callers have closed all streams, as long as
// they go on closing some. It waits at least one tick, in which queued resets
// leave.
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
		if n == 0 || n == open && time.Since(progress) > closeGrace {
			return
		}
		if n != open {
			open, progress = n, time.Now()
		}
	}
}

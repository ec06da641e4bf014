package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// heartbeatRecorder is a HeartbeatHandler that records the received states.
type heartbeatRecorder struct {
	mu         sync.Mutex
	heartbeats []*wire.Heartbeat
	replier    *HeartbeatReplier
}

func (r *heartbeatRecorder) Handle(ctx context.Context, req *wire.Request) *wire.Response {
	return echo(ctx, req)
}

func (r *heartbeatRecorder) HandleHeartbeat(_ context.Context, hb *wire.Heartbeat, replier *HeartbeatReplier) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if replier != nil {
		r.replier = replier
	}
	r.heartbeats = append(r.heartbeats, hb)
}

func (r *heartbeatRecorder) last() *wire.Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.heartbeats) == 0 {
		return nil
	}
	return r.heartbeats[len(r.heartbeats)-1]
}

func state(sequence, version uint64) *wire.Heartbeat {
	return &wire.Heartbeat{Entry: "entry-1", Incarnation: 42, Sequence: sequence, ConfigVersion: version}
}

func ignoreHeartbeat(*wire.Heartbeat) {}

func openStream(t *testing.T, p *Pool, addr string) *HeartbeatStream {
	s, err := p.OpenHeartbeats(contextWithTimeout(t, time.Second), addr, ignoreHeartbeat)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func receivedSequence(r *heartbeatRecorder, sequence uint64) func() bool {
	return func() bool { return r.last().GetSequence() == sequence }
}

// Guards against a receiver that loses fields sent only once, and against a
// heartbeat stream that is handled or counted as a call.
func TestHeartbeatStream(t *testing.T) {
	recorder := &heartbeatRecorder{}
	server, addr := startServer(t, Config{Handler: recorder})
	p := newPool(t, Config{})
	s := openStream(t, p, addr)
	for i := range uint64(50) {
		require.NoError(t, s.Send(state(i+1, i/10)))
	}
	require.Eventually(t, receivedSequence(recorder, 50), time.Second, time.Millisecond)
	require.Equal(t, "entry-1", recorder.last().GetEntry())
	require.EqualValues(t, 42, recorder.last().GetIncarnation())
	require.EqualValues(t, 4, recorder.last().GetConfigVersion())
	require.Len(t, recorder.heartbeats, 50)
	_, err := p.Call(contextWithTimeout(t, time.Second), addr, heartbeatCall())
	require.NoError(t, err)
	require.EqualValues(t, 1, server.Stats().HeartbeatStreams)
	require.EqualValues(t, 1, server.Stats().Calls)
}

// Guards against a receiver that continues after a lost message, and against a
// sender that is not told to send a complete message.
func TestGapEndsTheStream(t *testing.T) {
	recorder := &heartbeatRecorder{}
	server, addr := startServer(t, Config{Handler: recorder})
	s := openStream(t, newPool(t, Config{}), addr)
	require.NoError(t, s.Send(state(1, 1)))
	_, err := s.frame(state(2, 2)) // never sent
	require.NoError(t, err)
	require.NoError(t, s.Send(state(3, 2)))
	select {
	case <-s.Done():
	case <-time.After(time.Second):
		t.Fatal("the stream did not end")
	}
	require.EqualValues(t, 1, recorder.last().GetSequence())
	require.EqualValues(t, 1, server.Stats().HeartbeatGaps)
	require.Zero(t, server.Stats().ProtocolViolations)
}

// Guards against replies on a stream that are lost or reordered.
func TestHeartbeatReplies(t *testing.T) {
	recorder, replies := &heartbeatRecorder{}, &heartbeatRecorder{}
	_, addr := startServer(t, Config{Handler: recorder})
	s, err := newPool(t, Config{}).OpenHeartbeats(contextWithTimeout(t, time.Second), addr, func(hb *wire.Heartbeat) {
		replies.HandleHeartbeat(t.Context(), hb, nil)
	})
	require.NoError(t, err)
	require.NoError(t, s.Send(state(1, 1)))
	require.Eventually(t, receivedSequence(recorder, 1), time.Second, time.Millisecond)
	for i := range uint64(20) {
		require.NoError(t, recorder.replier.Send(state(i+7, i/5)))
	}
	require.Eventually(t, receivedSequence(replies, 26), time.Second, time.Millisecond)
	require.EqualValues(t, 3, replies.last().GetConfigVersion())
	s.Close()
	require.Eventually(t, func() bool { return recorder.replier.Send(state(27, 1)) != nil }, time.Second, time.Millisecond)
}

// Guards against a sender that detects the end of a killed peer late, or keeps
// using the closed stream after another process took over the peer's address.
func TestStreamEndsWithThePeer(t *testing.T) {
	recorder := &heartbeatRecorder{}
	_, addr := startServer(t, Config{Handler: recorder})
	r := startRelay(t, addr)
	p := newPool(t, Config{})
	s := openStream(t, p, r.addr)
	require.NoError(t, s.Send(state(1, 1)))
	require.Eventually(t, receivedSequence(recorder, 1), time.Second, time.Millisecond)
	r.closeConns()
	select {
	case <-s.Done():
	case <-time.After(100 * time.Millisecond):
		t.Fatal("the stream did not end")
	}
	require.ErrorIs(t, s.Send(state(2, 1)), ErrReplyLost)
	require.Eventually(t, func() bool {
		again, err := p.OpenHeartbeats(contextWithTimeout(t, time.Second), r.addr, ignoreHeartbeat)
		if err != nil {
			return false
		}
		defer again.Close()
		return again.Send(state(3, 1)) == nil
	}, time.Second, 20*time.Millisecond)
	require.Eventually(t, receivedSequence(recorder, 3), time.Second, time.Millisecond)
}

// Guards against a frozen connection that is never closed. A sender probes it when
// the peer is silent; without a probe, the regular pings detect it.
func TestFrozenStreamEnds(t *testing.T) {
	for name, probe := range map[string]bool{"checked": true, "not checked": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, addr := startServer(t, Config{Handler: &heartbeatRecorder{}})
			r := startRelay(t, addr)
			s := openStream(t, newPool(t, Config{}), r.addr)
			require.NoError(t, s.Send(state(1, 1)))
			r.frozen.Store(true)
			limit := heartbeatTicksPerPing*defaultKeepAlive + defaultControlTimeout
			if probe {
				s.Probe()
				limit = defaultControlTimeout
			}
			select {
			case <-s.Done():
			case <-time.After(limit + 300*time.Millisecond):
				t.Fatal("the frozen stream did not end")
			}
		})
	}
}

// Guards against a shutdown that waits for heartbeat streams, and against
// heartbeats that are rejected while calls drain: the sender would appear silent.
func TestStreamDuringShutdown(t *testing.T) {
	recorder := &heartbeatRecorder{}
	release := make(chan struct{})
	blocking := &blockingRecorder{heartbeatRecorder: recorder, release: release}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(Config{Handler: blocking})
	go func() { _ = server.Serve(l) }()
	p := newPool(t, Config{})
	s := openStream(t, p, l.Addr().String())
	require.NoError(t, s.Send(state(1, 1)))
	go func() { _, _ = p.Call(context.Background(), l.Addr().String(), forward("a", nil)) }()
	require.Eventually(t, func() bool { return server.Stats().Calls == 1 }, time.Second, time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(context.Background()) }()
	for i := range uint64(20) {
		require.NoError(t, s.Send(state(i+2, 1)))
	}
	require.Eventually(t, receivedSequence(recorder, 21), time.Second, time.Millisecond)
	again := openStream(t, p, l.Addr().String())
	require.NoError(t, again.Send(state(22, 1)))
	require.Eventually(t, receivedSequence(recorder, 22), time.Second, time.Millisecond)
	close(release)
	start := time.Now()
	require.NoError(t, <-stopped)
	require.Less(t, time.Since(start), closeStallTimeout/2)
	<-s.Done()
}

type blockingRecorder struct {
	*heartbeatRecorder
	release chan struct{}
}

func (b *blockingRecorder) Handle(context.Context, *wire.Request) *wire.Response {
	<-b.release
	return &wire.Response{}
}

// Guards against heartbeats queued behind large bodies on a slow connection.
func TestLargeBodiesDoNotDelayStreams(t *testing.T) {
	recorder := &heartbeatRecorder{}
	_, addr := startServer(t, Config{Handler: recorder})
	r := startRelay(t, addr)
	r.delay.Store(int64(20 * time.Millisecond)) // 1.6 MB/s
	p := newPool(t, Config{})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for range 4 {
		wg.Go(func() { _, _ = p.Call(ctx, r.addr, forward("a", make([]byte, 5<<20))) })
	}
	time.Sleep(100 * time.Millisecond)
	s := openStream(t, p, r.addr)
	for i := range uint64(20) {
		require.NoError(t, s.Send(state(i+1, 1)))
		require.Eventually(t, receivedSequence(recorder, i+1), 200*time.Millisecond, time.Millisecond)
	}
}

// Guards against a small frame sent in two writes, and against coalescing that
// changes or reorders data.
func TestFrameIsOneWrite(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	header := string(make([]byte, frameHeaderSize-1)) + "\x03"
	ping := "\x00\x02" + header[2:]
	go func() {
		defer near.Close()
		c := &frameConn{Conn: near, counters: &trafficCounters{}}
		for _, part := range []string{header, "abc", ping, header, "def"} {
			_, _ = c.Write([]byte(part))
		}
	}()
	buf := make([]byte, 100)
	for _, want := range []string{header + "abc", ping, header + "def"} {
		n, err := far.Read(buf)
		require.NoError(t, err)
		require.Equal(t, want, string(buf[:n]))
	}
}

// Guards against a call reported with an unknown outcome although its stream was
// opened after the peer's GoAway, which arrived between yamux's check and the
// opening of the stream.
func TestStreamsOpenedAfterGoAway(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	frame := func(kind, flags byte, stream byte, body string) string {
		return string([]byte{0, kind, 0, flags, 0, 0, 0, stream, 0, 0, 0, byte(len(body))}) + body
	}
	c := &frameConn{Conn: near, counters: &trafficCounters{}}
	buf := make([]byte, 100)
	open := func(stream byte) {
		go func() { _, _ = far.Read(make([]byte, 100)) }()
		_, err := c.Write([]byte(frame(frameWindowUpdate, flagSYN, stream, "")))
		require.NoError(t, err)
	}
	open(3)
	sent := frame(frameData, 0, 3, "\x00\x03\x00\x00 body like a header") + frame(frameGoAway, 0, 0, "")
	// Split, because a read may end within a header.
	for _, piece := range []string{sent[:5], sent[5:20], sent[20 : len(sent)-4]} {
		go func() { _, _ = far.Write([]byte(piece)) }()
		_, err := io.ReadFull(c, buf[:len(piece)])
		require.NoError(t, err)
	}
	open(5)
	go func() { _, _ = far.Write([]byte(sent[len(sent)-4:])) }()
	_, err := io.ReadFull(c, buf[:4])
	require.NoError(t, err)
	open(7)
	for stream, late := range map[uint32]bool{3: false, 5: false, 7: true} {
		require.Equal(t, late, c.goAway.openedAfterGoAway(stream), "stream %d", stream)
	}
}

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

// listener collects the heartbeats of streams.
type listener struct {
	mu    sync.Mutex
	heard []*wire.Heartbeat
	back  *HeartbeatReplier
}

func (l *listener) Handle(ctx context.Context, req *wire.Request) *wire.Response {
	return echo(ctx, req)
}

func (l *listener) HandleHeartbeat(_ context.Context, hb *wire.Heartbeat, back *HeartbeatReplier) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if back != nil {
		l.back = back
	}
	l.heard = append(l.heard, hb)
}

func (l *listener) last() *wire.Heartbeat {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.heard) == 0 {
		return nil
	}
	return l.heard[len(l.heard)-1]
}

func state(sequence, version uint64) *wire.Heartbeat {
	return &wire.Heartbeat{Entry: "entry-1", Incarnation: 42, Sequence: sequence, ConfigVersion: version}
}

func ignore(*wire.Heartbeat) {}

func openStream(t *testing.T, p *Pool, addr string) *HeartbeatStream {
	s, err := p.OpenHeartbeats(within(t, time.Second), addr, ignore)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

func heardSequence(l *listener, sequence uint64) func() bool {
	return func() bool { return l.last().GetSequence() == sequence }
}

// Guards against a stream whose receiver lacks fields that were sent once, and
// against one that the peer takes for a call or mixes with calls.
func TestHeartbeatStream(t *testing.T) {
	heard := &listener{}
	server, addr := startServer(t, Config{Handler: heard})
	p := newPool(t, Config{})
	s := openStream(t, p, addr)
	for i := range uint64(50) {
		require.NoError(t, s.Send(state(i+1, i/10)))
	}
	require.Eventually(t, heardSequence(heard, 50), time.Second, time.Millisecond)
	require.Equal(t, "entry-1", heard.last().GetEntry())
	require.EqualValues(t, 42, heard.last().GetIncarnation())
	require.EqualValues(t, 4, heard.last().GetConfigVersion())
	require.Len(t, heard.heard, 50)
	_, err := p.Call(within(t, time.Second), addr, heartbeatCall())
	require.NoError(t, err)
	require.EqualValues(t, 1, server.Stats().HeartbeatStreams)
	require.EqualValues(t, 1, server.Stats().Calls)
}

// Guards against a receiver that goes on after a lost message, and against a
// sender that does not learn that a complete message is wanted.
func TestGapEndsTheStream(t *testing.T) {
	heard := &listener{}
	server, addr := startServer(t, Config{Handler: heard})
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
	require.EqualValues(t, 1, heard.last().GetSequence())
	require.EqualValues(t, 1, server.Stats().HeartbeatGaps)
	require.Zero(t, server.Stats().ProtocolViolations)
}

// Guards against replies on a stream that are lost or mixed up.
func TestHeartbeatReplies(t *testing.T) {
	heard, replies := &listener{}, &listener{}
	_, addr := startServer(t, Config{Handler: heard})
	s, err := newPool(t, Config{}).OpenHeartbeats(within(t, time.Second), addr, func(hb *wire.Heartbeat) {
		replies.HandleHeartbeat(t.Context(), hb, nil)
	})
	require.NoError(t, err)
	require.NoError(t, s.Send(state(1, 1)))
	require.Eventually(t, heardSequence(heard, 1), time.Second, time.Millisecond)
	for i := range uint64(20) {
		require.NoError(t, heard.back.Send(state(i+7, i/5)))
	}
	require.Eventually(t, heardSequence(replies, 26), time.Second, time.Millisecond)
	require.EqualValues(t, 3, replies.last().GetConfigVersion())
	s.Close()
	require.Eventually(t, func() bool { return heard.back.Send(state(27, 1)) != nil }, time.Second, time.Millisecond)
}

// Guards against a killed peer that the sender notices late, and against a
// sender that stays on a dead stream after the peer was replaced at its address.
func TestStreamEndsWithThePeer(t *testing.T) {
	heard := &listener{}
	_, addr := startServer(t, Config{Handler: heard})
	r := startRelay(t, addr)
	p := newPool(t, Config{})
	s := openStream(t, p, r.addr)
	require.NoError(t, s.Send(state(1, 1)))
	require.Eventually(t, heardSequence(heard, 1), time.Second, time.Millisecond)
	r.cut()
	select {
	case <-s.Done():
	case <-time.After(100 * time.Millisecond):
		t.Fatal("the end was not noticed")
	}
	require.ErrorIs(t, s.Send(state(2, 1)), ErrReplyLost)
	require.Eventually(t, func() bool {
		again, err := p.OpenHeartbeats(within(t, time.Second), r.addr, ignore)
		if err != nil {
			return false
		}
		defer again.Close()
		return again.Send(state(3, 1)) == nil
	}, time.Second, 20*time.Millisecond)
	require.Eventually(t, heardSequence(heard, 3), time.Second, time.Millisecond)
}

// Guards against a frozen connection that takes heartbeats for ever: the sender
// checks when it hears nothing, and without a check the regular pings find it.
func TestFrozenStreamEnds(t *testing.T) {
	for name, check := range map[string]bool{"checked": true, "not checked": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, addr := startServer(t, Config{Handler: &listener{}})
			r := startRelay(t, addr)
			s := openStream(t, newPool(t, Config{}), r.addr)
			require.NoError(t, s.Send(state(1, 1)))
			r.frozen.Store(true)
			limit := heartbeatPingEvery*defaultKeepAlive + defaultControlTimeout
			if check {
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

// Guards against a stop that waits for heartbeat streams, and against
// heartbeats that are refused while calls drain: the peer would look silent.
func TestStreamDuringShutdown(t *testing.T) {
	heard := &listener{}
	release := make(chan struct{})
	blocking := &blockingListener{listener: heard, release: release}
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
	require.Eventually(t, heardSequence(heard, 21), time.Second, time.Millisecond)
	again := openStream(t, p, l.Addr().String())
	require.NoError(t, again.Send(state(22, 1)))
	require.Eventually(t, heardSequence(heard, 22), time.Second, time.Millisecond)
	close(release)
	start := time.Now()
	require.NoError(t, <-stopped)
	require.Less(t, time.Since(start), closeGrace/2)
	<-s.Done()
}

type blockingListener struct {
	*listener
	release chan struct{}
}

func (b *blockingListener) Handle(context.Context, *wire.Request) *wire.Response {
	<-b.release
	return &wire.Response{}
}

// Guards against heartbeats that wait behind bodies on a slow connection.
func TestLargeBodiesDoNotDelayStreams(t *testing.T) {
	heard := &listener{}
	_, addr := startServer(t, Config{Handler: heard})
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
		require.Eventually(t, heardSequence(heard, i+1), 200*time.Millisecond, time.Millisecond)
	}
}

// Guards against a heartbeat that is sent as two segments, and against a body
// that is changed or reordered by joining.
func TestFrameIsOneWrite(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	header := string(make([]byte, frameHeaderSize-1)) + "\x03"
	ping := "\x00\x02" + header[2:]
	go func() {
		defer near.Close()
		c := &frameConn{Conn: near, count: &laneTraffic{}}
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

// Guards against a call that ends with an open outcome although its stream was
// opened after the peer's announcement of its end, which arrived between the
// check and the opening.
func TestStreamsOpenedAfterTheEnd(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	frame := func(kind, flags byte, stream byte, body string) string {
		return string([]byte{0, kind, 0, flags, 0, 0, 0, stream, 0, 0, 0, byte(len(body))}) + body
	}
	c := &frameConn{Conn: near, count: &laneTraffic{}}
	buf := make([]byte, 100)
	open := func(stream byte) {
		go func() { _, _ = far.Read(make([]byte, 100)) }()
		_, err := c.Write([]byte(frame(frameWindow, flagOpen, stream, "")))
		require.NoError(t, err)
	}
	open(3)
	sent := frame(frameData, 0, 3, "\x00\x03\x00\x00 body like a header") + frame(frameGoAway, 0, 0, "")
	// In pieces, since a read may end within a header.
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
		require.Equal(t, late, c.peer.openedLate(stream), "stream %d", stream)
	}
}

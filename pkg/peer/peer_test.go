package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type handlerFunc func(ctx context.Context, req *wire.Request) *wire.Response

func (f handlerFunc) Handle(ctx context.Context, req *wire.Request) *wire.Response {
	return f(ctx, req)
}

func echo(_ context.Context, req *wire.Request) *wire.Response {
	if hb := req.GetHeartbeat(); hb != nil {
		return &wire.Response{Reply: &wire.Response_Heartbeat{Heartbeat: hb}}
	}
	reply := &wire.ForwardReply{RequestId: req.GetForward().GetRequestId(), Body: req.GetForward().GetBody()}
	return &wire.Response{Reply: &wire.Response_Forward{Forward: reply}}
}

func forward(id string, body []byte) *wire.Request {
	return &wire.Request{Call: &wire.Request_Forward{Forward: &wire.Forward{RequestId: id, Body: body}}}
}

func heartbeatCall() *wire.Request {
	return &wire.Request{Call: &wire.Request_Heartbeat{Heartbeat: &wire.Heartbeat{Sequence: 7}}}
}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

func startServer(t *testing.T, cfg Config) (*Server, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(cfg)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		require.NoError(t, s.Shutdown(ctx))
		require.NoError(t, <-served)
	})
	return s, l.Addr().String()
}

func newPool(t *testing.T, cfg Config) *Pool {
	cfg.Self, cfg.Incarnation = "entry-1", 42
	p := NewPool(cfg)
	t.Cleanup(p.Close)
	return p
}

// Guards against responses delivered to the wrong caller, and against calls that
// modify a request that they share.
func TestConcurrentCallsGetTheirOwnResponses(t *testing.T) {
	_, addr := startServer(t, Config{Handler: handlerFunc(echo)})
	p := newPool(t, Config{})
	shared := heartbeatCall()
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			id := fmt.Sprint(i)
			resp, err := p.Call(contextWithTimeout(t, 5*time.Second), addr, forward(id, make([]byte, i*1000)))
			assert.NoError(t, err)
			assert.Equal(t, id, resp.GetForward().GetRequestId())
			assert.Len(t, resp.GetForward().GetBody(), i*1000)
			_, err = p.Call(contextWithTimeout(t, 5*time.Second), addr, shared)
			assert.NoError(t, err)
		})
	}
	wg.Wait()
}

// Guards against a cached refusal that counts as new evidence that the process
// has exited, and against a refused request that counts as possibly handled.
func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := l.Addr().String()
	require.NoError(t, l.Close())
	p := newPool(t, Config{})
	refused := 0
	for start := time.Now(); time.Since(start) < time.Second; time.Sleep(5 * time.Millisecond) {
		_, err := p.Call(contextWithTimeout(t, time.Second), addr, heartbeatCall())
		require.ErrorIs(t, err, ErrNotSent)
		require.NotErrorIs(t, err, ErrReplyLost)
		if errors.Is(err, ErrRefused) {
			refused++
			require.NotErrorIs(t, err, ErrBackoff)
		} else {
			require.ErrorIs(t, err, ErrBackoff)
		}
	}
	// At least one dial per heartbeat interval of 200 ms is needed for new
	// evidence; one per call would be too many.
	require.GreaterOrEqual(t, refused, 5)
	require.Less(t, refused, 50)
}

// Guards against a handler that keeps running after its caller cancelled, and
// against a call that outlives its context.
func TestCancelReachesTheHandler(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	_, addr := startServer(t, Config{Handler: handlerFunc(func(ctx context.Context, _ *wire.Request) *wire.Response {
		close(started)
		<-ctx.Done()
		close(cancelled)
		return nil
	})})
	p := newPool(t, Config{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-started; cancel() }()
	_, err := p.Call(ctx, addr, forward("a", nil))
	require.ErrorIs(t, err, ErrReplyLost)
	require.ErrorIs(t, err, context.Canceled)
	select {
	case <-cancelled:
	case <-time.After(time.Second):
		t.Fatal("the handler was not cancelled")
	}
	_, err = p.Call(ctx, addr, forward("b", nil))
	require.ErrorIs(t, err, ErrNotSent)
}

// Guards against a request that may have been handled being reported as not sent
// when the connection fails.
func TestSessionEndsDuringCall(t *testing.T) {
	started := make(chan struct{})
	release := make(chan struct{})
	_, addr := startServer(t, Config{Handler: handlerFunc(func(context.Context, *wire.Request) *wire.Response {
		close(started)
		<-release
		return nil
	})})
	r := startRelay(t, addr)
	p := newPool(t, Config{})
	go func() { <-started; r.closeConns() }()
	_, err := p.Call(contextWithTimeout(t, 5*time.Second), r.addr, forward("a", nil))
	close(release)
	require.ErrorIs(t, err, ErrReplyLost)
	require.NotErrorIs(t, err, ErrNotSent)
}

// Guards against a frozen session that blocks calls beyond their context or is
// never replaced.
func TestFrozenSessionIsReplaced(t *testing.T) {
	_, addr := startServer(t, Config{Handler: handlerFunc(echo)})
	r := startRelay(t, addr)
	p := newPool(t, Config{})
	for _, req := range []*wire.Request{heartbeatCall(), forward("a", nil)} {
		_, err := p.Call(contextWithTimeout(t, time.Second), r.addr, req)
		require.NoError(t, err)
	}
	r.frozen.Store(true)
	start := time.Now()
	for range 5 {
		call := time.Now()
		_, err := p.Call(contextWithTimeout(t, 100*time.Millisecond), r.addr, forward("a", make([]byte, 1<<20)))
		require.Error(t, err)
		require.Less(t, time.Since(call), 200*time.Millisecond)
	}
	l, err := p.link(sessionKey{addr: r.addr, class: controlClass})
	require.NoError(t, err)
	l.mu.Lock()
	frozen := l.current
	l.mu.Unlock()
	select {
	case <-frozen.CloseChan():
		t.Logf("frozen control session closed after %v", time.Since(start))
	case <-time.After(2 * time.Second):
		t.Fatal("the frozen session was not detected")
	}
	r.closeConns()
	r.frozen.Store(false)
	require.Eventually(t, func() bool {
		_, err := p.Call(contextWithTimeout(t, time.Second), r.addr, heartbeatCall())
		return err == nil
	}, 2*time.Second, 20*time.Millisecond)
}

// Guards against large bodies that delay heartbeats until a live peer appears
// silent.
func TestLargeBodiesDoNotDelayHeartbeats(t *testing.T) {
	_, addr := startServer(t, Config{Handler: handlerFunc(echo)})
	p := newPool(t, Config{})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	var bodies atomic.Int64
	for range 4 {
		wg.Go(func() {
			body := make([]byte, 5<<20)
			for ctx.Err() == nil {
				if _, err := p.Call(ctx, addr, forward("a", body)); err == nil {
					bodies.Add(1)
				}
			}
		})
	}
	var slowest time.Duration
	for range 100 {
		start := time.Now()
		_, err := p.Call(contextWithTimeout(t, time.Second), addr, heartbeatCall())
		require.NoError(t, err)
		slowest = max(slowest, time.Since(start))
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	wg.Wait()
	t.Logf("slowest heartbeat %v during %d calls with 5 MiB in each direction", slowest, bodies.Load())
	require.Less(t, slowest, 200*time.Millisecond)
	require.Positive(t, bodies.Load())
}

// Guards against connections that stay open after malformed input, and against
// malformed input that uses memory or disturbs other sessions.
func TestMalformedInputIsDisconnected(t *testing.T) {
	s, addr := startServer(t, Config{Handler: handlerFunc(echo)})
	p := newPool(t, Config{})
	_, err := p.Call(contextWithTimeout(t, time.Second), addr, heartbeatCall())
	require.NoError(t, err)
	bad := [][]byte{
		[]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		openStreamWith([]byte{0xff, 0xff, 0xff, 0x7f}),                     // length above the limit
		openStreamWith([]byte{4, 0xff, 0xff, 0xff, 0xff}),                  // not a protobuf message
		openStreamWith([]byte{0, 1}),                                       // data after the request
		openStreamWith([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff")), // varint that does not end
	}
	for i, data := range bad {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		_, err = conn.Write(data)
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
		_, err = io.Copy(io.Discard, conn)
		require.False(t, errors.Is(err, context.DeadlineExceeded), "connection stays open after input %d", i)
		_ = conn.Close()
		require.Eventually(t, func() bool { return s.Stats().ProtocolViolations == int64(i+1) },
			time.Second, time.Millisecond, "protocol violation of input %d is not counted", i)
	}
	_, err = p.Call(contextWithTimeout(t, time.Second), addr, heartbeatCall())
	require.NoError(t, err)
}

// openStreamWith returns the yamux frames that open stream 1 and send data on it.
func openStreamWith(data []byte) []byte {
	syn := []byte{0, 1, 0, 1, 0, 0, 0, 1, 0, 0, 0, 0}
	hdr := []byte{0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, byte(len(data))}
	return append(append(syn, hdr...), data...)
}

// Guards against unlimited sessions and calls, and against a call beyond the limit
// that counts as possibly handled.
func TestLimits(t *testing.T) {
	release := make(chan struct{})
	s, addr := startServer(t, Config{
		MaxStreams:         4,
		MaxSessionsPerAddr: 1,
		Handler: handlerFunc(func(ctx context.Context, req *wire.Request) *wire.Response {
			<-release
			return echo(ctx, req)
		}),
	})
	p := newPool(t, Config{}) // its own limit is higher than the server's
	var answered, rejected atomic.Int64
	var wg sync.WaitGroup
	for range 7 {
		wg.Go(func() {
			_, err := p.Call(contextWithTimeout(t, 5*time.Second), addr, forward("a", make([]byte, 1<<20)))
			if err == nil {
				answered.Add(1)
				return
			}
			assert.ErrorIs(t, err, ErrNotSent)
			rejected.Add(1)
		})
	}
	require.Eventually(t, func() bool { return rejected.Load() == 3 }, 5*time.Second, time.Millisecond)
	other, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer other.Close()
	_, err = other.Read(make([]byte, 1))
	require.Error(t, err)
	close(release)
	wg.Wait()
	require.EqualValues(t, 4, answered.Load())
	require.EqualValues(t, 1, s.Stats().SessionsRefused)
	_, err = p.Call(contextWithTimeout(t, time.Second), addr, forward("a", make([]byte, MaxMessageSize)))
	require.ErrorIs(t, err, ErrTooLarge)
	require.ErrorIs(t, err, ErrNotSent)
}

// Guards against a shutdown that interrupts calls in flight, loses their
// responses, leaves the outcome of a later call unknown or refuses connections
// too early, as if the process had exited.
func TestShutdownLosesNoCall(t *testing.T) {
	for range 20 {
		shutdownUnderLoad(t)
	}
}

func shutdownUnderLoad(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var inFlight, handled, answered atomic.Int64
	s := NewServer(Config{Handler: handlerFunc(func(ctx context.Context, req *wire.Request) *wire.Response {
		inFlight.Add(1)
		defer inFlight.Add(-1)
		time.Sleep(20 * time.Millisecond)
		handled.Add(1)
		return echo(ctx, req)
	})})
	go func() { _ = s.Serve(l) }()
	p := NewPool(Config{})
	defer p.Close()
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for range 16 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				_, err := p.Call(context.Background(), l.Addr().String(), forward("a", make([]byte, 100_000)))
				if err == nil {
					answered.Add(1)
					continue
				}
				if errors.Is(err, ErrRefused) && inFlight.Load() > 0 {
					t.Error("connection refused while calls are in flight")
				}
				if !errors.Is(err, ErrNotSent) {
					t.Errorf("unknown outcome: %v", err)
				}
			}
		})
	}
	time.Sleep(30 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	require.NoError(t, s.Shutdown(ctx))
	close(stop)
	wg.Wait()
	require.Equal(t, handled.Load(), answered.Load())
}

// Guards against responses lost in a shutdown because their callers get little
// CPU time and take longer than closeStallTimeout to read all of them.
func TestShutdownWaitsForSlowReaders(t *testing.T) {
	s := NewServer(Config{Handler: handlerFunc(echo)})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	quiet := yamux.DefaultConfig()
	quiet.LogOutput = io.Discard
	session, err := yamux.Client(conn, quiet)
	require.NoError(t, err)
	defer session.Close()
	frame, err := encodeFrame(forward("a", make([]byte, 100)))
	require.NoError(t, err)
	streams := make([]*yamux.Stream, 3)
	for i := range streams {
		streams[i], err = session.OpenStream()
		require.NoError(t, err)
		_, err = streams[i].Write(frame)
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return s.Stats().Calls == int64(len(streams)) }, 5*time.Second, time.Millisecond)
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(contextWithTimeout(t, 20*time.Second)) }()
	for _, stream := range streams {
		time.Sleep(closeStallTimeout * 6 / 10)
		require.NoError(t, readMessage(bufio.NewReader(stream), &wire.Response{}, MaxMessageSize))
		require.False(t, session.IsClosed())
		require.NoError(t, stream.Close())
	}
	require.NoError(t, <-ended)
}

// Guards against TLS settings that are not applied, and against a server that
// accepts plain connections although TLS is enabled.
func TestTLS(t *testing.T) {
	web := httptest.NewTLSServer(nil)
	defer web.Close()
	roots := x509.NewCertPool()
	roots.AddCert(web.Certificate())
	s, addr := startServer(t, Config{
		Handler: handlerFunc(echo),
		TLS:     &tls.Config{Certificates: web.TLS.Certificates},
	})
	p := newPool(t, Config{TLS: &tls.Config{RootCAs: roots, ServerName: "example.com"}})
	_, err := p.Call(contextWithTimeout(t, 5*time.Second), addr, heartbeatCall())
	require.NoError(t, err)
	plain := newPool(t, Config{})
	_, err = plain.Call(contextWithTimeout(t, 5*time.Second), addr, heartbeatCall())
	require.Error(t, err)
	// The client may see the TLS alert before the server has counted.
	require.Eventually(t, func() bool { return s.Stats().ProtocolViolations == 1 }, 5*time.Second, time.Millisecond)
}

func BenchmarkCall(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	s := NewServer(Config{Handler: handlerFunc(echo)})
	go func() { _ = s.Serve(l) }()
	p := NewPool(Config{})
	for _, size := range []int{1 << 10, 1 << 20} {
		b.Run(fmt.Sprintf("body=%d", size), func(b *testing.B) {
			body := make([]byte, size)
			for b.Loop() {
				_, err := p.Call(context.Background(), l.Addr().String(), forward("a", body))
				require.NoError(b, err)
			}
		})
	}
	p.Close()
	require.NoError(b, s.Shutdown(context.Background()))
}

// failingListener fails once, as a listener does without free file descriptors.
type failingListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed.Swap(true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Guards against a process that ends because one connection could not be accepted.
func TestAcceptErrorIsNotFatal(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := NewServer(Config{Handler: handlerFunc(echo)})
	served := make(chan error, 1)
	go func() { served <- s.Serve(&failingListener{Listener: l}) }()
	p := NewPool(Config{})
	defer p.Close()
	_, err = p.Call(contextWithTimeout(t, 2*time.Second), l.Addr().String(), heartbeatCall())
	require.NoError(t, err)
	require.NoError(t, s.Shutdown(contextWithTimeout(t, 2*time.Second)))
	require.NoError(t, <-served)
}

// Guards against a message that makes its handler panic and so ends the process with
// all requests that it serves.
func TestHandlerPanicIsNotFatal(t *testing.T) {
	_, addr := startServer(t, Config{Handler: handlerFunc(func(ctx context.Context, req *wire.Request) *wire.Response {
		if req.GetForward() != nil {
			panic("malformed")
		}
		return echo(ctx, req)
	})})
	p := NewPool(Config{})
	defer p.Close()
	_, err := p.Call(contextWithTimeout(t, 2*time.Second), addr, forward("a", nil))
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrNotSent, "the handler may have acted")
	_, err = p.Call(contextWithTimeout(t, 2*time.Second), addr, heartbeatCall())
	require.NoError(t, err)
}

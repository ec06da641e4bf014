package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// socketServer passes each request, with its body unread, to a function of the test.
type socketServer struct {
	addr string
}

// startSocketServer starts a server with a receive buffer of the given size (0: the
// system's default). A connection ends when handle returns false.
func startSocketServer(t *testing.T, receiveBuffer int, handle func(c *net.TCPConn, r *http.Request) bool) socketServer {
	t.Helper()
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if receiveBuffer == 0 {
			return nil
		}
		return raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
	}}
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		for _, c := range open {
			_ = c.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
			wg.Go(func() {
				defer c.Close()
				in := bufio.NewReaderSize(c, 512)
				for {
					r, err := http.ReadRequest(in)
					if err != nil || !handle(c.(*net.TCPConn), r) {
						return
					}
				}
			})
		}
	})
	return socketServer{l.Addr().String()}
}

// request returns a non-idempotent request with a body of n bytes.
func (s socketServer) request(id string, n int) Request {
	r := nonIdempotentRequest(&scriptedServer{addr: s.addr}, id)
	r.Method = http.MethodPost
	r.Body = make([]byte, n)
	return r
}

// readRest reads the rest of the body and responds with its length. The connection is
// only reused if the writing of the body was seen to end before the response.
func readRest(c net.Conn, r *http.Request) bool {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return false
	}
	time.Sleep(50 * time.Millisecond)
	writeResponse(c, r.Header.Get("Id"), fmt.Sprint(n))
	return true
}

// dropIncoming makes the kernel drop each packet that arrives for a connection, so
// that its peer gets no acknowledgement any more, as behind a cut.
func dropIncoming(c *net.TCPConn) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
		sockErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	})
	if err != nil {
		return err
	}
	return sockErr
}

// doWithin sends a request with the given time limit.
func doWithin(p *Pool, r Request, limit time.Duration) (*Response, Timing, time.Duration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	started := time.Now()
	response, timing, err := p.Do(ctx, r)
	return response, timing, time.Since(started), err
}

// Guards against a limit for the silence of the network that ends work in progress: a
// server that acknowledges everything, but works for seconds before it reads the rest
// of a body, was cut off by TCP_USER_TIMEOUT (review, case 3).
func TestServerThatReadsLate(t *testing.T) {
	t.Parallel()
	for name, row := range map[string]struct{ bodyBytes, receiveBuffer, readBefore int }{
		"long body, a part of it read":     {8 << 20, 0, 32 << 10},
		"body that the send buffer takes":  {200 << 10, 4 << 10, 0},
		"body that is written in one call": {24 << 10, 4 << 10, 0},
		"small body and a smaller window":  {6 << 10, 2 << 10, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startSocketServer(t, row.receiveBuffer, func(c *net.TCPConn, r *http.Request) bool {
				_, _ = io.CopyN(io.Discard, r.Body, int64(row.readBefore)) // an error shows in readRest
				time.Sleep(3500 * time.Millisecond)
				return readRest(c, r)
			})
			p := newPool(t)
			for i := range 2 {
				response, timing, _, err := doWithin(p, s.request("a", row.bodyBytes), 8*time.Second)
				require.NoError(t, err)
				require.Equal(t, fmt.Sprint(row.bodyBytes-row.readBefore), string(response.Body))
				require.Equal(t, i > 0, timing.Reused, "the connection stays usable")
			}
		})
	}
}

// Guards against a single unanswered window probe that counts as silence: Linux answers
// no probe within 500 ms of the one before, and the next comes 800 ms later.
func TestOneUnansweredWindowProbe(t *testing.T) {
	t.Parallel()
	s := startSocketServer(t, 0, func(c *net.TCPConn, r *http.Request) bool {
		time.Sleep(2500 * time.Millisecond)
		return readRest(c, r)
	})
	p := New(Config{TCPUserTimeout: 600 * time.Millisecond})
	t.Cleanup(p.Close)
	_, _, _, err := doWithin(p, s.request("a", 8<<20), 8*time.Second)
	require.NoError(t, err)
}

// Guards against a request that is lost because the one before it, to which the server has
// responded early, is still being read.
func TestEarlyResponseToQueuedBody(t *testing.T) {
	t.Parallel()
	s := startSocketServer(t, 4<<10, func(c *net.TCPConn, r *http.Request) bool {
		if r.Header.Get("Id") != "early" {
			return readRest(c, r)
		}
		writeResponse(c, "early", "")
		time.Sleep(1700 * time.Millisecond)
		_, err := io.Copy(io.Discard, r.Body)
		return err == nil
	})
	p := newPool(t)
	_, _, _, err := doWithin(p, s.request("early", 24<<10), time.Second)
	require.NoError(t, err)
	_, timing, _, err := doWithin(p, s.request("a", 100), 4*time.Second)
	require.NoError(t, err)
	require.False(t, timing.Reused)
}

// Guards against a peer that is gone and is not found: its requests would last until
// their deadlines. The bounds of unacknowledged data and of waiting are those of
// TCPUserTimeout, with the time until a retransmission or probe.
func TestServerThatIsCutOff(t *testing.T) {
	t.Parallel()
	const long = 8 << 20
	// Two window probes, a second apart, stay unanswered for a second.
	const withClosedWindow = 3500 * time.Millisecond
	wait := func(d time.Duration) func(*net.TCPConn, *http.Request) {
		return func(*net.TCPConn, *http.Request) { time.Sleep(d) }
	}
	readAll := func(_ *net.TCPConn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }
	for name, row := range map[string]struct {
		bodyBytes int
		before    func(c *net.TCPConn, r *http.Request) // nil: cut off before the request
		within    time.Duration
	}{
		"small request, not acknowledged":            {100, nil, 1700 * time.Millisecond},
		"long body, not acknowledged":                {long, nil, 1700 * time.Millisecond},
		"waiting for the response to a small one":    {100, readAll, 2700 * time.Millisecond},
		"waiting for the response to a long body":    {long, readAll, 2700 * time.Millisecond},
		"while the server has not read on for 0.5 s": {long, wait(500 * time.Millisecond), withClosedWindow},
		"while the server has not read on for 2.5 s": {long, wait(2500 * time.Millisecond), withClosedWindow},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cutAt := make(chan time.Time, 1)
			done := make(chan struct{})
			s := startSocketServer(t, 0, func(c *net.TCPConn, r *http.Request) bool {
				if r.Header.Get("Id") == "first" {
					if !readRest(c, r) {
						return false
					}
					if row.before != nil {
						return true
					}
				} else if row.before != nil {
					row.before(c, r)
				}
				if err := dropIncoming(c); err != nil {
					t.Error("attach a filter:", err)
				}
				cutAt <- time.Now()
				<-done
				return false
			})
			defer close(done)
			p := newPool(t)
			// The cut happens on a connection that has carried a long body.
			_, _, _, err := doWithin(p, s.request("first", long), time.Second)
			require.NoError(t, err)
			var cut time.Time
			if row.before == nil {
				cut = <-cutAt
			}
			_, timing, _, err := doWithin(p, s.request("a", row.bodyBytes), 8*time.Second)
			found := time.Now()
			if row.before != nil {
				cut = <-cutAt
			}
			var failed *Error
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.Sent)
			require.True(t, timing.Reused)
			t.Logf("found %.2f s after the cut: %v", found.Sub(cut).Seconds(), err)
			require.Less(t, found.Sub(cut), row.within)
		})
	}
}

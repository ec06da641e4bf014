package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// scriptedServer is a backend server whose connections are handled by the test.
type scriptedServer struct {
	addr string

	mu          sync.Mutex
	connections int
	requests    []string // IDs in order of arrival
}

// startServer starts a server; handle is called with each connection and its
// number.
func startServer(t *testing.T, handle func(s *scriptedServer, n int, c *net.TCPConn, r *bufio.Reader)) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedServer{addr: l.Addr().String()}
	var wg sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		wg.Wait()
	})
	wg.Add(1)
	go func() {
		defer wg.Done()
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			n := s.connections
			s.connections++
			s.mu.Unlock()
			wg.Add(1)
			go func() {
				defer wg.Done()
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(5 * time.Second))
				handle(s, n, c.(*net.TCPConn), bufio.NewReader(c))
			}()
		}
	}()
	return s
}

// read reads a complete request and returns its ID.
func (s *scriptedServer) read(r *bufio.Reader) (string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, req.Body)
	id := req.Header.Get("Id")
	s.mu.Lock()
	s.requests = append(s.requests, id)
	s.mu.Unlock()
	return id, true
}

func (s *scriptedServer) requestIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.requests...)
}

func writeResponse(c net.Conn, id, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// echo responds to every request with its ID.
func echo(s *scriptedServer, _ int, c *net.TCPConn, r *bufio.Reader) {
	for {
		id, ok := s.read(r)
		if !ok {
			return
		}
		writeResponse(c, id, "body of "+id)
	}
}

func newPool(t *testing.T) *Pool {
	p := New(Config{})
	t.Cleanup(p.Close)
	return p
}

func nonIdempotentRequest(s *scriptedServer, id string) Request {
	r := request(s, id)
	r.Idempotent = false
	return r
}

func request(s *scriptedServer, id string) Request {
	return Request{
		Addr: s.addr, Method: http.MethodGet, Target: "/x?y", Host: "host", Idempotent: true,
		Header:  http.Header{"Id": {id}},
		Matches: func(r *http.Response) bool { return r.Header.Get("Id") == id },
	}
}

func do(t *testing.T, p *Pool, r Request) (*Response, Timing, *Error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	a, timing, err := p.Do(ctx, r)
	if err == nil {
		return a, timing, nil
	}
	var failed *Error
	require.True(t, errors.As(err, &failed))
	return nil, timing, failed
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Guards against responses that reach the wrong caller and against broken
// responses that are taken for complete ones. Each row is one sentence of the section
// "Backends" of the platform's protocol document.
func TestResponses(t *testing.T) {
	head := func(id string) string { return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" }
	for _, row := range []struct {
		name string
		// send writes the server's response to one request.
		send func(c *net.TCPConn, id string)
		want string // body; "" if the request must fail
		// kept reports whether the connection may carry another request.
		kept bool
	}{
		{"with length", func(c *net.TCPConn, id string) { writeResponse(c, id, "whole") }, "whole", true},
		{"in chunks", func(c *net.TCPConn, id string) {
			_, _ = io.WriteString(c, head(id)+"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
		}, "whole", true},
		{"after an interim response", func(c *net.TCPConn, id string) {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
			writeResponse(c, id, "whole")
		}, "whole", true},
		{"without length, connection ends in order", func(c *net.TCPConn, id string) {
			_, _ = io.WriteString(c, head(id)+"\r\nwhole")
			_ = c.Close()
		}, "whole", false},
		{"without length, connection is reset", func(c *net.TCPConn, id string) {
			_, _ = io.WriteString(c, head(id)+"\r\nwhole")
			time.Sleep(50 * time.Millisecond)
			reset(c)
		}, "", false},
		{"truncated", func(c *net.TCPConn, id string) {
			_, _ = io.WriteString(c, head(id)+"Content-Length: 10\r\n\r\nwhole")
			_ = c.Close()
		}, "", false},
		{"truncated chunks", func(c *net.TCPConn, id string) {
			_, _ = io.WriteString(c, head(id)+"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n")
			_ = c.Close()
		}, "", false},
		{"no response at all", func(c *net.TCPConn, _ string) { _, _ = io.WriteString(c, "garbage\x00\x01\r\n\r\n") }, "", false},
		{"of another request on a new connection", func(c *net.TCPConn, _ string) { writeResponse(c, "other", "foreign") }, "", false},
		{"closed without a response", func(c *net.TCPConn, _ string) { _ = c.Close() }, "", false},
		{"reset without a response", func(c *net.TCPConn, _ string) { reset(c) }, "", false},
		{"connection close", func(c *net.TCPConn, id string) {
			_, _ = io.WriteString(c, head(id)+"Connection: close\r\nContent-Length: 5\r\n\r\nwhole")
		}, "whole", false},
		{"followed by bytes that belong to nothing", func(c *net.TCPConn, id string) {
			_, _ = io.WriteString(c, head(id)+"Content-Length: 5\r\n\r\nwholeEXTRA")
		}, "whole", false},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := startServer(t, func(s *scriptedServer, n int, c *net.TCPConn, r *bufio.Reader) {
				if n > 0 {
					echo(s, n, c, r)
					return
				}
				if id, ok := s.read(r); ok {
					row.send(c, id)
				}
				echo(s, n, c, r)
			})
			p := newPool(t)
			a, _, failed := do(t, p, request(s, "first"))
			if row.want == "" {
				require.NotNil(t, failed)
				require.True(t, failed.Sent, "it may have run")
			} else {
				require.Nil(t, failed)
				require.Equal(t, row.want, string(a.Body))
			}
			a, timing, failed := do(t, p, request(s, "second"))
			require.Nil(t, failed)
			require.Equal(t, "body of second", string(a.Body))
			require.Equal(t, row.kept, timing.Reused)
			require.Equal(t, []string{"first", "second"}, s.requestIDs(), "nothing is sent twice")
		})
	}
}

// Guards against a late response to an earlier request that is taken for the
// response to the next one.
func TestLateResponseIsSkipped(t *testing.T) {
	s := startServer(t, func(s *scriptedServer, _ int, c *net.TCPConn, r *bufio.Reader) {
		id, _ := s.read(r)
		writeResponse(c, id, "one")
		id, _ = s.read(r)
		writeResponse(c, "first", "one again")
		writeResponse(c, id, "two")
		echo(s, 0, c, r)
	})
	p := newPool(t)
	_, _, failed := do(t, p, request(s, "first"))
	require.Nil(t, failed)
	a, timing, failed := do(t, p, request(s, "second"))
	require.Nil(t, failed)
	require.True(t, timing.Reused)
	require.Equal(t, 1, timing.MismatchedResponses)
	require.Equal(t, "two", string(a.Body))
	_, timing, _ = do(t, p, request(s, "third"))
	require.False(t, timing.Reused, "a connection with stray responses is not reused")
}

// Guards against a late response that is taken for the next one if its parts arrive
// before and after that request is sent.
func TestLateResponseInParts(t *testing.T) {
	const late = "HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: 3\r\n\r\none"
	for _, first := range []int{0, 1, 20, len(late) - 2} {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			s := startServer(t, func(s *scriptedServer, n int, c *net.TCPConn, r *bufio.Reader) {
				id, ok := s.read(r)
				for ; ok; id, ok = s.read(r) {
					if n == 0 && id != "first" {
						_, _ = io.WriteString(c, late[first:])
						time.Sleep(10 * time.Millisecond)
					}
					writeResponse(c, id, "body of "+id)
					if n == 0 && id == "first" {
						time.Sleep(10 * time.Millisecond)
						_, _ = io.WriteString(c, late[:first])
					}
				}
			})
			p := newPool(t)
			for i, id := range []string{"first", "second", "third"} {
				response, _, failed := do(t, p, request(s, id))
				require.Nil(t, failed)
				require.Equal(t, "body of "+id, string(response.Body))
				if i == 0 {
					time.Sleep(30 * time.Millisecond)
				}
			}
		})
	}
}

// Guards against reuse of a connection that the server has closed or that has
// unread stray bytes.
func TestIdleConnectionIsChecked(t *testing.T) {
	for name, disturb := range map[string]func(c *net.TCPConn){
		"closed": func(c *net.TCPConn) { _ = c.Close() },
		"reset":  reset,
		"stray":  func(c *net.TCPConn) { writeResponse(c, "first", "again") },
	} {
		t.Run(name, func(t *testing.T) {
			disturbed := make(chan struct{})
			s := startServer(t, func(s *scriptedServer, n int, c *net.TCPConn, r *bufio.Reader) {
				if n == 0 {
					id, _ := s.read(r)
					writeResponse(c, id, "one")
					time.Sleep(20 * time.Millisecond)
					disturb(c)
					close(disturbed)
				}
				echo(s, n, c, r)
			})
			p := newPool(t)
			_, _, failed := do(t, p, request(s, "first"))
			require.Nil(t, failed)
			<-disturbed
			time.Sleep(20 * time.Millisecond)
			a, timing, failed := do(t, p, request(s, "second"))
			require.Nil(t, failed)
			require.False(t, timing.Reused)
			require.Equal(t, "body of second", string(a.Body))
		})
	}
}

// Guards against a non-idempotent request on a connection that was idle for so
// long that the server may have dropped it.
func TestNonIdempotentRequestsUseFreshConnections(t *testing.T) {
	s := startServer(t, echo)
	p := New(Config{NonIdempotentMaxIdle: 50 * time.Millisecond})
	t.Cleanup(p.Close)
	_, _, _ = do(t, p, nonIdempotentRequest(s, "1"))
	_, timing, _ := do(t, p, nonIdempotentRequest(s, "2"))
	require.True(t, timing.Reused)
	time.Sleep(60 * time.Millisecond)
	_, timing, _ = do(t, p, nonIdempotentRequest(s, "3"))
	require.False(t, timing.Reused)
	time.Sleep(60 * time.Millisecond)
	_, timing, _ = do(t, p, request(s, "4"))
	require.True(t, timing.Reused, "an idempotent request may use it")
}

// Guards against a non-idempotent request on a connection that a near server may
// have dropped: opening a new one takes about 2 ms there.
func TestNonIdempotentRequestsToNearServers(t *testing.T) {
	s := startServer(t, echo)
	p := newPool(t)
	_, _, _ = do(t, p, nonIdempotentRequest(s, "1"))
	_, timing, _ := do(t, p, nonIdempotentRequest(s, "2"))
	require.True(t, timing.Reused)
	time.Sleep(150 * time.Millisecond)
	_, timing, _ = do(t, p, nonIdempotentRequest(s, "3"))
	require.False(t, timing.Reused)
	for _, c := range p.hosts[s.addr].idle {
		c.connectTime = 70 * time.Millisecond // as if the server were in another region
	}
	time.Sleep(150 * time.Millisecond)
	_, timing, _ = do(t, p, nonIdempotentRequest(s, "4"))
	require.True(t, timing.Reused)
}

// Guards against reuse of a connection beyond the idle timeout that the server
// announced.
func TestKeepAliveHeader(t *testing.T) {
	s := startServer(t, func(s *scriptedServer, _ int, c *net.TCPConn, r *bufio.Reader) {
		for {
			id, ok := s.read(r)
			if !ok {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n", id)
		}
	})
	p := newPool(t)
	_, _, _ = do(t, p, request(s, "1"))
	_, timing, _ := do(t, p, request(s, "2"))
	require.False(t, timing.Reused)
}

// Guards against the rest of a long body being read as the next request when the
// server responds before it has read the body and keeps the connection open.
func TestEarlyResponseClosesConnection(t *testing.T) {
	s := startServer(t, func(s *scriptedServer, n int, c *net.TCPConn, r *bufio.Reader) {
		if n > 0 {
			echo(s, n, c, r)
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		writeResponse(c, req.Header.Get("Id"), "early")
		time.Sleep(200 * time.Millisecond)
		rest, _ := io.ReadAll(r)
		if strings.Contains(string(rest), "second") {
			t.Error("another request arrived where the body was due")
		}
	})
	p := newPool(t)
	long := request(s, "first")
	long.Method = http.MethodPost
	long.Body = make([]byte, 16<<20)
	a, _, failed := do(t, p, long)
	require.Nil(t, failed)
	require.Equal(t, "early", string(a.Body))
	_, timing, failed := do(t, p, request(s, "second"))
	require.Nil(t, failed)
	require.False(t, timing.Reused)
}

// Guards against reporting that a request may have run when no byte was sent: a
// non-idempotent request could then not be retried.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	gone := &scriptedServer{addr: l.Addr().String()}
	require.NoError(t, l.Close())
	_, _, failed := do(t, newPool(t), request(gone, "1"))
	require.NotNil(t, failed)
	require.False(t, failed.Sent)
	require.True(t, failed.Unreachable)
}

// Guards against opening more connections to a server than MaxConnections.
func TestMaxConnections(t *testing.T) {
	release := make(chan struct{})
	s := startServer(t, func(s *scriptedServer, _ int, c *net.TCPConn, r *bufio.Reader) {
		id, _ := s.read(r)
		<-release
		writeResponse(c, id, "late")
	})
	p := newPool(t)
	first := request(s, "1")
	first.MaxConnections = 1
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _, _ = p.Do(context.Background(), first)
	}()
	require.Eventually(t, func() bool { return len(s.requestIDs()) == 1 }, time.Second, time.Millisecond)
	second := request(s, "2")
	second.MaxConnections = 1
	_, _, failed := do(t, p, second)
	require.NotNil(t, failed)
	require.False(t, failed.Sent)
	require.False(t, failed.Unreachable)
	close(release)
	<-done
}

// Guards against a server that keeps working after the client has gone: the end of
// the context must close the connection.
func TestCancelClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	s := startServer(t, func(s *scriptedServer, _ int, c *net.TCPConn, r *bufio.Reader) {
		_, _ = s.read(r)
		_, _ = r.ReadByte()
		close(closed)
	})
	p := newPool(t)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for len(s.requestIDs()) == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, _, err := p.Do(ctx, request(s, "1"))
	require.Error(t, err)
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Fatal("the connection is still open")
	}
}

// Guards against forwarding hop-by-hop headers to another connection.
func TestEndToEndHeaders(t *testing.T) {
	out := EndToEndHeaders(http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "Te": {"trailers"},
		"Transfer-Encoding": {"chunked"}, "Content-Length": {"5"}, "Cookie": {"a=b"},
	})
	require.Equal(t, http.Header{"Cookie": {"a=b"}}, out)
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against sending one non-idempotent request after another on connections
// that a server drops early (fault kind idle_race). Also guards against opening a new
// connection for every request after a server lost the response to a request that
// it ran: that takes 70 ms to another region and lowered the score of bench
// scenario scale-1 of hesabu-rack from 0.69 to 0.66.
func TestStaleConnections(t *testing.T) {
	for _, row := range []struct {
		name        string
		serviceTime time.Duration
		wantNew     bool // the next request uses a new connection
	}{
		{"connection dropped", 0, true},
		{"response lost", 100 * time.Millisecond, false},
	} {
		t.Run(row.name, func(t *testing.T) { testStaleConnection(t, row.serviceTime, row.wantNew) })
	}
}

func testStaleConnection(t *testing.T, serviceTime time.Duration, wantNew bool) {
	s := startServer(t, func(s *scriptedServer, _ int, c *net.TCPConn, r *bufio.Reader) {
		for {
			id, ok := s.read(r)
			if !ok {
				return
			}
			if id == "2" {
				time.Sleep(serviceTime)
				reset(c)
				return
			}
			writeResponse(c, id, "one")
		}
	})
	p := New(Config{NonIdempotentMaxIdle: time.Second, NonIdempotentMaxIdleNear: time.Second})
	t.Cleanup(p.Close)
	send := func(id string) (Timing, *Error) {
		_, timing, failed := do(t, p, nonIdempotentRequest(s, id))
		return timing, failed
	}
	_, failed := send("1")
	require.Nil(t, failed)
	time.Sleep(2 * minStaleIdle)
	timing, failed := send("2")
	require.True(t, timing.Reused)
	require.NotNil(t, failed)
	_, failed = send("3")
	require.Nil(t, failed)
	time.Sleep(2 * minStaleIdle)
	timing, failed = send("4")
	require.Nil(t, failed)
	require.Equal(t, wantNew, !timing.Reused)
}

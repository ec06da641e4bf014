package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/dandelionrack/dandelionrack/internal/bytebudget"
)

const (
	// longRequestBody exceeds what the kernel takes while the server does not read.
	longRequestBody = 8 << 20
	smallWindow     = 64 << 10
	// settle is longer than loopback needs to deliver a part of a response, so that
	// the client has read it when the connection fails.
	settle = 20 * time.Millisecond
)

var wholeBody = strings.Repeat("0123456789", 300)

// framings holds a whole response in each framing.
var framings = map[string]string{
	"no length": "HTTP/1.1 200 OK\r\nId: q\r\n\r\n" + wholeBody,
	"length":    fmt.Sprintf("HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: %d\r\n\r\n%s", len(wholeBody), wholeBody),
	"chunks":    fmt.Sprintf("HTTP/1.1 200 OK\r\nId: q\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(wholeBody), wholeBody),
}

// requestBodies holds how many bytes of a long request body the server reads
// before it responds.
var requestBodies = map[string]int64{"unread": 0, "half read": longRequestBody / 2, "read": longRequestBody}

// serveOne starts a server that reads part of a long request body and then calls
// respond.
func serveOne(t *testing.T, read int64, respond func(c *net.TCPConn, body io.Reader)) *scriptedServer {
	return startServer(t, func(_ *scriptedServer, _ int, c *net.TCPConn, _ *bufio.Reader) {
		_ = c.SetReadBuffer(smallWindow)
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, req.Body, read); err == nil {
			respond(c, req.Body)
		}
	})
}

func longRequest(s *scriptedServer) Request {
	r := nonIdempotentRequest(s, "q")
	r.Method, r.Body = http.MethodPost, make([]byte, longRequestBody)
	return r
}

// requireNoPart fails the test if a part of the body counts as a response.
func requireNoPart(t *testing.T, s *scriptedServer) {
	t.Helper()
	r := longRequest(s)
	r.Budget = bytebudget.New(longRequestBody)
	response, _, failed := do(t, newPool(t), r)
	if assert.NotNil(t, failed, "a part of the response counts as whole: %+v", response) {
		assert.True(t, failed.Sent, "it may have run")
		assert.Zero(t, r.Budget.Used(), "the part is given back")
	}
}

// Guards against a part of a response that counts as whole because its server
// crashed or reset the connection. The kernel reports a reset once. If the goroutine
// that writes the request body gets the report, reading ends without an error.
func TestConnectionFailsDuringResponse(t *testing.T) {
	for framing, response := range framings {
		head := strings.Index(response, "\r\n\r\n")
		for stage, sent := range map[string]int{
			"in the head": head, "half of the body": head + len(wholeBody)/2, "last byte missing": len(response) - 1,
		} {
			for bodyState, read := range requestBodies {
				for end, linger := range map[string]int{"crash": -1, "reset": 0} {
					if framing == "no length" && stage != "in the head" && bodyState == "read" && end == "crash" {
						// The end of a process whose sockets have no unread bytes
						// ends the connection in order, like a whole response.
						continue
					}
					t.Run(strings.Join([]string{framing, stage, "request body " + bodyState, end}, "/"), func(t *testing.T) {
						for range 2 {
							requireNoPart(t, serveOne(t, read, func(c *net.TCPConn, _ io.Reader) {
								_, _ = io.WriteString(c, response[:sent])
								time.Sleep(settle)
								_ = c.SetLinger(linger)
								_ = c.Close()
							}))
						}
					})
				}
			}
		}
	}
}

// pausingConn writes the second half of each long write after a pause.
type pausingConn struct {
	net.Conn
	pause time.Duration
}

func (c pausingConn) Write(p []byte) (int, error) {
	if len(p) < longRequestBody {
		return c.Conn.Write(p)
	}
	n, err := c.Conn.Write(p[:len(p)/2])
	if err != nil {
		return n, err
	}
	time.Sleep(c.pause)
	m, err := c.Conn.Write(p[n:])
	return n + m, err
}

// Guards against a crash that looks like an orderly end at first: the server had
// read all bytes that had arrived, so that its kernel ends the connection in order
// and resets it only when the next bytes of the request body arrive.
func TestResetFollowsEndOfStream(t *testing.T) {
	for _, whole := range []bool{false, true} {
		s := serveOne(t, longRequestBody/2, func(c *net.TCPConn, body io.Reader) {
			if whole {
				_, _ = io.WriteString(c, framings["no length"])
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, body)
				return
			}
			_, _ = io.WriteString(c, framings["no length"][:1000])
		})
		c, err := newPool(t).dial(context.Background(), s.addr)
		require.NoError(t, err)
		c.nc = pausingConn{c.nc, 100 * time.Millisecond}
		response, _, err := c.roundTrip(longRequest(s), &Timing{})
		c.abort()
		if whole {
			require.NoError(t, err)
			require.Equal(t, wholeBody, string(response.Body))
		} else {
			require.Error(t, err, "a part of the response counts as whole")
		}
	}
}

// Guards against whole responses that are rejected because the request body is not
// sent completely when they end.
func TestWholeResponseBeforeEndOfRequest(t *testing.T) {
	for framing, response := range framings {
		for bodyState, read := range requestBodies {
			for name, readRest := range map[string]bool{"rest read": true, "rest not read": false} {
				t.Run(strings.Join([]string{framing, "request body " + bodyState, name}, "/"), func(t *testing.T) {
					received := make(chan struct{})
					s := serveOne(t, read, func(c *net.TCPConn, body io.Reader) {
						_, _ = io.WriteString(c, response)
						_ = c.CloseWrite()
						if readRest {
							_, _ = io.Copy(io.Discard, body)
						}
						<-received
					})
					started := time.Now()
					got, _, failed := do(t, newPool(t), longRequest(s))
					close(received)
					require.Nil(t, failed)
					require.Equal(t, wholeBody, string(got.Body))
					require.Less(t, time.Since(started), time.Second, "not held until the deadline")
				})
			}
		}
	}
}

// Guards against a part of a response that counts as whole because the connection
// timed out while the server did not read.
func TestTimeoutDuringResponse(t *testing.T) {
	response := framings["no length"]
	s := serveOne(t, 0, func(c *net.TCPConn, _ io.Reader) {
		_, _ = io.WriteString(c, response[:1000])
		time.Sleep(600 * time.Millisecond)
		_, _ = io.WriteString(c, response[1000:])
	})
	p := New(Config{TCPUserTimeout: 200 * time.Millisecond})
	t.Cleanup(p.Close)
	for range 5 {
		if got, _, failed := do(t, p, longRequest(s)); failed == nil {
			require.Equal(t, wholeBody, string(got.Body))
		}
	}
}

// Guards against a reset whose only report was taken by another user of the socket,
// such as a read of SO_ERROR.
func TestResetReportedElsewhere(t *testing.T) {
	for range 20 {
		s := startServer(t, func(s *scriptedServer, _ int, c *net.TCPConn, r *bufio.Reader) {
			if _, ok := s.read(r); ok {
				_, _ = io.WriteString(c, framings["no length"][:1000])
				time.Sleep(settle)
				reset(c)
			}
		})
		c, err := newPool(t).dial(context.Background(), s.addr)
		require.NoError(t, err)
		raw, err := c.tcp.SyscallConn()
		require.NoError(t, err)
		taken := make(chan struct{})
		go func() {
			defer close(taken)
			for failure := 0; failure == 0; {
				if raw.Control(func(fd uintptr) {
					failure, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
				}) != nil {
					return // closed
				}
			}
		}()
		response, _, err := c.roundTrip(request(s, "q"), &Timing{})
		c.abort()
		<-taken
		require.Error(t, err, "%+v", response)
	}
}

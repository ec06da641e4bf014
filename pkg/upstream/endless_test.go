package upstream

import (
	"bufio"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/internal/bytebudget"
)

// writeUntilClosed writes the piece until the connection is closed and counts the
// bytes.
func writeUntilClosed(c net.Conn, piece string, written *atomic.Int64) {
	for {
		n, err := c.Write([]byte(piece))
		written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// Guards against a server that sends bytes without end: they filled the memory of the
// instance, or held the request until its deadline.
func TestEndlessResponses(t *testing.T) {
	filler := strings.Repeat("x", 4<<10)
	for name, row := range map[string]struct {
		head, piece string
		maxBytes    int64
	}{
		"one header line":         {"HTTP/1.1 200 OK\r\nA: ", filler, maxHeadBytes},
		"header lines":            {"HTTP/1.1 200 OK\r\n", "A: " + filler + "\r\n", maxHeadBytes},
		"no line at all":          {"", filler, maxHeadBytes},
		"interim responses":       {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100), maxHeadBytes},
		"a body without a length": {"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", filler, MaxResponseBytes},
		"chunks":                  {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("4\r\nbody\r\n", 400), 4 * MaxResponseBytes},
		"trailer lines":           {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: " + filler + "\r\n", MaxResponseBytes},
		"a chunk extension":       {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4;", filler, MaxResponseBytes},
		"another one's body":      {"HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n", strings.Repeat("4\r\nbody\r\n", 400), 4 * MaxResponseBytes},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			s := startServer(t, func(s *scriptedServer, _ int, c *net.TCPConn, r *bufio.Reader) {
				for {
					id, ok := s.read(r)
					if !ok {
						return
					}
					if id == "first" {
						writeResponse(c, id, "")
						continue
					}
					_, _ = c.Write([]byte(row.head))
					writeUntilClosed(c, row.piece, &written)
					return
				}
			})
			p := newPool(t)
			_, _, failed := do(t, p, request(s, "first"))
			require.Nil(t, failed)
			started := time.Now()
			_, _, failed = do(t, p, request(s, "a"))
			require.NotNil(t, failed)
			require.True(t, failed.Sent)
			require.Less(t, time.Since(started), 1500*time.Millisecond, "not held until the deadline")
			const socketBuffers = 8 << 20 // of both ends
			require.Less(t, written.Load(), row.maxBytes+socketBuffers)
			_, _, failed = do(t, p, request(s, "first"))
			require.Nil(t, failed, "on a new connection")
		})
	}
}

// Guards against an end of the deadline that does not end a response which trickles.
func TestTricklingResponses(t *testing.T) {
	for name, head := range map[string]string{
		"head": "HTTP/1.1 200 OK\r\nA: ",
		"body": "HTTP/1.1 200 OK\r\nId: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := startServer(t, func(s *scriptedServer, _ int, c *net.TCPConn, r *bufio.Reader) {
				if _, ok := s.read(r); !ok {
					return
				}
				_, _ = c.Write([]byte(head))
				for {
					if _, err := c.Write([]byte("x")); err != nil {
						return
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
			started := time.Now()
			_, _, failed := do(t, newPool(t), request(s, "a"))
			require.NotNil(t, failed)
			require.InDelta(t, 2, time.Since(started).Seconds(), 0.3, "the deadline of do")
		})
	}
}

// Guards against many large bodies at once that exceed the memory of an instance.
func TestResponsesCountTowardsTheBudget(t *testing.T) {
	s := startServer(t, func(s *scriptedServer, _ int, c *net.TCPConn, r *bufio.Reader) {
		for {
			id, ok := s.read(r)
			if !ok {
				return
			}
			writeResponse(c, id, strings.Repeat("x", 1000))
		}
	})
	p := newPool(t)
	budget := bytebudget.New(1500)
	r := request(s, "a")
	r.Budget = budget
	first, _, failed := do(t, p, r)
	require.Nil(t, failed)
	require.EqualValues(t, 1000, budget.Used())
	require.EqualValues(t, 1000, first.Acquired)
	_, _, failed = do(t, p, r)
	require.ErrorIs(t, failed, bytebudget.ErrFull)
	require.EqualValues(t, 1000, budget.Used(), "an incomplete body is given back")
	budget.Release(first.Acquired)
	_, _, failed = do(t, p, r)
	require.Nil(t, failed)
}

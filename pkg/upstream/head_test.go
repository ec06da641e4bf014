package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/internal/bytebudget"
)

// Guards against large heads that do not count towards the budget, against bytes that
// stay acquired, and against a refusal of large heads that fit the limits.
func TestHeadsCountTowardsTheBudget(t *testing.T) {
	header := func(lines, size int) string {
		var b strings.Builder
		for i := range lines {
			fmt.Fprintf(&b, "A%d: %s\r\n", i, strings.Repeat("x", size))
		}
		return b.String()
	}
	for _, row := range []struct {
		name     string
		header   string
		refused  bool
		acquired int // at least
	}{
		{"usual", header(8, 20), false, 0},
		{"12 KB", header(10, 1200), false, 12_000},
		{"exactly the read buffer", header(1, readBuffer-len("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\nA0: \r\n\r\n")), false, readBuffer},
		{"60 KB", header(20, 3000), false, 60_000},
		{"200 lines", header(200, 1), false, 200 * headLineCost},
		{"300 lines", header(300, 1), true, 0},
		{"5,000 short lines", strings.Repeat("a:\n", 5000), true, 0},
		{"70 KB", header(20, 3500), true, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := startServer(t, func(s *scriptedServer, _ int, c *net.TCPConn, r *bufio.Reader) {
				for {
					id, ok := s.read(r)
					if !ok {
						return
					}
					fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n%s\r\nok", id, row.header)
				}
			})
			p := newPool(t)
			for range 2 {
				r := request(s, "a")
				r.Budget = bytebudget.New(1 << 20)
				response, _, failed := do(t, p, r)
				if row.refused {
					require.NotNil(t, failed)
					require.True(t, failed.Sent)
					require.Zero(t, r.Budget.Used(), "nothing stays acquired")
					continue
				}
				require.Nil(t, failed)
				require.Equal(t, "ok", string(response.Body))
				require.GreaterOrEqual(t, response.Acquired, int64(row.acquired))
				require.Equal(t, response.Acquired, r.Budget.Used())
				require.Less(t, response.Acquired, int64(2*maxHeadBytes))

				if row.acquired == 0 {
					continue
				}
				r.Budget = bytebudget.New(int64(row.acquired))
				_, _, failed = do(t, p, r)
				require.ErrorIs(t, failed, bytebudget.ErrFull)
				require.Zero(t, r.Budget.Used())
			}
		})
	}
}

// Guards against the loss of a connection, or of bytes that follow, after a head that
// is larger than the read buffer.
func TestConnectionIsReusedAfterALargeHead(t *testing.T) {
	s := startServer(t, func(s *scriptedServer, _ int, c *net.TCPConn, r *bufio.Reader) {
		for {
			id, ok := s.read(r)
			if !ok {
				return
			}
			body := strings.Repeat(id, 50_000)
			_, _ = io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n")
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\nA: %s\r\n\r\n%s", id, len(body), strings.Repeat("x", 20_000), body)
		}
	})
	p := newPool(t)
	for n, id := range []string{"a", "b", "c"} {
		response, timing, failed := do(t, p, request(s, id))
		require.Nil(t, failed)
		require.Equal(t, strings.Repeat(id, 50_000), string(response.Body))
		require.Equal(t, n > 0, timing.Reused)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	require.Equal(t, readBuffer, p.hosts[s.addr].idle[0].r.Size(), "an idle connection holds a small buffer")
}

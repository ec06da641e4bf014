package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a late response to an earlier request that is longer than what is
// skipped: its rest was read as the next response, so that its content could pass
// for the response to another request.
func TestLongLateResponse(t *testing.T) {
	const inner = "HTTP/1.1 200 OK\r\nId: q\r\nContent-Length: 5\r\n\r\nfalse"
	long := strings.Repeat("x", MaxResponseBytes) + inner
	for framing, late := range map[string]string{
		"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nId: first\r\nContent-Length: %d\r\n\r\n%s", len(long), long),
		"chunks": fmt.Sprintf("HTTP/1.1 200 OK\r\nId: first\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long),
	} {
		t.Run(framing, func(t *testing.T) {
			s := startServer(t, func(s *scriptedServer, _ int, c *net.TCPConn, r *bufio.Reader) {
				id, _ := s.read(r)
				writeResponse(c, id, "one")
				if id, ok := s.read(r); ok {
					_, _ = io.WriteString(c, late)
					writeResponse(c, id, "two")
				}
			})
			p := newPool(t)
			_, _, failed := do(t, p, request(s, "first"))
			require.Nil(t, failed)
			response, timing, failed := do(t, p, request(s, "q"))
			require.True(t, timing.Reused)
			if failed == nil {
				require.Equal(t, "two", string(response.Body))
			}
		})
	}
}

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

// Guards against the rest of a large late response that is read as the head of the next
// one: bytes of another request's body were delivered as the response.
func TestRestOfALateResponseIsNoResponse(t *testing.T) {
	const inBody = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nwrong"
	s := startServer(t, func(s *scriptedServer, _ int, c *net.TCPConn, r *bufio.Reader) {
		for {
			id, ok := s.read(r)
			if !ok {
				return
			}
			if id == "a" {
				late := strings.Repeat("x", MaxResponseBytes) + inBody
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: late\r\nContent-Length: %d\r\n\r\n", len(late))
				_, _ = io.WriteString(c, late)
			}
			writeResponse(c, id, "right")
		}
	})
	p := newPool(t)
	_, _, failed := do(t, p, request(s, "first"))
	require.Nil(t, failed)
	response, _, failed := do(t, p, request(s, "a"))
	if failed == nil {
		require.Equal(t, "right", string(response.Body))
	}
}

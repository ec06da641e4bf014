package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a response that ends within its head, or before the body that it
// announces, and is delivered as a whole one with an empty or short body.
func TestTruncatedResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: q\r\nSignature: abc\r\n"
	for _, row := range []struct {
		name, response string
		mustHave       int // bytes without which the response is not whole
	}{
		{"with length", head + "Content-Length: 5\r\n\r\nwhole", len(head) + len("Content-Length: 5\r\n\r\nwhole")},
		{"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", len(head) + len("Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")},
		{"empty, with length", head + "Content-Length: 0\r\n\r\n", len(head) + len("Content-Length: 0\r\n\r\n")},
		// The end of the connection is the end of the body, so only the head counts.
		{"without length", head + "\r\nwhole", len(head) + len("\r\n")},
		{"no content", "HTTP/1.1 204 No Content\r\nId: q\r\n\r\n", len("HTTP/1.1 204 No Content\r\nId: q\r\n\r\n")},
	} {
		t.Run(row.name, func(t *testing.T) {
			for sent := range row.mustHave {
				s := startServer(t, func(s *scriptedServer, _ int, c *net.TCPConn, r *bufio.Reader) {
					if _, ok := s.read(r); ok {
						_, _ = io.WriteString(c, row.response[:sent])
					}
				})
				response, _, failed := do(t, newPool(t), request(s, "q"))
				if assert.NotNil(t, failed, fmt.Sprintf("%q: %+v", row.response[:sent], response)) {
					assert.True(t, failed.Sent, "it may have run")
				}
			}
		})
	}
}

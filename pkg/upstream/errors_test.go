package upstream

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against errors that quote what a server sent: they are logged for each attempt,
// and a malformed line of 60 KB became a log line of up to 300 KB.
func TestErrorsQuoteLittleOfAResponse(t *testing.T) {
	for _, piece := range []string{"x", "\x01", "\xff"} {
		for name, head := range map[string]string{
			"status line": "", "protocol": "HTTP/", "version": "HTTP/1.1 ", "header line": "HTTP/1.1 200 OK\r\n",
			"header value": "HTTP/1.1 200 OK\r\nA: ", "length": "HTTP/1.1 200 OK\r\nContent-Length: ", "encoding": "HTTP/1.1 200 OK\r\nTransfer-Encoding: ",
			"second length": "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: ",
		} {
			s := startServer(t, func(s *scriptedServer, _ int, c *net.TCPConn, r *bufio.Reader) {
				if _, ok := s.read(r); ok {
					_, _ = io.WriteString(c, head+strings.Repeat(piece, 60_000)+"\r\n\r\n")
				}
			})
			_, _, failed := do(t, newPool(t), request(s, "a"))
			require.NotNil(t, failed)
			require.Less(t, len(failed.Error()), 1000, "%s with %q", name, piece)
		}
	}
}

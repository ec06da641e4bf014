package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// oddStatuses are what follows "HTTP/1.1 " in status lines that are none of HTTP.
var oddStatuses = []string{"000 X", "099 X", "1000 X", "20 OK", "+20 OK", "-20 OK", "", "abc X", "600 X", "999 X", "0"}

// Guards against a response whose status is none of HTTP that counts as the answer, that
// is skipped, or after which another one counts; in each framing.
func TestOddStatusLines(t *testing.T) {
	const sized = "Id: ID\r\nContent-Length: 2\r\n\r\nok"
	for framing, rest := range map[string]string{
		"with a length":                          sized,
		"without a length":                       "Id: ID\r\n\r\nok",
		"in chunks":                              "Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"without a body, before an answer":       "\r\nHTTP/1.1 200 OK\r\n" + sized,
		"to an earlier request, then an answer":  "Id: other\r\nContent-Length: 2\r\n\r\nno" + "HTTP/1.1 200 OK\r\n" + sized,
		"after an interim response, with length": "INTERIM" + sized,
	} {
		for _, status := range oddStatuses {
			t.Run(fmt.Sprintf("%q %s", status, framing), func(t *testing.T) {
				response := "HTTP/1.1 " + status + "\r\n" + rest
				if after, ok := strings.CutPrefix(rest, "INTERIM"); ok {
					response = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 " + status + "\r\n" + after
				}
				s := startServer(t, func(s *scriptedServer, _ int, c *net.TCPConn, r *bufio.Reader) {
					if id, ok := s.read(r); ok {
						_, _ = io.WriteString(c, strings.ReplaceAll(response, "ID", id))
					}
				})
				_, _, err := newPool(t).Do(context.Background(), nonIdempotentRequest(s, "a"))
				var failed *Error
				require.ErrorAs(t, err, &failed)
				require.True(t, failed.Sent)
			})
		}
	}
}

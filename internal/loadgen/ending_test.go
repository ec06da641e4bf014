package loadgen

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/entry"
)

// Guards against a part of a response that counts as an answer: a response without
// a length that ends with its connection looks the same whole and cut.
func TestUnframedResponseIsNoAnswer(t *testing.T) {
	for head, want := range map[string]string{
		"Connection: close\r\n\r\n": OutcomeUnknown,
		"Content-Length: 4\r\n\r\n": OutcomeAnswered,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			c, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer func(c net.Conn) { _ = c.Close() }(c)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%spart", entry.HeaderOutcome, OutcomeAnswered, head)
		}))
		c := &Caller{HTTPClient: NewHTTPClient()}
		r := Request{Service: "weka", Path: "/x", Method: http.MethodPost, Key: NewKey(), Timeout: 5 * time.Second}
		require.Equal(t, want, c.CallEntry(t.Context(), r, strings.TrimPrefix(s.URL, "http://")).Outcome)
		c.HTTPClient.CloseIdleConnections()
		s.Close()
	}
}

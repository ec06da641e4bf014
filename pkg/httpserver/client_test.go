package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a close that is not seen because it came while the request waited to
// be accepted, or behind bytes of a next request, and against an open connection that
// is taken for a closed one.
func TestClientClosed(t *testing.T) {
	reset := func(c *net.TCPConn) error {
		if err := c.SetLinger(0); err != nil {
			return err
		}
		return c.Close()
	}
	for _, row := range []struct {
		name, sent string
		end        func(*net.TCPConn) error // nil: the client waits for the response
		want       bool
	}{
		{"open", requestHead, nil, false},
		{"open, next request", requestHead + requestHead, nil, false},
		{"closed", requestHead, (*net.TCPConn).Close, true},
		{"closed, next request", requestHead + requestHead, (*net.TCPConn).Close, true},
		{"closed for writing", requestHead, (*net.TCPConn).CloseWrite, true},
		{"reset", requestHead, reset, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			got := make(chan bool, 2)
			s, err := New(Config{Name: "test", Fallback: func(_ http.ResponseWriter, r *http.Request) {
				got <- ClientClosed(r.Context())
			}})
			require.NoError(t, err)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			c, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer func() { _ = c.Close() }()
			_, err = io.WriteString(c, row.sent)
			require.NoError(t, err)
			if row.end != nil {
				require.NoError(t, row.end(c.(*net.TCPConn)))
			}
			go func() { _ = s.Serve(l) }()
			select {
			case closed := <-got:
				require.Equal(t, row.want, closed)
			case <-time.After(5 * time.Second):
				require.Fail(t, "the request is not served")
			}
			require.NoError(t, s.Shutdown(context.Background()))
		})
	}
}

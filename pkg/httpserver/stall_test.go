package httpserver

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a limit for clients that read nothing which ends the response to a
// client that reads slowly: the kernel takes new bytes only once a third of the send
// buffer, over 1 MB, is free. The client reads 320 KB/s. Its kernel reports free space
// in steps of about a second, which is why the timeout is not shorter here.
func TestSlowlyReadResponse(t *testing.T) {
	t.Parallel()
	const stall, size = 2 * time.Second, 16 << 20
	for name, maxConnections := range map[string]int{"no limit of connections": 0, "limit of connections": 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, err := New(Config{Name: "test", StallTimeout: stall, MaxConnections: maxConnections, Fallback: func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, size))
			}})
			require.NoError(t, err)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			go func() { _ = s.Serve(l) }()
			c, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			_, err = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
			require.NoError(t, err)
			got := 0
			part := make([]byte, 16<<10)
			for range 140 { // 7 s
				n, err := io.ReadFull(c, part)
				require.NoError(t, err)
				got += n
				time.Sleep(50 * time.Millisecond)
			}
			rest, err := io.ReadAll(c)
			require.NoError(t, err)
			require.Greater(t, got+len(rest), size, "body and head")
			require.NoError(t, s.Shutdown(t.Context()))
		})
	}
}

package sendonce

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a response whose status is none of HTTP that counts as an answer. With
// the status 000 the caller's connection was closed and the request recorded as answered.
func TestOddStatusLines(t *testing.T) {
	for _, status := range []string{"000 X", "099 X", "1000 X", "20 OK", "+20 OK", "-20 OK", "", "abc X", "600 X", "999 X", "0", "101 Switching Protocols"} {
		t.Run(status, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
			c := New(Options{})
			defer c.CloseIdle()
			_, err = c.Send(context.Background(), Request{Method: http.MethodPost, URL: "http://" + l.Addr().String(), Body: []byte("x")})
			var failed *Error
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.Sent)
		})
	}
}

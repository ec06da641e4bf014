package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkBodySizes measures one request on a reused connection, by the size of its body.
func BenchmarkBodySizes(b *testing.B) {
	for _, bodyBytes := range []int{0, 300, 16 << 10, 256 << 10} {
		b.Run(fmt.Sprintf("body=%d", bodyBytes), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // a failed read shows in the response
				_, _ = w.Write(make([]byte, 1500))
			})}
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = server.Serve(l) // returns ErrServerClosed
			}()
			defer func() {
				_ = server.Close()
				<-done
			}()
			p := New(Config{})
			defer p.Close()
			r := Request{
				Addr: l.Addr().String(), Method: http.MethodPost, Target: "/", Host: "host", Idempotent: true,
				Header: http.Header{"X-Request-Id": {"a"}}, Body: make([]byte, bodyBytes),
				Matches: func(*http.Response) bool { return true },
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := p.Do(context.Background(), r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

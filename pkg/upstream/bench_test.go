package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/dandelionrack/dandelionrack/internal/bytebudget"
)

// Measures one request on a persistent connection, for responses of the usual sizes.
// The allocations include those of the server, which are the same for each version.
func BenchmarkDo(b *testing.B) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nSignature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nLoad: 3,0,8\r\n"
	whole := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", n, strings.Repeat("x", n)) }
	for _, row := range []struct{ name, rest string }{
		{"1.5 KB", whole(1500)}, {"5 KB", whole(5000)}, {"100 KB", whole(100_000)},
		{"5 KB in chunks", "Transfer-Encoding: chunked\r\n\r\n1388\r\n" + strings.Repeat("x", 5000) + "\r\n0\r\n\r\n"},
	} {
		b.Run(row.name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				for r := bufio.NewReader(c); ; {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					if _, err := io.WriteString(c, head+row.rest); err != nil {
						return
					}
				}
			}()
			p := New(Config{})
			defer p.Close()
			budget := bytebudget.New(48 << 20)
			r := Request{
				Addr: l.Addr().String(), Method: http.MethodGet, Target: "/x", Host: "host", Header: http.Header{"Id": {"a"}},
				Idempotent: true, Budget: budget, Matches: func(*http.Response) bool { return true },
			}
			b.ReportAllocs()
			for b.Loop() {
				response, _, err := p.Do(context.Background(), r)
				if err != nil {
					b.Fatal(err)
				}
				budget.Release(response.Acquired)
			}
		})
	}
}

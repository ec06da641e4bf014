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
)

// BenchmarkLongBodies measures one request with a long request body, with a long response,
// and with a long response without a length, for which a connection is opened.
func BenchmarkLongBodies(b *testing.B) {
	for _, size := range []int{1 << 10, 1 << 20, 8 << 20} {
		long := strings.Repeat("x", size)
		for name, row := range map[string]struct{ body, response string }{
			"request":                  {long, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\nx"},
			"response":                 {"", fmt.Sprintf("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: %d\r\n\r\n%s", size, long)},
			"response without length":  {"", "HTTP/1.1 200 OK\r\nId: a\r\n\r\n" + long},
			"both, response in chunks": {long, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, long)},
		} {
			b.Run(fmt.Sprintf("%s/%dKiB", name, size>>10), func(b *testing.B) {
				keep := !strings.Contains(name, "without")
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					b.Fatal(err)
				}
				defer l.Close()
				go serveResponses(l, []byte(row.response), keep)
				p := New(Config{})
				defer p.Close()
				r := Request{
					Addr: l.Addr().String(), Method: http.MethodPost, Target: "/", Host: "host", Idempotent: true,
					Body: []byte(row.body), Matches: func(*http.Response) bool { return true },
				}
				b.SetBytes(int64(size))
				b.ReportAllocs()
				for b.Loop() {
					if _, _, err := p.Do(context.Background(), r); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

func serveResponses(l net.Listener, response []byte, keep bool) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				if _, err := c.Write(response); err != nil || !keep {
					return
				}
			}
		}()
	}
}

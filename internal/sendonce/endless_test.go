package sendonce

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heapBytes returns the size of live and dead objects on the heap.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// startRawServer writes head and then the piece without end to each request. With a
// limit it writes that many bytes and leaves the connection open.
func startRawServer(t *testing.T, head, piece string, limit int) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	t.Cleanup(func() {
		close(done)
		_ = l.Close()
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = c.Read(make([]byte, 4096))
				_, _ = io.WriteString(c, head)
				for sent := 0; limit == 0 || sent < limit; sent += len(piece) {
					if _, err := io.WriteString(c, piece); err != nil {
						return
					}
				}
				<-done
			}()
		}
	}()
	return l.Addr().String()
}

// Guards against heads without end, or with thousands of lines, that fill the memory of
// an instance: the Transport permits 10 MB for each response.
func TestHeadsOfManyResponses(t *testing.T) {
	const (
		requests = 100
		// perRequest is what requests may take at a time, so that hundreds fit into the
		// 184 MB of a small instance.
		perRequest = 300 << 10
	)
	lines := strings.Repeat("ab:\n", 14_000)
	for name, row := range map[string]struct {
		head, piece string
		limit       int
	}{
		"one header line":    {"HTTP/1.1 200 OK\r\nA: ", strings.Repeat("x", 32<<10), 0},
		"lines, stalled":     {"HTTP/1.1 200 OK\r\n", lines, len(lines)},
		"lines of a trailer": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", lines, 0},
		"interim responses":  {"", strings.Repeat("HTTP/1.1 102 P\r\n"+lines[:8000]+"\r\n", 4), 0},
	} {
		t.Run(name, func(t *testing.T) {
			addr := startRawServer(t, row.head, row.piece, row.limit)
			client := New(Options{MaxConnections: requests})
			defer client.CloseIdle()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			before, peak := heapBytes(), uint64(0)
			var wg sync.WaitGroup
			for range requests {
				wg.Go(func() {
					resp, err := client.Send(ctx, Request{Method: http.MethodGet, URL: "http://" + addr})
					if err != nil {
						return
					}
					defer resp.Body.Close()
					_, _ = io.Copy(io.Discard, resp.Body)
				})
			}
			ended := make(chan struct{})
			go func() { wg.Wait(); close(ended) }()
			for running := true; running; {
				select {
				case <-ended:
					running = false
				case <-time.After(5 * time.Millisecond):
				}
				peak = max(peak, heapBytes())
			}
			t.Logf("%d KB a request at the peak", (peak-min(peak, before))/requests>>10)
			require.Less(t, peak, before+requests*perRequest)
		})
	}
}

package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a refusal of whole bodies in small chunks, and against small chunks
// that take processor time without end.
func TestBodiesInSmallChunks(t *testing.T) {
	for _, row := range []struct {
		chunk, size int
		refused     bool
	}{
		{1, 15_000, false},
		{1, 100_000, true},
		{4, 200_000, false},
		{4, 1 << 20, true},
		{5, 4_000_000, false},
		{4096, MaxResponseBytes, false},
		{4096, MaxResponseBytes + 4096, true},
	} {
		t.Run(fmt.Sprintf("%d bytes in chunks of %d", row.size, row.chunk), func(t *testing.T) {
			chunk := fmt.Sprintf("%x\r\n%s\r\n", row.chunk, strings.Repeat("x", row.chunk))
			s := startServer(t, func(s *scriptedServer, _ int, c *net.TCPConn, r *bufio.Reader) {
				id, ok := s.read(r)
				if !ok {
					return
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
				_, _ = io.WriteString(c, strings.Repeat(chunk, row.size/row.chunk)+"0\r\n\r\n")
			})
			response, _, failed := do(t, newPool(t), request(s, "a"))
			if row.refused {
				require.NotNil(t, failed)
				require.True(t, failed.Sent)
				return
			}
			require.Nil(t, failed)
			require.Equal(t, row.size, len(response.Body))
		})
	}
}

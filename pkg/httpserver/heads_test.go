package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startBounded starts a server with a memory for heads. Requests for /held wait until
// release is called.
func startBounded(t *testing.T, memory *HeadMemory) (addr string, release func()) {
	held := make(chan struct{})
	srv, err := New(Config{Name: "test", HeadMemory: memory, Fallback: func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			<-held
		}
		_, _ = io.WriteString(w, "ok")
	}})
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.http.Close() })
	return l.Addr().String(), func() { close(held) }
}

func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

func status(t *testing.T, r *bufio.Reader) int {
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	return resp.StatusCode
}

const headStart = "GET %s HTTP/1.1\r\nHost: h\r\n"

// longHead has more lines than a head that is not counted.
func longHead(path string) string {
	return fmt.Sprintf(headStart, path) + strings.Repeat("a:\r\n", 10*freeHeadLines) + "\r\n"
}

func smallHead(path string) string { return fmt.Sprintf(headStart, path) + "\r\n" }

// Guards against a memory for heads that refuses a single request, that is not released
// at the end of a request or of its connection, or that refuses ordinary requests.
func TestHeadMemory(t *testing.T) {
	memory := NewHeadMemory(1) // room for one head
	addr, release := startBounded(t, memory)
	first, firstReader := dial(t, addr)
	_, err := io.WriteString(first, longHead("/held"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return memory.Used() > 0 }, time.Minute, time.Millisecond)

	second, secondReader := dial(t, addr)
	_, err = io.WriteString(second, longHead("/"))
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status(t, secondReader))
	_, err = secondReader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the connection is closed")
	third, thirdReader := dial(t, addr)
	_, err = io.WriteString(third, smallHead("/"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status(t, thirdReader))

	release()
	require.Equal(t, http.StatusOK, status(t, firstReader))
	require.Eventually(t, func() bool { return memory.Used() == 0 }, time.Minute, time.Millisecond)
	_, err = io.WriteString(third, longHead("/"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status(t, thirdReader), "the next request of a connection")

	half, _ := dial(t, addr)
	_, err = io.WriteString(half, strings.TrimSuffix(longHead("/"), "\r\n"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return memory.Used() > 0 }, time.Minute, time.Millisecond)
	require.NoError(t, half.Close())
	require.Eventually(t, func() bool { return memory.Used() == 0 }, time.Minute, time.Millisecond)
	require.Equal(t, int64(1), memory.Refused())
}

// Guards against heads that are not counted because they arrive together with the
// previous request of their connection.
func TestHeadMemoryCountsPipelinedHeads(t *testing.T) {
	memory := NewHeadMemory(1)
	addr, release := startBounded(t, memory)
	first, _ := dial(t, addr)
	_, err := io.WriteString(first, longHead("/held"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return memory.Used() > 0 }, time.Minute, time.Millisecond)
	second, r := dial(t, addr)
	_, err = io.WriteString(second, smallHead("/")+longHead("/"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status(t, r))
	require.Equal(t, http.StatusServiceUnavailable, status(t, r))
	release()
}

// Guards against lines of a body, or of a further head, that count for the head before
// them, and against lines that end without a carriage return not being counted.
func TestHeadReader(t *testing.T) {
	for name, row := range map[string]struct {
		pieces   []string
		lines    int
		complete bool
	}{
		"body after the head":    {[]string{"GET / HTTP/1.1\r\na: b\r\n\r\n", "\n\n\n\n"}, 3, true},
		"end in two pieces":      {[]string{"GET / HTTP/1.1\r\na: b\r", "\n\r", "\n\n"}, 3, true},
		"bare line ends":         {[]string{"GET / HTTP/1.1\na:\nb:\n"}, 3, false},
		"empty lines before":     {[]string{"\r\n\r\n", "\nGET / HTTP/1.1\r\n"}, 4, false},
		"a line without its end": {[]string{"GET / HTTP", "/1.1"}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := headReader{memory: NewHeadMemory(1 << 20)}
			for _, p := range row.pieces {
				require.True(t, h.read([]byte(p)))
			}
			require.Equal(t, row.lines, h.size.lines)
			require.Equal(t, row.complete, h.complete)
		})
	}
}

package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newIdleBed starts a server with a limit of connections and an idle timeout.
func newIdleBed(t *testing.T, maxConnections int, idle *atomic.Int64) string {
	s, err := New(Config{
		Name: "test", MaxConnections: maxConnections, IdleTimeout: func() time.Duration { return time.Duration(idle.Load()) },
		Fallback: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "end") },
	})
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		require.NoError(t, s.Shutdown(ctx))
	})
	return l.Addr().String()
}

// roundTrip sends a request on a connection and reads the response.
func roundTrip(c net.Conn, timeout time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(c, requestHead); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against an idle timeout that is not applied, or applied early.
func TestIdleTimeout(t *testing.T) {
	var idle atomic.Int64
	idle.Store(int64(time.Minute))
	addr := newIdleBed(t, 0, &idle)
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	idle.Store(int64(time.Second))
	require.NoError(t, roundTrip(c, 5*time.Second))
	time.Sleep(800 * time.Millisecond)
	require.NoError(t, roundTrip(c, 5*time.Second), "idle for four fifths of the timeout")
	require.NoError(t, c.SetReadDeadline(time.Now().Add(3*time.Second)))
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against clients that vanish silently, or never send a request, and keep
// others out until a timeout.
func TestSilentClientsKeepNobodyOut(t *testing.T) {
	const limit = 50
	for _, used := range []bool{true, false} {
		var idle atomic.Int64
		idle.Store(int64(time.Minute))
		addr := newIdleBed(t, limit, &idle)
		for range 3 * limit {
			c, err := net.Dial("tcp", addr)
			require.NoError(t, err)
			defer func() { _ = c.Close() }()
			if used {
				require.NoError(t, roundTrip(c, 5*time.Second))
			}
		}
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		require.NoError(t, roundTrip(c, 5*time.Second))
	}
}

// Guards against a request that arrives after the read deadline of its idle connection
// and is dropped unread, because the reading goroutine runs late. While a request is
// served, the deadline ends reading in any case.
func TestRequestAfterReadDeadline(t *testing.T) {
	for _, row := range []struct {
		name string
		end  func(c *conn)
		read bool
	}{
		{"made to end between two requests", func(c *conn) { c.setIdle(true); require.True(t, c.expire(time.Now(), 0)) }, true},
		{"idle for too long", func(c *conn) {
			c.setIdle(true)
			require.NoError(t, c.SetReadDeadline(time.Time{}))
			time.Sleep(2 * c.idleTimeout())
		}, true},
		{"request being served", func(c *conn) { c.setIdle(false); require.NoError(t, c.SetReadDeadline(time.Now())) }, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			tcp, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			l := newConnListener(tcp, Config{IdleTimeout: func() time.Duration { return 20 * time.Millisecond }})
			defer func() { _ = l.Close() }()
			client, err := net.Dial("tcp", tcp.Addr().String())
			require.NoError(t, err)
			defer func() { _ = client.Close() }()
			accepted, err := l.Accept()
			require.NoError(t, err)
			defer func() { _ = accepted.Close() }()
			c := accepted.(*conn)
			row.end(c)
			_, err = io.WriteString(client, requestHead)
			require.NoError(t, err)
			require.Eventually(t, c.hasInput, time.Second, time.Millisecond)
			n, err := c.Read(make([]byte, len(requestHead)))
			if !row.read {
				require.ErrorIs(t, err, os.ErrDeadlineExceeded)
				return
			}
			require.NoError(t, err)
			require.Equal(t, len(requestHead), n)
		})
	}
}

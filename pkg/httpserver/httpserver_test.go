package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

// Guards against a client that stalls while it sends its body and holds the
// handler and its memory forever, and against a read timeout that cuts off the
// response of a handler that runs longer.
func TestStalledRequestBody(t *testing.T) {
	const readTimeout = 200 * time.Millisecond
	stalled := make(chan bool, 2)
	s, err := New(Config{Name: "test", ReadTimeout: readTimeout, Fallback: func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		stalled <- errors.Is(err, os.ErrDeadlineExceeded)
		time.Sleep(2 * readTimeout)
		_, _ = io.WriteString(w, "end")
	}})
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { require.NoError(t, s.Shutdown(context.Background())) })
	for body, want := range map[string]bool{"abc": true, "0123456789": false} {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = io.WriteString(c, "POST /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: 10\r\n\r\n"+body)
		require.NoError(t, err)
		response, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Contains(t, string(response), "end")
		require.Equal(t, want, <-stalled)
		require.NoError(t, c.Close())
	}
}

// Guards against a client that never reads its response and thereby blocks the
// shutdown, and against a timeout that cuts off the response to a slow client.
func TestStalledResponse(t *testing.T) {
	const stall, size = 300 * time.Millisecond, 32 << 20
	s, err := New(Config{Name: "test", StallTimeout: stall, Fallback: func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, size))
	}})
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	request := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(c, "GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		require.NoError(t, err)
		return c
	}
	slow, stalled := request(), request()
	defer func() { _ = stalled.Close() }()
	got, part := 0, make([]byte, 1<<20)
	for {
		n, err := io.ReadFull(slow, part)
		got += n
		if err != nil {
			break
		}
		time.Sleep(stall / 10)
	}
	require.Greater(t, got, size)
	ctx, cancel := context.WithTimeout(t.Context(), 10*stall)
	defer cancel()
	require.NoError(t, s.Shutdown(ctx))
}

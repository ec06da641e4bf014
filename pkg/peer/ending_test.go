package peer

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a part of an answer of another entry instance that is passed on as
// whole, or as a request that the peer did not handle, because the peer crashed or
// its connection failed.
func TestConnectionFailsDuringReply(t *testing.T) {
	request := forward("a", make([]byte, 1<<20))
	frame, err := encodeFrame(echo(t.Context(), request))
	require.NoError(t, err)
	requestFrame, err := encodeFrame(request)
	require.NoError(t, err)
	for stage, sent := range map[string]int{"length": 1, "half": len(frame) / 2, "last byte missing": len(frame) - 1} {
		for requestState, read := range map[string]int{"begun": 1, "half read": len(requestFrame) / 2, "read": len(requestFrame)} {
			for end, stop := range map[string]func(*net.TCPConn, *yamux.Session, *yamux.Stream){
				"stream ends":  func(_ *net.TCPConn, _ *yamux.Session, s *yamux.Stream) { _ = s.Close() },
				"session ends": func(_ *net.TCPConn, s *yamux.Session, _ *yamux.Stream) { _ = s.Close() },
				"crash":        func(c *net.TCPConn, _ *yamux.Session, _ *yamux.Stream) { _ = c.Close() },
				"reset": func(c *net.TCPConn, _ *yamux.Session, _ *yamux.Stream) {
					_ = c.SetLinger(0)
					_ = c.Close()
				},
			} {
				t.Run(stage+"/request "+requestState+"/"+end, func(t *testing.T) {
					addr := serveStream(t, func(c *net.TCPConn, session *yamux.Session, stream *yamux.Stream) {
						if _, err := io.CopyN(io.Discard, stream, int64(read)); err == nil {
							// An unread request keeps the caller from reading the reply.
							_ = stream.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
							_, _ = stream.Write(frame[:sent])
							stop(c, session, stream)
						}
					})
					resp, err := newPool(t, Config{}).Call(contextWithTimeout(t, 500*time.Millisecond), addr, request)
					assert.ErrorIs(t, err, ErrReplyLost)
					assert.Nil(t, resp)
				})
			}
		}
	}
}

// serveStream starts a peer whose first stream is handled by the test.
func serveStream(t *testing.T, handle func(*net.TCPConn, *yamux.Session, *yamux.Stream)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended, callEnded := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		quiet := yamux.DefaultConfig()
		quiet.LogOutput = io.Discard
		session, err := yamux.Server(c, quiet)
		if err != nil {
			return
		}
		defer session.Close()
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		handle(c.(*net.TCPConn), session, stream)
		<-callEnded
	}()
	t.Cleanup(func() {
		close(callEnded)
		_ = l.Close()
		<-ended
	})
	return l.Addr().String()
}

package sendonce

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a request that is reported as not sent and is written
// afterwards by the goroutine of the Transport.
func TestSealedConnectionWritesNothing(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	go func() { _, _ = far.Read(make([]byte, 16)) }()
	c := &conn{Conn: near}
	_, err := c.Write([]byte("first request"))
	require.NoError(t, err)
	require.True(t, c.seal(0), "a write after the mark must count as sent")
	require.False(t, c.seal(c.mark()))
	n, err := c.Write([]byte("second request"))
	require.Zero(t, n)
	require.ErrorIs(t, err, errSealed)
}

// Guards against a failed write that counts as "nothing sent": part of it may
// have left.
func TestFailedWriteCountsAsSent(t *testing.T) {
	near, far := net.Pipe()
	require.NoError(t, far.Close())
	c := &conn{Conn: near}
	mark := c.mark()
	_, err := c.Write([]byte("request"))
	require.Error(t, err)
	require.True(t, c.seal(mark))
	require.NoError(t, near.Close())
}

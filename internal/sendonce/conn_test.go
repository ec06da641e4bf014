package sendonce

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a request that is reported as not sent and then written by
// the Transport's write goroutine.
func TestBlockedConnectionWritesNothing(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	go func() { _, _ = far.Read(make([]byte, 16)) }()
	c := &countingConn{Conn: near}
	_, err := c.Write([]byte("first request"))
	require.NoError(t, err)
	require.True(t, c.blockWrites(0), "a write after the count was taken must count as sent")
	require.False(t, c.blockWrites(c.writeCount()))
	n, err := c.Write([]byte("second request"))
	require.Zero(t, n)
	require.ErrorIs(t, err, errWritesBlocked)
}

// Guards against a failed write that counts as not sent: part of it may have
// been sent.
func TestFailedWriteCountsAsSent(t *testing.T) {
	near, far := net.Pipe()
	require.NoError(t, far.Close())
	c := &countingConn{Conn: near}
	countBefore := c.writeCount()
	_, err := c.Write([]byte("request"))
	require.Error(t, err)
	require.True(t, c.blockWrites(countBefore))
	require.NoError(t, near.Close())
}

package link

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a reset of the target that the link passes on as the orderly end of
// the stream: the goroutine that writes to the target may get the only report of it.
func TestResetIsPassedOn(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "a part")
			time.Sleep(200 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	settings := DefaultSettings()
	settings.Groups = []GroupSettings{{Name: "g", BitsPerSecond: 10e9}}
	settings.Links = []LinkSettings{{Name: "ab/1", Listen: "127.0.0.1:0", Target: l.Addr().String(), Group: "g"}}
	p, err := Start(settings)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, p.Close()) })
	for range 5 {
		c := dial(t, p, "ab/1")
		// The link is still writing when the reset comes, but this end is not: its
		// write could get the report that its read must get.
		require.NoError(t, c.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
		for err = nil; err == nil; {
			_, err = c.Write(make([]byte, 1<<20))
		}
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		_, err := io.ReadAll(c)
		require.ErrorIs(t, err, syscall.ECONNRESET, "a reset ends in order")
	}
}

// Guards against an orderly end that the link passes on as a reset, after it has ended
// the other direction.
func TestHalfCloseIsPassedOn(t *testing.T) {
	p := start(t, 0, 10e9)
	for range 50 {
		c := dial(t, p, "ab/1").(*net.TCPConn)
		_, err := io.WriteString(c, "whole")
		require.NoError(t, err)
		require.NoError(t, c.CloseWrite())
		data, err := io.ReadAll(c)
		require.NoError(t, err)
		require.Equal(t, "whole", string(data))
	}
}

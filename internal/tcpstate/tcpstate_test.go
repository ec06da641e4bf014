package tcpstate

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an orderly end that counts as a failure, and against a failure that
// is not seen since another call has got its error.
func TestFailed(t *testing.T) {
	for name, row := range map[string]struct {
		end  func(c *net.TCPConn)
		want bool
	}{
		"open":           {func(*net.TCPConn) {}, false},
		"ended in order": {func(c *net.TCPConn) { _ = c.Close() }, false},
		"half closed":    {func(c *net.TCPConn) { _ = c.CloseWrite() }, false},
		"reset": {func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			peer, err := l.Accept()
			require.NoError(t, err)
			defer peer.Close()
			row.end(peer.(*net.TCPConn))
			for range 2 { // the first read takes the error
				require.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
				_, err = io.ReadAll(c)
				failed, checkErr := Failed(c.(*net.TCPConn))
				require.NoError(t, checkErr)
				require.Equal(t, row.want, failed, "%v", err)
			}
			require.NoError(t, c.Close())
			_, err = Failed(c.(*net.TCPConn))
			require.ErrorIs(t, err, net.ErrClosed)
		})
	}
}

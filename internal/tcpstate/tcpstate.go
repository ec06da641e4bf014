// Package tcpstate tells whether a TCP connection has failed.
package tcpstate

import (
	"net"

	"github.com/go-faster/errors"
)

// Failed reports whether the connection was reset or timed out. It returns an error
// if the connection is closed on this side. A connection whose two directions have
// ended in order counts as failed, so do not use it after CloseWrite.
func Failed(c *net.TCPConn) (bool, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false, errors.Wrap(err, "examine connection")
	}
	var failed bool
	var failure error
	if err := raw.Control(func(fd uintptr) { failed, failure = FailedFD(int(fd)) }); err != nil {
		return false, errors.Wrap(err, "examine connection")
	}
	return failed, failure
}

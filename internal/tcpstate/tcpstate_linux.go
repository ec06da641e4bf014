package tcpstate

import (
	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// FailedFD is Failed for a descriptor. Unlike the error of a socket, which one call
// takes, POLLHUP stays. It means that the connection is closed in both directions,
// and as long as this side has not closed its own, only a failure does that.
func FailedFD(fd int) (bool, error) {
	state := [1]unix.PollFd{{Fd: int32(fd)}}
	for {
		_, err := unix.Poll(state[:], 0)
		if err == nil {
			return state[0].Revents&(unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0, nil
		}
		if err != unix.EINTR { // a signal of the Go scheduler interrupts it
			return false, errors.Wrap(err, "poll connection")
		}
	}
}

package upstream

import (
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/dandelionrack/dandelionrack/internal/tcpstate"
)

const (
	// endSlack is added to two round trips as the time in which a reset that
	// follows the end of a response must arrive. With it, one lost packet is sent
	// again in that time: the kernel does so after a round trip and 200 ms.
	endSlack = 250 * time.Millisecond
	// minEndPoll and maxEndPoll bound the interval at which the connection is
	// examined meanwhile; it doubles each time.
	minEndPoll = 50 * time.Microsecond
	maxEndPoll = 5 * time.Millisecond
)

var errFailedAtEnd = errors.New("connection failed at the end of a response without a length")

// confirmEnd returns an error unless the connection ended in order after a response
// without a length. The end of the stream does not show that: the kernel reports a
// failure once, and the write of the request body may have got the report.
//
// A server that crashes after it has read all that had arrived ends the connection
// in order too. Its kernel then answers the next bytes of the request with a reset,
// while it acknowledges them if the server has only ended its own direction. The end
// therefore counts if the whole request or a further byte of it is acknowledged, or
// if no reset has followed for the time in which one must arrive.
func (c *conn) confirmEnd(written <-chan error) error {
	deadline := time.Now().Add(2*c.connectTime + endSlack)
	var ackedAtEnd uint64
	for poll := time.Duration(0); ; poll = min(max(2*poll, minEndPoll), maxEndPoll) {
		time.Sleep(poll)
		select {
		case err := <-written:
			if err != nil {
				return errors.Wrap(err, "write request body")
			}
			written = nil
		default:
		}
		var acked uint64
		if written != nil || poll > 0 {
			var err error
			if acked, err = c.bytesAcked(); err != nil {
				return err
			}
		}
		// The state is read last: no failure before this moment is missed.
		unacked, err := c.checkEnd()
		switch {
		case err != nil:
			return err
		case written == nil && unacked == 0, ackedAtEnd > 0 && acked > ackedAtEnd, time.Now().After(deadline):
			return nil
		}
		if ackedAtEnd == 0 {
			ackedAtEnd = acked
		}
	}
}

// bytesAcked returns how many bytes the peer has acknowledged on the connection.
func (c *conn) bytesAcked() (n uint64, err error) {
	err = c.control(func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			n = info.Bytes_acked
		}
		return err
	})
	return n, err
}

// checkEnd returns how many bytes of the request are not acknowledged, or an error if
// the connection has failed.
func (c *conn) checkEnd() (unacked int, err error) {
	err = c.control(func(fd int) error {
		// The state is read last, because a failure also empties the queue.
		var err error
		if unacked, err = unix.IoctlGetInt(fd, unix.TIOCOUTQ); err != nil {
			return err
		}
		failed, err := tcpstate.FailedFD(fd)
		if failed {
			return errFailedAtEnd
		}
		return err
	})
	return unacked, err
}

// control calls f with the descriptor of the connection.
func (c *conn) control(f func(fd int) error) error {
	if c.tcp == nil {
		return errors.New("response without a length on a connection other than TCP")
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "examine connection")
	}
	var failure error
	if err := raw.Control(func(fd uintptr) { failure = f(int(fd)) }); err != nil {
		return errors.Wrap(err, "examine connection")
	}
	return failure
}

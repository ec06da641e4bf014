package httpserver

import (
	"context"
	"net"
	"os"
	"sync"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// drainListener is a TCP listener that serves the connections which wait in the accept
// queue when it stops. The kernel resets them if the socket is closed.
type drainListener struct {
	*net.TCPListener

	mu      sync.Mutex
	queued  []net.Conn
	stopped bool
	drained chan struct{} // closed once no call of Accept will return a queued connection
	once    sync.Once
}

// newDrainListener returns l itself if it is not a TCP listener.
func newDrainListener(l net.Listener) net.Listener {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return l
	}
	return &drainListener{TCPListener: tcp, drained: make(chan struct{})}
}

// Accept returns new connections, and after a stop those that were queued.
func (l *drainListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		return c, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queued) > 0 {
		c, l.queued = l.queued[0], l.queued[1:]
		return c, nil
	}
	if l.stopped {
		l.setDrained()
		return nil, net.ErrClosed
	}
	return nil, err
}

func (l *drainListener) setDrained() { l.once.Do(func() { close(l.drained) }) }

// Close closes the socket unless stop has done so.
func (l *drainListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return nil
	}
	return l.TCPListener.Close()
}

// stop closes the socket and waits until Accept has returned all connections that had
// been established. ctx bounds the wait.
func (l *drainListener) stop(ctx context.Context) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "stop listening")
	}
	select {
	case <-l.drained:
		return nil // Serve has ended before
	default:
	}
	l.mu.Lock()
	l.stopped = true
	// Accept of the net package holds a lock on the socket while it waits, so the
	// queue is emptied by system calls.
	err = raw.Control(func(fd uintptr) {
		l.queued = acceptAll(int(fd))
		// Close takes effect only after Accept has let go of the socket.
		_ = unix.Shutdown(int(fd), unix.SHUT_RD)
	})
	if closeErr := l.TCPListener.Close(); err == nil {
		err = closeErr
	}
	l.mu.Unlock()
	if err != nil {
		return errors.Wrap(err, "stop listening")
	}
	select {
	case <-l.drained:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "serve queued connections")
	}
}

// acceptAll accepts the connections in the queue of a socket.
func acceptAll(socket int) []net.Conn {
	var out []net.Conn
	for {
		fd, _, err := unix.Accept4(socket, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
		case unix.EINTR, unix.ECONNABORTED:
			continue
		default:
			return out // the queue is empty, or the socket fails
		}
		file := os.NewFile(uintptr(fd), "queued connection")
		if c, err := net.FileConn(file); err == nil {
			out = append(out, c)
		}
		_ = file.Close() // net.FileConn has duplicated it
	}
}

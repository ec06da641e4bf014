package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// relay forwards TCP connections and can freeze, slow down or close them.
type relay struct {
	addr   string
	frozen atomic.Bool
	delay  atomic.Int64 // per 32 KiB of a connection, in nanoseconds
	mu     sync.Mutex
	conns  []net.Conn
}

func startRelay(t *testing.T, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	r := &relay{addr: l.Addr().String()}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			r.mu.Lock()
			r.conns = append(r.conns, in, out)
			r.mu.Unlock()
			wg.Go(func() { r.copy(in, out) })
			wg.Go(func() { r.copy(out, in) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		r.frozen.Store(false)
		r.closeConns()
		wg.Wait()
	})
	return r
}

func (r *relay) copy(dst, src net.Conn) {
	defer dst.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		for r.frozen.Load() {
			time.Sleep(time.Millisecond)
		}
		if err != nil {
			return
		}
		time.Sleep(time.Duration(r.delay.Load()) * time.Duration(n) / time.Duration(len(buf)))
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (r *relay) closeConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}

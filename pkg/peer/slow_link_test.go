package peer

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// startSlowRelay starts a relay with 10 Mbit/s in each direction of a connection.
func startSlowRelay(t *testing.T, target string) *relay {
	r := startRelay(t, target)
	r.delay.Store(int64(26 * time.Millisecond))
	return r
}

// Guards against a limit for silent peers that ends the calls of a busy one: with 16
// bodies of 512 KiB on a link of 10 Mbit/s, which take 7 s, a ping waits for more than
// BulkTimeout behind queued data.
func TestBusySessionOnSlowLink(t *testing.T) {
	t.Parallel()
	const calls = 16
	body := make([]byte, 512<<10)
	for name, row := range map[string]struct{ sent, returned []byte }{
		"requests":  {body, nil},
		"responses": {nil, body},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, addr := startServer(t, Config{
				KeepAlive: 50 * time.Millisecond, // so that the server pings each second
				Handler: handlerFunc(func(_ context.Context, req *wire.Request) *wire.Response {
					return &wire.Response{Reply: &wire.Response_Forward{Forward: &wire.ForwardReply{RequestId: req.GetForward().GetRequestId(), Body: row.returned}}}
				}),
			})
			r := startSlowRelay(t, addr)
			p := newPool(t, Config{})
			var wg sync.WaitGroup
			failures := make(chan error, calls)
			for i := range calls {
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), 9500*time.Millisecond)
					defer cancel()
					if _, err := p.Call(ctx, r.addr, forward(fmt.Sprint(i), row.sent)); err != nil {
						failures <- err
					}
				})
			}
			wg.Wait()
			close(failures)
			for err := range failures {
				t.Error(err)
			}
		})
	}
}

// Guards against a busy session whose frozen peer is found late: the calls on it would
// last until their deadlines.
func TestBusyFrozenSessionIsFound(t *testing.T) {
	t.Parallel()
	_, addr := startServer(t, Config{Handler: handlerFunc(echo)})
	r := startSlowRelay(t, addr)
	p := newPool(t, Config{})
	failed := make(chan error, 1)
	go func() {
		_, err := p.Call(contextWithTimeout(t, 9*time.Second), r.addr, forward("a", make([]byte, 5<<20)))
		failed <- err
	}()
	time.Sleep(700 * time.Millisecond)
	r.frozen.Store(true)
	frozen := time.Now()
	require.Error(t, <-failed)
	t.Logf("found after %v", time.Since(frozen))
	require.Less(t, time.Since(frozen), 2*defaultBulkTimeout+defaultKeepAlive)
}

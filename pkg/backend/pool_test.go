package backend_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	standin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
	"github.com/dandelionrack/dandelionrack/pkg/backend"
	"github.com/dandelionrack/dandelionrack/pkg/config"
)

func startServers(t *testing.T, server standin.ServerSettings) *standin.ServerSet {
	t.Helper()
	settings := standin.DefaultSettings()
	settings.Work.ServiceTime = config.Duration(time.Millisecond)
	server.ID, server.Addr = "b1", "127.0.0.1:0"
	settings.Servers = []standin.ServerSettings{server}
	servers, err := standin.Start(settings)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, servers.Close()) })
	return servers
}

func setMode(t *testing.T, servers *standin.ServerSet, change func(m *standin.Mode)) {
	t.Helper()
	_, err := servers.SetMode("", func(m *standin.Mode) error { change(m); return nil })
	require.NoError(t, err)
}

func newPool(t *testing.T) *backend.Pool {
	p := backend.NewPool(backend.Config{})
	t.Cleanup(p.Close)
	return p
}

func callTo(addr, key string) backend.Call {
	return backend.Call{
		Server: "b1", Addr: addr, MaxConnections: 8, Method: http.MethodPost, Path: "/capture",
		Header: http.Header{"Idempotency-Key": {key}}, Body: []byte("amount=1"), Timeout: 2 * time.Second, AtMostOnce: true,
	}
}

// Guards against a request that runs twice because the server closes a reused
// connection after it ran the request.
func TestLostResponseRunsOnce(t *testing.T) {
	servers := startServers(t, standin.ServerSettings{Slots: 4})
	p := newPool(t)
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		for _, body := range []string{"amount=1", ""} {
			key := method + body
			_, err := p.Do(context.Background(), callTo(servers.Addr("b1"), "first "+key))
			require.NoError(t, err)
			setMode(t, servers, func(m *standin.Mode) { m.CloseAfterRun = 1 })
			call := callTo(servers.Addr("b1"), key)
			call.Method, call.Body = method, []byte(body)
			_, err = p.Do(context.Background(), call)
			var unknown *backend.UnknownOutcomeError
			require.ErrorAs(t, err, &unknown)
			require.Len(t, servers.Runs("", key, ""), 1)
		}
	}
}

// Guards against a NotRunError for a request that ran: at whatever moment a call
// is cancelled, NotRunError means that the server recorded no run of its key.
func TestNotRunErrorMeansNoRun(t *testing.T) {
	servers := startServers(t, standin.ServerSettings{Slots: 1})
	p := newPool(t)
	var n, answered, unknowns int
	var refused []string
	rapid.Check(t, func(t *rapid.T) {
		n++
		key := fmt.Sprint("key-", n)
		micros := rapid.IntRange(0, 2500).Draw(t, "cancel after us")
		closeAfter := rapid.Bool().Draw(t, "close after run")
		_, err := servers.SetMode("", func(m *standin.Mode) error {
			m.CloseAfterRun = 0
			if closeAfter {
				m.CloseAfterRun = 1
			}
			return nil
		})
		require.NoError(t, err)
		// Cancelled by a timer, not a deadline: Do refuses a call whose deadline
		// is less than 1 ms away, so such a call never reaches the Transport.
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		defer time.AfterFunc(time.Duration(micros)*time.Microsecond, cancel).Stop()
		_, err = p.Do(ctx, callTo(servers.Addr("b1"), key))
		time.Sleep(time.Millisecond) // lets a request that was sent arrive
		runs := len(servers.Runs("", key, ""))
		var notRun *backend.NotRunError
		var unknown *backend.UnknownOutcomeError
		switch {
		case err == nil:
			require.Equal(t, 1, runs)
			answered++
		case asError(err, &notRun):
			require.Zero(t, runs, "%v", err)
			refused = append(refused, key)
		default:
			require.True(t, asError(err, &unknown), "%v", err)
			require.LessOrEqual(t, runs, 1)
			unknowns++
		}
	})
	t.Logf("answered %d, not run %d, unknown %d", answered, len(refused), unknowns)
	require.NotEmpty(t, refused)
	require.NotZero(t, unknowns)
	time.Sleep(50 * time.Millisecond) // for requests that arrive late
	for _, key := range refused {
		require.Empty(t, servers.Runs("", key, ""))
	}
}

// Guards against an unknown outcome for a request that certainly did not run,
// which would prevent a retry that is allowed.
func TestCertainRefusalsAreNotRun(t *testing.T) {
	servers := startServers(t, standin.ServerSettings{Slots: 1})
	p := newPool(t)
	slow := callTo(servers.Addr("b1"), "slow")
	slow.Header.Set(standin.ServiceTimeHeader, "300ms")
	slow.MaxConnections = 2
	var g errgroup.Group
	g.Go(func() error { _, err := p.Do(context.Background(), slow); return err })
	require.Eventually(t, func() bool { return servers.Stats()["b1"].InFlight == 1 }, time.Second, time.Millisecond)

	shed := callTo(servers.Addr("b1"), "shed")
	shed.MaxConnections = 2
	requireNotRun(t, p, shed, true)
	requireNotRun(t, p, callTo(closedAddr(t), "refused"), false)
	late := callTo(servers.Addr("b1"), "late")
	late.Timeout = time.Nanosecond
	requireNotRun(t, p, late, false)
	require.NoError(t, g.Wait())
}

// Guards against more connections than the bound, and against an unknown
// outcome for a call that only waited for a connection.
func TestConnectionBound(t *testing.T) {
	servers := startServers(t, standin.ServerSettings{Slots: 8})
	p := newPool(t)
	var g errgroup.Group
	for i := range 2 {
		call := callTo(servers.Addr("b1"), fmt.Sprint(i))
		call.MaxConnections = 2
		call.Header.Set(standin.ServiceTimeHeader, "200ms")
		g.Go(func() error { _, err := p.Do(context.Background(), call); return err })
	}
	require.Eventually(t, func() bool { return servers.Stats()["b1"].InFlight == 2 }, time.Second, time.Millisecond)
	third := callTo(servers.Addr("b1"), "third")
	third.MaxConnections, third.Timeout = 2, 50*time.Millisecond
	requireNotRun(t, p, third, false)
	require.NoError(t, g.Wait())
	require.EqualValues(t, 2, servers.Stats()["b1"].MaxOpenConnections)
}

// Guards against an incomplete or undelimited response that is returned as
// complete.
func TestIncompleteResponsesAreUnknown(t *testing.T) {
	servers := startServers(t, standin.ServerSettings{Slots: 4})
	p := newPool(t)
	var unknown *backend.UnknownOutcomeError
	setMode(t, servers, func(m *standin.Mode) { m.Truncate = 1 })
	_, err := p.Do(context.Background(), callTo(servers.Addr("b1"), "truncated"))
	require.ErrorAs(t, err, &unknown)

	large := callTo(servers.Addr("b1"), "large")
	large.Header.Set(standin.BodySizeHeader, "3000")
	large.MaxResponseBytes = 2999
	_, err = p.Do(context.Background(), large)
	require.ErrorAs(t, err, &unknown)
	large.MaxResponseBytes = 3000
	resp, err := p.Do(context.Background(), large)
	require.NoError(t, err)
	require.Len(t, resp.Body, 3000)

	_, err = p.Do(context.Background(), callTo(rawServer(t, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf"), "endless"))
	require.ErrorAs(t, err, &unknown)

	// The response is delayed, not the run: a server that stops a run at its
	// deadline may still answer 504 in time.
	setMode(t, servers, func(m *standin.Mode) { m.ResponseDelay = config.Duration(time.Second) })
	late := callTo(servers.Addr("b1"), "late")
	late.Timeout = 100 * time.Millisecond
	_, err = p.Do(context.Background(), late)
	require.ErrorAs(t, err, &unknown)
	require.True(t, servers.Runs("", "late", "")[0].Completed)
}

// Guards against calls after Warm that have to open a connection.
func TestWarmOpensConnections(t *testing.T) {
	servers := startServers(t, standin.ServerSettings{Slots: 16})
	p := newPool(t)
	p.Configure("b1", servers.Addr("b1"), 8)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	require.NoError(t, p.Warm(ctx, "b1", servers.Addr("b1"), 8))
	require.EqualValues(t, 8, servers.Stats()["b1"].OpenConnections)
	var g errgroup.Group
	for i := range 8 {
		g.Go(func() error { _, err := p.Do(ctx, callTo(servers.Addr("b1"), fmt.Sprint(i))); return err })
	}
	require.NoError(t, g.Wait())
	require.EqualValues(t, 8, servers.Stats()["b1"].MaxOpenConnections)
}

func requireNotRun(t *testing.T, p *backend.Pool, call backend.Call, shed bool) {
	t.Helper()
	_, err := p.Do(context.Background(), call)
	var notRun *backend.NotRunError
	require.ErrorAs(t, err, &notRun)
	require.Equal(t, shed, notRun.Shed)
}

func closedAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

// rawServer writes fixed bytes to one connection and closes it.
func rawServer(t *testing.T, response string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 4096))
		_, _ = c.Write([]byte(response))
		_ = c.Close()
	}()
	return l.Addr().String()
}

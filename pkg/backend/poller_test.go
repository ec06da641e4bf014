package backend_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	standin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
	"github.com/dandelionrack/dandelionrack/pkg/backend"
)

func asError[T error](err error, target *T) bool { return errors.As(err, target) }

// Guards against a load report that hangs, is wrong or is missing and hides that
// the server is draining, and against an unreachable server that is taken for one
// without reports.
func TestPollerReports(t *testing.T) {
	servers := startServers(t, standin.ServerSettings{Slots: 3})
	ctx, cancel := context.WithCancel(context.Background())
	reports := make(chan backend.Report, 1000)
	p := backend.NewPoller(ctx, backend.PollerConfig{Interval: 5 * time.Millisecond, Timeout: 50 * time.Millisecond},
		func(_ string, r backend.Report) { reports <- r })
	p.SetTargets([]backend.Target{{Server: "b1", Addr: servers.Addr("b1")}})
	next := func(want func(backend.Report) bool) {
		t.Helper()
		require.Eventually(t, func() bool { return want(<-reports) }, 2*time.Second, time.Millisecond)
	}
	next(func(r backend.Report) bool {
		return r.State == backend.StateOK && r.InFlight == 0 && r.Slots == 3 && r.Err == nil
	})
	setMode(t, servers, func(m *standin.Mode) { m.Load, m.Draining = standin.LoadHang, true })
	next(func(r backend.Report) bool {
		return r.State == backend.StateDraining && r.InFlight == -1 && r.Err != nil
	})
	setMode(t, servers, func(m *standin.Mode) { m.Load, m.Health = standin.LoadIdle, standin.HealthMissing })
	next(func(r backend.Report) bool { return r.State == backend.StateUnknown && r.InFlight == 0 })

	// A missing report does not mean that the server is down; a refused
	// connection does.
	next(func(r backend.Report) bool { return r.State == backend.StateUnknown && !r.Unreachable })
	setMode(t, servers, func(m *standin.Mode) { m.Down = true })
	next(func(r backend.Report) bool { return r.State == backend.StateUnknown && r.Unreachable })
	setMode(t, servers, func(m *standin.Mode) { m.Down, m.Health = false, standin.HealthAccurate })
	next(func(r backend.Report) bool { return r.State == backend.StateDraining && !r.Unreachable })

	p.SetTargets(nil)
	p.Wait() // would hang if a removed server were still polled
	cancel()
}

// Guards against a load report that is requested on every poll, which doubles the
// requests, and against an unreachable server that counts as reachable because a
// poll did not request the load report.
func TestLoadReportInterval(t *testing.T) {
	servers := startServers(t, standin.ServerSettings{Slots: 3})
	ctx, cancel := context.WithCancel(context.Background())
	reports := make(chan backend.Report, 1000)
	p := backend.NewPoller(ctx, backend.PollerConfig{Interval: 5 * time.Millisecond, LoadEvery: 3},
		func(_ string, r backend.Report) { reports <- r })
	p.SetTargets([]backend.Target{{Server: "b1", Addr: servers.Addr("b1")}})
	for i := range 9 {
		r := <-reports
		require.NoError(t, r.Err)
		require.Equal(t, i%3 == 0, r.Slots == 3, "poll %d: %+v", i, r)
	}
	setMode(t, servers, func(m *standin.Mode) { m.Down = true })
	time.Sleep(100 * time.Millisecond)
	for len(reports) > 0 {
		<-reports
	}
	for range 6 {
		require.True(t, (<-reports).Unreachable)
	}
	cancel()
	p.Wait()
}

package entry

import (
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
	"github.com/dandelionrack/dandelionrack/pkg/admission"
	"github.com/dandelionrack/dandelionrack/pkg/backend"
)

// Guards against two defaults of go-zero: its timeout middleware responds with 503
// after 3 s while the handler still runs, and its signal handler ends the process
// 5.5 s after SIGTERM. The request here takes longer than both, and the stop begins
// while it runs.
func TestLongRequestSurvivesStop(t *testing.T) {
	// As in cmd/drentry, a channel stays registered, so that the second signal, which
	// go-zero sends to the process, does not end it.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	t.Cleanup(func() { signal.Stop(signals) })
	b := newTestBed(t)
	_, stop := b.start(0, nil)
	b.configure(1)
	var long sync.WaitGroup
	long.Go(func() {
		r := b.call(0, http.MethodGet, "/v1/call/single/x", "", []string{backendstandin.ServiceTimeHeader + ": 7500ms"})
		require.Equal(t, http.StatusOK, r.status, "%s", r.body)
	})
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-signals
	started := time.Now()
	stop()
	long.Wait()
	require.Greater(t, time.Since(started), 6*time.Second)
	require.Empty(t, signals, "go-zero tried to end the process")
}

// Guards against a circuit breaker between entry instance and backend server: after
// many refused connections, the first call to a server that has returned must reach
// it. The entry instance itself does not use a server that refuses connections, and
// must use it again within one poll and one slow start after its return.
func TestNoBreakerAfterRefusedConnections(t *testing.T) {
	b := newTestBed(t)
	e, _ := b.start(0, nil)
	b.configure(1)
	settings := backendstandin.DefaultSettings()
	for _, s := range b.deployment.BackendServers {
		if s.ID == "gone-1" {
			settings.Servers = []backendstandin.ServerSettings{{ID: s.ID, Addr: s.Addr, Slots: s.Slots}}
		}
	}
	call := backend.Call{Server: "gone-1", Addr: settings.Servers[0].Addr, Method: http.MethodGet, Path: "/x", Timeout: 5 * time.Second}
	for range 200 {
		require.Equal(t, http.StatusServiceUnavailable, b.call(0, http.MethodGet, "/v1/call/gone/x", "", nil).status)
		_, err := e.backends.Do(t.Context(), call)
		require.ErrorAs(t, err, new(*backend.NotRunError))
	}
	servers, err := backendstandin.Start(settings)
	require.NoError(t, err)
	t.Cleanup(func() { _ = servers.Close() })
	_, err = e.backends.Do(t.Context(), call)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		return b.call(0, http.MethodGet, "/v1/call/gone/x", "", nil).status == http.StatusOK
	}, reportInterval+admission.DefaultSlowStart, 10*time.Millisecond)
	for range 20 {
		r := b.call(0, http.MethodGet, "/v1/call/gone/x", "", nil)
		require.Equal(t, http.StatusOK, r.status, "%s", r.body)
	}
}

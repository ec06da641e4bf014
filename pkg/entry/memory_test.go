package entry

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against responses that do not count towards the memory limit for bodies: an
// instance held what faulty servers sent to hundreds of requests until their deadlines,
// and ran out of memory.
func TestResponsesCountTowardsTheMemoryLimit(t *testing.T) {
	const (
		callers = 40
		sent    = 2 << 20 // of each response, before it stalls
		limit   = 16 << 20
		// others is for the server in this process, connections and goroutines.
		others = 16 << 20
	)
	b := newTestBed(t)
	for i := range b.deployment.BackendServers {
		if s := &b.deployment.BackendServers[i]; s.ID == "gone-1" {
			s.Slots, s.MaxConnections = callers, 2*callers
			startStallingServer(t, s.Addr, sent)
		}
	}
	e, _ := b.start(0, func(s *Settings) { s.MaxBufferedBytes = limit })
	b.configure(1)
	require.Equal(t, http.StatusOK, b.call(0, http.MethodGet, "/v1/call/salio/x", "", nil).status)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	var ended sync.WaitGroup
	for range callers {
		ended.Go(func() { b.call(0, http.MethodGet, "/v1/call/gone/x", "", []string{"Request-Timeout-Ms: 3000"}) })
	}
	peak, counted := uint64(0), int64(0)
	for range 20 {
		time.Sleep(100 * time.Millisecond)
		peak, counted = max(peak, heap()), max(counted, e.buffers.Used())
		require.LessOrEqual(t, e.buffers.Used(), int64(limit))
	}
	t.Logf("heap %d MB, before %d MB; %d MB counted", peak>>20, before>>20, counted>>20)
	require.Less(t, peak, before+limit+others)
	require.Greater(t, counted, int64(limit)/4, "responses are held")
	require.Equal(t, http.StatusOK, b.call(0, http.MethodGet, "/v1/call/salio/x", "", nil).status, "small responses are delivered meanwhile")
	ended.Wait()
	b.eventually("release of the memory", func() bool { return e.buffers.Used() == 0 })
}

// startStallingServer starts a backend server that is healthy and sends the first bytes
// of each response only.
func startStallingServer(t *testing.T, addr string, sent int) {
	l, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	part := make([]byte, sent)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/health":
			_, _ = io.WriteString(w, `{"state":"ok"}`)
		case "/load":
			_, _ = io.WriteString(w, `{"in_flight":0,"slots":40}`)
		default:
			w.Header().Set("Content-Length", strconv.Itoa(2*sent))
			_, _ = w.Write(part)
			<-r.Context().Done()
		}
	})}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
}

// Guards against memory that a late response of a hedged request keeps for good.
func TestMemoryOfALateResponseIsReleased(t *testing.T) {
	b := newTestBed(t)
	e, _ := b.start(0, nil)
	m := requestMemory{budget: e.buffers}
	require.True(t, m.acquire(100))
	m.end()
	require.True(t, m.acquire(100))
	require.Zero(t, e.buffers.Used())
}

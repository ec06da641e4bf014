package backend

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/config"
)

func start(t *testing.T, server ServerSettings) *ServerSet {
	t.Helper()
	settings := DefaultSettings()
	server.ID, server.Addr = "b1", "127.0.0.1:0"
	settings.Servers = []ServerSettings{server}
	set, err := Start(settings)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, set.Close()) })
	return set
}

func request(t *testing.T, ctx context.Context, set *ServerSet, path string, header map[string]string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+set.Addr("b1")+path, strings.NewReader("x"))
	require.NoError(t, err)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	return r
}

func waitInFlight(t *testing.T, set *ServerSet, n int) {
	t.Helper()
	require.Eventually(t, func() bool { return set.Stats()["b1"].InFlight == n }, 2*time.Second, time.Millisecond)
}

func adminPost(t *testing.T, set *ServerSet, query, body string) int {
	t.Helper()
	resp, err := http.Post(set.AdminURL()+"/admin/mode"+query, "application/json", strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// Guards against an overrun that is not counted and a shed request that runs.
func TestShedsOverSlots(t *testing.T) {
	set := start(t, ServerSettings{Slots: 1})
	go func() {
		resp, err := http.DefaultClient.Do(request(t, context.Background(), set, "/", map[string]string{ServiceTimeHeader: "200ms"}))
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	waitInFlight(t, set, 1)
	resp, err := http.DefaultClient.Do(request(t, context.Background(), set, "/", map[string]string{"Idempotency-Key": "shed"}))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, "true", resp.Header.Get("Not-Run"))
	stats := set.Stats()["b1"]
	require.Equal(t, 2, stats.MaxInFlight)
	require.EqualValues(t, 1, stats.Overruns)
	require.Empty(t, set.Runs("", "shed", ""))
}

// Guards against slots that are not released after a cancellation, or are
// released before the deadline when the server ignores cancellation.
func TestCancellationAndDeadline(t *testing.T) {
	set := start(t, ServerSettings{Slots: 2})
	cancelled := func(key string) {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := http.DefaultClient.Do(request(t, ctx, set, "/", map[string]string{
			ServiceTimeHeader: "10s", "Request-Timeout-Ms": "300", "Idempotency-Key": key,
		}))
		require.Error(t, err)
	}
	cancelled("honoured")
	waitInFlight(t, set, 0)
	require.Equal(t, "cancelled", set.Runs("", "honoured", "")[0].Cause)
	require.Equal(t, http.StatusOK, adminPost(t, set, "?server=b", `{"ignore_cancel": true}`))
	cancelled("ignored")
	require.Equal(t, 1, set.Stats()["b1"].InFlight)
	waitInFlight(t, set, 0)
	run := set.Runs("", "ignored", "")[0]
	require.Equal(t, "deadline", run.Cause)
	require.GreaterOrEqual(t, run.End.Sub(run.Start), 300*time.Millisecond)
}

// Guards against a response that cannot be matched to its request.
func TestResponseIdentifiesItsRequest(t *testing.T) {
	set := start(t, ServerSettings{Slots: 1})
	resp, err := http.DefaultClient.Do(request(t, context.Background(), set, "/p?q=1", map[string]string{
		"Dandelionrack-Request-Id": "r1", "Idempotency-Key": "k1", BodySizeHeader: "1000", ServiceTimeHeader: "1ms",
	}))
	require.NoError(t, err)
	defer resp.Body.Close()
	require.EqualValues(t, 1000, resp.ContentLength)
	var a Response
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&a))
	require.Equal(t, "r1", a.RequestID)
	require.Equal(t, "/p?q=1", a.Path)
	runs := set.Runs("b1", "k1", "r1")
	require.Len(t, runs, 1)
	require.True(t, runs[0].Completed)
	require.Equal(t, a.Run, runs[0].ID)
}

// Guards against load and health modes that do not behave as named.
func TestLoadAndHealthModes(t *testing.T) {
	set := start(t, ServerSettings{Slots: 2})
	go func() {
		resp, err := http.DefaultClient.Do(request(t, context.Background(), set, "/", map[string]string{ServiceTimeHeader: "500ms"}))
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	waitInFlight(t, set, 1)
	get := func(path string) string {
		client := &http.Client{Timeout: 50 * time.Millisecond}
		resp, err := client.Get("http://" + set.Addr("b1") + path)
		if err != nil {
			return "hang"
		}
		defer resp.Body.Close()
		var body struct {
			State    string `json:"state"`
			InFlight int    `json:"in_flight"`
		}
		if resp.StatusCode != http.StatusOK {
			return "missing"
		}
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&body))
		return body.State + strings.Repeat("*", body.InFlight)
	}
	steps := []struct{ mode, path, want string }{
		{`{}`, "/load", "*"},
		{`{"load": "idle"}`, "/load", ""},
		{`{"load": "missing"}`, "/load", "missing"},
		{`{"load": "hang"}`, "/load", "hang"},
		{`{"load": "stuck"}`, "/load", "*"},
		{`{"draining": true}`, "/health", "draining"},
		{`{"health": "ok"}`, "/health", "ok"},
		{`{"health": "hang"}`, "/health", "hang"},
	}
	for _, step := range steps {
		require.Equal(t, http.StatusOK, adminPost(t, set, "", step.mode))
		require.Equal(t, step.want, get(step.path), step.mode)
	}
	require.False(t, set.Stats()["b1"].DrainingSince.IsZero())
	waitInFlight(t, set, 0)
	require.Equal(t, "*", get("/load"), "a stuck report must not change with the load")
	require.Equal(t, http.StatusBadRequest, adminPost(t, set, "", `{"laod": "idle"}`))
	require.Equal(t, http.StatusBadRequest, adminPost(t, set, "", `{"load": "lazy"}`))
	require.Equal(t, http.StatusNotFound, adminPost(t, set, "?server=x", `{}`))
}

// Guards against a server that accepts more connections than its limit.
func TestConnectionLimit(t *testing.T) {
	set := start(t, ServerSettings{Slots: 1, MaxConnections: 2})
	for range 3 {
		c, err := net.Dial("tcp", set.Addr("b1"))
		require.NoError(t, err)
		defer c.Close()
	}
	require.Eventually(t, func() bool { return set.Stats()["b1"].RefusedConnections == 1 }, 2*time.Second, time.Millisecond)
	require.EqualValues(t, 2, set.Stats()["b1"].OpenConnections)
}

// Guards against a cold phase that does not end and service times above their
// limit.
func TestServiceTimes(t *testing.T) {
	w := Work{
		Distribution: Lognormal, ServiceTime: config.Duration(10 * time.Millisecond), Sigma: 1,
		MaxServiceTime: config.Duration(40 * time.Millisecond), ColdFor: config.Duration(10 * time.Second), ColdFactor: 3,
	}
	require.InDelta(t, 3, coldFactor(w, 0), 1e-9)
	require.InDelta(t, 2, coldFactor(w, 5*time.Second), 1e-9)
	require.InDelta(t, 1, coldFactor(w, 10*time.Second), 1e-9)
	s := newSampler(1)
	below := 0
	const draws = 10_000
	for range draws {
		d := s.draw(w)
		require.LessOrEqual(t, d, 40*time.Millisecond)
		if d < 10*time.Millisecond {
			below++
		}
	}
	require.InDelta(t, draws/2, below, draws/50, "the service time is the median")
}

// Guards against a server that is down but still responds or keeps connections
// open, or that restarts on another address.
func TestDownServerRefusesConnections(t *testing.T) {
	set, err := Start(Settings{Admin: "127.0.0.1:0", Servers: []ServerSettings{{ID: "a-1", Addr: "127.0.0.1:0", Slots: 1}}})
	require.NoError(t, err)
	defer func() { require.NoError(t, set.Close()) }()
	url := "http://" + set.Addr("a-1") + "/x"
	down := func(v bool) {
		_, err := set.SetMode("a-1", func(m *Mode) error {
			m.Down = v
			return nil
		})
		require.NoError(t, err)
	}
	get := func() error {
		resp, err := http.Get(url)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	require.NoError(t, get())
	down(true)
	require.Error(t, get())
	down(false)
	require.NoError(t, get())
}

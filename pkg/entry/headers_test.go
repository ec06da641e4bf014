package entry

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/admission"
	"github.com/dandelionrack/dandelionrack/pkg/config"
)

// Guards against forwarding headers of one connection, the caller's token, or headers
// of this system that a caller or backend server has forged; and against losing the
// idempotency key.
func TestHeaders(t *testing.T) {
	b := newTestBed(t)
	var got http.Header
	l, err := net.Listen("tcp", b.host+":0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/x") {
			got = r.Header.Clone()
		}
		for _, line := range []string{"Connection: X-Hop-Two", "X-Hop-Two: 1", "Keep-Alive: 5", "Dandelionrack-Entry: forged", "X-End: 1"} {
			name, value, _ := strings.Cut(line, ": ")
			w.Header().Set(name, value)
		}
		_, _ = w.Write([]byte(`{}`))
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	for i := range b.deployment.BackendServers {
		if s := &b.deployment.BackendServers[i]; s.ID == "weka-1" {
			s.Addr = l.Addr().String()
		}
	}
	b.start(0, nil)
	b.configure(1)
	key := strings.ToUpper(newRequestID())
	r := b.call(0, http.MethodPost, "/v1/call/weka/x", "a", []string{
		keyLine(key), "Connection: X-Hop-One, Te", "X-Hop-One: 1", "Te: trailers", "Proxy-Authorization: x",
		"Dandelionrack-Request-Id: forged", "Dandelionrack-Outcome: forged", "Request-Timeout-Ms: 900", "X-End: 1",
	})
	require.Equal(t, http.StatusOK, r.status)
	require.Equal(t, strings.ToLower(key), got.Get(HeaderIdempotencyKey))
	require.Equal(t, r.header.Get(HeaderRequestID), got.Get(HeaderRequestID))
	require.Regexp(t, `^[0-9]{1,3}$`, got.Get(HeaderRequestTimeout))
	require.Equal(t, "1", got.Get("X-End"))
	for _, name := range []string{"Authorization", "Connection", "X-Hop-One", "Te", "Proxy-Authorization", HeaderOutcome} {
		require.Empty(t, got.Get(name), name)
	}
	require.Equal(t, "1", r.header.Get("X-End"))
	require.Equal(t, "e1", r.header.Get(HeaderEntry))
	for _, name := range []string{"X-Hop-Two", "Keep-Alive"} {
		require.Empty(t, r.header.Get(name), name)
	}
	again := b.call(0, http.MethodPost, "/v1/call/weka/x", "a", []string{keyLine(strings.ToLower(key))})
	require.Equal(t, "recorded", again.header.Get(HeaderOutcome))
	require.Equal(t, "1", again.header.Get("X-End"))
	require.NotContains(t, again.header, HeaderBackendServer)
}

// Guards against lookup responses and keys that a caller cannot use: a ranking that
// starts with a distant entry instance, a missing lifetime, or a key of another
// incarnation.
func TestLookupAndKeys(t *testing.T) {
	b := newTestBed(t)
	b.deployment.Links[0].BitsPerSecond = 1e9
	b.deployment.ClientBlocks = []config.ClientBlock{{Prefix: "10.2.0.0/16", FailureDomain: "d2"}}
	b.start(0, func(s *Settings) { s.AllowClientAddress = true })
	_, stop := b.start(1, nil)
	b.configure(2)
	first := func(client string) string {
		var a LookupResponse
		r := b.call(0, http.MethodGet, "/v1/lookup?service=bakaa&client="+client, "", nil)
		require.NoError(t, json.Unmarshal(r.body, &a), "%s", r.body)
		require.Equal(t, LookupResponse{"salio", 2, 50, a.Entries}, a)
		if len(a.Entries) < 2 {
			return ""
		}
		return a.Entries[0].ID + " " + a.Entries[0].Region
	}
	b.eventually("both entry instances", func() bool { return first("10.2.0.1") == "e2 r2" })
	// The ranking for a failure domain is cached for one heartbeat interval, so the
	// one for this client may be from just before e2 was ready.
	require.Eventually(t, func() bool { return first("10.1.0.1") == "e1 r1" }, 5*heartbeatInterval, heartbeatInterval/20)
	var k KeyResponse
	r := b.call(1, http.MethodPost, "/v1/keys?service=amana", "", nil)
	require.NoError(t, json.Unmarshal(r.body, &k))
	require.Equal(t, "weka", k.Service)
	require.True(t, strings.HasPrefix(k.Key, "e1.e2."))
	// The other entry instance forwards the request to the one that issued the key,
	// although that one has no backend server of the service.
	r = b.call(0, http.MethodPost, "/v1/call/weka/x", "a", []string{keyLine(k.Key)})
	require.Equal(t, http.StatusOK, r.status, "%s", r.body)
	r = b.call(1, http.MethodPost, "/v1/call/weka/x", "a", []string{keyLine(k.Key)})
	require.Equal(t, "recorded", r.header.Get(HeaderOutcome))
	// Without the issuer, the copy of the claim still answers, but only the same
	// request.
	stop()
	r = b.call(0, http.MethodPost, "/v1/call/weka/x", "a", []string{keyLine(k.Key)})
	require.Equal(t, "recorded", r.header.Get(HeaderOutcome), "%s", r.body)
	r = b.call(0, http.MethodPost, "/v1/call/weka/x", "b", []string{keyLine(k.Key)})
	require.Equal(t, ReasonKeyMismatch, r.refusal.Reason, "%s", r.body)
	for _, path := range []string{"/v1/lookup?service=none1", "/v1/keys?service="} {
		method := map[bool]string{true: http.MethodGet, false: http.MethodPost}[strings.Contains(path, "lookup")]
		require.Equal(t, ReasonUnknownService, b.call(0, method, path, "", nil).refusal.Reason)
		require.Equal(t, ReasonUnauthorized, b.call(0, method, path, "", []string{"Authorization: x"}).refusal.Reason)
	}
}

// Guards against metrics that are unreadable or need the operator token, and against
// an operator API that does not need it.
func TestOperatorListener(t *testing.T) {
	b := newTestBed(t)
	b.start(0, nil)
	b.configure(1)
	require.Equal(t, http.StatusOK, b.call(0, http.MethodGet, "/v1/call/salio/x", "", nil).status)
	b.call(0, http.MethodGet, "/v1/lookup?service=nothing", "", nil)
	base := "http://" + b.deployment.EntryInstances[0].OperatorAddr
	resp, err := http.Get(base + "/debug/vars")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var got struct {
		Counters struct {
			Requests int                      `json:"requests"`
			Refusals map[Reason]int           `json:"refusals"`
			Servers  []admission.ServerStatus `json:"servers"`
			Queues   map[string]int           `json:"queues"`
			Links    map[string]float64       `json:"link_bytes_available"`
		} `json:"dandelionrack"`
	}
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&got))
	require.Positive(t, got.Counters.Requests)
	require.Equal(t, 1, got.Counters.Refusals[ReasonUnknownService])
	require.Len(t, got.Counters.Servers, 4, "servers of the own failure domain")
	require.Contains(t, got.Counters.Queues, "salio")
	require.Contains(t, got.Counters.Links, "r2")
	closed, err := http.Get(base + "/v1/status")
	require.NoError(t, err)
	require.NoError(t, closed.Body.Close())
	require.Equal(t, http.StatusUnauthorized, closed.StatusCode)
}

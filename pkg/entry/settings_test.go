package entry

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/claim"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
	"github.com/dandelionrack/dandelionrack/pkg/settings"
)

const goodSettings = `{
  // comment
  "id": "e1", "failure_domain": "d1", "operator_token": "t",
  "caller_addr": "127.0.0.1:7001", "peer_addr": "127.0.0.1:7002", "operator_addr": "127.0.0.1:7003",
  "platform_url": "http://127.0.0.1:9000", "seeds": ["127.0.0.2:7002"],
}`

// Guards against invalid settings that are not all reported at once, or only after the
// start, and against invalid examples.
func TestSettingsFindings(t *testing.T) {
	var s Settings
	require.NoError(t, settings.Parse("f", []byte(goodSettings), &s, s.Check))
	require.NoError(t, settings.Load("../../docs/examples/entry-1.json", &s, s.Check))
	require.NoError(t, settings.Load("../../docs/examples/entry-2.json", &s, s.Check))
	text := `{"id": "a b", "caller_addr": "h:1", "peer_addr": "127.0.0.1:99999", "operator_addr": "127.0.0.1:0",
"platform_url": "ftp://x", "seeds": ["x"], "address_map": {"a": "b"}, "log_level": "loud", "log_format": "xml",
"lookup_ttl": "-1s", "max_request_bytes": 9000000, "max_response_bytes": -1, "max_buffered_bytes": -1,
"max_caller_connections": -1, "tls": {"cert_file": "x"}, "peer_tls": {}}`
	s = Settings{}
	err := settings.Parse("f", []byte(text), &s, s.Check)
	var invalid *findings.Error
	require.True(t, errors.As(err, &invalid))
	found := map[string]bool{}
	for _, f := range invalid.Findings {
		found[f.Path] = true
	}
	for _, path := range []string{
		"id", "failure_domain", "operator_token", "caller_addr", "peer_addr", "operator_addr", "platform_url",
		"seeds[0]", "address_map", "log_level", "log_format", "lookup_ttl", "max_request_bytes",
		"max_response_bytes", "max_buffered_bytes", "max_caller_connections", "tls", "peer_tls",
	} {
		require.True(t, found[path], path)
	}
}

// Guards against settings that pass the check but cannot be used: a crash, an address
// without a port, or an id whose keys cannot be parsed.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(goodSettings))
	f.Add([]byte(`{"id": "", "caller_addr": ":1", "platform_url": "http://", "tls": null}`))
	f.Add([]byte(`{"address_map": {"127.0.0.1:1": "[::1]:2"}, "lookup_ttl": "9999999h"}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var s Settings
		if settings.Parse("f", data, &s, s.Check) != nil {
			return
		}
		s.SetDefaults()
		var l findings.List
		s.Check(&l)
		require.NoError(t, l.Err())
		require.Positive(t, s.LookupTTL)
		_, err := claim.ParseKey(claim.NewIssuedKey(claim.Incarnation{Entry: s.ID, Number: 1}, time.Now()))
		require.NoError(t, err)
	})
}

// Guards against a caller's header that crashes the entry instance, gets a timeout
// beyond the contract, or yields a key that changes when it is parsed again.
func FuzzCallerHeaders(f *testing.F) {
	now := time.Now()
	f.Add(newRequestID(), "100")
	f.Add(claim.NewIssuedKey(claim.Incarnation{Entry: "a.b", Number: 1}, now), "0")
	f.Add("e1..0000000000000001."+newRequestID(), "-1")
	f.Add("", "9223372036854775807")
	f.Add("6BA7B810-9DAD-71D1-80B4-00C04FD430C8", "1e3")
	svc := service("weka", false)
	f.Fuzz(func(t *testing.T, key, timeout string) {
		r := httptest.NewRequest("POST", "/v1/call/weka/x", nil)
		r.Header[HeaderIdempotencyKey] = []string{key}
		r.Header[HeaderRequestTimeout] = []string{timeout}
		d, refused := requestTimeout(r, &svc)
		require.Equal(t, refused == nil, d > 0 && d <= svc.Timeout.Std())
		k, refused := requestKey(r, &svc, now)
		if refused != nil {
			require.Contains(t, []Reason{ReasonKeyMissing, ReasonKeyInvalid, ReasonKeyExpired}, refused.reason)
			return
		}
		again, err := claim.ParseKey(k.Raw)
		require.NoError(t, err)
		require.Equal(t, k, again)
		require.WithinRange(t, k.Created, now.Add(-claim.MaxKeyAge), now.Add(claim.MaxKeyClockSkew))
	})
}

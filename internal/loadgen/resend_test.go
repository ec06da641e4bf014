package loadgen

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that net/http retries when an entry instance fails:
// a refused connection on the retry would count as "not sent".
func TestKeyedRequestIsNotResent(t *testing.T) {
	var calls atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if calls.Add(1) > 1 {
			panic(http.ErrAbortHandler) // closes the keep-alive connection
		}
	}))
	defer s.Close()
	c := &Caller{HTTPClient: NewHTTPClient()}
	defer c.HTTPClient.CloseIdleConnections()
	for range 2 {
		r := Request{Service: "weka", Path: "/x", Method: http.MethodPost, Key: NewKey(), Timeout: 5 * time.Second}
		c.CallEntry(t.Context(), r, strings.TrimPrefix(s.URL, "http://"))
	}
	require.Equal(t, int64(2), calls.Load())
}

package upstream

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that is passed on although its time has already ended, for
// example because its body has arrived too late.
func TestEndedRequestIsNotSent(t *testing.T) {
	var got atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { got.Add(1) }))
	defer s.Close()
	p := New(Config{})
	addr := strings.TrimPrefix(s.URL, "http://")
	r := Request{Addr: addr, Method: "POST", Target: "/x", Host: "x", Header: http.Header{}, Body: []byte("body"),
		Matches: func(*http.Response) bool { return true }}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	sent := int64(0)
	for range 50 {
		_, _, err := p.Do(t.Context(), r)
		require.NoError(t, err)
		before := got.Load()
		_, _, err = p.Do(ended, r)
		var failed *Error
		require.ErrorAs(t, err, &failed)
		require.False(t, failed.Sent)
		time.Sleep(3 * time.Millisecond)
		sent += got.Load() - before
	}
	require.Zero(t, sent)
}

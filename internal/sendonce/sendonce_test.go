package sendonce

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// abortingServer answers the first request. It runs each later one and then
// closes the connection without an answer.
func abortingServer(t *testing.T) (url string, runs *atomic.Int64) {
	runs = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if runs.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	s.Config.ErrorLog = nil
	t.Cleanup(s.Close)
	return s.URL, runs
}

var requestKinds = []struct {
	name, method, body, key string
}{
	{"POST with key and body", http.MethodPost, "body", "k"},
	{"POST with key, no body", http.MethodPost, "", "k"},
	{"POST without key", http.MethodPost, "body", ""},
	{"PUT with key", http.MethodPut, "body", "k"},
	{"GET", http.MethodGet, "", ""},
	{"GET with key", http.MethodGet, "", "k"},
}

// Guards against a second run of a request whose keep-alive connection breaks
// after the first run.
func TestBrokenKeepAliveConnectionRunsOnce(t *testing.T) {
	for _, kind := range requestKinds {
		t.Run(kind.name, func(t *testing.T) {
			url, runs := abortingServer(t)
			c := New(Options{})
			defer c.CloseIdle()
			resp, err := c.Send(context.Background(), Request{Method: http.MethodGet, URL: url})
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())

			header := http.Header{}
			if kind.key != "" {
				header.Set("Idempotency-Key", kind.key)
			}
			_, err = c.Send(context.Background(), Request{
				Method: kind.method, URL: url, Header: header, Body: []byte(kind.body),
			})
			var failed *Error
			require.ErrorAs(t, err, &failed)
			require.True(t, failed.Sent)
			require.EqualValues(t, 2, runs.Load(), "one run to open the connection and one of the request")
		})
	}
}

// Shows the fault that this package prevents: a plain net/http client sends the
// same request twice. A failure means that net/http has changed its retry rule.
func TestPlainClientRunsTwice(t *testing.T) {
	url, runs := abortingServer(t)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	resp, err := client.Get(url)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())

	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body"))
	require.NoError(t, err)
	req.Header.Set("Idempotency-Key", "k")
	_, err = client.Do(req)
	require.Error(t, err)
	require.EqualValues(t, 3, runs.Load())
}

// Guards against wrong framing of bodies whose type is hidden from net/http.
func TestBodyArrivesComplete(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err == nil {
			_, _ = w.Write(append([]byte(r.Method+":"), body...))
		}
	}))
	defer s.Close()
	c := New(Options{})
	defer c.CloseIdle()
	for _, kind := range requestKinds {
		resp, err := c.Send(context.Background(), Request{Method: kind.method, URL: s.URL, Body: []byte(kind.body)})
		require.NoError(t, err)
		got, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, kind.method+":"+kind.body, string(got))
		require.NoError(t, resp.Body.Close())
	}
}

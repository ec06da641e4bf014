package platform

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a part of an object that counts as whole: the end of the connection
// shows the end of a response without a length, and may also be a failure. JSON that
// is cut does not parse, so it needs no length.
func TestObjectWithoutLength(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		body := "part of an object"
		if strings.HasPrefix(r.URL.Path, "/v1/instances") {
			body = `[{"id":"salio-1"}]`
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body)
	}))
	defer s.Close()
	c := NewClient(ClientConfig{BaseURL: s.URL})
	defer c.Close()
	data, err := c.GetObject(t.Context(), "trace/1")
	require.ErrorIs(t, err, ErrUnavailable, "%q", data)
	list, err := c.Instances(t.Context())
	require.NoError(t, err)
	require.Len(t, list, 1)
	require.NoError(t, c.Commit(t.Context(), Tx{}))
}

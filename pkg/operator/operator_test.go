package operator_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"github.com/zeromicro/go-zero/rest/router"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// backend returns fixed values. The methods that it does not override are not
// called.
type backend struct {
	operator.Backend
	doc *config.Document
	err error
	got config.Operation
}

func (b *backend) SubmitChange(_ context.Context, ch config.Change, op config.Operation) (*config.Document, error) {
	b.got = op
	return &config.Document{Version: 7, Change: ch}, b.err
}

func (b *backend) Document() *config.Document { return b.doc }

func (b *backend) History(_ context.Context, n int) ([]config.HistoryEntry, error) {
	return []config.HistoryEntry{{Version: uint64(n)}}, b.err
}

func (b *backend) DrainStatus(_ context.Context, server string) (operator.DrainStatus, error) {
	return operator.DrainStatus{Server: server, InFlight: map[string]int{"e": 2}}, b.err
}

func serve(t *testing.T, b operator.Backend, token string) *httptest.Server {
	r := router.NewRouter()
	for _, route := range operator.Routes(b, token) {
		require.NoError(t, r.Handle(route.Method, route.Path, route.Handler))
	}
	s := httptest.NewServer(r)
	t.Cleanup(s.Close)
	return s
}

func client(t *testing.T, base, token string) *operator.Client {
	c, err := operator.NewClient(operator.ClientConfig{BaseURL: base, Token: token, Timeout: time.Second})
	require.NoError(t, err)
	return c
}

var start = config.StartDrain{Server: "s0", Reason: "disk"}

// Guards against an operator API that is open to anyone, in particular when no
// token is configured.
func TestTokenIsRequired(t *testing.T) {
	ctx := context.Background()
	for token, given := range map[string]string{"secret": "secret2", "": ""} {
		s := serve(t, &backend{doc: &config.Document{Version: 1}}, token)
		_, err := client(t, s.URL, given).Document(ctx)
		var api *operator.Error
		require.True(t, errors.As(err, &api))
		require.Equal(t, operator.CodeUnauthorized, api.Code)
	}
	s := serve(t, &backend{doc: &config.Document{Version: 1}}, "secret")
	doc, err := client(t, s.URL, "secret").Document(ctx)
	require.NoError(t, err)
	require.Equal(t, uint64(1), doc.Version)
}

// Guards against values that are lost or changed between client and backend.
func TestRoundTrip(t *testing.T) {
	ctx := context.Background()
	b := &backend{}
	c := client(t, serve(t, b, "secret").URL, "secret")
	doc, err := c.SubmitChange(ctx, config.Change{ID: "c1"}, start)
	require.NoError(t, err)
	require.Equal(t, "c1", doc.Change.ID)
	require.Equal(t, start, b.got)
	entries, err := c.History(ctx, 5)
	require.NoError(t, err)
	require.Equal(t, uint64(5), entries[0].Version)
	status, err := c.DrainStatus(ctx, "s0")
	require.NoError(t, err)
	require.Equal(t, "s0", status.Server)
	require.False(t, status.Idle())
}

// Guards against errors that lose their type, on which the exit code of drctl
// and its retries depend.
func TestErrorsKeepTheirType(t *testing.T) {
	conflict := &config.ConflictError{Object: "drain/s0", HaveVersion: 3, ChangeID: "other", Author: "a"}
	invalid := &findings.Error{Findings: []findings.Finding{{Path: "x", Message: "wrong"}}}
	cases := map[operator.Code]error{
		operator.CodeConflict:       errors.Wrap(conflict, "submit"),
		operator.CodeInvalid:        errors.Wrap(invalid, "submit"),
		operator.CodeNotFound:       &config.NotFoundError{Object: "x"},
		operator.CodeUnavailable:    errors.Wrap(platform.ErrUnavailable, "submit"),
		operator.CodeUnknownOutcome: errors.Wrap(platform.ErrUnknownOutcome, "submit"),
		operator.CodeInternal:       errors.New("other"),
	}
	for code, cause := range cases {
		c := client(t, serve(t, &backend{err: cause}, "secret").URL, "secret")
		_, err := c.SubmitChange(context.Background(), config.Change{ID: "c1"}, start)
		var api *operator.Error
		require.True(t, errors.As(err, &api))
		require.Equal(t, code, api.Code)
		require.Equal(t, cause.Error(), api.Error())
		var got *config.ConflictError
		if errors.As(err, &got) {
			require.Equal(t, conflict, got)
		}
		require.Equal(t, code == operator.CodeConflict, got != nil)
		require.Equal(t, code == operator.CodeInvalid, len(api.Findings) == 1)
	}
}

// Guards against a change without an id, which could be made twice, against
// an entry instance that is not ready and returns an empty document, and against
// an invalid token that is reported as a lost response.
func TestRefusedRequests(t *testing.T) {
	c := client(t, serve(t, &backend{}, "secret").URL, "secret")
	_, err := c.SubmitChange(context.Background(), config.Change{}, start)
	var api *operator.Error
	require.True(t, errors.As(err, &api))
	require.Equal(t, http.StatusBadRequest, api.Status)
	_, err = c.Document(context.Background())
	require.True(t, errors.As(err, &api))
	require.Equal(t, operator.CodeUnavailable, api.Code)
	_, err = operator.NewClient(operator.ClientConfig{BaseURL: "http://127.0.0.1:1", Token: "two\nlines"})
	require.Error(t, err)
	_, err = c.History(context.Background(), -1)
	require.True(t, errors.As(err, &api))
	require.Equal(t, operator.CodeInvalid, api.Code)
}

// Guards against a lost response that is reported as not sent, after which the
// client would send the request to another entry instance as if it were new.
func TestNotSentAndNoResponse(t *testing.T) {
	truncating := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte(`{"version": 1`))
	}))
	defer truncating.Close()
	_, err := client(t, truncating.URL, "x").Document(context.Background())
	require.ErrorIs(t, err, operator.ErrNoResponse)

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	_, err = client(t, "http://"+l.Addr().String(), "x").Document(context.Background())
	require.ErrorIs(t, err, operator.ErrNotSent)
}

// Guards against a response that is cut at the size limit and then reported as one
// that cannot be decoded, or taken for a whole one.
func TestOversizedResponse(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte("{}"))
		blank := bytes.Repeat([]byte(" "), 1<<20)
		for range 65 {
			if _, err := w.Write(blank); err != nil {
				return
			}
		}
	}))
	defer srv.Close()
	c, err := operator.NewClient(operator.ClientConfig{BaseURL: srv.URL, Token: "t", Timeout: 20 * time.Second})
	require.NoError(t, err)
	_, err = c.Document(context.Background())
	require.ErrorIs(t, err, operator.ErrNoResponse)
	require.ErrorContains(t, err, "larger than")
}

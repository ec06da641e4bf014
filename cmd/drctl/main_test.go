package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/router"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
	"github.com/dandelionrack/dandelionrack/pkg/trace"
)

const sampleDir = "../../deploy/hesabu/"

// fakeBackend applies changes in memory, and each change id only once.
type fakeBackend struct {
	operator.Backend
	mu          sync.Mutex
	doc         *config.Document
	accepted    map[string]*config.Document
	unavailable bool
}

func (b *fakeBackend) SubmitChange(_ context.Context, ch config.Change, op config.Operation) (*config.Document, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unavailable {
		return nil, platform.ErrUnavailable
	}
	if doc := b.accepted[ch.ID]; doc != nil {
		return doc, nil
	}
	doc, err := config.Apply(b.doc, ch, op)
	if err != nil {
		return nil, err
	}
	b.doc = doc
	b.accepted[ch.ID] = doc
	return doc, nil
}

func (b *fakeBackend) Document() *config.Document {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.doc
}

func (b *fakeBackend) DrainStatus(_ context.Context, server string) (operator.DrainStatus, error) {
	d := operator.DrainStatus{Server: server, InFlight: map[string]int{"dar-1-entry-1": 0}}
	if drain := b.Document().Drains[server]; drain != nil {
		d.Draining = true
		d.IdleSince = drain.StartedAt
	}
	return d, nil
}

// apiServer serves a backend. It handles the next responsesToDrop POST requests
// but closes their connections without a response.
type apiServer struct {
	*fakeBackend
	url             string
	responsesToDrop int
	posts           int
}

func newAPIServer(t *testing.T) *apiServer {
	return newAPIServerWith(t, func(b *fakeBackend) operator.Backend { return b })
}

// newAPIServerWith serves the backend that wrap returns.
func newAPIServerWith(t *testing.T, wrap func(*fakeBackend) operator.Backend) *apiServer {
	a := &apiServer{fakeBackend: &fakeBackend{accepted: map[string]*config.Document{}}}
	r := router.NewRouter()
	for _, route := range operator.Routes(wrap(a.fakeBackend), "secret") {
		require.NoError(t, r.Handle(route.Method, route.Path, route.Handler))
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPost {
			a.posts++
		}
		if req.Method == http.MethodPost && a.responsesToDrop > 0 {
			a.responsesToDrop--
			r.ServeHTTP(httptest.NewRecorder(), req)
			panic(http.ErrAbortHandler)
		}
		r.ServeHTTP(w, req)
	}))
	t.Cleanup(s.Close)
	a.url = s.URL
	return a
}

// drctl runs the command and returns exit code, stdout and stderr.
func drctl(t *testing.T, servers []string, args ...string) (int, string, string) {
	token := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(token, []byte("secret\n"), 0o600))
	all := []string{"--token-file", token, "--author", "tester"}
	for _, s := range servers {
		all = append(all, "--server", s)
	}
	var stdout, stderr bytes.Buffer
	code := run(t.Context(), append(all, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// newConfiguredAPIServer has the deployment and the contract of sampleDir.
func newConfiguredAPIServer(t *testing.T) *apiServer {
	a := newAPIServer(t)
	for _, kind := range []string{"deployment", "contract"} {
		code, _, stderr := drctl(t, []string{a.url}, kind, "apply", sampleDir+kind+".json")
		require.Equal(t, exitOK, code, stderr)
	}
	return a
}

// Guards against a contract that cannot be shown, edited and applied again,
// and against an edit of an outdated copy that overwrites another change.
func TestEditContract(t *testing.T) {
	a := newConfiguredAPIServer(t)
	code, shown, _ := drctl(t, []string{a.url}, "--output", "json", "contract", "show", "hesabu")
	require.Equal(t, exitOK, code)
	file := filepath.Join(t.TempDir(), "contract.json")
	require.NoError(t, os.WriteFile(file, []byte(shown), 0o600))
	code, _, stderr := drctl(t, []string{a.url}, "contract", "apply", file)
	require.Equal(t, exitOK, code, stderr)

	code, _, stderr = drctl(t, []string{a.url}, "--output", "json", "contract", "apply", file)
	require.Equal(t, exitConflict, code)
	var f failure
	require.NoError(t, json.Unmarshal([]byte(stderr), &f))
	require.Equal(t, a.doc.Contracts["hesabu"].ChangeID, f.Conflict.ChangeID)
	require.Equal(t, "tester", f.Conflict.Author)
}

// Guards against a change that is made twice, or reported as failed, when its
// response is lost.
func TestRetryAfterLostResponse(t *testing.T) {
	a := newConfiguredAPIServer(t)
	before := a.doc.Version
	a.responsesToDrop, a.posts = 2, 0
	code, stdout, stderr := drctl(t, []string{a.url}, "drain", "start", "salio-1", "--wait")
	require.Equal(t, exitOK, code, stderr)
	require.Contains(t, stdout, "idle since")
	require.Equal(t, 3, a.posts)
	require.Equal(t, before+1, a.doc.Version)

	a.responsesToDrop = callAttempts
	code, _, stderr = drctl(t, []string{a.url}, "--change-id", "mine", "drain", "cancel", "salio-1")
	require.Equal(t, exitUnavailable, code)
	require.Contains(t, stderr, "--change-id mine")
	code, _, stderr = drctl(t, []string{a.url}, "--change-id", "mine", "drain", "cancel", "salio-1")
	require.Equal(t, exitOK, code, stderr)
}

// Guards against trying a second server although the first one may have made the
// change, and against not trying it after a refused connection.
func TestNextServerOnlyWhenRefused(t *testing.T) {
	empty := newAPIServer(t)
	first, second := newConfiguredAPIServer(t), newConfiguredAPIServer(t)
	refused := "http://127.0.0.1:1"
	code, _, stderr := drctl(t, []string{refused, first.url}, "drain", "start", "salio-1")
	require.Equal(t, exitOK, code, stderr)

	posts := second.posts
	first.unavailable = true
	code, _, _ = drctl(t, []string{first.url, second.url}, "drain", "start", "ada-1")
	require.Equal(t, exitUnavailable, code)
	first.responsesToDrop = callAttempts
	code, _, _ = drctl(t, []string{first.url, second.url}, "drain", "start", "ada-1")
	require.Equal(t, exitUnavailable, code)
	require.Equal(t, posts, second.posts)

	code, _, _ = drctl(t, []string{refused}, "contract", "list")
	require.Equal(t, exitUnavailable, code)
	code, _, _ = drctl(t, []string{empty.url}, "contract", "list")
	require.Equal(t, exitUnavailable, code)
}

// Guards against exit codes that differ from the documented ones.
func TestExitCodes(t *testing.T) {
	a := newConfiguredAPIServer(t)
	for args, want := range map[string]int{
		"contract show none":     exitFailure,
		"drain start none":       exitFailure,
		"drain cancel salio-1":   exitFailure,
		"no such command":        exitUsage,
		"--output xml status":    exitUsage,
		"contract apply no-file": exitUsage,
		"contract list":          exitOK,
		"deployment show":        exitOK,
		"drain status salio-1":   exitOK,
	} {
		code, _, stderr := drctl(t, []string{a.url}, strings.Fields(args)...)
		require.Equal(t, want, code, "%s: %s", args, stderr)
	}
	code, _, _ := drctl(t, nil, "contract", "list")
	require.Equal(t, exitUsage, code)
}

// Guards against a check that stops at the first invalid file, or that checks a
// contract without the regions of its deployment.
func TestConfigCheck(t *testing.T) {
	for _, dir := range []string{sampleDir, "../../docs/examples/"} {
		code, _, stderr := drctl(t, nil, "config", "check", dir+"contract.json", dir+"deployment.json")
		require.Equal(t, exitOK, code, stderr)
	}
	dir := t.TempDir()
	data, err := os.ReadFile(sampleDir + "contract.json")
	require.NoError(t, err)
	text := strings.Replace(string(data), `"retry_ratio"`, `"regions": ["none"], "retry_ratio"`, 1)
	files := map[string]string{"a.json": text, "b.json": `{"regions": 1}`, "c.json": "{\n", "d.json": "{}"}
	args := []string{"config", "check", sampleDir + "deployment.json"}
	for name, content := range files {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
		args = append(args, filepath.Join(dir, name))
	}
	code, _, stderr := drctl(t, nil, args...)
	require.Equal(t, exitUsage, code)
	for _, want := range []string{
		`a.json:15: services[0].regions[0]: region "none" is not defined`,
		`b.json:1: regions: must be an array, not 1`,
		`c.json:2: `,
		`d.json:1: is neither`,
	} {
		require.Contains(t, stderr, want)
	}
}

// Guards against log lines of go-zero's HTTP client on stdout, which make the
// output of --output json invalid.
func TestNoRequestLog(t *testing.T) {
	a := newConfiguredAPIServer(t)
	var log bytes.Buffer
	logx.SetWriter(logx.NewWriter(&log))
	code, _, stderr := drctl(t, []string{a.url}, "contract", "list")
	require.Equal(t, exitOK, code)
	require.Empty(t, stderr)
	require.Empty(t, log.String())
}

// Guards against a peer and a backend server that are printed without a
// separator.
func TestSpanTarget(t *testing.T) {
	for want, s := range map[string]trace.Span{
		"":                {},
		"entry-1":         {Peer: "entry-1"},
		"salio-1":         {BackendServer: "salio-1"},
		"entry-1/salio-1": {Peer: "entry-1", BackendServer: "salio-1"},
	} {
		require.Equal(t, want, spanTarget(s))
	}
}

package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
	platformstandin "github.com/dandelionrack/dandelionrack/internal/standin/platform"
	"github.com/dandelionrack/dandelionrack/pkg/claim"
)

// keyAt returns a caller-made key with a creation time.
func keyAt(t time.Time) string {
	return claim.NewIssuedKey(claim.Incarnation{Entry: "x"}, t)[len("e1.x.0000000000000000."):]
}

func keyLine(key string) string { return HeaderIdempotencyKey + ": " + key }

// Guards against a refusal with a wrong status or reason, or without the fields from
// which a caller decides whether it may retry.
func TestRefusals(t *testing.T) {
	b := newTestBed(t)
	b.start(0, func(s *Settings) { s.AllowClientAddress = true })
	b.start(1, nil)
	early := b.call(0, http.MethodGet, "/v1/call/salio/x", "", nil)
	require.Equal(t, http.StatusServiceUnavailable, early.status)
	require.Equal(t, ReasonNotReady, early.refusal.Reason)
	b.configure(2)
	b.eventually("free slots of e2", func() bool {
		return b.call(0, http.MethodGet, "/v1/call/far/x", "", nil).refusal.Reason == ReasonShiftCap
	})
	b.call(0, http.MethodGet, "/v1/call/limited/x", "", nil)
	// One request larger than the byte budget is allowed and uses it up for 15 s.
	b.eventually("a request that uses up the byte budget", func() bool {
		return b.call(0, http.MethodPost, "/v1/call/narrow/x", strings.Repeat("x", 10_000), nil).status == http.StatusOK
	})
	used := newRequestID()
	require.Equal(t, http.StatusOK, b.call(0, http.MethodPost, "/v1/call/weka/x", "first", []string{keyLine(used)}).status)

	now := time.Now()
	for _, c := range []struct {
		reason Reason
		status int
		path   string
		body   string
		header []string
	}{
		{ReasonUnauthorized, 401, "salio/x", "", []string{"Authorization: Bearer other"}},
		{ReasonUnauthorized, 401, "salio/x", "", []string{"Authorization: Basic " + testToken}},
		{ReasonUnknownService, 404, "nothing/x", "", nil},
		{ReasonUnknownService, 404, "", "", nil},
		{ReasonBadRequest, 400, "salio/x", "", []string{"Request-Timeout-Ms: 0"}},
		{ReasonBadRequest, 400, "salio/x", "", []string{"Request-Timeout-Ms: 1s"}},
		{ReasonBadRequest, 400, "salio/x", "", []string{"Client-Address: here"}},
		{ReasonTooLarge, 413, "salio/x", strings.Repeat("x", 1<<20+1), nil},
		{ReasonRateLimit, 429, "limited/x", "", nil},
		{ReasonNoBackendServer, 503, "none/x", "", nil},
		{ReasonNoBackendServer, 503, "gone/x", "", nil},
		{ReasonShiftCap, 503, "far/x", "", nil},
		{ReasonLinkBudget, 503, "narrow/x", strings.Repeat("x", 10_000), nil},
		{ReasonKeyMissing, 400, "weka/x", "", nil},
		{ReasonKeyInvalid, 400, "weka/x", "", []string{keyLine("42")}},
		{ReasonKeyInvalid, 400, "weka/x", "", []string{keyLine("6ba7b810-9dad-41d1-80b4-00c04fd430c8")}},
		{ReasonKeyExpired, 422, "weka/x", "", []string{keyLine(keyAt(now.Add(-24*time.Hour - time.Minute)))}},
		{ReasonKeyExpired, 422, "weka/x", "", []string{keyLine(keyAt(now.Add(11 * time.Minute)))}},
		{ReasonKeyMismatch, 422, "weka/x", "second", []string{keyLine(used)}},
		{ReasonKeyMismatch, 422, "amana/y", "first", []string{keyLine(used)}},
	} {
		r := b.call(0, http.MethodPost, "/v1/call/"+c.path, c.body, c.header)
		require.Equal(t, c.status, r.status, "%s: %s", c.reason, r.body)
		require.Equal(t, c.reason, r.refusal.Reason)
		require.Equal(t, "not_run", r.refusal.Outcome)
		require.Equal(t, "not_run", r.header.Get(HeaderOutcome))
		require.Equal(t, r.header.Get(HeaderRequestID), r.refusal.RequestID)
		require.NotEmpty(t, r.refusal.RequestID)
		require.NotEmpty(t, r.refusal.Message)
		require.Equal(t, "2", r.header.Get(HeaderConfigVersion))
		require.Equal(t, c.status == 503 || c.status == 429, r.refusal.RetryAfterMS == 100)
		require.Empty(t, r.refusal.NextKey)
	}
	require.Equal(t, http.StatusNotFound, b.call(0, http.MethodPost, "/v1/lookup?service=salio", "", nil).status)
}

// Guards against a refusal during an outage of the store that offers no other key,
// and against an entry-issued key that needs the store.
func TestStoreUnavailable(t *testing.T) {
	b := newTestBed(t)
	b.start(0, nil)
	b.configure(1)
	b.platform.SetFault(platformstandin.Fault{Outage: platformstandin.OutageRefuse})
	r := b.call(0, http.MethodPost, "/v1/call/weka/x", "a", []string{keyLine(newRequestID())})
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	require.Equal(t, ReasonStoreUnavailable, r.refusal.Reason)
	again := b.call(0, http.MethodPost, "/v1/call/weka/x", "a", []string{keyLine(r.refusal.NextKey)})
	require.Equal(t, http.StatusOK, again.status)
	again = b.call(0, http.MethodPost, "/v1/call/amana/x", "a", []string{keyLine(r.refusal.NextKey)})
	require.Equal(t, "recorded", again.header.Get(HeaderOutcome))
	require.Equal(t, http.StatusOK, b.call(0, http.MethodGet, "/v1/call/salio/x", "", nil).status)
}

// Guards against unknown outcomes that are reported as "not run", for example
// because a later attempt was refused, and against empty reasons.
func TestUnknownOutcomes(t *testing.T) {
	b := newTestBed(t)
	b.start(0, nil)
	b.configure(1)
	loseReplies := func(prefix string) {
		b.setMode(prefix, func(m *backendstandin.Mode) { m.CloseAfterRun = 1 })
	}
	expect := func(reason Reason, r result) {
		t.Helper()
		require.Equal(t, http.StatusGatewayTimeout, r.status, "%s", r.body)
		require.Equal(t, "unknown", r.refusal.Outcome)
		require.Equal(t, reason, r.refusal.Reason)
		require.Zero(t, r.refusal.RetryAfterMS)
	}
	loseReplies("single")
	expect(ReasonConnectionLost, b.call(0, http.MethodGet, "/v1/call/single/x", "", nil))
	key := []string{keyLine(newRequestID())}
	loseReplies("weka")
	expect(ReasonConnectionLost, b.call(0, http.MethodPost, "/v1/call/weka/x", "a", key))
	expect(ReasonConnectionLost, b.call(0, http.MethodPost, "/v1/call/weka/x", "a", key))
	unknownOwnerKey := claim.NewIssuedKey(claim.Incarnation{Entry: "e9", Number: 7}, time.Now())
	expect(ReasonOwnerUnreachable, b.call(0, http.MethodPost, "/v1/call/weka/x", "a", []string{keyLine(unknownOwnerKey)}))

	key = []string{keyLine(newRequestID()), backendstandin.ServiceTimeHeader + ": 700ms"}
	var first sync.WaitGroup
	first.Go(func() {
		require.Equal(t, http.StatusOK, b.call(0, http.MethodPost, "/v1/call/weka/x", "a", key).status)
	})
	time.Sleep(200 * time.Millisecond)
	expect(ReasonInProgress, b.call(0, http.MethodPost, "/v1/call/weka/x", "a", append(key, "Request-Timeout-Ms: 100")))
	first.Wait()
	require.Equal(t, "recorded", b.call(0, http.MethodPost, "/v1/call/weka/x", "a", key).header.Get(HeaderOutcome))
}

// Guards against a recorded response that appears complete although its body was too
// large to be stored.
func TestRecordedWithoutBody(t *testing.T) {
	b := newTestBed(t)
	b.start(0, nil)
	b.configure(1)
	header := []string{keyLine(newRequestID()), backendstandin.BodySizeHeader + ": 20000"}
	r := b.call(0, http.MethodPost, "/v1/call/weka/x", "a", header)
	require.Equal(t, http.StatusOK, r.status)
	require.GreaterOrEqual(t, len(r.body), 20000)
	r = b.call(0, http.MethodPost, "/v1/call/weka/x", "a", header)
	require.Equal(t, http.StatusBadGateway, r.status)
	require.Equal(t, "recorded", r.refusal.Outcome)
	require.Equal(t, ReasonRecordedWithoutBody, r.refusal.Reason)
	require.Equal(t, http.StatusOK, r.refusal.RecordedStatus)
}

// Guards against responses that are truncated or changed: HEAD, large bodies, service
// aliases, and a query that belongs to the backend server.
func TestResponsesAreUnchanged(t *testing.T) {
	b := newTestBed(t)
	b.start(0, func(s *Settings) { s.AllowClientAddress = true })
	b.configure(1)
	r := b.call(0, http.MethodHead, "/v1/call/salio/x", "", nil)
	require.Equal(t, http.StatusOK, r.status)
	require.Empty(t, r.body)
	require.NotEqual(t, "0", r.header.Get("Content-Length"))
	require.NotEmpty(t, r.header.Get("Content-Length"))

	large := fmt.Sprintf("%s: %d", backendstandin.BodySizeHeader, 4<<20)
	r = b.call(0, http.MethodPost, "/v1/call/salio/x", strings.Repeat("x", 1<<20), []string{large})
	require.Equal(t, http.StatusOK, r.status)
	require.Len(t, r.body, 4<<20)
	require.Equal(t, "answered", r.header.Get(HeaderOutcome))
	require.Equal(t, "salio-1", r.header.Get(HeaderBackendServer))
	larger := fmt.Sprintf("%s: %d", backendstandin.BodySizeHeader, 4<<20+1)
	r = b.call(0, http.MethodPost, "/v1/call/single/x", "", []string{larger})
	require.Equal(t, http.StatusGatewayTimeout, r.status)

	r = b.call(0, http.MethodGet, "/v1/call/bakaa/a%2Fb/c?client=me&x=%20", "", nil)
	require.Equal(t, http.StatusOK, r.status)
	require.Contains(t, string(r.body), `"path":"/a%2Fb/c?client=me\u0026x=%20"`)
	require.Equal(t, http.StatusBadRequest, b.call(0, http.MethodGet, "/v1/lookup?service=salio&client=me", "", nil).status)
}

// Guards against requests that stay in the queue after their timeout, and against
// bodies beyond the memory limit.
func TestTimeouts(t *testing.T) {
	b := newTestBed(t)
	b.start(0, nil)
	b.configure(1)
	// At first no service time is known, so the request is queued. Later the service
	// time is known to be longer than the time left.
	for _, reason := range []Reason{ReasonDeadline, ReasonOverload} {
		var first sync.WaitGroup
		first.Go(func() {
			b.call(0, http.MethodGet, "/v1/call/single/x", "", []string{backendstandin.ServiceTimeHeader + ": 1s"})
		})
		time.Sleep(300 * time.Millisecond)
		r := b.call(0, http.MethodGet, "/v1/call/single/x", "", []string{"Request-Timeout-Ms: 200"})
		require.Equal(t, reason, r.refusal.Reason, "%s", r.body)
		require.Equal(t, http.StatusServiceUnavailable, r.status)
		first.Wait()
	}

	b.start(1, func(s *Settings) { s.MaxBufferedBytes = 1000 })
	b.eventually("configuration of e2", func() bool { return b.call(1, http.MethodGet, "/v1/ready", "", nil).status == http.StatusOK })
	r := b.call(1, http.MethodPost, "/v1/call/salio/x", strings.Repeat("x", 2000), nil)
	require.Equal(t, ReasonOverload, r.refusal.Reason, "%s", r.body)
}

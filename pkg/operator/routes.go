package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/dandelionrack/dandelionrack/pkg/config"
)

const (
	// MaxChangeBytes bounds the body of a change; the largest is a deployment
	// with its client blocks.
	MaxChangeBytes = 8 << 20

	// MaxHistory bounds the changes that one request can read.
	MaxHistory = 1000

	defaultHistory = 20
)

// Routes returns the handlers of the operator API. Every request must carry
// the token as a bearer token. An empty token refuses every request.
func Routes(b Backend, token string) []rest.Route {
	h := &handlers{backend: b, token: sha256.Sum256([]byte(token)), disabled: token == ""}
	return []rest.Route{
		h.route(http.MethodPost, "/v1/changes", h.submitChange),
		h.route(http.MethodGet, "/v1/document", h.document),
		h.route(http.MethodGet, "/v1/history", h.history),
		h.route(http.MethodGet, "/v1/drains/:id", byID(b.DrainStatus)),
		h.route(http.MethodGet, "/v1/traces/:id", byID(b.Trace)),
		h.route(http.MethodGet, "/v1/burn", withoutID(b.Burn)),
		h.route(http.MethodGet, "/v1/routes", withoutID(b.Routes)),
		h.route(http.MethodGet, "/v1/unresolved", h.unresolved),
		h.route(http.MethodPost, "/v1/unresolved/resolve", h.resolve),
		h.route(http.MethodGet, "/v1/status", withoutID(b.Status)),
		h.route(http.MethodPost, "/v1/blocks/missing", h.missingBlocks),
		h.route(http.MethodPut, "/v1/blocks/objects/:id", h.putBlock),
	}
}

type handlers struct {
	backend  Backend
	token    [sha256.Size]byte
	disabled bool
}

// handlerFunc returns the body of a successful response.
type handlerFunc func(r *http.Request) (any, error)

func (h *handlers) route(method, path string, f handlerFunc) rest.Route {
	return rest.Route{Method: method, Path: path, Handler: h.wrap(f)}
}

func (h *handlers) wrap(f handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !h.authorized(r) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeError(w, &Error{Message: "a valid bearer token is needed", Code: CodeUnauthorized, Status: http.StatusUnauthorized})
			return
		}
		body, err := f(r)
		if err != nil {
			writeError(w, classifyError(err))
			return
		}
		httpx.WriteJson(w, http.StatusOK, body)
	}
}

// authorized compares digests, so that its duration reveals neither the content
// nor the length of the token.
func (h *handlers) authorized(r *http.Request) bool {
	given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(given))
	equal := subtle.ConstantTimeCompare(digest[:], h.token[:]) == 1
	return ok && equal && !h.disabled
}

func writeError(w http.ResponseWriter, e *Error) {
	httpx.WriteJson(w, e.Status, e)
}

func (h *handlers) submitChange(r *http.Request) (any, error) {
	var req ChangeRequest
	if err := readChange(r, &req, &req.Change); err != nil {
		return nil, err
	}
	op, err := req.Operation.Unwrap()
	if err != nil {
		return nil, err
	}
	return h.backend.SubmitChange(r.Context(), req.Change, op)
}

// readChange decodes a request body that contains the change ch.
func readChange(r *http.Request, body any, ch *config.Change) error {
	data, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, MaxChangeBytes))
	if err != nil {
		return badRequest("read the change: " + err.Error())
	}
	if err := json.Unmarshal(data, body); err != nil {
		return badRequest("decode the change: " + err.Error())
	}
	// The id must come from the client. Otherwise a retry after a lost response
	// would make the change twice.
	if !config.ValidChangeID(ch.ID) {
		return badRequest("the change needs a valid id")
	}
	return nil
}

func (h *handlers) unresolved(r *http.Request) (any, error) {
	return h.backend.Unresolved(r.Context(), r.URL.Query().Get("resolved") == "true")
}

func (h *handlers) resolve(r *http.Request) (any, error) {
	var req ResolveRequest
	if err := readChange(r, &req, &req.Change); err != nil {
		return nil, err
	}
	return h.backend.Resolve(r.Context(), req)
}

func (h *handlers) document(*http.Request) (any, error) {
	doc := h.backend.Document()
	if doc == nil {
		return nil, &Error{
			Message: "this entry instance has no configuration yet",
			Code:    CodeUnavailable,
			Status:  http.StatusServiceUnavailable,
		}
	}
	return doc, nil
}

func (h *handlers) history(r *http.Request) (any, error) {
	n := defaultHistory
	if text := r.URL.Query().Get("limit"); text != "" {
		var err error
		n, err = strconv.Atoi(text)
		if err != nil || n < 1 || n > MaxHistory {
			return nil, badRequest("limit must be from 1 to " + strconv.Itoa(MaxHistory))
		}
	}
	return h.backend.History(r.Context(), n)
}

func byID[T any](f func(context.Context, string) (T, error)) handlerFunc {
	return func(r *http.Request) (any, error) {
		return f(r.Context(), pathvar.Vars(r)["id"])
	}
}

func withoutID[T any](f func(context.Context) (T, error)) handlerFunc {
	return func(r *http.Request) (any, error) {
		return f(r.Context())
	}
}

func badRequest(message string) error {
	return &Error{Message: message, Code: CodeInvalid, Status: http.StatusBadRequest}
}

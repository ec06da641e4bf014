package restserver

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest/httpx"
)

// router is an httpx.Router based on http.ServeMux. Path variables of the go-zero
// router match a single segment only, but row keys contain slashes.
type router struct {
	mux *http.ServeMux
}

var _ httpx.Router = (*router)(nil)

func newRouter() *router { return &router{mux: http.NewServeMux()} }

func (r *router) Handle(method, path string, handler http.Handler) error {
	r.mux.Handle(method+" "+path, handler)
	return nil
}

func (r *router) ServeHTTP(w http.ResponseWriter, req *http.Request) { r.mux.ServeHTTP(w, req) }

// SetNotFoundHandler is a no-op: the responses of http.ServeMux suffice.
func (r *router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler is a no-op, like SetNotFoundHandler.
func (r *router) SetNotAllowedHandler(http.Handler) {}

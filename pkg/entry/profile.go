package entry

import (
	"crypto/subtle"
	"net/http"
	"net/http/pprof"

	"github.com/zeromicro/go-zero/rest"
)

// profileRoutes returns the routes of the CPU, heap and goroutine profiles. They
// need the operator token, because profiling costs CPU time.
func (e *Entry) profileRoutes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/debug/pprof/profile", Handler: e.requireToken(pprof.Profile)},
		{Method: http.MethodGet, Path: "/debug/pprof/heap", Handler: e.requireToken(pprof.Handler("heap").ServeHTTP)},
		{Method: http.MethodGet, Path: "/debug/pprof/goroutine", Handler: e.requireToken(pprof.Handler("goroutine").ServeHTTP)},
	}
}

func (e *Entry) requireToken(next http.HandlerFunc) http.HandlerFunc {
	want := []byte(e.settings.OperatorToken)
	return func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(bearerToken(r)), want) != 1 {
			http.Error(w, "operator token required", http.StatusUnauthorized)
			return
		}
		next(w, r)
	}
}

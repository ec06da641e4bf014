package restserver

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/zeromicro/go-zero/rest"
)

// Guards against a middleware of rest that is enabled by default: Timeout
// responds with 503 while the handler still runs, Breaker and Shedding refuse
// requests by their own rules, and Recover turns an aborted connection into a
// response.
func TestMiddlewaresAreDisabled(t *testing.T) {
	require.Equal(t, rest.MiddlewaresConf{}, Middlewares())
	s, err := Start("127.0.0.1:0", []rest.Route{{
		Method: http.MethodGet, Path: "/abort",
		Handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	}})
	require.NoError(t, err)
	_, err = http.Get(s.URL() + "/abort")
	require.Error(t, err)
	require.NoError(t, s.Close())
}

// Guards against a server that appears to run although its address is in use.
func TestStartFailsOnAddressInUse(t *testing.T) {
	s, err := Start("127.0.0.1:0", nil)
	require.NoError(t, err)
	defer func() { require.NoError(t, s.Close()) }()
	_, err = Start(s.Addr(), nil)
	require.ErrorContains(t, err, s.Addr())
	_, err = Start("no port", nil)
	require.Error(t, err)
}

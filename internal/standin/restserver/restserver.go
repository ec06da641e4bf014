// Package restserver runs a go-zero rest server for the stand-ins, without
// middlewares, with a router for keys that contain slashes, and with a Close
// method.
package restserver

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest"
)

const startTimeout = 5 * time.Second

// disableLogs disables the process-wide log of go-zero, because the stand-ins
// log with hclog.
var disableLogs = sync.OnceFunc(logx.Disable)

// Server is a running server.
type Server struct {
	http *http.Server
	addr string
}

// Middlewares returns the middleware configuration of rest, in which all are
// disabled.
func Middlewares() rest.MiddlewaresConf {
	return rest.MiddlewaresConf{
		// Timeout responds with 503 while the handler still runs, so a commit
		// could take effect after it was reported as refused.
		Timeout: false,
		// Breaker and Shedding refuse requests by their own rules, but a
		// stand-in must fail only as configured.
		Breaker:  false,
		Shedding: false,
		// Recover would turn http.ErrAbortHandler, which deliberately aborts a
		// connection, into a 500.
		Recover: false,
		// MaxConns responds with 503 without the Not-Written header.
		MaxConns: false,
		// MaxBytes is redundant, as each handler limits its request body.
		MaxBytes: false,
		// Gunzip, Trace, Log, Prometheus and Metrics are unused and slow down
		// load tests.
		Gunzip: false, Trace: false, Log: false, Prometheus: false, Metrics: false,
	}
}

// Start listens on addr and serves the routes until Close. Route paths are
// http.ServeMux patterns without the method.
func Start(addr string, routes []rest.Route) (*Server, error) {
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, errors.Wrapf(err, "address %q", addr)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, errors.Wrapf(err, "port of address %q", addr)
	}
	conf := rest.RestConf{Host: host, Port: port, Middlewares: Middlewares()}
	conf.Name = "standin"
	engine, err := rest.NewServer(conf, rest.WithRouter(newRouter()))
	if err != nil {
		return nil, errors.Wrap(err, "rest server")
	}
	disableLogs()
	engine.AddRoutes(routes)
	return startEngine(engine, addr)
}

// startEngine starts the engine and waits until it listens. The engine panics
// if it cannot listen.
func startEngine(engine *rest.Server, addr string) (*Server, error) {
	started := make(chan *Server, 1)
	failed := make(chan error, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				failed <- errors.Errorf("listen on %s: %v", addr, p)
			}
		}()
		// After Close, this call blocks until the process exits, because
		// go-zero keeps a shutdown listener for each server.
		engine.StartWithOpts(func(s *http.Server) {
			s.BaseContext = func(l net.Listener) context.Context {
				started <- &Server{http: s, addr: l.Addr().String()}
				return context.Background()
			}
		})
	}()
	select {
	case s := <-started:
		return s, nil
	case err := <-failed:
		return nil, err
	case <-time.After(startTimeout):
		return nil, errors.Errorf("listen on %s: no listener after %s", addr, startTimeout)
	}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.addr }

// Close stops the server and closes its connections.
func (s *Server) Close() error { return s.http.Close() }

// WriteJSON writes a response with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// ReadJSON decodes a request body of at most limit bytes into v and rejects
// unknown keys. On invalid input it responds with 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, fmt.Sprintf("body: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

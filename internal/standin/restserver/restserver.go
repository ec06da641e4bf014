// Package restserver runs a go-zero rest server for the stand-ins, with each
// middleware chosen, a router for keys that contain slashes, and a Close.
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

// quietLogs switches off the process-wide log of go-zero: the stand-ins log
// with hclog.
var quietLogs = sync.OnceFunc(logx.Disable)

// Server is a running server.
type Server struct {
	http *http.Server
	addr string
}

// Middlewares lists which middlewares of rest are on, and why not.
func Middlewares() rest.MiddlewaresConf {
	return rest.MiddlewaresConf{
		// Timeout answers 503 while the handler still runs, so a commit could
		// take effect after its refusal.
		Timeout: false,
		// Breaker and Shedding refuse requests by rules of their own; a
		// stand-in fails only as its settings say.
		Breaker:  false,
		Shedding: false,
		// Recover would turn http.ErrAbortHandler, which breaks a connection
		// on purpose, into a 500.
		Recover: false,
		// MaxConns answers 503 without the Not-Written header.
		MaxConns: false,
		// MaxBytes is off, as each handler bounds its own body.
		MaxBytes: false,
		// Gunzip, Trace, Log, Prometheus and Metrics are of no use here and
		// cost time in load tests.
		Gunzip: false, Trace: false, Log: false, Prometheus: false, Metrics: false,
	}
}

// Start listens on addr and serves the routes until Close. Route paths are
// patterns of http.ServeMux without the method.
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
	quietLogs()
	engine.AddRoutes(routes)
	return run(engine, addr)
}

// run starts the engine and waits until it listens. The engine reports a
// failed listen by a panic.
func run(engine *rest.Server, addr string) (*Server, error) {
	started := make(chan *Server, 1)
	failed := make(chan error, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				failed <- errors.Errorf("listen on %s: %v", addr, p)
			}
		}()
		// After Close this call waits for the end of the process inside
		// go-zero, which keeps a shutdown listener for each server.
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

// Addr is the address that the server listens on.
func (s *Server) Addr() string { return s.addr }

// URL is the base URL of the server.
func (s *Server) URL() string { return "http://" + s.addr }

// Close stops the server and breaks its connections.
func (s *Server) Close() error { return s.http.Close() }

// WriteJSON answers with a status and a JSON body.
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

// ReadJSON decodes a bounded body over the value of v, and refuses unknown
// keys. It answers 400 and returns false on bad input.
func ReadJSON(w http.ResponseWriter, r *http.Request, limit int64, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		http.Error(w, fmt.Sprintf("body: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

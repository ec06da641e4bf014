package bench

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/entry"
)

const (
	// directAttempts bounds the servers that one request is sent to, because
	// the system also bounds its attempts.
	directAttempts = 3
	// directLookupTTL is longer than a run, so that a direct caller looks up
	// once.
	directLookupTTL = time.Hour
)

// directTransport is an http.RoundTripper for loadgen callers that bypasses the
// system: it answers lookups itself and sends each call to a backend server that
// the balancer picks, and to another one if that server sheds the call.
type directTransport struct {
	next     http.RoundTripper
	balancer balancer
	servers  map[string][]config.BackendServer // by service
	// delay is the one-way delay from the callers to a failure domain.
	delay func(failureDomain string) time.Duration
}

// RoundTrip implements http.RoundTripper.
func (d *directTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	rest, isCall := strings.CutPrefix(req.URL.Path, "/v1/call/")
	if !isCall {
		return jsonResponse(req, http.StatusOK, entry.LookupResponse{
			TTLMS:   directLookupTTL.Milliseconds(),
			Entries: []entry.LookupEntry{{ID: "direct", Addr: "127.0.0.1:1"}},
		}), nil
	}
	service, path, _ := strings.Cut(rest, "/")
	body, err := readAll(req.Body)
	if err != nil {
		return nil, err
	}
	servers := slices.Clone(d.servers[service])
	for range directAttempts {
		if len(servers) == 0 {
			break
		}
		resp, server, err := d.attempt(req, servers, "/"+path, body)
		if err != nil || !isShed(resp) {
			return resp, err
		}
		_ = resp.Body.Close()
		servers = slices.DeleteFunc(servers, func(s config.BackendServer) bool { return s.ID == server })
	}
	resp := jsonResponse(req, http.StatusServiceUnavailable, entry.Refusal{Outcome: loadgen.OutcomeNotRun, Reason: entry.ReasonOverload})
	resp.Header.Set(entry.HeaderOutcome, loadgen.OutcomeNotRun)
	return resp, nil
}

func readAll(body io.ReadCloser) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	defer func() { _ = body.Close() }()
	return io.ReadAll(body)
}

func isShed(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Not-Run") == "true"
}

// attempt sends the request to one server with the network delay in both
// directions.
func (d *directTransport) attempt(req *http.Request, servers []config.BackendServer, path string, body []byte) (*http.Response, string, error) {
	server, done := d.balancer.pick(servers)
	defer done()
	// net/http does not retry a request whose body has a reader type that it
	// does not know.
	var reader io.Reader
	if len(body) > 0 {
		reader = io.MultiReader(bytes.NewReader(body))
	}
	out, err := http.NewRequestWithContext(req.Context(), req.Method, "http://"+server.Addr+path, reader)
	if err != nil {
		return nil, server.ID, err
	}
	out.Header = req.Header.Clone()
	delay := d.delay(server.FailureDomain)
	time.Sleep(delay)
	resp, err := d.next.RoundTrip(out)
	if err != nil {
		return nil, server.ID, errors.Wrapf(err, "backend server %s", server.ID)
	}
	answer, err := readAll(resp.Body)
	if err != nil {
		return nil, server.ID, errors.Wrapf(err, "backend server %s", server.ID)
	}
	time.Sleep(delay)
	resp.Body = io.NopCloser(bytes.NewReader(answer))
	if resp.StatusCode == http.StatusOK {
		resp.Header.Set(entry.HeaderOutcome, loadgen.OutcomeAnswered)
		resp.Header.Set(entry.HeaderBackendServer, server.ID)
	} else {
		// The stand-in sends any other status only if it aborted the run.
		resp.Header.Set(entry.HeaderOutcome, loadgen.OutcomeUnknown)
	}
	return resp, server.ID, nil
}

func jsonResponse(req *http.Request, status int, body any) *http.Response {
	data, _ := json.Marshal(body) // these structs always encode
	return &http.Response{
		StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: req,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   io.NopCloser(bytes.NewReader(data)), ContentLength: int64(len(data)),
	}
}

// directCallers returns one caller per failure domain that uses a balancer
// instead of the system.
func directCallers(dep config.Deployment, toCallers time.Duration, b balancer) []*loadgen.Caller {
	servers := map[string][]config.BackendServer{}
	for _, s := range dep.BackendServers {
		for _, name := range s.Services {
			servers[name] = append(servers[name], s)
		}
	}
	shared := loadgen.NewHTTPClient().Transport
	var out []*loadgen.Caller
	for _, fd := range dep.FailureDomains {
		out = append(out, &loadgen.Caller{
			Seeds: []string{"127.0.0.1:1"},
			HTTPClient: &http.Client{Transport: &directTransport{
				next: shared, balancer: b, servers: servers,
				delay: func(to string) time.Duration { return toCallers + delayBetween(dep, fd.Region, dep.RegionOf(to)) },
			}},
		})
	}
	return out
}

func delayBetween(dep config.Deployment, a, b string) time.Duration {
	for _, l := range dep.Links {
		if a != b && ((l.A == a && l.B == b) || (l.A == b && l.B == a)) {
			return l.OneWayDelay.Std()
		}
	}
	return 0
}

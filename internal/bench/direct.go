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
	// directAttempts bounds the servers that one request is sent to, as the
	// system bounds its own attempts.
	directAttempts = 3
	// directLookupTTL keeps the lookup of a direct caller for a whole run.
	directLookupTTL = time.Hour
)

// direct is a transport for loadgen callers that calls backend servers without
// the system between: it answers lookups itself and sends each call to a
// server of the chooser, again to another one if that server shed it.
type direct struct {
	next    http.RoundTripper
	chooser chooser
	servers map[string][]config.BackendServer // by service
	// delay is the one-way delay from the callers to a failure domain.
	delay func(failureDomain string) time.Duration
}

// RoundTrip implements http.RoundTripper.
func (d *direct) RoundTrip(req *http.Request) (*http.Response, error) {
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

// attempt sends the request to one server over the delays of the network.
func (d *direct) attempt(req *http.Request, servers []config.BackendServer, path string, body []byte) (*http.Response, string, error) {
	server, done := d.chooser.pick(servers)
	defer done()
	// A reader of a type that net/http does not know keeps it from sending a
	// request again by itself.
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
		// The stand-in answers otherwise only when it gave up a run.
		resp.Header.Set(entry.HeaderOutcome, loadgen.OutcomeUnknown)
	}
	return resp, server.ID, nil
}

func jsonResponse(req *http.Request, status int, body any) *http.Response {
	data, _ := json.Marshal(body) // plain structs always encode
	return &http.Response{
		StatusCode: status, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Request: req,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   io.NopCloser(bytes.NewReader(data)), ContentLength: int64(len(data)),
	}
}

// directCallers returns callers of each failure domain that use a chooser
// instead of the system.
func directCallers(dep config.Deployment, toClients time.Duration, c chooser) []*loadgen.Caller {
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
			HTTP: &http.Client{Transport: &direct{
				next: shared, chooser: c, servers: servers,
				delay: func(to string) time.Duration { return toClients + delayBetween(dep, fd.Region, dep.RegionOf(to)) },
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

// Package loadgen sends requests as callers do: it looks up entry instances,
// caches the answer and retries as docs/interface.md allows.
package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/entry"
)

// Outcomes of a request as the caller sees it.
const (
	OutcomeAnswered = "answered"
	OutcomeRecorded = "recorded"
	OutcomeNotRun   = "not_run"
	OutcomeUnknown  = "unknown"
)

// Result is the final result of one request.
type Result struct {
	Service       string        `json:"service"`
	Key           string        `json:"key,omitempty"`
	RequestID     string        `json:"request_id,omitempty"`
	Outcome       string        `json:"outcome"`
	Reason        string        `json:"reason,omitempty"`
	Status        int           `json:"status,omitempty"`
	BackendServer string        `json:"backend_server,omitempty"`
	Entry         string        `json:"entry,omitempty"`
	ClientAddr    string        `json:"client,omitempty"`
	Attempts      int           `json:"attempts"`
	SentAt        time.Time     `json:"sent_at"`
	Latency       time.Duration `json:"latency_ns"`
	// NextKey is the entry-issued key in a refusal, for the next request.
	NextKey string `json:"next_key,omitempty"`
	Body    []byte `json:"-"`
}

// Caller is one client of the system with its own lookup cache. It is safe for
// concurrent use.
type Caller struct {
	// Seeds are caller addresses of the entry instances that are asked for
	// lookups.
	Seeds []string
	Token string
	// ClientAddr is the address that determines the home region. If empty, it
	// is the address of the connection.
	ClientAddr string
	// AddressMap maps addresses of entry instances to the addresses to dial.
	AddressMap map[string]string
	// HTTPClient must not retry requests by itself; see NewHTTPClient.
	HTTPClient *http.Client

	mu    sync.Mutex
	cache map[string]cachedLookup
	pools map[string]*keyPool // by service
}

type cachedLookup struct {
	entries   []entry.LookupEntry
	expiresAt time.Time
}

// NewHTTPClient returns a client with keep-alive and a bounded number of idle
// connections. Requests of this package with a body or a key are not replayable,
// so net/http does not retry them.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
	}}
}

// Request is a request of a caller.
type Request struct {
	Service string
	Path    string
	Method  string
	Body    []byte
	Header  http.Header
	// Key is the idempotency key, with which the request runs at most once.
	// It is empty for idempotent services.
	Key string
	// UseIssuedKey requests a key from the first entry instance instead of using Key.
	UseIssuedKey bool
	Timeout      time.Duration
}

// NewKey returns a caller-made idempotency key.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

// retryDelay is the time between two rounds over all entry instances.
const retryDelay = 50 * time.Millisecond

// Do sends a request until its result is final or its timeout has passed.
func (c *Caller) Do(ctx context.Context, r Request) Result {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	res := Result{Service: r.Service, Key: r.Key, ClientAddr: c.ClientAddr, SentAt: started, Outcome: OutcomeNotRun, Reason: "no_entry"}
	if r.UseIssuedKey {
		key, err := c.issuedKey(ctx, r.Service)
		if err != nil {
			res.Latency = time.Since(started)
			return res
		}
		r.Key, res.Key = key, key
	}
	earlierAttempt := false
	for ctx.Err() == nil {
		entries := c.lookup(ctx, r.Service)
		for _, e := range entries {
			attempt, sent, final := c.send(ctx, r, e)
			res.Attempts++
			if !sent {
				continue
			}
			res = mergeAttempts(res, attempt, earlierAttempt && r.Key != "")
			earlierAttempt = true
			if final {
				res.Latency = time.Since(started)
				return res
			}
			if ctx.Err() != nil {
				break
			}
		}
		c.dropLookup(r.Service)
		if wait.Sleep(ctx, retryDelay) != nil {
			break
		}
	}
	res.Latency = time.Since(started)
	return res
}

// mergeAttempts returns the result after another attempt. If the outcome of the
// earlier attempt is unknown, a later "not run" holds only for the later attempt.
func mergeAttempts(old, latest Result, earlierAttempt bool) Result {
	latest.Attempts = old.Attempts
	latest.SentAt = old.SentAt
	if earlierAttempt && old.Outcome == OutcomeUnknown && latest.Outcome == OutcomeNotRun {
		latest.Outcome = OutcomeUnknown
	}
	return latest
}

// send makes one attempt. sent is false if the entry instance cannot have
// received anything; final is false if another entry instance may be tried.
func (c *Caller) send(ctx context.Context, r Request, e entry.LookupEntry) (res Result, sent, final bool) {
	res = Result{Service: r.Service, Key: r.Key, ClientAddr: c.ClientAddr, Outcome: OutcomeUnknown, Reason: "connection_lost"}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.dialAddr(e.Addr)+"/v1/call/"+r.Service+r.Path, bodyReader(r))
	if err != nil {
		res.Reason = err.Error()
		return res, true, true
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	c.setIdentity(req)
	if r.Key != "" {
		req.Header.Set(entry.HeaderIdempotencyKey, r.Key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(entry.HeaderRequestTimeout, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	resp, err := c.HTTPClient.Do(req)
	if err != nil {
		return res, !isDialError(err), false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || !isFramed(r.Method, resp) {
		return res, true, false
	}
	res.Status = resp.StatusCode
	res.Body = body
	res.Outcome = resp.Header.Get(entry.HeaderOutcome)
	res.RequestID = resp.Header.Get(entry.HeaderRequestID)
	res.BackendServer = resp.Header.Get(entry.HeaderBackendServer)
	res.Entry = resp.Header.Get(entry.HeaderEntry)
	res.Reason = ""
	if res.Outcome == OutcomeAnswered || res.Outcome == OutcomeRecorded {
		return res, true, true
	}
	var refusal entry.Refusal
	_ = json.Unmarshal(body, &refusal)
	res.Reason = string(refusal.Reason)
	res.NextKey = refusal.NextKey
	return res, true, isFinal(r, res)
}

// isFramed reports whether the end of the body is known without the connection being
// closed. An entry instance frames every response; the end of another one cannot be
// told from a reset.
func isFramed(method string, resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || method == http.MethodHead ||
		resp.Uncompressed || // gzip marks its end
		resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

// isFinal reports whether another attempt cannot improve the result. After an
// unknown outcome the request is sent again with the same key, because another
// entry instance may have the recorded answer.
func isFinal(r Request, res Result) bool {
	switch {
	case res.Reason == string(entry.ReasonNotReady):
		return false
	case res.Outcome == OutcomeUnknown && r.Key != "":
		return false
	default:
		return true
	}
}

// bodyReader hides the type of the body from net/http, which otherwise retries
// the request; it also retries one with an Idempotency-Key and no body. A refused
// connection on the retry would hide that the first request arrived.
func bodyReader(r Request) io.Reader {
	if len(r.Body) == 0 && r.Key == "" {
		return nil
	}
	return io.MultiReader(bytes.NewReader(r.Body))
}

func isDialError(err error) bool {
	if op := (*net.OpError)(nil); errors.As(err, &op) && op.Op == "dial" {
		return true
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (c *Caller) dialAddr(addr string) string {
	if mapped, ok := c.AddressMap[addr]; ok {
		return mapped
	}
	return addr
}

func (c *Caller) setIdentity(req *http.Request) {
	req.Header.Set("Authorization", "Bearer "+c.Token)
	if c.ClientAddr != "" {
		req.Header.Set("Client-Address", c.ClientAddr)
	}
}

// lookup returns the ranked entry instances, from the cache while it is valid.
// If no seed answers, it returns the expired entries, if any.
func (c *Caller) lookup(ctx context.Context, service string) []entry.LookupEntry {
	c.mu.Lock()
	cached, ok := c.cache[service]
	c.mu.Unlock()
	if ok && time.Now().Before(cached.expiresAt) {
		return cached.entries
	}
	for _, seed := range c.Seeds {
		answer, err := c.fetchLookup(ctx, seed, service)
		if err != nil || len(answer.Entries) == 0 {
			continue
		}
		c.mu.Lock()
		if c.cache == nil {
			c.cache = map[string]cachedLookup{}
		}
		c.cache[service] = cachedLookup{answer.Entries, time.Now().Add(time.Duration(answer.TTLMS) * time.Millisecond)}
		c.mu.Unlock()
		return answer.Entries
	}
	return cached.entries
}

func (c *Caller) dropLookup(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cache, service)
}

// lookupTimeout bounds one lookup, so that an unresponsive entry instance does
// not use up the timeout of the request.
const lookupTimeout = 500 * time.Millisecond

func (c *Caller) fetchLookup(ctx context.Context, seed, service string) (entry.LookupResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var answer entry.LookupResponse
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.dialAddr(seed)+"/v1/lookup?service="+url.QueryEscape(service), nil)
	if err != nil {
		return answer, err
	}
	c.setIdentity(req)
	resp, err := c.HTTPClient.Do(req)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return answer, errors.Errorf("lookup: status %d", resp.StatusCode)
	}
	return answer, json.NewDecoder(resp.Body).Decode(&answer)
}

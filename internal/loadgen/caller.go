// Package loadgen sends requests as callers do: it looks entry instances up,
// caches the answer, and retries as docs/interface.md allows.
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

// Result is the end of one request.
type Result struct {
	Service       string        `json:"service"`
	Key           string        `json:"key,omitempty"`
	RequestID     string        `json:"request_id,omitempty"`
	Outcome       string        `json:"outcome"`
	Reason        string        `json:"reason,omitempty"`
	Status        int           `json:"status,omitempty"`
	BackendServer string        `json:"backend_server,omitempty"`
	Entry         string        `json:"entry,omitempty"`
	Client        string        `json:"client,omitempty"`
	Attempts      int           `json:"attempts"`
	SentAt        time.Time     `json:"sent_at"`
	Latency       time.Duration `json:"latency_ns"`
	// NextKey is the entry-issued key that a refusal offered.
	NextKey string `json:"next_key,omitempty"`
	Body    []byte `json:"-"`
}

// Caller is one client of the system with its own cache of lookups. It is
// safe for concurrent use.
type Caller struct {
	// Seeds are callers' addresses of entry instances to ask for lookups.
	Seeds []string
	Token string
	// Client is the address that decides the home region; empty uses the
	// address of the connection.
	Client string
	// AddressMap replaces addresses by the ones they are reached through.
	AddressMap map[string]string
	// HTTP must not resend requests by itself; NewHTTPClient makes one.
	HTTP *http.Client

	mu    sync.Mutex
	cache map[string]cachedLookup
	pools map[string]*keyPool // by service
}

type cachedLookup struct {
	entries []entry.LookupEntry
	until   time.Time
}

// NewHTTPClient returns a client with bounded connections. Keep-alive is used;
// requests with a body or a key are not replayable, so net/http does not resend them.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
	}}
}

// Request is what a caller wants done.
type Request struct {
	Service string
	Path    string
	Method  string
	Body    []byte
	Header  http.Header
	// Key makes the request run at most once; empty for idempotent services.
	Key string
	// IssuedKey takes a key of the first entry instance in place of Key.
	IssuedKey bool
	Timeout   time.Duration
}

// NewKey returns a caller-made idempotency key.
func NewKey() string { return uuid.Must(uuid.NewV7()).String() }

// retryPause is the pause between two rounds over all entry instances.
const retryPause = 50 * time.Millisecond

// Do sends a request until it has an end or its time is over.
func (c *Caller) Do(ctx context.Context, r Request) Result {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	res := Result{Service: r.Service, Key: r.Key, Client: c.Client, SentAt: started, Outcome: OutcomeNotRun, Reason: "no_entry"}
	if r.IssuedKey {
		key, err := c.issuedKey(ctx, r.Service)
		if err != nil {
			res.Latency = time.Since(started)
			return res
		}
		r.Key, res.Key = key, key
	}
	sentOnce := false
	for ctx.Err() == nil {
		entries := c.lookup(ctx, r.Service)
		for _, e := range entries {
			one, sent, final := c.send(ctx, r, e)
			res.Attempts++
			if !sent {
				continue
			}
			res = merge(res, one, sentOnce && r.Key != "")
			sentOnce = true
			if final {
				res.Latency = time.Since(started)
				return res
			}
			if ctx.Err() != nil {
				break
			}
		}
		c.forget(r.Service)
		if wait.Sleep(ctx, retryPause) != nil {
			break
		}
	}
	res.Latency = time.Since(started)
	return res
}

// merge keeps what is known. After an attempt without an answer, a later
// "not run" speaks only for the later attempt.
func merge(old, latest Result, earlierAttempt bool) Result {
	latest.Attempts = old.Attempts
	latest.SentAt = old.SentAt
	if earlierAttempt && old.Outcome == OutcomeUnknown && latest.Outcome == OutcomeNotRun {
		latest.Outcome = OutcomeUnknown
	}
	return latest
}

// send makes one attempt. sent is false if nothing can have reached the entry
// instance; final is false if another entry instance may be tried.
func (c *Caller) send(ctx context.Context, r Request, e entry.LookupEntry) (res Result, sent, final bool) {
	res = Result{Service: r.Service, Key: r.Key, Client: c.Client, Outcome: OutcomeUnknown, Reason: "connection_lost"}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+c.reach(e.Addr)+"/v1/call/"+r.Service+r.Path, bodyReader(r))
	if err != nil {
		res.Reason = err.Error()
		return res, true, true
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	c.identify(req)
	if r.Key != "" {
		req.Header.Set(entry.HeaderIdempotencyKey, r.Key)
	}
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(entry.HeaderRequestTimeout, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return res, !isDialError(err), false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
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

// isFinal reports whether asking another entry instance is of no use. An
// unknown outcome is asked again with the same key: another entry instance may
// hold the recorded answer.
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

// bodyReader hides the body's type from net/http, which otherwise resends it. A
// request with an Idempotency-Key and no body is resent as well, and a refused
// connection of the second sending would hide that the first one arrived.
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

func (c *Caller) reach(addr string) string {
	if mapped, ok := c.AddressMap[addr]; ok {
		return mapped
	}
	return addr
}

func (c *Caller) identify(req *http.Request) {
	req.Header.Set("Authorization", "Bearer "+c.Token)
	if c.Client != "" {
		req.Header.Set("Client-Address", c.Client)
	}
}

// lookup returns the ranked entry instances, from the cache while it is valid.
// Without any answer the seeds are used as they are.
func (c *Caller) lookup(ctx context.Context, service string) []entry.LookupEntry {
	c.mu.Lock()
	cached, ok := c.cache[service]
	c.mu.Unlock()
	if ok && time.Now().Before(cached.until) {
		return cached.entries
	}
	for _, seed := range c.Seeds {
		answer, err := c.askLookup(ctx, seed, service)
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

func (c *Caller) forget(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.cache, service)
}

// lookupTimeout bounds one lookup, so that a frozen entry instance does not
// use up the request's time.
const lookupTimeout = 500 * time.Millisecond

func (c *Caller) askLookup(ctx context.Context, seed, service string) (entry.LookupResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var answer entry.LookupResponse
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.reach(seed)+"/v1/lookup?service="+url.QueryEscape(service), nil)
	if err != nil {
		return answer, err
	}
	c.identify(req)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return answer, errors.Errorf("lookup: status %d", resp.StatusCode)
	}
	return answer, json.NewDecoder(resp.Body).Decode(&answer)
}

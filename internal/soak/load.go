package soak

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/platform/standin"
)

const (
	// clientTimeout is the response time limit that clients send with a request.
	clientTimeout = 1200 * time.Millisecond
	// responseWait exceeds clientTimeout, so that late responses are detected.
	responseWait = 3 * time.Second
	// lookupCacheTTL is how long clients cache a lookup response.
	lookupCacheTTL   = time.Second
	affinityKeyCount = 60
	maxPause         = 120 * time.Millisecond
	cancelShare      = 0.02 // share of requests that the client cancels early
	maxBodyPadding   = 2000
)

// client sends requests one after the other over persistent connections.
type client struct {
	env        *environment
	number     int
	domain     string
	random     *rand.Rand
	httpClient *http.Client

	addrs        []string
	resolvedAt   time.Time
	requestCount int
}

func newClient(e *environment, number int, seed uint64) *client {
	return &client{
		env: e, number: number, domain: domainNames[number%len(domainNames)],
		random: rand.New(rand.NewPCG(seed, uint64(number))), httpClient: newHTTPClient(),
	}
}

func (c *client) run(ctx context.Context) {
	defer c.httpClient.CloseIdleConnections()
	for ctx.Err() == nil {
		c.resolve(ctx)
		if len(c.addrs) > 0 {
			c.request(ctx, c.addrs[c.random.IntN(len(c.addrs))])
		}
		_ = wait.Sleep(ctx, time.Duration(c.random.Int64N(int64(maxPause)))) // the loop condition checks ctx
	}
}

// resolve updates the addresses from the directory of an entry instance, trying
// those in the client's failure domain first.
func (c *client) resolve(ctx context.Context) {
	if time.Since(c.resolvedAt) < lookupCacheTTL && len(c.addrs) > 0 {
		return
	}
	order := append([]*entryInstance{}, c.env.instances...)
	first := 0
	for i, inst := range order {
		if inst.FailureDomain == c.domain {
			order[first], order[i] = order[i], order[first]
			first++
		}
	}
	for _, inst := range order {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		addrs, err := standin.Lookup(callCtx, c.env.httpClient, inst.DirectoryAddr, c.env.domains[c.domain], c.domain)
		cancel()
		if err != nil || len(addrs) == 0 {
			continue
		}
		c.addrs, c.resolvedAt = addrs, time.Now()
		c.env.checker.LookupResponseReceived(time.Now(), inst.ID, c.env.instanceIDs(addrs))
		return
	}
}

func (e *environment) instanceIDs(addrs []string) []string {
	var out []string
	for _, addr := range addrs {
		if inst := e.instanceAt(addr); inst != nil {
			out = append(out, inst.ID)
		}
	}
	return out
}

func (e *environment) instanceAt(addr string) *entryInstance {
	for _, inst := range e.instances {
		if inst.ClientAddr == addr {
			return inst
		}
	}
	return nil
}

func (c *client) request(ctx context.Context, addr string) {
	inst := c.env.instanceAt(addr)
	if inst == nil {
		return
	}
	s := c.newRequest("c", inst)
	cancels := c.random.Float64() < cancelShare
	c.env.checker.RequestSent(s)
	timeout := responseWait
	if cancels {
		timeout = time.Duration(c.random.Int64N(int64(meanServiceTime)))
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	response, err := standin.Send(callCtx, c.httpClient, addr, s.Request)
	now := time.Now()
	switch {
	case err == nil:
		c.env.checker.ResponseReceived(now, s, response)
		if response.ClosesConnection {
			c.resolvedAt = time.Time{}
		}
	case cancels && callCtx.Err() != nil:
		c.env.checker.RequestCanceled()
	default:
		c.env.checker.ResponseLost(now, s, err)
		c.resolvedAt, c.addrs = time.Time{}, nil
	}
}

// newRequest draws a request. The prefix of its ID distinguishes kinds of clients.
func (c *client) newRequest(prefix string, inst *entryInstance) *clientRequest {
	c.env.mu.Lock()
	doc := c.env.document()
	c.env.mu.Unlock()
	route := c.pickRoute(doc.Routes)
	c.requestCount++
	s := &clientRequest{
		Request: standin.Request{
			ID: fmt.Sprintf("%s%d-%d", prefix, c.number, c.requestCount), Host: host, Method: http.MethodPost, TimeLeft: clientTimeout,
			Target: route.Prefix + fmt.Sprintf("item?n=%d", c.requestCount), AffinityKey: fmt.Sprint(c.random.IntN(affinityKeyCount)),
		},
		route: route, instance: inst.ID, at: time.Now(),
	}
	s.setBody(fmt.Sprintf("%s %0*d", s.ID, c.random.IntN(maxBodyPadding)+1, 0))
	return s
}

func (s *clientRequest) setBody(body string) {
	sum := sha256.Sum256([]byte(body))
	s.Body, s.bodySum = body, hex.EncodeToString(sum[:])
}

// pickRoute returns a random route that allows the client's region.
func (c *client) pickRoute(routes []fleet.Route) *fleet.Route {
	for {
		r := &routes[c.random.IntN(len(routes))]
		if len(r.AllowedRegions) == 0 || r.AllowedRegions[0] == c.env.domains[c.domain] {
			return r
		}
	}
}

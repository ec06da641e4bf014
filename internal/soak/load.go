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
	// clientTime is the time that clients wait for an answer.
	clientTime = 1200 * time.Millisecond
	// clientPatience is beyond the time limit, so that a late answer is seen.
	clientPatience = 3 * time.Second
	// lookupLife is how long clients keep an answer of the directory.
	lookupLife  = time.Second
	objects     = 60
	maxPause    = 120 * time.Millisecond
	leaveShare  = 0.02 // of the requests: the client leaves early
	clientBytes = 2000
)

// client sends requests one after the other, over kept connections.
type client struct {
	bed    *bed
	number int
	domain string
	random *rand.Rand
	http   *http.Client

	addrs   []string
	askedAt time.Time
	count   int
}

func newClient(b *bed, number int, seed uint64) *client {
	return &client{
		bed: b, number: number, domain: domainNames[number%len(domainNames)],
		random: rand.New(rand.NewPCG(seed, uint64(number))), http: newHTTPClient(),
	}
}

func (c *client) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		c.resolve(ctx)
		if len(c.addrs) > 0 {
			c.request(ctx, c.addrs[c.random.IntN(len(c.addrs))])
		}
		_ = wait.Sleep(ctx, time.Duration(c.random.Int64N(int64(maxPause)))) // the loop sees the end
	}
}

// resolve asks entry instances of the own failure domain first.
func (c *client) resolve(ctx context.Context) {
	if time.Since(c.askedAt) < lookupLife && len(c.addrs) > 0 {
		return
	}
	order := append([]*gate{}, c.bed.gates...)
	first := 0
	for i, g := range order {
		if g.FailureDomain == c.domain {
			order[first], order[i] = order[i], order[first]
			first++
		}
	}
	for _, g := range order {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		addrs, err := standin.Lookup(callCtx, c.bed.http, g.DirectoryAddr, domains[c.domain], c.domain)
		cancel()
		if err != nil || len(addrs) == 0 {
			continue
		}
		c.addrs, c.askedAt = addrs, time.Now()
		c.bed.ledger.LookupAnswered(time.Now(), g.ID, c.bed.gateIDs(addrs))
		return
	}
}

func (b *bed) gateIDs(addrs []string) []string {
	var out []string
	for _, addr := range addrs {
		if g := b.gateAt(addr); g != nil {
			out = append(out, g.ID)
		}
	}
	return out
}

func (b *bed) gateAt(addr string) *gate {
	for _, g := range b.gates {
		if g.ClientAddr == addr {
			return g
		}
	}
	return nil
}

func (c *client) request(ctx context.Context, addr string) {
	g := c.bed.gateAt(addr)
	if g == nil {
		return
	}
	c.bed.mu.Lock()
	doc := c.bed.document()
	c.bed.mu.Unlock()
	route := c.pick(doc.Routes)
	c.count++
	s := &sent{
		Request: standin.Request{
			ID: fmt.Sprintf("c%d-%d", c.number, c.count), Host: host, Method: http.MethodPost, TimeLeft: clientTime,
			Target: route.Prefix + fmt.Sprintf("item?n=%d", c.count), AffinityKey: fmt.Sprint(c.random.IntN(objects)),
		},
		route: route, gate: g.ID, at: time.Now(),
	}
	s.Body = fmt.Sprintf("%s %0*d", s.ID, c.random.IntN(clientBytes)+1, 0)
	sum := sha256.Sum256([]byte(s.Body))
	s.sum = hex.EncodeToString(sum[:])
	leaves := c.random.Float64() < leaveShare
	c.bed.ledger.RequestSent(s)
	patience := clientPatience
	if leaves {
		patience = time.Duration(c.random.Int64N(int64(serverWork)))
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), patience)
	defer cancel()
	reply, err := standin.Send(callCtx, c.http, addr, s.Request)
	now := time.Now()
	switch {
	case err == nil:
		c.bed.ledger.ResponseReceived(now, s, reply)
		if reply.ClosesConnection {
			c.askedAt = time.Time{}
		}
	case leaves && callCtx.Err() != nil:
		c.bed.ledger.RequestCanceled()
	default:
		c.bed.ledger.ResponseLost(now, s, err)
		c.askedAt, c.addrs = time.Time{}, nil
	}
}

// pick draws a route. A client outside the region of the home route does not
// use it.
func (c *client) pick(routes []fleet.Route) *fleet.Route {
	for {
		r := &routes[c.random.IntN(len(routes))]
		if len(r.AllowedRegions) == 0 || r.AllowedRegions[0] == domains[c.domain] {
			return r
		}
	}
}

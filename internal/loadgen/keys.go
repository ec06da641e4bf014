package loadgen

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

const (
	// keysReady is how many entry-issued keys a caller keeps for its next
	// requests, so that fetching them does not delay a request.
	keysReady = 4
	// keyMaxAge is far below the 24 h after which a key is refused.
	keyMaxAge       = time.Hour
	keyFetchTimeout = time.Second
)

// keyPool holds the unused keys of one service at one entry instance.
type keyPool struct {
	addr     string
	keys     []fetchedKey
	fetching int
}

type fetchedKey struct {
	key string
	at  time.Time
}

// issuedKey returns a key of the entry instance that the next request goes to
// first, from the pool if there is one.
func (c *Caller) issuedKey(ctx context.Context, service string) (string, error) {
	entries := c.lookup(ctx, service)
	if len(entries) == 0 {
		return "", errors.New("no entry instance to ask for a key")
	}
	addr := entries[0].Addr
	defer c.refillKeys(ctx, service, addr)
	if key := c.takeKey(service, addr); key != "" {
		return key, nil
	}
	return c.IssueKey(ctx, service, addr)
}

// takeKey removes a key from the pool. Keys of another entry instance are
// dropped: a request would be passed on to it.
func (c *Caller) takeKey(service, addr string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools == nil {
		c.pools = map[string]*keyPool{}
	}
	p := c.pools[service]
	if p == nil || p.addr != addr {
		p = &keyPool{addr: addr}
		c.pools[service] = p
	}
	for len(p.keys) > 0 {
		first := p.keys[0]
		p.keys = p.keys[1:]
		if time.Since(first.at) < keyMaxAge {
			return first.key
		}
	}
	return ""
}

// refillKeys fetches the missing keys in the background.
func (c *Caller) refillKeys(ctx context.Context, service, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[service]
	if p == nil || p.addr != addr {
		return
	}
	for len(p.keys)+p.fetching < keysReady {
		p.fetching++
		go c.fetchKey(context.WithoutCancel(ctx), p, service)
	}
}

func (c *Caller) fetchKey(ctx context.Context, p *keyPool, service string) {
	ctx, cancel := context.WithTimeout(ctx, keyFetchTimeout)
	defer cancel()
	key, err := c.IssueKey(ctx, service, p.addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	p.fetching--
	if err == nil {
		p.keys = append(p.keys, fetchedKey{key, time.Now()})
	}
}

package loadgen

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

const (
	// keyPoolSize is the number of entry-issued keys that a caller fetches
	// ahead, so that fetching them does not delay requests.
	keyPoolSize = 4
	// keyMaxAge is far below the 24 h after which entry instances refuse a key.
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
	key       string
	fetchedAt time.Time
}

// issuedKey returns a key issued by the entry instance that the next request is
// sent to first, from the pool if it has one.
func (c *Caller) issuedKey(ctx context.Context, service string) (string, error) {
	entries := c.lookup(ctx, service)
	if len(entries) == 0 {
		return "", errors.New("no entry instance to ask for a key")
	}
	addr := entries[0].Addr
	defer c.refillKeys(ctx, service, addr)
	if key := c.popKey(service, addr); key != "" {
		return key, nil
	}
	return c.IssueKey(ctx, service, addr)
}

// popKey removes a key from the pool. It drops the keys of another entry
// instance, because requests with them would be forwarded to that instance.
func (c *Caller) popKey(service, addr string) string {
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
		if time.Since(first.fetchedAt) < keyMaxAge {
			return first.key
		}
	}
	return ""
}

// refillKeys fills the pool up to keyPoolSize in the background.
func (c *Caller) refillKeys(ctx context.Context, service, addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[service]
	if p == nil || p.addr != addr {
		return
	}
	for len(p.keys)+p.fetching < keyPoolSize {
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

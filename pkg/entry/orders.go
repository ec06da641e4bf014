package entry

import (
	"sync"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/lookup"
)

// maxLookupEntries limits the number of entry instances in a lookup response. With
// 540 of them, a complete response would be 50 KB.
const maxLookupEntries = 12

// orderCache caches the order of entry instances for each failure domain for one
// heartbeat interval. Sorting 540 entry instances for each lookup would use most of
// a core at the planned rate.
type orderCache struct {
	mu      sync.Mutex
	view    *configView
	expires time.Time
	orders  map[string]*lookup.Ranking
}

// get returns the cached order for a failure domain, or calls build.
func (c *orderCache) get(v *configView, failureDomain string, build func() *lookup.Ranking) *lookup.Ranking {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.view != v || now.After(c.expires) {
		c.view = v
		c.expires = now.Add(heartbeatInterval)
		c.orders = map[string]*lookup.Ranking{}
	}
	order, ok := c.orders[failureDomain]
	if !ok {
		order = build()
		c.orders[failureDomain] = order
	}
	return order
}

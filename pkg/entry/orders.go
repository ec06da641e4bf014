package entry

import (
	"sync"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/lookup"
)

// maxLookupEntries limits the number of entry instances in a lookup response. Current
// deployments have at most as many. With 540 of them, a complete response would be
// 50 KB.
const maxLookupEntries = 12

// rankingCache caches the ranking of entry instances for each failure domain for
// one heartbeat interval. Ranking 540 entry instances for each lookup would use most
// of a core at the planned rate.
type rankingCache struct {
	mu       sync.Mutex
	view     *configView
	expires  time.Time
	rankings map[string]*lookup.Ranking
}

// get returns the ranking for a failure domain, which it builds if none is cached.
func (c *rankingCache) get(v *configView, failureDomain string, build func() *lookup.Ranking) *lookup.Ranking {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.view != v || now.After(c.expires) {
		c.view = v
		c.expires = now.Add(heartbeatInterval)
		c.rankings = map[string]*lookup.Ranking{}
	}
	ranking, ok := c.rankings[failureDomain]
	if !ok {
		ranking = build()
		c.rankings[failureDomain] = ranking
	}
	return ranking
}

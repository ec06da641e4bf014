package budget

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// RateBurst is the largest burst of requests, as time at the full rate.
const RateBurst = time.Second

// RateLimiter limits the accepted requests of a contract service at one entry
// instance. Each instance has the contract's rate divided by the number of
// configured instances and borrows none from others: the sum stays within the
// contract during a network partition, but callers that use only a few instances
// reach the limit earlier.
type RateLimiter struct {
	limiter *rate.Limiter // nil without a limit
}

// NewRateLimiter returns the limiter of one entry instance out of the given
// number. A rate of 0 means no limit, as in a contract.
func NewRateLimiter(perSecond float64, instances int) *RateLimiter {
	if perSecond <= 0 || instances <= 0 {
		return &RateLimiter{}
	}
	share := perSecond / float64(instances)
	burst := max(1, int(math.Floor(share*RateBurst.Seconds())))
	return &RateLimiter{limiter: rate.NewLimiter(rate.Limit(share), burst)}
}

// Allow reports whether a request may be accepted now, and counts it if so.
func (r *RateLimiter) Allow(now time.Time) bool {
	return r.limiter == nil || r.limiter.AllowN(now, 1)
}

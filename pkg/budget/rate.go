package budget

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// RateBurst is how much of its rate a seat may accept at once.
const RateBurst = time.Second

// RateLimiter bounds the accepted requests of a contract service at one seat.
// Each seat has the contract's rate divided by the configured seats, and no
// seat borrows from another: the sum stays within the contract when seats are
// partitioned, but callers that use few seats reach the limit earlier.
type RateLimiter struct {
	limiter *rate.Limiter // nil without a limit
}

// NewRateLimiter returns the limiter of one of n seats. A rate of 0 means no
// limit, as in a contract.
func NewRateLimiter(perSecond float64, seats int) *RateLimiter {
	if perSecond <= 0 || seats <= 0 {
		return &RateLimiter{}
	}
	share := perSecond / float64(seats)
	burst := max(1, int(math.Floor(share*RateBurst.Seconds())))
	return &RateLimiter{limiter: rate.NewLimiter(rate.Limit(share), burst)}
}

// Allow accepts a request, or reports that the seat's share is used up.
func (r *RateLimiter) Allow(now time.Time) bool {
	return r.limiter == nil || r.limiter.AllowN(now, 1)
}

package placement

import (
	"math"
	"time"
)

// RateLimit bounds the requests that a server gets, whatever their load.
type RateLimit struct {
	// PerSecond is the rate that the server takes from all entry instances, Share
	// that of this one. They are in requests per second.
	PerSecond, Share float64
}

// minLimitRate is the lowest rate, in requests per second, at which a limited server
// gets requests: only a response can say that its need has ended.
const minLimitRate = 0.25

// ShareOfLimit returns the share of an entry instance in the rate that a server takes
// from all, given its rank among the instances that may send to the server, and their
// number. A negative rank means that the instance is not among them.
//
// So few instances share the limit that each gets at least one request a second.
// Otherwise their first requests alone could exceed a low limit.
func ShareOfLimit(perSecond float64, rank, instances int) float64 {
	perSecond = max(perSecond, minLimitRate)
	senders := max(1, math.Floor(min(perSecond, float64(instances))))
	if rank < 0 || float64(rank) >= senders {
		return 0
	}
	return perSecond / senders
}

// tokenBucket counts the requests to a limited server. It holds at most one token, so
// that requests do not arrive in bursts.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Time // zero: since the next call
}

func (t *tokenBucket) refill(now time.Time, perSecond float64) {
	if !t.updatedAt.IsZero() {
		t.tokens = min(1, t.tokens+perSecond*now.Sub(t.updatedAt).Seconds())
	}
	t.updatedAt = now
}

// withinRate reports whether the server's limit permits a request now.
func (s *server) withinRate(now time.Time) bool {
	if s.RateLimit == nil {
		return true
	}
	s.bucket.refill(now, s.RateLimit.Share)
	return s.bucket.tokens >= 1
}

// usableSlots returns the slots that the server fills at its limit.
func (s *server) usableSlots() int {
	if s.RateLimit == nil {
		return s.Slots
	}
	return int(min(float64(s.Slots), math.Ceil(s.RateLimit.PerSecond*s.meanServiceTime.Seconds())))
}

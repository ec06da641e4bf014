// Package budget limits retries, bytes between regions and accepted requests.
// It is pure: times are arguments, and one goroutine at a time may use a value.
package budget

import "time"

const (
	// RetryWindow is the time over which retries are compared with requests.
	RetryWindow = 10 * time.Second
	// MinRetries allows a few retries at a low request rate, at which the
	// ratio alone would allow none.
	MinRetries = 3

	retryBuckets = 10
)

// RetryBudget bounds the retries (and hedges) of one contract service at one
// seat: within RetryWindow at most ratio of the requests, or MinRetries if
// that is more. Buckets of a tenth of the window count the current tenth and
// the nine before it.
type RetryBudget struct {
	ratio             float64
	floor             int
	current           int64
	requests, retries [retryBuckets]int
}

// NewRetryBudget returns a budget for a ratio such as 0.1. A ratio of 0 or
// less allows no retry at all.
func NewRetryBudget(ratio float64) *RetryBudget {
	floor := MinRetries
	if ratio <= 0 {
		floor = 0
	}
	return &RetryBudget{ratio: ratio, floor: floor}
}

// SetLimits sets the ratio and the floor of a budget that several entry instances
// share: each gets the same ratio of its own requests and a part of the extra
// retries, so that the sum stays within the common budget without agreement.
func (b *RetryBudget) SetLimits(ratio float64, floor int) { b.ratio, b.floor = ratio, floor }

// RecordRequest counts a first attempt.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[b.current%retryBuckets]++
}

// AllowRetry counts a retry, or reports that the budget is used up.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range retryBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if retries+1 > max(b.floor, int(b.ratio*float64(requests))) {
		return false
	}
	b.retries[b.current%retryBuckets]++
	return true
}

func (b *RetryBudget) advance(now time.Time) {
	to := now.UnixNano() / int64(RetryWindow/retryBuckets)
	if to <= b.current {
		return
	}
	for i := max(b.current+1, to-retryBuckets+1); i <= to; i++ {
		b.requests[i%retryBuckets], b.retries[i%retryBuckets] = 0, 0
	}
	b.current = to
}

// Used returns the retries within the window.
func (b *RetryBudget) Used(now time.Time) int {
	b.advance(now)
	n := 0
	for _, r := range b.retries {
		n += r
	}
	return n
}

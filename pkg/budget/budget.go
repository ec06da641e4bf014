// Package budget limits retries, bytes between regions and accepted requests.
// It reads no clock: times are arguments. Its types are not safe for concurrent
// use.
package budget

import "time"

const (
	// RetryWindow is the time over which retries are compared with requests.
	RetryWindow = 10 * time.Second
	// MinRetries is the number of retries allowed per window at low request
	// rates, at which the ratio alone would allow none.
	MinRetries = 3

	retryBuckets = 10
)

// RetryBudget limits the retries (and hedged requests) of one contract service
// at one entry instance: within a window, by default RetryWindow, to a ratio of the requests, or to
// MinRetries if that is more. The window consists of its current tenth
// and the nine before it.
type RetryBudget struct {
	ratio             float64
	minRetries        int
	window            time.Duration
	current           int64
	requests, retries [retryBuckets]int
}

// NewRetryBudget returns a budget for a ratio such as 0.1. A ratio of 0 or
// less allows no retry at all.
func NewRetryBudget(ratio float64) *RetryBudget {
	minRetries := MinRetries
	if ratio <= 0 {
		minRetries = 0
	}
	return &RetryBudget{ratio: ratio, minRetries: minRetries, window: RetryWindow}
}

// SetLimits sets the ratio and the minimum of a budget that several entry
// instances share: each gets the same ratio of its own requests and a part of
// the common minimum, so that the sum stays within the common budget without
// communication.
func (b *RetryBudget) SetLimits(ratio float64, minRetries int) {
	b.ratio, b.minRetries = ratio, minRetries
}

// SetWindow sets the time over which retries are compared with requests. Retries of
// the former window count as made now.
func (b *RetryBudget) SetWindow(now time.Time, window time.Duration) {
	if window == b.window {
		return
	}
	used := b.Used(now)
	b.requests, b.retries = [retryBuckets]int{}, [retryBuckets]int{}
	b.window = window
	b.current = now.UnixNano() / int64(window/retryBuckets)
	b.retries[b.current%retryBuckets] = used
}

// RecordRequest counts the first attempt of a request.
func (b *RetryBudget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[b.current%retryBuckets]++
}

// AllowRetry counts a retry and returns true, or returns false if the budget is
// used up.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range retryBuckets {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if retries+1 > max(b.minRetries, int(b.ratio*float64(requests))) {
		return false
	}
	b.retries[b.current%retryBuckets]++
	return true
}

// advance clears the buckets that have begun since the last call.
func (b *RetryBudget) advance(now time.Time) {
	to := now.UnixNano() / int64(b.window/retryBuckets)
	if to <= b.current {
		return
	}
	for i := max(b.current+1, to-retryBuckets+1); i <= to; i++ {
		b.requests[i%retryBuckets], b.retries[i%retryBuckets] = 0, 0
	}
	b.current = to
}

// Used returns the number of retries within the window.
func (b *RetryBudget) Used(now time.Time) int {
	b.advance(now)
	n := 0
	for _, r := range b.retries {
		n += r
	}
	return n
}

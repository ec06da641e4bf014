package budget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

// Guards against a retry storm, a budget that is never restored, and a service
// with few requests that may never retry.
func TestRetryBudget(t *testing.T) {
	retries := func(b *RetryBudget, now time.Time) (n int) {
		for b.AllowRetry(now) {
			n++
		}
		return n
	}
	b := NewRetryBudget(0.1)
	require.Equal(t, MinRetries, retries(b, epoch))
	for range 100 {
		b.RecordRequest(at(time.Second))
	}
	require.Equal(t, 10-MinRetries, retries(b, at(2*time.Second)))
	require.Zero(t, retries(b, at(9*time.Second)))
	require.Equal(t, MinRetries, retries(b, at(10*time.Second)), "the first retries have left the window")
	require.Equal(t, MinRetries, retries(b, at(time.Hour)))
	require.Zero(t, retries(NewRetryBudget(0), epoch))
}

// Guards against more bytes over a link than its budget allows in any period,
// and against an estimate that is never corrected.
func TestLinkBudgetOverAnyTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 1e6
		pair := LinkPair{"dar", "mwanza"}
		b := NewLinkBudget()
		b.SetRate(epoch, pair, rate)
		type sent struct {
			at    time.Time
			bytes float64
		}
		var log []sent
		now := epoch
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "gap")) * time.Millisecond)
			n := rapid.IntRange(0, 150_000).Draw(t, "bytes")
			estimate := rapid.IntRange(n, 200_000).Draw(t, "estimate")
			if r, ok := b.Reserve(now, pair, estimate); ok {
				b.Settle(now, r, n)
				log = append(log, sent{now, float64(n)})
			}
		}
		for i := range log {
			sum := 0.0
			for _, s := range log[i:] {
				sum += s.bytes
				if sum > rate*(s.at.Sub(log[i].at)+LinkBurst).Seconds()+1 {
					t.Fatalf("%v bytes from %v to %v", sum, log[i].at, s.at)
				}
			}
		}
	})
}

// Guards against a message larger than the burst that can never be sent, and
// against excess bytes over an estimate that are not counted.
func TestLinkBudgetDebt(t *testing.T) {
	pair := LinkPair{"dar", "mwanza"}
	b := NewLinkBudget()
	_, ok := b.Reserve(epoch, pair, 1)
	require.False(t, ok, "no rate is known")
	b.SetRate(epoch, pair, LinkRate(80_000, 8))
	_, ok = b.Reserve(at(199*time.Millisecond), pair, 4000)
	require.False(t, ok)
	r, ok := b.Reserve(at(200*time.Millisecond), pair, 4000)
	require.True(t, ok)
	b.Settle(at(200*time.Millisecond), r, 5000)
	require.InDelta(t, -4800, b.Available(at(200*time.Millisecond), pair), 1e-6)
	_, ok = b.Reserve(at(4900*time.Millisecond), pair, 1)
	require.False(t, ok)
	_, ok = b.Reserve(at(5200*time.Millisecond), pair, 100)
	require.True(t, ok)
}

// Guards against entry instances that together accept more than the contract's
// rate.
func TestRateLimiterShare(t *testing.T) {
	const instances, rate = 4, 100.0
	accepted := 0
	for range instances {
		r := NewRateLimiter(rate, instances)
		for now := epoch; !now.After(at(10 * time.Second)); now = now.Add(time.Millisecond) {
			if r.Allow(now) {
				accepted++
			}
		}
	}
	require.InDelta(t, rate*11, accepted, instances)
	require.True(t, NewRateLimiter(0, instances).Allow(epoch))
}

// Guards against more retries than a deployment allows within a window of another
// length than the default: a budget over 10 s may be used up in the last 5 s.
func TestRetryWindow(t *testing.T) {
	for _, window := range []time.Duration{5 * time.Second, 20 * time.Second} {
		b := NewRetryBudget(0.1)
		b.SetWindow(epoch, window)
		b.SetLimits(0.1, 1)
		var retries []time.Time
		for now := epoch; now.Before(at(time.Minute)); now = now.Add(100 * time.Millisecond) {
			b.RecordRequest(now)
			if now.Sub(epoch)%(window+window/2) > window && b.AllowRetry(now) {
				retries = append(retries, now)
			}
		}
		require.NotEmpty(t, retries)
		allowed := int(0.1 * float64(window/(100*time.Millisecond)))
		for i, first := range retries {
			n := 0
			for _, other := range retries[i:] {
				if other.Sub(first) < window*9/10 {
					n++
				}
			}
			require.LessOrEqual(t, n, allowed, "%v", window)
		}
	}
}

// Guards against a budget that is forgotten when its window changes.
func TestRetryWindowChange(t *testing.T) {
	b := NewRetryBudget(0.1)
	for b.AllowRetry(epoch) {
	}
	b.SetWindow(epoch, 5*time.Second)
	require.False(t, b.AllowRetry(epoch))
	require.True(t, b.AllowRetry(at(5*time.Second)))
}

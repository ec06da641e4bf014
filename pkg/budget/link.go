package budget

import "time"

const (
	// LinkBurst is the largest burst, as sending time at the full rate. It is
	// below the queueing delay that callers would notice.
	LinkBurst = 200 * time.Millisecond
	// MaxLinkUtilization is the fraction of a link's capacity that the budgets
	// of all entry instances of a region may use together.
	MaxLinkUtilization = 0.8
)

// LinkRate returns the bytes per second that one entry instance may send over a
// link, given the link's capacity and the number of entry instances of the
// sending region.
func LinkRate(bitsPerSecond int64, instances int) float64 {
	if instances <= 0 {
		return 0
	}
	return float64(bitsPerSecond) / 8 * MaxLinkUtilization / float64(instances)
}

// LinkPair is one direction between two regions.
type LinkPair struct{ From, To string }

// LinkBudget is a token bucket of bytes for each direction between regions.
//
// A reservation is granted when the bucket holds the estimated bytes, or when it
// is full and the estimate is larger than the bucket. In that case the bucket
// goes below zero, and later reservations fail until it has been refilled. Over
// any time t, at most rate * (t + LinkBurst) bytes are reserved, plus one message
// that is larger than the bucket, plus what Settle adds to estimates that were
// too low.
type LinkBudget struct {
	links map[LinkPair]*tokenBucket
}

type tokenBucket struct {
	rate, tokens float64
	at           time.Time
}

// LinkReservation holds an estimated size that Settle corrects.
type LinkReservation struct {
	pair  LinkPair
	bytes int
}

// NewLinkBudget returns a budget without rates. Nothing may be sent over a pair
// without a rate.
func NewLinkBudget() *LinkBudget {
	return &LinkBudget{links: make(map[LinkPair]*tokenBucket)}
}

// SetRate sets the bytes per second of a pair. A new pair starts with an empty
// bucket, because the previous incarnation may have just used the burst.
func (b *LinkBudget) SetRate(now time.Time, pair LinkPair, bytesPerSecond float64) {
	l := b.links[pair]
	if l == nil {
		b.links[pair] = &tokenBucket{rate: bytesPerSecond, at: now}
		return
	}
	l.refill(now)
	l.rate = bytesPerSecond
	l.tokens = min(l.tokens, l.burst())
}

// Reserve takes an estimated number of bytes from the bucket, or returns false
// if the budget does not allow them now. A message that is sent nevertheless is
// counted when its reservation is settled.
func (b *LinkBudget) Reserve(now time.Time, pair LinkPair, bytes int) (LinkReservation, bool) {
	l := b.links[pair]
	if l == nil || l.rate <= 0 {
		return LinkReservation{pair: pair}, false
	}
	l.refill(now)
	if l.tokens < min(float64(bytes), l.burst()) {
		return LinkReservation{pair: pair}, false
	}
	l.tokens -= float64(bytes)
	return LinkReservation{pair: pair, bytes: bytes}, true
}

// Settle replaces the estimate of a reservation by the bytes that were sent.
func (b *LinkBudget) Settle(now time.Time, r LinkReservation, bytes int) {
	l := b.links[r.pair]
	if l == nil {
		return
	}
	l.refill(now)
	l.tokens = min(l.tokens+float64(r.bytes-bytes), l.burst())
}

// Available returns the bytes that may be sent now. It is negative while the
// pair has exceeded its budget.
func (b *LinkBudget) Available(now time.Time, pair LinkPair) float64 {
	l := b.links[pair]
	if l == nil {
		return 0
	}
	l.refill(now)
	return l.tokens
}

func (l *tokenBucket) burst() float64 { return l.rate * LinkBurst.Seconds() }

func (l *tokenBucket) refill(now time.Time) {
	if !now.After(l.at) {
		return
	}
	l.tokens = min(l.tokens+l.rate*now.Sub(l.at).Seconds(), l.burst())
	l.at = now
}

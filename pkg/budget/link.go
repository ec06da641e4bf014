package budget

import "time"

const (
	// LinkBurst is how much sending time a link budget may save up. It is
	// below the queueing delay that callers would notice.
	LinkBurst = 200 * time.Millisecond
	// MaxLinkUtilization is the part of a link's capacity that is given out.
	MaxLinkUtilization = 0.8
)

// LinkRate returns the bytes per second that one seat may send over a link,
// given the link's capacity and the number of seats of the sending region.
func LinkRate(bitsPerSecond int64, seats int) float64 {
	if seats <= 0 {
		return 0
	}
	return float64(bitsPerSecond) / 8 * MaxLinkUtilization / float64(seats)
}

// LinkPair is one direction between two regions.
type LinkPair struct{ From, To string }

// LinkBudget is a token bucket of bytes for each direction between regions.
//
// A reservation is granted when the bucket holds the estimate, or is full for
// an estimate that is larger than the bucket. The bucket then goes below zero,
// and later reservations wait for it to fill again. Over any time t, at most
// rate * (t + LinkBurst) bytes are reserved, plus one message that is larger
// than the bucket, plus what Settle adds to estimates that were too low.
type LinkBudget struct {
	links map[LinkPair]*bucket
}

type bucket struct {
	rate, tokens float64
	at           time.Time
}

// LinkReservation is an estimate that Settle replaces by the real size.
type LinkReservation struct {
	pair  LinkPair
	bytes int
}

// NewLinkBudget returns a budget without links. A pair without a rate has no
// budget, so nothing may be sent.
func NewLinkBudget() *LinkBudget {
	return &LinkBudget{links: make(map[LinkPair]*bucket)}
}

// SetRate sets the bytes per second of a pair. A new pair starts with an empty
// bucket, because a predecessor may have just used the burst.
func (b *LinkBudget) SetRate(now time.Time, pair LinkPair, bytesPerSecond float64) {
	l := b.links[pair]
	if l == nil {
		b.links[pair] = &bucket{rate: bytesPerSecond, at: now}
		return
	}
	l.fill(now)
	l.rate = bytesPerSecond
	l.tokens = min(l.tokens, l.burst())
}

// Reserve takes an estimated number of bytes, or reports that the link has no
// budget for them now. A message that is sent all the same is counted by
// settling the reservation.
func (b *LinkBudget) Reserve(now time.Time, pair LinkPair, bytes int) (LinkReservation, bool) {
	l := b.links[pair]
	if l == nil || l.rate <= 0 {
		return LinkReservation{pair: pair}, false
	}
	l.fill(now)
	if l.tokens < min(float64(bytes), l.burst()) {
		return LinkReservation{pair: pair}, false
	}
	l.tokens -= float64(bytes)
	return LinkReservation{pair: pair, bytes: bytes}, true
}

// Settle replaces the estimate by the bytes that were sent.
func (b *LinkBudget) Settle(now time.Time, r LinkReservation, bytes int) {
	l := b.links[r.pair]
	if l == nil {
		return
	}
	l.fill(now)
	l.tokens = min(l.tokens+float64(r.bytes-bytes), l.burst())
}

// Available returns the bytes that may be sent now; it is negative while the
// pair has sent more than its budget.
func (b *LinkBudget) Available(now time.Time, pair LinkPair) float64 {
	l := b.links[pair]
	if l == nil {
		return 0
	}
	l.fill(now)
	return l.tokens
}

func (l *bucket) burst() float64 { return l.rate * LinkBurst.Seconds() }

func (l *bucket) fill(now time.Time) {
	if !now.After(l.at) {
		return
	}
	l.tokens = min(l.tokens+l.rate*now.Sub(l.at).Seconds(), l.burst())
	l.at = now
}

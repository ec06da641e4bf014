package burn

import "time"

// bucket counts the responses of one period. epoch is the number of the period
// since the Unix epoch; it shows whether the bucket holds an earlier period.
type bucket struct {
	epoch  int64
	counts Counts
}

// ring is a ring buffer of the latest buckets of one width.
type ring struct {
	width   time.Duration
	buckets []bucket
}

func newRing(width time.Duration, n int) ring {
	return ring{width: width, buckets: make([]bucket, n)}
}

func (r *ring) epoch(now time.Time) int64 {
	return now.UnixNano() / int64(r.width)
}

func (r *ring) add(now time.Time, good bool) {
	epoch := r.epoch(now)
	b := &r.buckets[epoch%int64(len(r.buckets))]
	if epoch < b.epoch {
		// The record is older than all buckets of the ring.
		return
	}
	if epoch > b.epoch {
		*b = bucket{epoch: epoch}
	}
	if good {
		b.counts.Good++
	} else {
		b.counts.Bad++
	}
}

// sum adds up the last n buckets, including the current one.
func (r *ring) sum(now time.Time, n int64) Counts {
	last := r.epoch(now)
	var total Counts
	for _, b := range r.buckets {
		if b.epoch > last-n && b.epoch <= last {
			total = total.plus(b.counts)
		}
	}
	return total
}

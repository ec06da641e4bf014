// Package rendezvous ranks names by highest random weight, so that processes
// which know the same names agree on an order without a message.
package rendezvous

import "hash/fnv"

// Weight hashes names in order; the highest weight is first. FNV alone leaves
// the high bits of short, similar names correlated, so the sum passes through a
// 64-bit finalizer.
func Weight(names ...string) uint64 {
	h := fnv.New64a()
	for i, name := range names {
		if i > 0 {
			_, _ = h.Write([]byte{0}) // a hash never fails
		}
		_, _ = h.Write([]byte(name))
	}
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

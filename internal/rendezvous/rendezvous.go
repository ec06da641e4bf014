// Package rendezvous ranks names by highest random weight, so that processes
// with the same set of names agree on their order without communication.
package rendezvous

import "hash/fnv"

// Weight returns the hash of names in the given order; the highest weight ranks
// first. FNV alone leaves the high bits of short, similar names correlated, so a
// 64-bit finalizer mixes the sum.
func Weight(names ...string) uint64 {
	h := fnv.New64a()
	for i, name := range names {
		if i > 0 {
			_, _ = h.Write([]byte{0}) // hash.Hash never returns an error
		}
		_, _ = h.Write([]byte(name))
	}
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

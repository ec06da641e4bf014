// Package rendezvous ranks names by highest random weight, so that processes
// with the same set of names agree on their order without communication.
package rendezvous

// Parameters of the 64-bit FNV-1a hash. hash/fnv is not used because it allocates
// memory for each name, and a choice may weigh hundreds of servers.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Prefix is the hash of the first names of a list, for weighing many names that
// follow them.
type Prefix uint64

// NewPrefix returns the prefix for names.
func NewPrefix(names ...string) Prefix {
	p := Prefix(fnvOffset)
	for i, name := range names {
		if i > 0 {
			p *= fnvPrime // a zero byte between two names
		}
		p = p.add(name)
	}
	return p
}

func (p Prefix) add(name string) Prefix {
	for i := range len(name) {
		p = (p ^ Prefix(name[i])) * fnvPrime
	}
	return p
}

// Weight returns the weight of the prefix's names followed by name.
func (p Prefix) Weight(name string) uint64 { return (p * fnvPrime).add(name).finalize() }

// Weight returns the hash of names in the given order; the highest weight ranks
// first. FNV alone leaves the high bits of short, similar names correlated, so a
// 64-bit finalizer mixes the sum.
func Weight(names ...string) uint64 { return NewPrefix(names...).finalize() }

func (p Prefix) finalize() uint64 {
	x := uint64(p)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

package admission

import (
	"hash/fnv"
	"slices"
	"strings"
)

// Share returns how many of a server's slots a seat may use. Every seat gets
// slots/n; the first slots mod n seats in rendezvous-hash order for this
// server get one more. The shares of all seats add up to slots, and seats that
// know the same list agree without a message. A seat that is not in the list
// has no share.
func Share(slots int, server string, seats []string, seat string) int {
	order := rendezvous(server, seats)
	rank := slices.Index(order, seat)
	if rank < 0 || slots <= 0 {
		return 0
	}
	share := slots / len(order)
	if rank < slots%len(order) {
		share++
	}
	return share
}

// LentShare returns the part of a gone seat's share that a borrowing seat may
// use. Owners are the seats that the slots are split over; borrowers are the
// seats that may borrow, and the gone seat itself is never one of them.
func LentShare(slots int, server string, owners []string, gone string, borrowers []string, seat string) int {
	others := slices.DeleteFunc(slices.Clone(borrowers), func(s string) bool { return s == gone })
	return Share(Share(slots, server, owners, gone), server, others, seat)
}

// rendezvous returns the distinct seats, highest hash first.
func rendezvous(server string, seats []string) []string {
	order := slices.Clone(seats)
	slices.Sort(order)
	order = slices.Compact(order)
	weights := make(map[string]uint64, len(order))
	for _, s := range order {
		weights[s] = weight(server, s)
	}
	slices.SortFunc(order, func(a, b string) int {
		if weights[a] != weights[b] {
			if weights[a] > weights[b] {
				return -1
			}
			return 1
		}
		return strings.Compare(a, b)
	})
	return order
}

// weight hashes a pair of names. FNV alone leaves the high bits of short,
// similar names correlated, so the sum passes through a 64-bit finalizer.
func weight(server, seat string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(server))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(seat))
	x := h.Sum64()
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

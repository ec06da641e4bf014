package admission

import (
	"slices"
	"strings"

	"github.com/dandelionrack/dandelionrack/internal/rendezvous"
)

// Share returns how many of a server's slots a seat may use. Every seat gets
// slots/n; the first slots mod n seats in rendezvous-hash order for this
// server get one more. The shares of all seats add up to slots, and seats that
// know the same list agree without a message. A seat that is not in the list
// has no share.
func Share(slots int, server string, seats []string, seat string) int {
	order := ordered(server, seats)
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

// ordered returns the distinct seats, highest hash first.
func ordered(server string, seats []string) []string {
	order := slices.Clone(seats)
	slices.Sort(order)
	order = slices.Compact(order)
	weights := make(map[string]uint64, len(order))
	for _, s := range order {
		weights[s] = rendezvous.Weight(server, s)
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

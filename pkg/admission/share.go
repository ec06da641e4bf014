package admission

import (
	"slices"
	"strings"

	"github.com/dandelionrack/dandelionrack/internal/rendezvous"
)

// Share returns how many of a server's slots an entry instance may use. Each of
// n instances gets slots/n; the first slots mod n instances in rendezvous-hash
// order for this server get one more. The shares of all instances add up to
// slots, and instances that know the same list agree without communication. An
// instance that is not in the list has no share.
func Share(slots int, server string, instances []string, instance string) int {
	order := rankInstances(server, instances)
	rank := slices.Index(order, instance)
	if rank < 0 || slots <= 0 {
		return 0
	}
	share := slots / len(order)
	if rank < slots%len(order) {
		share++
	}
	return share
}

// LentShare returns the part of a gone entry instance's share that another one
// may use. The slots are split over owners; borrowers lists the instances that
// may borrow, of which the lender itself is never one.
func LentShare(slots int, server string, owners []string, lender string, borrowers []string, instance string) int {
	others := slices.DeleteFunc(slices.Clone(borrowers), func(s string) bool { return s == lender })
	return Share(Share(slots, server, owners, lender), server, others, instance)
}

// rankInstances returns the distinct instances, highest hash first.
func rankInstances(server string, instances []string) []string {
	order := slices.Clone(instances)
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

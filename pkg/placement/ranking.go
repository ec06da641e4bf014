package placement

import (
	"cmp"
	"iter"
	"slices"

	"github.com/dandelionrack/dandelionrack/internal/rendezvous"
)

const (
	// rankingDepth is the number of servers that are kept for each object and
	// group of regions. A choice considers maxCandidates available ones; the
	// rest replaces servers that are ejected, over their quota or already tried.
	rankingDepth = 6
	// maxRankings bounds the objects of a service whose rankings are kept.
	// Clients choose the names of objects; the largest deployment has some
	// 1,100 in a region.
	maxRankings = 4096
)

// rankings holds the first servers of a service for each object. A change of one
// server costs one hash for each object, and a new ranking where it held the server.
type rankings struct {
	service  string
	byObject map[string]*ranking
}

// ranking is the order of a service's servers for an object, with the servers of the
// local region and of other regions in separate lists.
type ranking struct{ local, remote topServers }

// topServers are the first servers of a group by descending weight.
type topServers struct {
	servers []weighedServer // at most rankingDepth
	total   int             // servers of the group
}

type weighedServer struct {
	*server
	weight uint64
}

func (t *topServers) insert(s *server, weight uint64) {
	t.total++
	if n := len(t.servers); n == rankingDepth && t.servers[n-1].weight >= weight {
		return
	}
	i, _ := slices.BinarySearchFunc(t.servers, weight, func(w weighedServer, weight uint64) int { return cmp.Compare(weight, w.weight) })
	if len(t.servers) == rankingDepth {
		t.servers = t.servers[:rankingDepth-1]
	}
	t.servers = slices.Insert(t.servers, i, weighedServer{s, weight})
}

func (t *topServers) holds(s *server) bool {
	return slices.ContainsFunc(t.servers, func(w weighedServer) bool { return w.server == s })
}

// group returns the list to which a server belongs.
func (r *ranking) group(s *server) *topServers {
	if s.local {
		return &r.local
	}
	return &r.remote
}

// insert adds a server. A nil receiver holds no rankings.
func (r *rankings) insert(s *server) {
	if r == nil {
		return
	}
	for object, o := range r.byObject {
		o.group(s).insert(s, rendezvous.Weight(r.service, object, s.ID))
	}
}

// remove removes a server; the rankings that hold it are computed anew when they are
// needed. A nil receiver holds no rankings.
func (r *rankings) remove(s *server) {
	if r == nil {
		return
	}
	for object, o := range r.byObject {
		if g := o.group(s); g.holds(s) {
			delete(r.byObject, object)
		} else {
			g.total--
		}
	}
}

// rank returns the ranking of a service's servers for an object.
func (b *Balancer) rank(service, object string) *ranking {
	r := b.rankings[service]
	if r == nil {
		r = &rankings{service: service, byObject: map[string]*ranking{}}
		b.rankings[service] = r
	}
	if o := r.byObject[object]; o != nil {
		return o
	}
	o := &ranking{}
	prefix := rendezvous.NewPrefix(service, object)
	for _, s := range b.byService[service] {
		o.group(s).insert(s, prefix.Weight(s.ID))
	}
	if len(r.byObject) >= maxRankings {
		clear(r.byObject)
	}
	r.byObject[object] = o
	return o
}

// ranked yields the servers of a service for an object in order: those of the local
// region, or those of the other regions, with their weights.
func (b *Balancer) ranked(service, object string, local bool) iter.Seq2[*server, uint64] {
	return func(yield func(*server, uint64) bool) {
		top := b.rank(service, object).remote
		if local {
			top = b.rank(service, object).local
		}
		for _, w := range top.servers {
			if !yield(w.server, w.weight) {
				return
			}
		}
		if top.total == len(top.servers) {
			return
		}
		for _, w := range b.rankAll(service, object, local)[len(top.servers):] {
			if !yield(w.server, w.weight) {
				return
			}
		}
	}
}

// rankAll returns all servers of a group in order.
func (b *Balancer) rankAll(service, object string, local bool) []weighedServer {
	prefix := rendezvous.NewPrefix(service, object)
	var all []weighedServer
	for _, s := range b.byService[service] {
		if s.local == local {
			all = append(all, weighedServer{s, prefix.Weight(s.ID)})
		}
	}
	slices.SortFunc(all, func(x, y weighedServer) int { return cmp.Compare(y.weight, x.weight) })
	return all
}

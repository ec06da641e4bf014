package ingress

import (
	"maps"
	"slices"
	"sync"
)

// inFlight is the set of requests that are being served. The zero value is empty.
type inFlight struct {
	mu       sync.Mutex
	requests map[*request]struct{}
}

func (f *inFlight) add(r *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = map[*request]struct{}{}
	}
	f.requests[r] = struct{}{}
}

func (f *inFlight) remove(r *request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.requests, r)
}

func (f *inFlight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

// all returns the requests. Only the fields that are set before add may be read.
func (f *inFlight) all() []*request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.requests))
}

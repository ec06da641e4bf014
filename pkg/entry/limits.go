package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/budget"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/shift"
)

// limits holds this instance's part of the limits that contracts and links set. The
// limiters are not safe for concurrent use; mu guards them.
type limits struct {
	mu      sync.Mutex
	shift   *shift.Limiter
	links   *budget.LinkBudget
	rates   map[shift.Key]*rateLimit
	retries map[shift.Key]*retryLimit
	// responseBytes holds the average size of the responses sent to other regions.
	responseBytes map[shift.Key]float64
}

type rateLimit struct {
	perSecond float64
	instances int
	limiter   *budget.RateLimiter
}

type retryLimit struct {
	ratio  float64
	budget *budget.RetryBudget
}

func newLimits(start time.Time, noPredecessor bool) *limits {
	return &limits{
		shift:         shift.NewLimiter(shift.Config{Start: start, NoPredecessor: noPredecessor}),
		links:         budget.NewLinkBudget(),
		rates:         map[shift.Key]*rateLimit{},
		retries:       map[shift.Key]*retryLimit{},
		responseBytes: map[shift.Key]float64{},
	}
}

// applyLimits sets this instance's part of every limit from the configuration.
// Limits that have not changed keep their counts.
func (e *Entry) applyLimits(v *configView, now time.Time) {
	l := e.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	instances := len(v.entries)
	l.shift.SetInstances(entryIndex(v, e.settings.ID), instances)
	for customer, contract := range v.doc.Contracts {
		for i := range contract.Services {
			l.applyService(shift.Key{Customer: customer, Service: contract.Services[i].Name}, &contract.Services[i], instances)
		}
	}
	for _, region := range v.doc.Deployment.Regions {
		if region.Name == v.region {
			continue
		}
		rate := budget.LinkRate(v.linkBitsPerSecond(v.region, region.Name), v.entryCount(v.region))
		l.links.SetRate(now, budget.LinkPair{From: v.region, To: region.Name}, rate)
	}
}

func (l *limits) applyService(key shift.Key, svc *config.Service, instances int) {
	l.shift.SetCap(key, svc.ShiftCap.PerWindow()/float64(max(instances, 1)), svc.ShiftCap.Window.Std())
	if r := l.rates[key]; r == nil || r.perSecond != svc.RatePerSecond || r.instances != instances {
		l.rates[key] = &rateLimit{svc.RatePerSecond, instances, budget.NewRateLimiter(svc.RatePerSecond, instances)}
	}
	if r := l.retries[key]; r == nil || r.ratio != svc.RetryRatio {
		l.retries[key] = &retryLimit{svc.RetryRatio, budget.NewRetryBudget(svc.RetryRatio)}
	}
}

// entryIndex returns the position of an entry instance in the sorted list of
// configured ones.
func entryIndex(v *configView, id string) int {
	ids := make([]string, 0, len(v.entries))
	for other := range v.entries {
		ids = append(ids, other)
	}
	slices.Sort(ids)
	return max(slices.Index(ids, id), 0)
}

func (r *request) limitKey() shift.Key {
	return shift.Key{Customer: r.contract.Customer, Service: r.service.Name}
}

// allowRate counts a request against the contract's rate and reports whether it is
// allowed.
func (e *Entry) allowRate(key shift.Key, now time.Time) bool {
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	r := e.limits.rates[key]
	return r == nil || r.limiter.Allow(now)
}

// countRequest adds a request to the retry budget of its service.
func (e *Entry) countRequest(req *request) {
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	if r := e.limits.retries[req.limitKey()]; r != nil {
		r.budget.RecordRequest(time.Now())
	}
}

// allowRetry takes a retry out of the retry budget of the service and reports
// whether it is allowed.
func (e *Entry) allowRetry(req *request) bool {
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	r := e.limits.retries[req.limitKey()]
	if r == nil || !r.budget.AllowRetry(time.Now()) {
		e.metrics.retriesDenied.Add(1)
		return false
	}
	return true
}

// shiftReservation is a request that is counted against the shift cap.
type shiftReservation struct {
	limits *limits
	inner  shift.Reservation
}

func (e *Entry) reserveShift(req *request, region string) (*shiftReservation, bool) {
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	r, ok := e.limits.shift.Reserve(time.Now(), req.limitKey(), req.homeRegion, region)
	if !ok {
		return nil, false
	}
	return &shiftReservation{limits: e.limits, inner: r}, true
}

// end keeps the count if the region accepted the request, and drops it otherwise.
func (r *shiftReservation) end(taken bool) {
	r.limits.mu.Lock()
	defer r.limits.mu.Unlock()
	if taken {
		r.inner.Commit()
	} else {
		r.inner.Cancel()
	}
}

// recordRefused tells the shift limiter that a request was not served in any region.
func (e *Entry) recordRefused(req *request) {
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	e.limits.shift.RecordRefused(time.Now(), req.limitKey(), req.homeRegion)
}

// requiredRegion returns the region that a request must be served in, because its
// return to the home region would exceed the shift cap, or "".
func (e *Entry) requiredRegion(req *request) string {
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	region, ok := e.limits.shift.ReturnBlocked(time.Now(), req.limitKey(), req.homeRegion)
	if !ok {
		return ""
	}
	return region
}

const (
	// messageOverheadBytes is the assumed size of a message's headers and framing.
	messageOverheadBytes = 1 << 10
	// defaultResponseBytes is the assumed size of a service's first response.
	defaultResponseBytes = 2 << 10
	// responseSizeWeight is the weight of the newest response in the average size.
	responseSizeWeight = 1.0 / 8
)

// reserveRequest takes the bytes of a request out of the link budget to a region.
// The bytes of the response are taken out of the budget of the region that sends
// it. If they were counted here, they would come on top of what that region sends
// itself, up to twice the budget of that direction.
func (e *Entry) reserveRequest(region string, req *request) (budget.LinkReservation, bool) {
	return e.reserveLink(req.view, region, len(req.body)+messageOverheadBytes)
}

// reserveResponse takes the expected bytes of a response out of the link budget to
// the region that it goes to, before the request runs.
func (e *Entry) reserveResponse(region string, req *request) (budget.LinkReservation, bool) {
	return e.reserveLink(req.view, region, e.expectedResponseBytes(req))
}

func (e *Entry) reserveLink(v *configView, region string, bytes int) (budget.LinkReservation, bool) {
	if region == v.region {
		return budget.LinkReservation{}, true
	}
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	return e.limits.links.Reserve(time.Now(), budget.LinkPair{From: v.region, To: region}, bytes)
}

// settleLink replaces the reserved bytes by the bytes that were sent.
func (e *Entry) settleLink(r budget.LinkReservation, bytes int) {
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	e.limits.links.Settle(time.Now(), r, bytes)
}

// settleResponse replaces the expected size of a response by the real one and
// updates the average size.
func (e *Entry) settleResponse(r budget.LinkReservation, req *request, rep reply) {
	bytes := len(rep.body) + messageOverheadBytes
	e.settleLink(r, bytes)
	if !rep.answered() {
		return
	}
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	size, ok := e.limits.responseBytes[req.limitKey()]
	if !ok {
		size = defaultResponseBytes
	}
	e.limits.responseBytes[req.limitKey()] = size + responseSizeWeight*(float64(bytes)-size)
}

func (e *Entry) expectedResponseBytes(req *request) int {
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	if size, ok := e.limits.responseBytes[req.limitKey()]; ok {
		return int(size)
	}
	return defaultResponseBytes
}

// linkDelay returns the configured one-way delay to another region.
func (e *Entry) linkDelay(v *configView, region string) time.Duration {
	return v.linkDelay(v.region, region)
}

// linkDelay returns the configured one-way delay between two regions, or 0.
func (v *configView) linkDelay(a, b string) time.Duration {
	if a == b {
		return 0
	}
	for _, l := range v.doc.Deployment.Links {
		if (l.A == a && l.B == b) || (l.A == b && l.B == a) {
			return l.OneWayDelay.Std()
		}
	}
	return 0
}

package ingress

import (
	"sync"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/budget"
	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/placement"
)

const (
	// usableRetryRatio is the fraction of the platform's retry ratio that is
	// used. The rest covers requests that other instances count in a different
	// window.
	usableRetryRatio = 0.8
	// usableRetryExtra is the same for the fixed number of extra retries. It is
	// lower because a restarted instance does not know how many its predecessor
	// used.
	usableRetryExtra = 0.5
)

// selector chooses services and backend servers for requests and counts retries. It
// is safe for concurrent use; the packages that it calls are not.
type selector struct {
	mu          sync.Mutex
	balancer    *placement.Balancer
	splitter    *placement.Splitter
	retries     map[string]*budget.RetryBudget // by service
	bounds      fleet.Bounds
	memberCount int
}

func newSelector(n fleet.InstanceConfig) *selector {
	return &selector{
		balancer: placement.New(n.Region), splitter: placement.NewSplitter(),
		retries: map[string]*budget.RetryBudget{}, memberCount: 1,
	}
}

// setLimits applies the deployment's bounds.
func (s *selector) setLimits(now time.Time, n *fleet.InstanceConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bounds = n.Bounds
	s.balancer.SetMaxShift(n.Bounds.MaxShift)
	s.balancer.SetRegistrationInterval(n.HeartbeatInterval)
	for _, b := range s.retries {
		b.SetWindow(now, n.Bounds.RetryWindow)
	}
	s.updateRetryShares()
}

// update replaces the set of servers and the number of entry instances.
func (s *selector) update(servers []placement.Server, members int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Update(servers)
	if members != s.memberCount {
		s.memberCount = members
		s.updateRetryShares()
	}
}

func (s *selector) updateRetryShares() {
	for _, b := range s.retries {
		b.SetLimits(s.retryShare())
	}
}

// retryShare returns this instance's share of the platform's retry budget.
func (s *selector) retryShare() (ratio float64, floor int) {
	return s.bounds.RetryRatio * usableRetryRatio, int(s.bounds.RetryExtra * usableRetryExtra / float64(max(1, s.memberCount)))
}

func (s *selector) retryBudget(now time.Time, service string) *budget.RetryBudget {
	b := s.retries[service]
	if b == nil {
		b = budget.NewRetryBudget(0)
		b.SetWindow(now, s.bounds.RetryWindow)
		b.SetLimits(s.retryShare())
		s.retries[service] = b
	}
	return b
}

// chooseService selects the service of a request and counts the request in its retry
// budget.
func (s *selector) chooseService(now time.Time, r *fleet.Route, object string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := s.splitter.Pick(r, object)
	s.retryBudget(now, service).RecordRequest(now)
	return service
}

// allowRetry reports whether the retry budget permits a retry, and uses it.
func (s *selector) allowRetry(now time.Time, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryBudget(now, service).AllowRetry(now)
}

func (s *selector) chooseServer(now time.Time, r placement.Request) (placement.Choice, *placement.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Choose(now, r)
}

// done ends a choice. It reports whether the server may have restarted and this was
// not known.
func (s *selector) done(now time.Time, c placement.Choice, r placement.Result) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Done(now, c, r)
	return s.balancer.TakeNewSuspicion()
}

func (s *selector) ejected(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Ejected(now)
}

// loads returns the servers that peers of the region should know of.
func (s *selector) loads(now time.Time) []placement.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Loads(now)
}

// recordLoads applies what a peer of the region reports.
func (s *selector) recordLoads(now time.Time, loads []placement.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.RecordLoads(now, loads)
}

func (s *selector) markSuspect(now time.Time, ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.MarkSuspect(now, ids)
}

// suspectRestarts records restarts that a peer reports, and reports whether there are
// any.
func (s *selector) suspectRestarts(now time.Time, ids []string) bool {
	if len(ids) == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.SuspectRestarts(now, ids)
	return true
}

func (s *selector) confirmRegistrations(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.ConfirmRegistrations(at)
}

func (s *selector) unknownStarts() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.UnknownStarts()
}

func (s *selector) retriesUsed(now time.Time) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.retries))
	for service, b := range s.retries {
		out[service] = b.Used(now)
	}
	return out
}

func (s *selector) remoteShares() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.RemoteShares()
}

func (s *selector) snapshot(now time.Time) []placement.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Snapshot(now)
}

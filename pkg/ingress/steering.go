package ingress

import (
	"sync"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/budget"
	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/placement"
)

const (
	// retryHeadroom is the part of the common retry budget that is given out.
	// The rest covers requests that count in another window elsewhere.
	retryHeadroom = 0.8
	// extraHeadroom is the same for the fixed extra. It is lower, because a
	// restarted instance does not know what its predecessor used.
	extraHeadroom = 0.5
)

// steering guards the pure decision packages of the request path.
type steering struct {
	mu       sync.Mutex
	balancer *placement.Balancer
	splitter *placement.Splitter
	retries  map[string]*budget.RetryBudget // by service
	bounds   fleet.Bounds
	members  int
}

func newSteering(n fleet.InstanceConfig) *steering {
	return &steering{
		balancer: placement.New(n.Region), splitter: placement.NewSplitter(),
		retries: map[string]*budget.RetryBudget{}, members: 1,
	}
}

func (s *steering) setBounds(b fleet.Bounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bounds = b
	s.shareRetries()
}

// update takes a new set of servers and the number of entry instances.
func (s *steering) update(servers []placement.Server, members int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Update(servers)
	if members != s.members {
		s.members = members
		s.shareRetries()
	}
}

func (s *steering) shareRetries() {
	for _, b := range s.retries {
		b.SetLimits(s.retryShare())
	}
}

func (s *steering) retryShare() (ratio float64, floor int) {
	return s.bounds.RetryRatio * retryHeadroom, int(s.bounds.RetryExtra * extraHeadroom / float64(max(1, s.members)))
}

func (s *steering) budgetOf(service string) *budget.RetryBudget {
	b := s.retries[service]
	if b == nil {
		b = budget.NewRetryBudget(0)
		b.SetLimits(s.retryShare())
		s.retries[service] = b
	}
	return b
}

// part chooses the service of a request and counts it.
func (s *steering) part(now time.Time, r *fleet.Route, object string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	service := s.splitter.Pick(r, object)
	s.budgetOf(service).RecordRequest(now)
	return service
}

func (s *steering) retry(now time.Time, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budgetOf(service).AllowRetry(now)
}

func (s *steering) choose(now time.Time, r placement.Request) (placement.Choice, *placement.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Choose(now, r)
}

func (s *steering) done(now time.Time, c placement.Choice, r placement.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Done(now, c, r)
}

func (s *steering) failing(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Ejected(now)
}

func (s *steering) suspect(now time.Time, ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.MarkSuspect(now, ids)
}

func (s *steering) retriesInWindow(now time.Time) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.retries))
	for service, b := range s.retries {
		out[service] = b.Used(now)
	}
	return out
}

func (s *steering) farShares() map[string]float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.RemoteShares()
}

func (s *steering) snapshot(now time.Time) []placement.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.Snapshot(now)
}

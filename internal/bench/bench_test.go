package bench

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
	"github.com/dandelionrack/dandelionrack/pkg/settings"
)

func serverAt(id string, ts *httptest.Server) config.BackendServer {
	return config.BackendServer{ID: id, Addr: strings.TrimPrefix(ts.URL, "http://"), FailureDomain: "d", Services: []string{"s"}, Slots: 3}
}

func deploymentOf(servers ...config.BackendServer) config.Deployment {
	return config.Deployment{FailureDomains: []config.FailureDomain{{Name: "d", Region: "r"}}, BackendServers: servers}
}

// firstServerBalancer picks the first server, so that the order is known.
type firstServerBalancer struct{}

func (firstServerBalancer) pick(s []config.BackendServer) (config.BackendServer, func()) {
	return s[0], func() {}
}

// Guards against a baseline that is weaker than documented: a shed request has
// to be sent to another server, and counts as not run if all servers shed it.
func TestDirectCallerRetriesShedRequests(t *testing.T) {
	var shed atomic.Int64
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		shed.Add(1)
		w.Header().Set("Not-Run", "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer refusing.Close()
	answering := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer answering.Close()
	request := loadgen.Request{Service: "s", Path: "/x", Method: http.MethodGet, Timeout: time.Second}

	both := directCallers(deploymentOf(serverAt("a", refusing), serverAt("b", answering)), 0, firstServerBalancer{})
	res := both[0].Do(context.Background(), request)
	require.Equal(t, loadgen.OutcomeAnswered, res.Outcome)
	require.Equal(t, "b", res.BackendServer)
	require.EqualValues(t, 1, shed.Load())

	none := directCallers(deploymentOf(serverAt("a", refusing)), 0, firstServerBalancer{})
	res = none[0].Do(context.Background(), request)
	require.Equal(t, loadgen.OutcomeNotRun, res.Outcome)
	require.Equal(t, "overload", res.Reason)
}

// Guards against a balancer that uses load reports newer than reportLag.
func TestLeastReportedBalancerUsesOldReports(t *testing.T) {
	servers := []config.BackendServer{{ID: "a", Slots: 3}, {ID: "b", Slots: 3}}
	b := &leastReportedBalancer{}
	start := time.Now()
	b.add(start, map[string]backendstandin.Stats{"a": {InFlight: 0}, "b": {InFlight: 3}})
	b.add(start.Add(reportLag/2), map[string]backendstandin.Stats{"a": {InFlight: 3}, "b": {InFlight: 0}})
	s, _ := b.pick(servers)
	require.Equal(t, "a", s.ID)
	b.add(start.Add(reportLag*3/2), map[string]backendstandin.Stats{})
	s, _ = b.pick(servers)
	require.Equal(t, "b", s.ID)
}

// Guards against a balancer that queues requests at one server while another
// one has a free slot.
func TestExactBalancerSpreadsOverFreeSlots(t *testing.T) {
	servers := []config.BackendServer{{ID: "a", Slots: 1}, {ID: "b", Slots: 2}}
	b := newExactBalancer()
	count := map[string]int{}
	for range 3 {
		s, _ := b.pick(servers)
		count[s.ID]++
	}
	require.Equal(t, map[string]int{"a": 1, "b": 2}, count)
}

// Guards against warm-up requests in the figures, and against answer rates that
// include answers after the window.
func TestServiceResultsCountOnlyTheWindow(t *testing.T) {
	from := time.Now()
	to := from.Add(time.Second)
	result := func(sent time.Time, took time.Duration) loadgen.Result {
		return loadgen.Result{Service: "s", Outcome: loadgen.OutcomeAnswered, SentAt: sent, Latency: took}
	}
	usage := &usageSamples{services: map[string]*freeSlots{}}
	usage.add(config.Deployment{BackendServers: []config.BackendServer{{ID: "a", Services: []string{"s"}}}},
		map[string]backendstandin.Stats{"a": {Slots: 3, InFlight: 1}})
	got := serviceResults([]loadgen.Result{
		result(from.Add(-time.Second), 10*time.Millisecond),
		result(from.Add(-100*time.Millisecond), 200*time.Millisecond),
		result(from.Add(time.Millisecond), 10*time.Millisecond),
		result(to.Add(-time.Millisecond), 10*time.Millisecond),
	}, []loadgen.Stream{{Service: "s"}}, from, to, usage)
	require.Len(t, got, 1)
	require.Equal(t, 2, got[0].Sent)
	require.Equal(t, 2.0, got[0].AnswerRate)
	require.Equal(t, 2.0, got[0].MeanFreeSlots)
}

// Guards against drain figures that include runs that ended before the drain.
func TestDrainCountsRunsAfterItsStart(t *testing.T) {
	start := time.Now()
	var d DrainResult
	d.addRuns([]backendstandin.Run{
		{Start: start.Add(-time.Minute), End: start.Add(-time.Second), Completed: true},
		{Start: start.Add(-time.Second), End: start.Add(time.Second), Completed: true},
		{Start: start.Add(time.Second), End: start.Add(1500 * time.Millisecond)},
	}, start)
	require.Equal(t, 2*time.Second, d.LongestRun.Std())
	require.Equal(t, time.Second, d.LastRunStart.Std())
	require.Equal(t, 5*time.Second, d.Limit.Std())
	require.Equal(t, 1, d.RunsNotCompleted)
}

// Guards against a single-domain deployment that fails validation.
func TestSingleDomainDeploymentIsValid(t *testing.T) {
	for _, name := range []string{"kallitexnis", "hesabu"} {
		dir := t.TempDir()
		domain, err := writeSingleDomainDeployment("../../deploy/"+name, dir)
		require.NoError(t, err)
		var dep config.Deployment
		require.NoError(t, settings.Load(dir+"/deployment.json", &dep, nil))
		var list findings.List
		config.ValidateDeployment(&dep, &list, "")
		require.NoError(t, list.Err())
		require.Len(t, dep.EntryInstances, 2)
		require.Len(t, slotsOf(dep), 3)
		require.Equal(t, domain, dep.FailureDomains[0].Name)
	}
}

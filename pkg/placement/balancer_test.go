package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
)

func testServers(n int, change func(i int, s *Server)) []Server {
	var out []Server
	for i := range n {
		s := Server{ID: fmt.Sprint("s", i), Service: "svc", Addr: fmt.Sprint("addr", i), Region: "north", Slots: 3}
		if change != nil {
			change(i, &s)
		}
		out = append(out, s)
	}
	return out
}

func testRequest(object string) Request {
	return Request{
		Service: "svc", Class: "c", Object: object, InitialServiceTime: 250 * time.Millisecond,
		UntilObjective: 400 * time.Millisecond, UntilDeadline: time.Second,
	}
}

// Guards against instances that send an object to different servers, so that no
// server keeps it cached, and against a new server that moves objects between
// the others.
func TestInstancesAgreeOnPlacement(t *testing.T) {
	a, b := New("north"), New("north")
	a.Update(testServers(5, nil))
	b.Update(testServers(5, nil))
	grown := New("north")
	grown.Update(testServers(6, nil))
	for i := range 100 {
		object := fmt.Sprint("o", i)
		one, _ := a.Choose(epoch, testRequest(object))
		two, _ := b.Choose(epoch, testRequest(object))
		require.Equal(t, one.Server.ID, two.Server.ID)
		moved, _ := grown.Choose(epoch, testRequest(object))
		if moved.Server.ID != "s5" {
			require.Equal(t, one.Server.ID, moved.Server.ID)
		}
		a.Done(epoch, one, Result{Outcome: Abandoned})
		b.Done(epoch, two, Result{Outcome: Abandoned})
		grown.Done(epoch, moved, Result{Outcome: Abandoned})
	}
}

// Guards against a service that never gets a request, because the initial
// estimate of its service time is longer than its clients wait.
func TestUnmeasuredClassIsNotRefused(t *testing.T) {
	b := New("north")
	b.Update(testServers(2, nil))
	r := testRequest("o")
	r.UntilDeadline, r.UntilObjective = 200*time.Millisecond, 100*time.Millisecond
	_, refusal := b.Choose(epoch, r)
	require.Nil(t, refusal)
}

// Guards against requests to regions that a route does not allow.
func TestAllowedRegions(t *testing.T) {
	b := New("north")
	b.Update(testServers(4, func(i int, s *Server) {
		if i > 1 {
			s.Region = "south"
		}
	}))
	for i := range 50 {
		r := testRequest(fmt.Sprint("o", i))
		r.AllowedRegions = []string{"south"}
		c, refusal := b.Choose(epoch, r)
		if refusal == nil {
			require.Equal(t, "south", c.Server.Region)
		}
	}
	r := testRequest("o")
	r.AllowedRegions = []string{"east"}
	_, refusal := b.Choose(epoch, r)
	require.Equal(t, ReasonNoServer, refusal.Reason)
}

// Guards against overloading a cold server: at any load, the requests of all
// instances of a region within a second stay within the sum of the quotas.
func TestColdQuotaOverAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const quota = 2
		instances := rapid.IntRange(1, 4).Draw(t, "instances")
		var all []*Balancer
		for range instances {
			b := New("north")
			b.Update(testServers(1, func(_ int, s *Server) { s.ColdUntil, s.ColdQuota = at(time.Minute), quota }))
			all = append(all, b)
		}
		var sent []time.Time
		now := epoch
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond)
			b := all[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			if c, refusal := b.Choose(now, testRequest("o")); refusal == nil {
				sent = append(sent, now)
				b.Done(now, c, Result{Outcome: Served})
			}
		}
		for i := range sent {
			n := 0
			for _, later := range sent[i:] {
				if later.Sub(sent[i]) < time.Second {
					n++
				}
			}
			require.LessOrEqual(t, n, quota*instances)
		}
	})
}

// Guards against requests that wait one after the other for the timeout of an
// unreachable server, and against a server that is never tried again.
func TestUnreachableServer(t *testing.T) {
	b := New("north")
	b.Update(testServers(1, nil))
	c, refusal := b.Choose(epoch, testRequest("o"))
	require.Nil(t, refusal)
	b.Done(epoch, c, Result{Outcome: Unreachable})
	_, refusal = b.Choose(at(minEjection-1), testRequest("o"))
	require.NotNil(t, refusal)
	c, refusal = b.Choose(at(minEjection), testRequest("o"))
	require.Nil(t, refusal, "one request probes the server")
	_, refusal = b.Choose(at(minEjection), testRequest("o"))
	require.NotNil(t, refusal, "no other request until the probe has ended")
	b.Done(at(minEjection), c, Result{Outcome: Served})
	_, refusal = b.Choose(at(minEjection), testRequest("o"))
	require.Nil(t, refusal)
}

// Guards against a request's result that is counted for the server's next
// process under the same id.
func TestServerRestartsUnderSameID(t *testing.T) {
	b := New("north")
	b.Update(testServers(1, nil))
	c, _ := b.Choose(epoch, testRequest("o"))
	b.Update(testServers(1, func(_ int, s *Server) { s.StartTime = epoch }))
	b.Done(epoch, c, Result{Outcome: Unreachable})
	status := b.Snapshot(epoch)[0]
	require.Zero(t, status.InFlight)
	require.False(t, status.Ejected)
}

// Guards against a split that deviates from its weights by more than 0.1, also
// with few objects.
func TestSplitKeepsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := float64(rapid.IntRange(0, 100).Draw(t, "weight"))
		objects := rapid.IntRange(1, 60).Draw(t, "objects")
		route := &fleet.Route{Name: "r", Services: []fleet.WeightedService{{Service: "a", Weight: first}, {Service: "b", Weight: 100 - first}}}
		s := NewSplitter()
		got := 0
		const requests = 600
		for i := range requests {
			object := fmt.Sprint(rapid.IntRange(0, objects-1).Draw(t, "object"))
			if s.Pick(route, object) == "a" {
				got++
			}
			if share := float64(got) / float64(i+1); i > 300 {
				require.InDelta(t, first/100, share, 0.1)
			}
		}
	})
}

// Guards against a server that looks healthy but answers every request with an
// error, and still keeps its share of the objects.
func TestServerFailingAllRequestsIsEjected(t *testing.T) {
	b := New("north")
	b.Update(testServers(2, nil))
	failed := 0
	now := epoch
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		c, refusal := b.Choose(now, testRequest(fmt.Sprint("o", i%8)))
		if refusal != nil {
			continue
		}
		outcome := Served
		if c.Server.ID == "s0" {
			outcome = Failed
			failed++
		}
		b.Done(now, c, Result{Outcome: outcome})
	}
	require.Less(t, failed, 20, "failed requests in 4 s")
}

// Guards against every entry instance losing non-idempotent requests at the same
// failing server, and against reports that disable a whole service: the
// reporting instance may itself be cut off.
func TestSuspectsReportedByPeers(t *testing.T) {
	a, b := New("north"), New("north")
	for _, x := range []*Balancer{a, b} {
		x.Update(testServers(6, nil))
	}
	c, _ := a.Choose(epoch, testRequest("o"))
	a.Done(epoch, c, Result{Outcome: Unreachable})
	require.Equal(t, []string{c.Server.ID}, a.Ejected(epoch))
	b.MarkSuspect(epoch, a.Ejected(epoch))
	require.Empty(t, b.Ejected(epoch), "reports of other instances are not passed on")
	other, refusal := b.Choose(epoch, testRequest("o"))
	require.Nil(t, refusal)
	require.NotEqual(t, c.Server.ID, other.Server.ID)
	again, _ := b.Choose(at(suspectTTL), testRequest("o"))
	require.Equal(t, c.Server.ID, again.Server.ID)

	b.MarkSuspect(at(time.Minute), []string{"s0", "s1", "s2", "s3", "s4", "s5"})
	available := 0
	for _, s := range b.servers {
		if b.available(at(time.Minute), s) {
			available++
		}
	}
	require.Equal(t, 4, available)
}

// Guards against memory that grows with the number of object names, which
// clients choose.
func TestObjectsAreBounded(t *testing.T) {
	b := New("north")
	b.Update(testServers(3, nil))
	for i := range 3 * maxRankings {
		c, refusal := b.Choose(at(time.Duration(i)*time.Millisecond), testRequest(fmt.Sprint("o", i)))
		require.Nil(t, refusal)
		b.Done(at(time.Duration(i)*time.Millisecond), c, Result{Outcome: Served})
	}
	require.Len(t, b.rankings, 1)
	require.LessOrEqual(t, len(b.rankings["svc"].byObject), maxRankings)
	for _, s := range b.servers {
		require.LessOrEqual(t, len(s.warmObjects), maxWarmObjects)
	}
}

// Guards against requests to a server that wants none, also after its registration has
// been read again, and against clients that are told to come back before it ends.
func TestPausedServer(t *testing.T) {
	now := time.Unix(1000, 0)
	servers := []Server{{ID: "s1", Service: "svc", Region: "north", Slots: 3}}
	request := Request{Service: "svc", Class: "c", UntilObjective: time.Second, UntilDeadline: time.Second, InitialServiceTime: time.Millisecond}
	b := New("north")
	b.Update(servers)
	choice, refusal := b.Choose(now, request)
	require.Nil(t, refusal)
	b.Done(now, choice, Result{Outcome: Shed, RetryAfter: 3 * time.Second})
	b.Update(servers)
	_, refusal = b.Choose(now.Add(time.Second), request)
	require.NotNil(t, refusal)
	require.Equal(t, 2*time.Second, refusal.RetryAfter)
	_, refusal = b.Choose(now.Add(3*time.Second), request)
	require.Nil(t, refusal)
}

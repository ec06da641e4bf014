package soak

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/platform/standin"
)

var start = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// request records a request on a route and returns it with what its server would
// receive.
func request(c *Checker, id string, r *fleet.Route, seconds float64) (*clientRequest, standin.BackendRequest) {
	s := &clientRequest{Request: standin.Request{ID: id, Method: "POST", Target: "/x", TimeLeft: clientTimeout}, route: r, instance: "g", at: at(seconds), bodySum: "sum"}
	c.RequestSent(s)
	return s, standin.BackendRequest{Server: "s", Service: serviceReads, RequestID: id, Method: "POST", Target: "/x", BodySum: "sum", Region: "north", Reached: at(seconds), At: at(seconds)}
}

// limitedServer records requests to a server that has named a limit of 2 a second.
func limitedServer(c *Checker, r *fleet.Route, perSecond int) {
	c.SetLimit(at(10), "s", 2)
	s, _ := request(c, "told", r, 10)
	c.ResponseReceived(at(10.1), s, standin.Response{Status: 200, Signed: true, Authentic: true, Server: "s", Limited: true})
	for i := range 6 * perSecond {
		_, got := request(c, string(rune('a'+i)), r, 11+float64(i)/float64(perSecond))
		c.RequestReceived(got)
	}
}

// pausedServer records requests to a server in the pause that it has asked for.
func pausedServer(c *Checker, route *fleet.Route, n int) {
	_, r := request(c, "refused", route, 10)
	r.Rejected, r.Pause = true, 2*time.Second
	c.RequestReceived(r)
	for i := range n {
		_, r := request(c, string(rune('a'+i)), route, 10.6+float64(i)/10)
		c.RequestReceived(r)
	}
	_, r = request(c, "before", route, 10.4)
	c.RequestReceived(r)
	_, r = request(c, "after", route, 12)
	c.RequestReceived(r)
}

// Guards against checks that never detect anything. Each invariant is violated
// once, and each condition under which it does not apply is tested.
func TestCheckerDetectsViolations(t *testing.T) {
	idempotent := &fleet.Route{Name: "read", Idempotent: true, Timeout: time.Second}
	nonIdempotent := &fleet.Route{Name: "pay", Timeout: time.Second}
	home := &fleet.Route{Name: "home", Idempotent: true, Timeout: time.Second, AllowedRegions: []string{"south"}}
	switched := &fleet.Route{Name: switchedRoute, Timeout: time.Second}
	served := standin.Response{Status: 200, Signed: true, Authentic: true}
	refused := standin.Response{Status: 503, NotRun: true}
	for _, row := range []struct {
		name string
		want Invariant // "" for no violation
		run  func(c *Checker)
	}{
		{"served", "", func(c *Checker) {
			s, r := request(c, "1", nonIdempotent, 10)
			c.RequestReceived(r)
			c.ResponseReceived(at(10.1), s, served)
		}},
		{"idempotent, run twice", "", func(c *Checker) {
			_, r := request(c, "1", idempotent, 10)
			c.RequestReceived(r)
			c.RequestReceived(r)
		}},
		{"non-idempotent, run twice", AtMostOnce, func(c *Checker) {
			_, r := request(c, "1", nonIdempotent, 10)
			c.RequestReceived(r)
			c.RequestReceived(r)
		}},
		{"non-idempotent, rejected, then run", "", func(c *Checker) {
			_, r := request(c, "1", nonIdempotent, 10)
			r.Rejected = true
			c.RequestReceived(r)
			r.Rejected = false
			c.RequestReceived(r)
		}},
		{"refused after it ran", RefusedNeverRuns, func(c *Checker) {
			s, r := request(c, "1", nonIdempotent, 10)
			c.RequestReceived(r)
			c.ResponseReceived(at(10.1), s, refused)
		}},
		{"refused before it ran", RefusedNeverRuns, func(c *Checker) {
			s, r := request(c, "1", nonIdempotent, 10)
			c.ResponseReceived(at(10.1), s, refused)
			c.RequestReceived(r)
		}},
		{"response to another request", ResponseAuthentic, func(c *Checker) {
			s, _ := request(c, "1", idempotent, 10)
			c.ResponseReceived(at(10.1), s, standin.Response{Status: 200, Signed: true})
		}},
		{"unknown request", RequestIntact, func(c *Checker) { c.RequestReceived(standin.BackendRequest{RequestID: "2", At: at(1)}) }},
		{"modified body", RequestIntact, func(c *Checker) {
			_, r := request(c, "1", idempotent, 10)
			r.BodySum = "other"
			c.RequestReceived(r)
		}},
		{"outside its allowed regions", AllowedRegion, func(c *Checker) {
			_, r := request(c, "1", home, 10)
			c.RequestReceived(r)
		}},
		{"old service", CurrentRoute, func(c *Checker) {
			c.RouteChanged(at(10), serviceWrites)
			_, r := request(c, "1", switched, 13)
			c.RequestReceived(r)
		}},
		{"old service, store faulty", "", func(c *Checker) {
			c.RouteChanged(at(10), serviceWrites)
			c.RecordFault(at(11), "store", "", true)
			_, r := request(c, "1", switched, 13)
			c.RequestReceived(r)
		}},
		{"back to the old service", NoConfigRollback, func(c *Checker) {
			c.RecordFault(at(9), "gate", "g", true)
			c.RouteChanged(at(10), serviceWrites)
			_, r := request(c, "1", switched, 10.5)
			r.Service = serviceWrites
			c.RequestReceived(r)
			_, r = request(c, "2", switched, 11)
			c.RequestReceived(r)
		}},
		{"drained", DrainDeadline, func(c *Checker) {
			c.ServerWithdrawn(at(10), "s")
			_, r := request(c, "1", idempotent, 13)
			c.RequestReceived(r)
		}},
		{"drained, entry instance frozen before", "", func(c *Checker) {
			c.ServerWithdrawn(at(10), "s")
			c.RecordFault(at(10), "gate", "g", true)
			c.RecordFault(at(11), "gate", "g", false)
			_, r := request(c, "1", idempotent, 13)
			c.RequestReceived(r)
		}},
		{"drained while the store was faulty", "", func(c *Checker) {
			c.RecordFault(at(9), "store", "", true)
			c.ServerWithdrawn(at(10), "s")
			c.RecordFault(at(11), "store", "", false)
			_, r := request(c, "1", idempotent, 17)
			c.RequestReceived(r)
		}},
		{"drained while the store was faulty, long ago", DrainDeadline, func(c *Checker) {
			c.RecordFault(at(9), "store", "", true)
			c.ServerWithdrawn(at(10), "s")
			c.RecordFault(at(11), "store", "", false)
			_, r := request(c, "1", idempotent, 18)
			c.RequestReceived(r)
		}},
		{"evacuated", EvacuationDeadline, func(c *Checker) {
			c.AddServer("s", "north-a")
			c.SetEvacuated(at(10), "north-a", true)
			_, r := request(c, "1", idempotent, 16)
			c.RequestReceived(r)
		}},
		{"lost at a planned stop", NoLostResponse, func(c *Checker) {
			c.RecordFault(at(10), "stop", "g", true)
			s, r := request(c, "1", idempotent, 10.1)
			c.RequestReceived(r)
			c.ResponseLost(at(10.2), s, errors.New("EOF"))
		}},
		{"lost as the process exits in a planned stop, store faulty", NoLostResponse, func(c *Checker) {
			c.RecordFault(at(9), "store", "", true)
			c.RecordFault(at(10), "stop", "g", true)
			s, r := request(c, "1", nonIdempotent, 15)
			c.RequestReceived(r)
			c.SetDown(at(15.7), "g", true)
			c.ResponseLost(at(15.8), s, errors.New("EOF"))
		}},
		{"held and dropped at a planned stop", NoLostResponse, func(c *Checker) {
			c.RecordFault(at(9), "stop", "g", true)
			s, _ := request(c, "1", nonIdempotent, 10)
			s.sentAt = at(10.01)
			c.ResponseLost(at(10.3), s, errors.New("reset"))
		}},
		{"crosses the close of its connection at a planned stop", "", func(c *Checker) {
			c.RecordFault(at(9), "stop", "g", true)
			s, _ := request(c, "1", nonIdempotent, 10)
			s.sentAt = at(10.01)
			c.ResponseLost(at(10.1), s, errors.New("reset"))
		}},
		{"runs after the loss at a planned stop", NoLostResponse, func(c *Checker) {
			c.RecordFault(at(10), "stop", "g", true)
			s, r := request(c, "1", nonIdempotent, 15)
			c.ResponseLost(at(15.8), s, errors.New("EOF"))
			r.At = at(15.9)
			c.RequestReceived(r)
		}},
		{"lost before it was passed on at a planned stop", "", func(c *Checker) {
			c.RecordFault(at(10), "stop", "g", true)
			s, _ := request(c, "1", nonIdempotent, 15)
			c.ResponseLost(at(15.8), s, errors.New("EOF"))
		}},
		{"own response at a planned stop", NoLostResponse, func(c *Checker) {
			c.RecordFault(at(10), "stop", "g", true)
			s, r := request(c, "1", nonIdempotent, 15)
			c.RequestReceived(r)
			c.ResponseReceived(at(15.5), s, standin.Response{Status: 502})
		}},
		{"own response at the time limit, planned stop", "", func(c *Checker) {
			c.RecordFault(at(10), "stop", "g", true)
			s, r := request(c, "1", nonIdempotent, 12)
			c.RequestReceived(r)
			c.ResponseReceived(at(13), s, standin.Response{Status: 504})
		}},
		{"sent slowly", "", func(c *Checker) {
			s, _ := request(c, "1", idempotent, 10)
			s.sentAt = at(11)
			c.ResponseReceived(at(11.7), s, served)
		}},
		{"lost at a kill", "", func(c *Checker) {
			c.RecordFault(at(10), "gate", "g", true)
			s, r := request(c, "1", idempotent, 10.1)
			c.RequestReceived(r)
			c.ResponseLost(at(10.2), s, errors.New("EOF"))
		}},
		{"lost without a fault", NoLostResponse, func(c *Checker) {
			for i := range toleratedCases + 1 {
				s, r := request(c, string(rune('a'+i)), idempotent, 10)
				c.RequestReceived(r)
				c.ResponseLost(at(10.2), s, errors.New("EOF"))
			}
		}},
		{"denied", NoFalseClientError, func(c *Checker) {
			s, _ := request(c, "1", idempotent, 10)
			c.ResponseReceived(at(10.1), s, standin.Response{Status: 404})
		}},
		{"late", ResponseDeadline, func(c *Checker) {
			s, _ := request(c, "1", idempotent, 10)
			c.ResponseReceived(at(11.7), s, served)
		}},
		{"dead entry instance in the directory", NoDeadInstanceListed, func(c *Checker) {
			c.SetDown(at(10), "dead", true)
			for range toleratedCases + 1 {
				c.LookupResponseReceived(at(18), "g", []string{"g", "dead"})
			}
		}},
		{"retried too often", RetryBudget, func(c *Checker) {
			_, r := request(c, "1", idempotent, 10)
			for range 60 {
				c.RequestReceived(r)
			}
		}},
		{"cold", ColdRateLimit, func(c *Checker) {
			for range 15 {
				_, r := request(c, "1", idempotent, 10)
				r.ColdRemaining = time.Second
				c.RequestReceived(r)
			}
		}},
		{"announced that it leaves", LeavingDeadline, func(c *Checker) {
			s, _ := request(c, "1", idempotent, 9.9)
			c.ResponseReceived(at(10), s, standin.Response{Status: 200, Signed: true, Authentic: true, Server: "s", Leaving: true})
			_, r := request(c, "2", idempotent, 12.6)
			c.RequestReceived(r)
		}},
		{"announced that it leaves, entry instance restarted", "", func(c *Checker) {
			s, _ := request(c, "1", idempotent, 9.9)
			c.ResponseReceived(at(10), s, standin.Response{Status: 200, Signed: true, Authentic: true, Server: "s", Leaving: true})
			c.RecordFault(at(11), "stop", "g", true)
			c.RecordFault(at(12), "stop", "g", false)
			_, r := request(c, "2", idempotent, 12.6)
			c.RequestReceived(r)
		}},
		{"announced that it leaves, server restarted", "", func(c *Checker) {
			s, _ := request(c, "1", idempotent, 9.9)
			c.ResponseReceived(at(10), s, standin.Response{Status: 200, Signed: true, Authentic: true, Server: "s", Leaving: true})
			c.ServerRestarted("s")
			_, r := request(c, "2", idempotent, 12.6)
			c.RequestReceived(r)
		}},
		{"over its limit", ServerRateLimit, func(c *Checker) { limitedServer(c, idempotent, 8) }},
		{"at its limit", "", func(c *Checker) { limitedServer(c, idempotent, 4) }},
		{"over its limit, not told", "", func(c *Checker) {
			c.SetLimit(at(10), "s", 2)
			for i := range 40 {
				_, r := request(c, string(rune('a'+i)), idempotent, 14+float64(i)/10)
				c.RequestReceived(r)
			}
		}},
		{"in a pause", PauseKept, func(c *Checker) { pausedServer(c, idempotent, 3) }},
		{"few in a pause", "", func(c *Checker) { pausedServer(c, idempotent, 2) }},
		{"not served after the faults", Recovery, func(c *Checker) {
			s, _ := request(c, "1", idempotent, 10)
			c.ResponseReceived(at(10.1), s, refused)
			c.checkRecovery(at(11), map[string]int{})
		}},
		{"does not stop", StopDeadline, func(c *Checker) { c.StopFailed(at(16), "g", at(10), errors.New("still running")) }},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := bounds()
			b.RetryExtra = 20
			c := NewChecker(b, start)
			c.RouteChanged(start, serviceReads)
			row.run(c)
			c.Finish(at(30), coldPerSecond)
			found := map[Invariant]bool{}
			for _, v := range c.Violations() {
				found[v.Invariant] = true
			}
			want := map[Invariant]bool{}
			if row.want != "" {
				want[row.want] = true
			}
			require.Equal(t, want, found, "%v", c.Violations())
		})
	}
}

// Guards against a seed that does not reproduce its faults.
func TestPlanIsDeterministic(t *testing.T) {
	names := func(seed uint64) (out []string) {
		for _, s := range planFaults(seed, time.Minute) {
			out = append(out, s.kind.name, s.duration.String(), s.at.String())
		}
		return out
	}
	require.Equal(t, names(7), names(7))
	require.NotEqual(t, names(7), names(8))
	require.Greater(t, len(names(7)), 3*40, "enough faults in a minute for several to overlap")
}

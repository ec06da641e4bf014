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

// request records a request on a route and returns it with what its server gets.
func request(l *Checker, id string, r *fleet.Route, seconds float64) (*sent, standin.BackendRequest) {
	s := &sent{Request: standin.Request{ID: id, Method: "POST", Target: "/x", TimeLeft: clientTime}, route: r, gate: "g", at: at(seconds), sum: "sum"}
	l.RequestSent(s)
	return s, standin.BackendRequest{Server: "s", Service: serviceReads, RequestID: id, Method: "POST", Target: "/x", BodySum: "sum", Region: "north", At: at(seconds)}
}

// Guards against checks that never find anything: each promise is broken once,
// and each excuse is tried.
func TestLedgerFindsBrokenPromises(t *testing.T) {
	safe := &fleet.Route{Name: "read", Idempotent: true, Timeout: time.Second}
	unsafe := &fleet.Route{Name: "pay", Timeout: time.Second}
	home := &fleet.Route{Name: "home", Idempotent: true, Timeout: time.Second, AllowedRegions: []string{"south"}}
	moving := &fleet.Route{Name: movingRoute, Timeout: time.Second}
	served := standin.Response{Status: 200, Signed: true, Authentic: true}
	refused := standin.Response{Status: 503, NotRun: true}
	for _, row := range []struct {
		name string
		want Invariant // "": none
		play func(l *Checker)
	}{
		{"served", "", func(l *Checker) {
			s, r := request(l, "1", unsafe, 10)
			l.RequestReceived(r)
			l.ResponseReceived(at(10.1), s, served)
		}},
		{"safe twice", "", func(l *Checker) {
			_, r := request(l, "1", safe, 10)
			l.RequestReceived(r)
			l.RequestReceived(r)
		}},
		{"unsafe twice", AtMostOnce, func(l *Checker) {
			_, r := request(l, "1", unsafe, 10)
			l.RequestReceived(r)
			l.RequestReceived(r)
		}},
		{"unsafe rejected, then run", "", func(l *Checker) {
			_, r := request(l, "1", unsafe, 10)
			r.Rejected = true
			l.RequestReceived(r)
			r.Rejected = false
			l.RequestReceived(r)
		}},
		{"refused and has run", RefusedNeverRuns, func(l *Checker) {
			s, r := request(l, "1", unsafe, 10)
			l.RequestReceived(r)
			l.ResponseReceived(at(10.1), s, refused)
		}},
		{"refused and runs later", RefusedNeverRuns, func(l *Checker) {
			s, r := request(l, "1", unsafe, 10)
			l.ResponseReceived(at(10.1), s, refused)
			l.RequestReceived(r)
		}},
		{"answer of another", ResponseAuthentic, func(l *Checker) {
			s, _ := request(l, "1", safe, 10)
			l.ResponseReceived(at(10.1), s, standin.Response{Status: 200, Signed: true})
		}},
		{"unknown request", RequestIntact, func(l *Checker) { l.RequestReceived(standin.BackendRequest{RequestID: "2", At: at(1)}) }},
		{"changed body", RequestIntact, func(l *Checker) {
			_, r := request(l, "1", safe, 10)
			r.BodySum = "other"
			l.RequestReceived(r)
		}},
		{"outside its regions", AllowedRegion, func(l *Checker) {
			_, r := request(l, "1", home, 10)
			l.RequestReceived(r)
		}},
		{"old service", CurrentRoute, func(l *Checker) {
			l.RouteChanged(at(10), serviceWrites)
			_, r := request(l, "1", moving, 13)
			l.RequestReceived(r)
		}},
		{"old service, store away", "", func(l *Checker) {
			l.RouteChanged(at(10), serviceWrites)
			l.RecordFault(at(11), "store", "", true)
			_, r := request(l, "1", moving, 13)
			l.RequestReceived(r)
		}},
		{"back to the old service", NoConfigRollback, func(l *Checker) {
			l.RecordFault(at(9), "gate", "g", true)
			l.RouteChanged(at(10), serviceWrites)
			_, r := request(l, "1", moving, 10.5)
			r.Service = serviceWrites
			l.RequestReceived(r)
			_, r = request(l, "2", moving, 11)
			l.RequestReceived(r)
		}},
		{"drained", DrainDeadline, func(l *Checker) {
			l.ServerWithdrawn(at(10), "s")
			_, r := request(l, "1", safe, 13)
			l.RequestReceived(r)
		}},
		{"drained, entry instance frozen before", "", func(l *Checker) {
			l.ServerWithdrawn(at(10), "s")
			l.RecordFault(at(10), "gate", "g", true)
			l.RecordFault(at(11), "gate", "g", false)
			_, r := request(l, "1", safe, 13)
			l.RequestReceived(r)
		}},
		{"drained while the store was away", "", func(l *Checker) {
			l.RecordFault(at(9), "store", "", true)
			l.ServerWithdrawn(at(10), "s")
			l.RecordFault(at(11), "store", "", false)
			_, r := request(l, "1", safe, 17)
			l.RequestReceived(r)
		}},
		{"drained while the store was away, long ago", DrainDeadline, func(l *Checker) {
			l.RecordFault(at(9), "store", "", true)
			l.ServerWithdrawn(at(10), "s")
			l.RecordFault(at(11), "store", "", false)
			_, r := request(l, "1", safe, 18)
			l.RequestReceived(r)
		}},
		{"evacuated", EvacuationDeadline, func(l *Checker) {
			l.AddServer("s", "north-a")
			l.SetEvacuated(at(10), "north-a", true)
			_, r := request(l, "1", safe, 16)
			l.RequestReceived(r)
		}},
		{"cut by a planned stop", NoLostResponse, func(l *Checker) {
			l.RecordFault(at(10), "stop", "g", true)
			s, r := request(l, "1", safe, 10.1)
			l.RequestReceived(r)
			l.ResponseLost(at(10.2), s, errors.New("EOF"))
		}},
		{"cut by a kill", "", func(l *Checker) {
			l.RecordFault(at(10), "gate", "g", true)
			s, r := request(l, "1", safe, 10.1)
			l.RequestReceived(r)
			l.ResponseLost(at(10.2), s, errors.New("EOF"))
		}},
		{"cut without a reason", NoLostResponse, func(l *Checker) {
			for i := range tolerated + 1 {
				s, r := request(l, string(rune('a'+i)), safe, 10)
				l.RequestReceived(r)
				l.ResponseLost(at(10.2), s, errors.New("EOF"))
			}
		}},
		{"denied", NoFalseClientError, func(l *Checker) {
			s, _ := request(l, "1", safe, 10)
			l.ResponseReceived(at(10.1), s, standin.Response{Status: 404})
		}},
		{"late", ResponseDeadline, func(l *Checker) {
			s, _ := request(l, "1", safe, 10)
			l.ResponseReceived(at(11.7), s, served)
		}},
		{"dead in the directory", NoDeadInstanceListed, func(l *Checker) {
			l.SetDown(at(10), "dead", true)
			for range tolerated + 1 {
				l.LookupAnswered(at(18), "g", []string{"g", "dead"})
			}
		}},
		{"repeated too often", RetryBudget, func(l *Checker) {
			_, r := request(l, "1", safe, 10)
			for range 60 {
				l.RequestReceived(r)
			}
		}},
		{"cold", ColdRateLimit, func(l *Checker) {
			for range 15 {
				_, r := request(l, "1", safe, 10)
				r.ColdRemaining = time.Second
				l.RequestReceived(r)
			}
		}},
		{"not served after faults", Recovery, func(l *Checker) {
			s, _ := request(l, "1", safe, 10)
			l.ResponseReceived(at(10.1), s, refused)
			l.checkRecovery(at(11), map[string]int{})
		}},
		{"does not stop", StopDeadline, func(l *Checker) { l.StopFailed(at(16), "g", at(10), errors.New("still running")) }},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := bounds()
			b.RetryExtra = 20
			l := NewChecker(b, start)
			l.RouteChanged(start, serviceReads)
			row.play(l)
			l.Finish(at(30), coldPerSecond)
			found := map[Invariant]bool{}
			for _, v := range l.Violations() {
				found[v.Invariant] = true
			}
			want := map[Invariant]bool{}
			if row.want != "" {
				want[row.want] = true
			}
			require.Equal(t, want, found, "%v", l.Violations())
		})
	}
}

// Guards against a seed that does not repeat its faults.
func TestPlanFollowsItsSeed(t *testing.T) {
	names := func(seed uint64) (out []string) {
		for _, s := range plan(seed, time.Minute) {
			out = append(out, s.kind.name, s.lasts.String(), s.at.String())
		}
		return out
	}
	require.Equal(t, names(7), names(7))
	require.NotEqual(t, names(7), names(8))
	require.Greater(t, len(names(7)), 3*40, "several faults overlap")
}

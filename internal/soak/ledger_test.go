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
func request(l *Ledger, id string, r *fleet.Route, seconds float64) (*sent, standin.Run) {
	s := &sent{Request: standin.Request{ID: id, Method: "POST", Target: "/x", TimeLeft: clientTime}, route: r, gate: "g", at: at(seconds), sum: "sum"}
	l.Sent(s)
	return s, standin.Run{Server: "s", Service: serviceReads, RequestID: id, Method: "POST", Target: "/x", BodySum: "sum", Region: "north", At: at(seconds)}
}

// Guards against checks that never find anything: each promise is broken once,
// and each excuse is tried.
func TestLedgerFindsBrokenPromises(t *testing.T) {
	safe := &fleet.Route{Name: "read", Idempotent: true, Timeout: time.Second}
	unsafe := &fleet.Route{Name: "pay", Timeout: time.Second}
	home := &fleet.Route{Name: "home", Idempotent: true, Timeout: time.Second, AllowedRegions: []string{"south"}}
	moving := &fleet.Route{Name: movingRoute, Timeout: time.Second}
	served := standin.Reply{Status: 200, Signed: true, Genuine: true}
	refused := standin.Reply{Status: 503, NotRun: true}
	for _, row := range []struct {
		name string
		want Promise // "": none
		play func(l *Ledger)
	}{
		{"served", "", func(l *Ledger) {
			s, r := request(l, "1", unsafe, 10)
			l.Ran(r)
			l.Answered(at(10.1), s, served)
		}},
		{"safe twice", "", func(l *Ledger) {
			_, r := request(l, "1", safe, 10)
			l.Ran(r)
			l.Ran(r)
		}},
		{"unsafe twice", RunOnce, func(l *Ledger) {
			_, r := request(l, "1", unsafe, 10)
			l.Ran(r)
			l.Ran(r)
		}},
		{"unsafe rejected, then run", "", func(l *Ledger) {
			_, r := request(l, "1", unsafe, 10)
			r.Rejected = true
			l.Ran(r)
			r.Rejected = false
			l.Ran(r)
		}},
		{"refused and has run", NotRunIsTrue, func(l *Ledger) {
			s, r := request(l, "1", unsafe, 10)
			l.Ran(r)
			l.Answered(at(10.1), s, refused)
		}},
		{"refused and runs later", NotRunIsTrue, func(l *Ledger) {
			s, r := request(l, "1", unsafe, 10)
			l.Answered(at(10.1), s, refused)
			l.Ran(r)
		}},
		{"answer of another", OwnAnswer, func(l *Ledger) {
			s, _ := request(l, "1", safe, 10)
			l.Answered(at(10.1), s, standin.Reply{Status: 200, Signed: true})
		}},
		{"unknown request", Unchanged, func(l *Ledger) { l.Ran(standin.Run{RequestID: "2", At: at(1)}) }},
		{"changed body", Unchanged, func(l *Ledger) {
			_, r := request(l, "1", safe, 10)
			r.BodySum = "other"
			l.Ran(r)
		}},
		{"outside its regions", HomeRegion, func(l *Ledger) {
			_, r := request(l, "1", home, 10)
			l.Ran(r)
		}},
		{"old service", RightService, func(l *Ledger) {
			l.Moved(at(10), serviceWrites)
			_, r := request(l, "1", moving, 13)
			l.Ran(r)
		}},
		{"old service, store away", "", func(l *Ledger) {
			l.Moved(at(10), serviceWrites)
			l.Disturb(at(11), "store", "", true)
			_, r := request(l, "1", moving, 13)
			l.Ran(r)
		}},
		{"back to the old service", NoRegress, func(l *Ledger) {
			l.Disturb(at(9), "gate", "g", true)
			l.Moved(at(10), serviceWrites)
			_, r := request(l, "1", moving, 10.5)
			r.Service = serviceWrites
			l.Ran(r)
			_, r = request(l, "2", moving, 11)
			l.Ran(r)
		}},
		{"drained", DrainedIsLeft, func(l *Ledger) {
			l.Left(at(10), "s")
			_, r := request(l, "1", safe, 13)
			l.Ran(r)
		}},
		{"drained, entry instance frozen before", "", func(l *Ledger) {
			l.Left(at(10), "s")
			l.Disturb(at(10), "gate", "g", true)
			l.Disturb(at(11), "gate", "g", false)
			_, r := request(l, "1", safe, 13)
			l.Ran(r)
		}},
		{"drained while the store was away", "", func(l *Ledger) {
			l.Disturb(at(9), "store", "", true)
			l.Left(at(10), "s")
			l.Disturb(at(11), "store", "", false)
			_, r := request(l, "1", safe, 17)
			l.Ran(r)
		}},
		{"drained while the store was away, long ago", DrainedIsLeft, func(l *Ledger) {
			l.Disturb(at(9), "store", "", true)
			l.Left(at(10), "s")
			l.Disturb(at(11), "store", "", false)
			_, r := request(l, "1", safe, 18)
			l.Ran(r)
		}},
		{"evacuated", EvacuatedLeft, func(l *Ledger) {
			l.Server("s", "north-a")
			l.Evacuate(at(10), "north-a", true)
			_, r := request(l, "1", safe, 16)
			l.Ran(r)
		}},
		{"cut by a planned stop", NoCut, func(l *Ledger) {
			l.Disturb(at(10), "stop", "g", true)
			s, r := request(l, "1", safe, 10.1)
			l.Ran(r)
			l.Lost(at(10.2), s, errors.New("EOF"))
		}},
		{"cut by a kill", "", func(l *Ledger) {
			l.Disturb(at(10), "gate", "g", true)
			s, r := request(l, "1", safe, 10.1)
			l.Ran(r)
			l.Lost(at(10.2), s, errors.New("EOF"))
		}},
		{"cut without a reason", NoCut, func(l *Ledger) {
			for i := range tolerated + 1 {
				s, r := request(l, string(rune('a'+i)), safe, 10)
				l.Ran(r)
				l.Lost(at(10.2), s, errors.New("EOF"))
			}
		}},
		{"denied", NoDenial, func(l *Ledger) {
			s, _ := request(l, "1", safe, 10)
			l.Answered(at(10.1), s, standin.Reply{Status: 404})
		}},
		{"late", InTime, func(l *Ledger) {
			s, _ := request(l, "1", safe, 10)
			l.Answered(at(11.7), s, served)
		}},
		{"dead in the directory", DeadUnnamed, func(l *Ledger) {
			l.Down(at(10), "dead", true)
			for range tolerated + 1 {
				l.Named(at(18), "g", []string{"g", "dead"})
			}
		}},
		{"repeated too often", RetryBound, func(l *Ledger) {
			_, r := request(l, "1", safe, 10)
			for range 60 {
				l.Ran(r)
			}
		}},
		{"cold", ColdBound, func(l *Ledger) {
			for range 15 {
				_, r := request(l, "1", safe, 10)
				r.ColdFor = time.Second
				l.Ran(r)
			}
		}},
		{"not served after faults", Recovers, func(l *Ledger) {
			s, _ := request(l, "1", safe, 10)
			l.Answered(at(10.1), s, refused)
			l.checkRecovery(at(11), map[string]int{})
		}},
		{"does not stop", StopsInTime, func(l *Ledger) { l.StopFailed(at(16), "g", at(10), errors.New("still running")) }},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := bounds()
			b.RetryExtra = 20
			l := NewLedger(b, start)
			l.Moved(start, serviceReads)
			row.play(l)
			l.Finish(at(30), coldPerSecond)
			found := map[Promise]bool{}
			for _, v := range l.Violations() {
				found[v.Promise] = true
			}
			want := map[Promise]bool{}
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

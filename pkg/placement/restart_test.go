package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a server that restarts cold under its id while the store is
// unreachable and gets the full request rate (drsoak seeds 587224, 274584 and
// 577410): its registration still names the old process.
func TestRefusedConnectionLimitsTheServer(t *testing.T) {
	const quota = 3
	b := New("north")
	server := Server{ID: "s", Service: "svc", Addr: "a", Region: "north", Slots: 8, ColdQuota: QuotaUnknown}
	b.Update([]Server{server})
	b.ConfirmRegistrations(epoch)
	request := Request{Service: "svc", Class: "c", UntilObjective: time.Second, UntilDeadline: 2 * time.Second, InitialServiceTime: 100 * time.Millisecond}
	sends := func(now time.Time) (n int) {
		for range 20 {
			c, refusal := b.Choose(now, request)
			if refusal != nil {
				return n
			}
			n++
			b.Done(now.Add(time.Millisecond), c, Result{Outcome: Served})
		}
		return n
	}
	require.Equal(t, 20, sends(at(0)), "a server with a known start has no quota")
	c, _ := b.Choose(at(time.Second), request)
	b.Done(at(time.Second), c, Result{Outcome: Unreachable, Refused: true})
	require.Equal(t, []string{"s"}, b.UnknownStarts())
	require.True(t, b.TakeNewSuspicion(), "peers are told")
	require.False(t, b.TakeNewSuspicion(), "once")

	restarted := at(2500 * time.Millisecond)
	require.Equal(t, 1, sends(restarted), "one request until the quota is known")
	server.ColdQuota = quota
	b.Update([]Server{server})
	require.Equal(t, quota, sends(restarted.Add(coldWindow)))
	b.ConfirmRegistrations(at(time.Second + defaultRegistrationInterval - time.Millisecond))
	require.Equal(t, quota, sends(restarted.Add(2*coldWindow)), "the server may have restarted and not yet registered")
	b.ConfirmRegistrations(at(time.Second + defaultRegistrationInterval))
	require.Empty(t, b.UnknownStarts())
	require.Equal(t, 20, sends(restarted.Add(3*coldWindow)), "its registration still names the same process")
}

// Guards against instances that have not sent to the server while it was down, and
// against those of other regions, which may not send to cold servers.
func TestReportedRestartLimitsTheServer(t *testing.T) {
	server := Server{ID: "s", Service: "svc", Addr: "a", Region: "north", Slots: 8, ColdQuota: QuotaUnknown}
	request := Request{Service: "svc", Class: "c", UntilObjective: time.Second, UntilDeadline: 2 * time.Second, InitialServiceTime: 100 * time.Millisecond}
	for region, quota := range map[string]int{"north": 1, "south": 0} {
		b := New(region)
		b.Update([]Server{server})
		b.SuspectRestarts(at(time.Second), []string{"s", "unknown"})
		for i := range 3 {
			_, refusal := b.Choose(at(time.Second), request)
			require.Equal(t, i >= quota, refusal != nil, "%s: request %d", region, i)
		}
		next := server
		next.StartTime = at(time.Second)
		b.Update([]Server{next})
		require.Empty(t, b.UnknownStarts(), "%s: the registration names a new process", region)
	}
}

// Guards against reports that instances pass on to each other for ever.
func TestReportedRestartsEnd(t *testing.T) {
	b := New("north")
	b.Update([]Server{{ID: "s", Service: "svc", Addr: "a", Region: "north", Slots: 8, ColdQuota: QuotaUnknown}})
	b.SuspectRestarts(at(0), []string{"s"})
	for i := range 10 {
		now := at(time.Duration(i) * 500 * time.Millisecond)
		b.ConfirmRegistrations(now)
		b.SuspectRestarts(now, b.UnknownStarts())
	}
	require.Empty(t, b.UnknownStarts())
}

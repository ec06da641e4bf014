package registry

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/replica"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

const coldStart = 3 * time.Second

// decoder decodes documents that are stored as their version, and servers as
// JSON.
type decoder struct{}

func (decoder) IsDocument(key string) bool { return key == "doc" }

func (decoder) EvacuatedDomain(key string) (string, bool) { return strings.CutPrefix(key, "out/") }

func (decoder) DecodeDocument(value []byte) (*fleet.Document, error) {
	if value[0] == 'x' {
		return nil, errors.New("truncated document")
	}
	return fleet.NewDocument(uint64(value[0]), nil, []fleet.Service{{Name: "s", ColdStart: coldStart}}, fleet.Limits{}), nil
}

func (decoder) DecodeServer(id string, value []byte) (fleet.BackendServer, error) {
	var s fleet.BackendServer
	err := json.Unmarshal(value, &s)
	s.ID = id
	return s, err
}

func server(id string, change func(*fleet.BackendServer)) replica.Row {
	s := fleet.BackendServer{Service: "s", FailureDomain: "a", Addr: id, Slots: 3, StartTime: epoch}
	if change != nil {
		change(&s)
	}
	value, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return replica.Row{Key: id, Version: 1, Value: value}
}

func removed(id string) replica.Row { return replica.Row{Key: id, Version: 2, Removed: true} }

func newTestRegistry(ids ...string) *Registry {
	r := New(decoder{})
	r.ApplyOperator(epoch, []replica.Row{{Key: "doc", Value: []byte{5}}})
	var rows []replica.Row
	for _, id := range ids {
		rows = append(rows, server(id, nil))
	}
	r.ApplyServers(epoch, rows, true)
	return r
}

func serversByID(v View) map[string]Server {
	out := map[string]Server{}
	for _, s := range v.Servers {
		out[s.ID] = s
	}
	return out
}

// Guards against a document that reverts to an older version, and against an
// unreadable one that replaces the one in force.
func TestDocumentVersionNeverDecreases(t *testing.T) {
	r := newTestRegistry()
	for _, value := range []byte{4, 'x', 5} {
		events := r.ApplyOperator(epoch, []replica.Row{{Key: "doc", Value: []byte{value}}})
		require.EqualValues(t, 5, r.View(epoch).Document.Version)
		if value == 'x' {
			require.Equal(t, DocumentInvalid, events[0].Kind)
		}
	}
	r.ApplyOperator(epoch, []replica.Row{{Key: "doc", Removed: true}})
	require.EqualValues(t, 5, r.View(epoch).Document.Version)
	r.ApplyOperator(epoch, []replica.Row{{Key: "doc", Value: []byte{7}}})
	require.EqualValues(t, 7, r.View(epoch).Document.Version)
}

// Guards against new requests to a leaving server: it reports draining, its
// registration is removed without notice, or another writer corrupts it.
func TestLeavingServerIsNotUsed(t *testing.T) {
	for name, row := range map[string]replica.Row{
		"draining": server("b", func(s *fleet.BackendServer) { s.Draining = true }),
		"removed":  removed("b"),
		"spoiled":  {Key: "b", Version: 2, Value: []byte("{")},
	} {
		r := newTestRegistry("a", "b")
		r.ApplyServers(at(time.Minute), []replica.Row{row}, true)
		require.NotContains(t, serversByID(r.View(at(time.Minute))), "b", name)
	}
}

// Guards against a service without servers after a store outage: registrations
// expire and are renewed within 2 s. Servers that do not register again by then
// are removed.
func TestExpiredRegistrationsStayDuringGrace(t *testing.T) {
	r := newTestRegistry("a", "b", "c", "d", "e", "f", "g", "h")
	now := at(time.Minute)
	r.RecordStoreFailure(now.Add(-3*time.Second), now)
	now = now.Add(500 * time.Millisecond)
	r.ApplyServers(now, []replica.Row{removed("a"), removed("b")}, true)
	v := r.View(now)
	require.True(t, serversByID(v)["a"].InGracePeriod)
	require.Equal(t, now.Add(ExpiryGrace), v.NextChange)
	r.ApplyServers(now.Add(time.Second), []replica.Row{server("a", nil)}, true)
	after := serversByID(r.View(now.Add(ExpiryGrace)))
	require.Contains(t, after, "a")
	require.NotContains(t, after, "b")
	require.Zero(t, after["a"].ColdUntil, "it was in use all the time")
}

// Guards against losing many servers at once when this instance saw no failure of
// the store itself, because it got the rows from a peer.
func TestMassRemovalGetsGrace(t *testing.T) {
	r := newTestRegistry("a", "b", "c", "d", "e")
	now := at(time.Minute)
	r.ApplyServers(now, []replica.Row{removed("a"), removed("b"), removed("c"), removed("d")}, true)
	require.Len(t, r.View(now).Servers, 5)
	require.Len(t, r.View(now.Add(ExpiryGrace)).Servers, 1)
}

// Guards against requests to removed servers after the drain bound: the removal of
// many at once may be planned. After a store outage the bound does not hold.
func TestGraceEndsBeforeDrainBound(t *testing.T) {
	const delays = 450 * time.Millisecond // of the change feed and of the timer that ends the grace
	for _, drain := range []time.Duration{time.Second, 2 * time.Second, 2500 * time.Millisecond, 4 * time.Second} {
		r := newTestRegistry("a", "b", "c", "d", "e")
		r.SetLimits(drain, defaultInterval)
		now := at(time.Minute)
		r.ApplyServers(now, []replica.Row{removed("a"), removed("b"), removed("c"), removed("d")}, true)
		require.Len(t, r.View(now).Servers, 5, "%v", drain)
		require.Len(t, r.View(now.Add(drain-delays)).Servers, 1, "%v", drain)
		require.Len(t, r.View(now.Add(ExpiryGrace)).Servers, 1, "%v: live servers have registered again", drain)
	}
	r := newTestRegistry("a", "b", "c", "d", "e")
	r.SetLimits(time.Second, defaultInterval)
	now := at(time.Minute)
	r.RecordStoreFailure(now.Add(-3*time.Second), now)
	r.ApplyServers(now, []replica.Row{removed("a")}, true)
	require.Len(t, r.View(now.Add(ExpiryGrace-1)).Servers, 5)
}

// Guards against an outage that counts as too short for expiry where servers renew
// their registrations more often.
func TestOutageLengthFollowsInterval(t *testing.T) {
	for interval, expires := range map[time.Duration]bool{500 * time.Millisecond: true, 1500 * time.Millisecond: false} {
		r := newTestRegistry("a", "b", "c", "d", "e")
		r.SetLimits(time.Second, interval)
		now := at(time.Minute)
		r.RecordStoreFailure(now.Add(-time.Second), now)
		r.ApplyServers(now, []replica.Row{removed("a")}, true)
		require.Equal(t, expires, len(r.View(now).Servers) == 5, "%v", interval)
	}
}

// Guards against overloading cold servers: a new one, one that restarted under
// its id, and those of a failure domain whose evacuation ends.
func TestColdServers(t *testing.T) {
	r := newTestRegistry("a")
	require.Zero(t, serversByID(r.View(epoch))["a"].ColdUntil, "known from the start")
	now := at(time.Minute)
	r.ApplyServers(now, []replica.Row{
		server("new", nil),
		server("a", func(s *fleet.BackendServer) { s.StartTime = now }),
	}, true)
	v := serversByID(r.View(now))
	require.Equal(t, now.Add(coldStart), v["new"].ColdUntil)
	require.Equal(t, now.Add(coldStart), v["a"].ColdUntil)

	now = at(2 * time.Minute)
	r.ApplyOperator(now, []replica.Row{{Key: "out/a", Value: []byte("{}")}})
	require.True(t, r.View(now).Evacuated["a"])
	r.ApplyOperator(now, []replica.Row{{Key: "out/a", Removed: true}})
	require.Empty(t, r.View(now).Evacuated)
	require.Equal(t, now.Add(coldStart+defaultInterval), serversByID(r.View(now))["a"].ColdUntil)

	r.ApplyServers(at(3*time.Minute), []replica.Row{server("a", func(s *fleet.BackendServer) {
		s.StartTime, s.ColdRemaining = at(time.Minute), time.Second
	})}, true)
	require.Equal(t, at(3*time.Minute+time.Second), serversByID(r.View(at(3 * time.Minute)))["a"].ColdUntil)
}

// Guards against planned removals that count as expiry: 5 of 363 servers left
// within a second and still got requests 3.3 s later (violation DRAIN in bench
// scenario trouble-2 of hesabu-rack-grown). A single failed call is no outage
// either.
func TestPlannedRemovalsGetNoGrace(t *testing.T) {
	var all []string
	for i := range 100 {
		all = append(all, fmt.Sprint("s", i))
	}
	r := newTestRegistry(all...)
	now := at(time.Minute)
	r.RecordStoreFailure(now.Add(-100*time.Millisecond), now)
	var rows []replica.Row
	for _, id := range all[:20] {
		rows = append(rows, removed(id))
	}
	r.ApplyServers(now, rows, true)
	require.Len(t, r.View(now).Servers, 80)
}

// Guards against the end of a grace period that goes unnoticed because another
// one ended shortly before (the second cause of the violation in
// TestPlannedRemovalsGetNoGrace).
func TestEveryGraceEndOutdatesView(t *testing.T) {
	r := newTestRegistry("a", "b", "c", "d", "e")
	now := at(time.Minute)
	later := now.Add(100 * time.Millisecond)
	r.ApplyServers(now, []replica.Row{removed("a"), removed("b"), removed("c")}, true)
	r.ApplyServers(later, []replica.Row{removed("d")}, true)
	require.Len(t, r.View(later).Servers, 5)
	require.False(t, r.ViewOutdated(now.Add(ExpiryGrace-1)))
	require.True(t, r.ViewOutdated(now.Add(ExpiryGrace)))
	require.Len(t, r.View(now.Add(ExpiryGrace)).Servers, 2)
	require.True(t, r.ViewOutdated(later.Add(ExpiryGrace)))
	require.Len(t, r.View(later.Add(ExpiryGrace)).Servers, 1)
	require.False(t, r.ViewOutdated(at(time.Hour)))
}

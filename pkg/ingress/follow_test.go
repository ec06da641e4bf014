package ingress

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/replica"
)

// Guards against a process that was paused during a call and takes an answer that is
// seconds old for the state of the registrations now.
func TestAnswerTimeIsNotTooLate(t *testing.T) {
	started := time.Unix(1_800_000_000, 0)
	f := &tableFollower{wait: 2 * time.Second}
	resumed := started.Add(20 * time.Second)
	require.Equal(t, started.Add(2*time.Second), f.answeredAt(started, resumed, false), "the call had ended")
	require.Equal(t, started, f.answeredAt(started, resumed, true), "changes end a call at any time")
	require.Equal(t, started, f.answeredAt(started, started.Add(time.Second), false))
}

// Guards against a standby that isn't told that it is one, or is sent heartbeats at the
// interval of others: it would not notice in time that the follower is silent.
func TestStandbyIsToldAndWatches(t *testing.T) {
	start := func(id string, linkMbps float64) *Ingress {
		return New(Options{
			Instance: fleet.InstanceConfig{ID: id, FailureDomain: "north-a", Region: "north", PeerAddr: id, LinkMbps: linkMbps, Bounds: fleet.DefaultBounds()},
			Settings: DefaultSettings(), Log: hclog.NewNullLogger(),
			NewStore: func(string, func(string, time.Duration, error)) replica.Store { return nil },
		})
	}
	follower, standby := start("e1", 200), start("e2", 10)
	now := time.Now()
	follower.following.Store(true)
	follower.lastStoreResponse.Store(now.UnixNano())
	toStandby := &link{member: standby.self, tables: map[replica.TableName]replica.State{}}
	follower.handleSync(now, standby.syncRequest(&link{member: follower.self}))
	require.Less(t, follower.heartbeatInterval(toStandby), follower.settings.HeartbeatInterval.Std())

	standby.handleSync(now, follower.syncRequest(toStandby))
	bound := fleet.DefaultBounds().Propagation()
	for d := time.Duration(0); d < bound; d += standby.followCheckInterval() {
		if standby.roster.FollowsStore(now.Add(d)) {
			require.Positive(t, d, "there is a follower")
			return
		}
	}
	require.Fail(t, "the standby did not take over within the bound")
}

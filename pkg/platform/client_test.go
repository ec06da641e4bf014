package platform_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	standin "github.com/dandelionrack/dandelionrack/internal/standin/platform"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

const callTimeout = 300 * time.Millisecond

func start(t *testing.T, change func(*standin.Settings)) (*standin.Server, *platform.Client) {
	t.Helper()
	settings := standin.DefaultSettings()
	settings.TransactionsPerSecond, settings.ReadsPerSecond = 0, 0
	if change != nil {
		change(&settings)
	}
	s, err := standin.Start(settings)
	require.NoError(t, err)
	c := platform.NewClient(platform.ClientConfig{BaseURL: s.URL(), Timeout: callTimeout})
	t.Cleanup(func() {
		c.Close()
		require.NoError(t, s.Close())
	})
	return s, c
}

func put(key, value string) platform.Tx {
	return platform.Tx{
		Conditions: []platform.Condition{{Key: key}},
		Puts:       []platform.Put{{Key: key, Value: []byte(value)}},
	}
}

// Guards against a conflict error without the current rows, which a claim needs
// to decide what to do.
func TestConflictReturnsCurrentRows(t *testing.T) {
	_, c := start(t, nil)
	ctx := context.Background()
	require.NoError(t, c.Commit(ctx, put("claim/a", "one")))
	err := c.Commit(ctx, put("claim/a", "two"))
	require.ErrorIs(t, err, platform.ErrConflict)
	var conflict *platform.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, []platform.Row{{Key: "claim/a", Version: 1, Value: []byte("one")}}, conflict.Rows)
	row, err := c.Get(ctx, "claim/a")
	require.NoError(t, err)
	require.Equal(t, "one", string(row.Value))
	_, err = c.Get(ctx, "claim/b")
	require.ErrorIs(t, err, platform.ErrNotFound)
}

// Guards against a resend of a commit when a reused connection breaks after the
// commit took effect, and against reporting that commit as failed.
func TestLostResponseIsUnknownAndCommitsOnce(t *testing.T) {
	s, c := start(t, nil)
	ctx := context.Background()
	require.NoError(t, c.Commit(ctx, put("first", "opens the connection")))
	s.SetFault(standin.Fault{LoseReplies: 1})
	tx := platform.Tx{Puts: []platform.Put{{Key: "row", Value: []byte("v")}}}
	require.ErrorIs(t, c.Commit(ctx, tx), platform.ErrUnknownOutcome)
	row, err := c.Get(ctx, "row")
	require.NoError(t, err)
	require.EqualValues(t, 1, row.Version)
	require.EqualValues(t, 2, s.Stats().Commits)
}

// Guards against a wrong outcome of a write in each kind of outage.
func TestOutages(t *testing.T) {
	cases := map[standin.Outage]error{
		standin.OutageRefuse: platform.ErrUnavailable,
		standin.OutageDrop:   platform.ErrUnknownOutcome,
		standin.OutageHang:   platform.ErrUnknownOutcome,
	}
	for outage, want := range cases {
		t.Run(string(outage), func(t *testing.T) {
			s, c := start(t, nil)
			ctx := context.Background()
			s.SetFault(standin.Fault{Outage: outage})
			require.ErrorIs(t, c.Commit(ctx, put("k", "v")), want)
			require.ErrorIs(t, c.PutObject(ctx, "k", nil), want)
			_, err := c.Get(ctx, "k")
			require.ErrorIs(t, err, platform.ErrUnavailable)
			s.SetFault(standin.Fault{})
			_, err = c.Get(ctx, "k")
			require.ErrorIs(t, err, platform.ErrNotFound)
		})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	c := platform.NewClient(platform.ClientConfig{BaseURL: "http://" + l.Addr().String()})
	require.ErrorIs(t, c.Commit(context.Background(), put("k", "v")), platform.ErrUnavailable)
}

// Guards against a timeout that is reported as "nothing written" while the
// write still takes effect.
func TestSlowWriteTakesEffectAfterTimeout(t *testing.T) {
	s, c := start(t, nil)
	s.SetFault(standin.Fault{Latency: config.Duration(callTimeout + 100*time.Millisecond)})
	require.ErrorIs(t, c.Commit(context.Background(), put("k", "v")), platform.ErrUnknownOutcome)
	s.SetFault(standin.Fault{})
	require.Eventually(t, func() bool {
		_, err := c.Get(context.Background(), "k")
		return err == nil
	}, 2*time.Second, 10*time.Millisecond)
}

// Guards against a write that takes effect although the rate limit refused it.
func TestRateLimitWritesNothing(t *testing.T) {
	s, c := start(t, func(set *standin.Settings) { set.TransactionsPerSecond = 1 })
	ctx := context.Background()
	require.NoError(t, c.Commit(ctx, put("a", "")))
	require.ErrorIs(t, c.Commit(ctx, put("b", "")), platform.ErrUnavailable)
	_, err := c.Get(ctx, "b")
	require.ErrorIs(t, err, platform.ErrNotFound)
	require.EqualValues(t, 1, s.Stats().RateRefused)
}

// Guards against the Breaker and Shedding middlewares of rest in the stand-in,
// which would refuse requests after many failures without Not-Written.
func TestManyRefusalsTripNoBreaker(t *testing.T) {
	s, c := start(t, nil)
	ctx := context.Background()
	s.SetFault(standin.Fault{Outage: standin.OutageRefuse})
	for range 200 {
		require.ErrorIs(t, c.Commit(ctx, put("k", "v")), platform.ErrUnavailable)
	}
	require.EqualValues(t, 200, s.Stats().DownRefused)
	s.SetFault(standin.Fault{})
	require.NoError(t, c.Commit(ctx, put("k", "v")))
}

// Guards against keys or values that change when they pass through HTTP paths.
func TestAnyKeyRoundTrips(t *testing.T) {
	_, c := start(t, nil)
	ctx := context.Background()
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.StringMatching(`[a-z0-9./%?#& +:é-]{1,20}`).Draw(t, "key")
		value := rapid.SliceOf(rapid.Byte()).Draw(t, "value")
		if key == "." || key == ".." {
			require.Error(t, c.PutObject(ctx, key, value))
			return
		}
		require.NoError(t, c.Commit(ctx, platform.Tx{Puts: []platform.Put{{Key: key, Value: value}}}))
		row, err := c.Get(ctx, key)
		require.NoError(t, err)
		require.Equal(t, string(value), string(row.Value))
		rows, err := c.List(ctx, key, "", 10)
		require.NoError(t, err)
		require.Equal(t, key, rows[0].Key)
		require.NoError(t, c.PutObject(ctx, key, value))
		object, err := c.GetObject(ctx, key)
		require.NoError(t, err)
		require.Equal(t, string(value), string(object))
	})
}

// Guards against lists that miss, repeat or reorder entries across pages, and
// against a stand-in whose instance list does not lag.
func TestListsAndInstances(t *testing.T) {
	s, c := start(t, func(set *standin.Settings) {
		set.InstanceLag = config.Duration(100 * time.Millisecond)
		set.Instances = []platform.Instance{{ID: "e1", Kind: "entry", State: platform.InstanceLive}}
	})
	ctx := context.Background()
	for _, key := range []string{"p/3", "p/1", "q/1", "p/2"} {
		require.NoError(t, c.Commit(ctx, put(key, "")))
		require.NoError(t, c.PutObject(ctx, key, nil))
	}
	rows, err := c.List(ctx, "p/", "p/1", 1)
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.Equal(t, "p/2", rows[0].Key)
	names, err := c.ListObjects(ctx, "p/", "p/1", 10)
	require.NoError(t, err)
	require.Equal(t, []string{"p/2", "p/3"}, names)

	s.SetInstances(nil)
	list, err := c.Instances(ctx)
	require.NoError(t, err)
	require.Len(t, list, 1, "the change must not be visible before the lag")
	require.Eventually(t, func() bool {
		list, err := c.Instances(ctx)
		return err == nil && len(list) == 0
	}, 2*time.Second, 10*time.Millisecond)
}

package configstore_test

import (
	"context"
	"fmt"
	"math/rand"
	"reflect"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/configstore"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

func deployment() config.Deployment {
	d := config.Deployment{
		Regions:        []config.Region{{Name: "r"}},
		FailureDomains: []config.FailureDomain{{Name: "d", Region: "r"}},
		EntryInstances: []config.EntryInstance{{ID: "e", FailureDomain: "d",
			CallerAddr: "127.0.0.1:1", PeerAddr: "127.0.0.1:2", OperatorAddr: "127.0.0.1:3"}},
	}
	for i := range 3 {
		d.BackendServers = append(d.BackendServers, config.BackendServer{ID: fmt.Sprint("s", i), Slots: 1,
			Addr: fmt.Sprint("127.0.0.2:", i+1), FailureDomain: "d", Services: []string{"a"}, MaxConnections: 1})
	}
	return d
}

func change(id string) config.Change { return config.Change{ID: id, Author: "author of " + id} }

func newStore(t testing.TB, table platform.Table) *configstore.Store {
	s := configstore.New(table, func() string { return "generated" })
	doc, err := s.BootstrapDeployment(context.Background(), change("boot"), deployment())
	require.NoError(t, err)
	require.Equal(t, uint64(1), doc.Version)
	return s
}

// result is the outcome of all submissions of one change ID.
type result struct {
	version uint64 // 0: refused
	err     error
}

// Guards against changes that are lost, made twice or undone by another one when
// they are submitted concurrently, replies are lost and reads are stale.
func TestConcurrentSubmitters(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Int64().Draw(rt, "seed")
		submitters := rapid.IntRange(2, 6).Draw(rt, "submitters")
		changes := rapid.IntRange(1, 6).Draw(rt, "changes")
		var table *faultyTable
		results := map[string]result{}
		// Virtual time skips the delays between attempts.
		synctest.Test(t, func(t *testing.T) {
			table = newTable(seed, false)
			store := newStore(t, table)
			table.faults = true
			submitConcurrently(store, seed, submitters, changes, results)
		})
		versions := readVersions(rt, table)
		checkResults(rt, versions, results, submitters*changes)
		checkNoRevert(rt, versions)
	})
}

func submitConcurrently(store *configstore.Store, seed int64, submitters, changes int, results map[string]result) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := range submitters {
		random := rand.New(rand.NewSource(seed + int64(n)))
		wg.Go(func() {
			for i := range changes {
				ch := change(fmt.Sprintf("c%d-%d", n, i))
				r := submitUntilDecided(store, ch, chooseOperation(store, random))
				mu.Lock()
				results[ch.ID] = r
				mu.Unlock()
			}
		})
	}
	wg.Wait()
}

func chooseOperation(store *configstore.Store, random *rand.Rand) config.Operation {
	server := fmt.Sprint("s", random.Intn(3))
	doc, err := store.Load(context.Background())
	if err != nil {
		return config.StartDrain{Server: server}
	}
	if drain := doc.Drains[server]; drain != nil {
		return config.CancelDrain{Server: server, BaseVersion: drain.Version}
	}
	if random.Intn(4) == 0 {
		return config.ApplyDeployment{Deployment: doc.Deployment, BaseVersion: doc.DeploymentVersion}
	}
	return config.StartDrain{Server: server}
}

// submitUntilDecided submits until the outcome is known, and once more after
// success.
func submitUntilDecided(store *configstore.Store, ch config.Change, op config.Operation) result {
	var r result
	for confirmed := 0; confirmed < 2; {
		doc, err := store.Submit(context.Background(), ch, op)
		switch {
		case err == nil && r.version != 0 && r.version != doc.Version:
			return result{err: errors.Errorf("accepted as %d and as %d", r.version, doc.Version)}
		case err == nil && doc.Change.ID != ch.ID:
			return result{err: errors.Errorf("got the document of change %s", doc.Change.ID)}
		case err == nil:
			r.version = doc.Version
			confirmed++
		case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrUnknownOutcome):
		case r.version != 0:
			return result{err: errors.Wrap(err, "refused after it was accepted")}
		default:
			return refusedResult(err)
		}
	}
	return r
}

func refusedResult(err error) result {
	var conflict *config.ConflictError
	var missing *config.NotFoundError
	if errors.As(err, &conflict) || errors.As(err, &missing) {
		return result{}
	}
	return result{err: err}
}

// readVersions reads all versions directly from the rows.
func readVersions(t require.TestingT, table *faultyTable) []*config.Document {
	table.faults = false
	rows, err := table.List(context.Background(), "config/v/", "", 1000)
	require.NoError(t, err)
	var versions []*config.Document
	for i, row := range rows {
		require.Equal(t, uint64(1), row.Version, "version %s was written twice", row.Key)
		doc, err := config.Decode(row.Value)
		require.NoError(t, err)
		require.Equal(t, uint64(i+1), doc.Version)
		versions = append(versions, doc)
	}
	require.Equal(t, rows[len(rows)-1].Value, table.newest("config/current").Value)
	return versions
}

func checkResults(t require.TestingT, versions []*config.Document, results map[string]result, total int) {
	require.Len(t, results, total)
	byID := map[string]uint64{}
	for _, doc := range versions {
		require.Zero(t, byID[doc.Change.ID], "change %s was accepted twice", doc.Change.ID)
		byID[doc.Change.ID] = doc.Version
	}
	for id, r := range results {
		require.NoError(t, r.err, id)
		require.Equal(t, r.version, byID[id], "change %s", id)
	}
}

// checkNoRevert requires each version to differ from the previous one only in the
// object that its change names.
func checkNoRevert(t require.TestingT, versions []*config.Document) {
	for i := 1; i < len(versions); i++ {
		before, after := objects(versions[i-1]), objects(versions[i])
		object := versions[i].Change.Object
		require.False(t, reflect.DeepEqual(before[object], after[object]), "version %d changes nothing", i+1)
		delete(before, object)
		delete(after, object)
		require.Equal(t, before, after, "version %d", i+1)
	}
}

func objects(doc *config.Document) map[string]any {
	out := map[string]any{"deployment": [2]any{doc.Deployment, doc.DeploymentVersion}}
	for id, d := range doc.Drains {
		out["drain/"+id] = *d
	}
	return out
}

// Guards against reporting an accepted change as a conflict when its reply was lost
// and others changed the object before the submitter read it. Also guards against
// reporting another operation with the same change ID as accepted.
func TestLostReplyThenOthersWrite(t *testing.T) {
	ctx := context.Background()
	table := newTable(1, false)
	store := newStore(t, table)
	table.afterCommit = func() {
		_, err := store.Submit(ctx, change("cancel"), config.CancelDrain{Server: "s0", BaseVersion: 2})
		require.NoError(t, err)
		_, err = store.Submit(ctx, change("other"), config.StartDrain{Server: "s0"})
		require.NoError(t, err)
	}
	doc, err := store.Submit(ctx, change("first"), config.StartDrain{Server: "s0"})
	require.NoError(t, err)
	require.Equal(t, uint64(2), doc.Version)
	require.Equal(t, "first", doc.Change.ID)

	_, err = store.Submit(ctx, change("first"), config.StartDrain{Server: "s1"})
	var reused *findings.Error
	require.True(t, errors.As(err, &reused), "a reused change ID must not be reported as accepted")

	entries, err := store.History(ctx, 2)
	require.NoError(t, err)
	require.Equal(t, "other", entries[0].Change.ID)
	require.Equal(t, "cancel", entries[1].Change.ID)
	require.Len(t, entries, 2)
}

// Guards against a conflict that does not name the change accepted first, even if
// that change removed the object.
func TestConflictNamesTheOtherChange(t *testing.T) {
	ctx := context.Background()
	store := newStore(t, newTable(1, false))
	_, err := store.Submit(ctx, change("start"), config.StartDrain{Server: "s0"})
	require.NoError(t, err)
	_, err = store.Submit(ctx, change("cancel"), config.CancelDrain{Server: "s0", BaseVersion: 2})
	require.NoError(t, err)
	_, err = store.Submit(ctx, change("late"), config.CancelDrain{Server: "s0", BaseVersion: 2})
	var conflict *config.ConflictError
	require.True(t, errors.As(err, &conflict))
	require.Equal(t, "cancel", conflict.ChangeID)
	require.Equal(t, "author of cancel", conflict.Author)
}

// Guards against an unknown outcome reported as unavailability or the other way
// round, and against a second bootstrap that replaces the first.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		table := newTable(1, false)
		store := newStore(t, table)
		_, err := configstore.New(commitFailure{table, platform.ErrUnavailable}, nil).Submit(ctx, change("c"), config.StartDrain{Server: "s0"})
		require.ErrorIs(t, err, platform.ErrUnavailable)
		_, err = configstore.New(commitFailure{table, platform.ErrUnknownOutcome}, nil).Submit(ctx, change("c"), config.StartDrain{Server: "s0"})
		require.ErrorIs(t, err, platform.ErrUnknownOutcome)
		doc, err := store.BootstrapDeployment(ctx, change("boot2"), deployment())
		require.NoError(t, err)
		require.Equal(t, "boot", doc.Change.ID)
	})
}

// commitFailure is a table whose reads work and whose commits all fail.
type commitFailure struct {
	*faultyTable
	err error
}

func (d commitFailure) Commit(context.Context, platform.Tx) error { return d.err }

// keyRecorder records the keys that are read.
type keyRecorder struct {
	platform.Table
	keys []string
}

func (l *keyRecorder) Get(ctx context.Context, key string) (platform.Row, error) {
	l.keys = append(l.keys, key)
	return l.Table.Get(ctx, key)
}

// Guards against polls that read the whole document when it has not changed.
func TestLoadNewerReadsOnlyNewDocuments(t *testing.T) {
	recorder := &keyRecorder{Table: newTable(1, false)}
	store := newStore(t, recorder)
	recorder.keys = nil
	doc, err := store.LoadNewer(context.Background(), 1)
	require.NoError(t, err)
	require.Nil(t, doc)
	require.Equal(t, []string{"config/version"}, recorder.keys)
	doc, err = store.LoadNewer(context.Background(), 0)
	require.NoError(t, err)
	require.Equal(t, uint64(1), doc.Version)
}

package config_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
)

func newChange(id string) config.Change {
	return config.Change{ID: id, Author: "author of " + id, At: time.Unix(1_800_000_000, 0).UTC()}
}

func mustApply(t testing.TB, doc *config.Document, id string, op config.Operation) *config.Document {
	t.Helper()
	next, err := config.Apply(doc, newChange(id), op)
	require.NoError(t, err)
	return next
}

func baseDocument(t testing.TB) *config.Document {
	d, c := loadSample(t, "hesabu")
	doc := mustApply(t, nil, "boot", config.ApplyDeployment{Deployment: d})
	return mustApply(t, doc, "contract", config.ApplyContract{Contract: c})
}

// Guards against a conflict when a command is repeated with the same change id,
// and against a second operator who replaces a drain without a conflict.
func TestDrainChangeIDs(t *testing.T) {
	doc := baseDocument(t)
	drained := mustApply(t, doc, "d1", config.StartDrain{Server: "salio-1", Reason: "disk"})
	require.Same(t, drained, mustApply(t, drained, "d1", config.StartDrain{Server: "salio-1"}))

	_, err := config.Apply(drained, newChange("d2"), config.StartDrain{Server: "salio-1"})
	var conflict *config.ConflictError
	require.True(t, errors.As(err, &conflict))
	require.Equal(t, config.ConflictError{
		Object: "drain/salio-1", HaveVersion: 3, ChangeID: "d1", Author: "author of d1",
	}, *conflict)

	_, err = config.Apply(drained, newChange("d3"), config.CancelDrain{Server: "salio-1", BaseVersion: 2})
	require.True(t, errors.As(err, &conflict))
	ended := mustApply(t, drained, "d4", config.CancelDrain{Server: "salio-1", BaseVersion: 3})
	require.Empty(t, ended.Drains)
	var missing *config.NotFoundError
	_, err = config.Apply(ended, newChange("d5"), config.StartDrain{Server: "none"})
	require.True(t, errors.As(err, &missing))
}

// Guards against a recreated contract that accepts a change based on the removed
// one.
func TestRecreatedContractRejectsOldVersion(t *testing.T) {
	doc := baseDocument(t)
	old := doc.Contracts["hesabu"]
	doc = mustApply(t, doc, "rm", config.RemoveContract{Customer: "hesabu", BaseVersion: old.Version})
	doc = mustApply(t, doc, "again", config.ApplyContract{Contract: *old})
	_, err := config.Apply(doc, newChange("stale"), config.ApplyContract{Contract: *old, BaseVersion: old.Version})
	var conflict *config.ConflictError
	require.True(t, errors.As(err, &conflict))
	require.Equal(t, "again", conflict.ChangeID)
}

// Guards against a deployment without the region of a contract or the backend
// server of a drain, and against two contracts that share a token or a service
// name.
func TestApplyKeepsDocumentValid(t *testing.T) {
	doc := baseDocument(t)
	doc = mustApply(t, doc, "d1", config.StartDrain{Server: "salio-1"})
	d, c := loadSample(t, "hesabu")
	d.BackendServers = d.BackendServers[1:]
	next := mustApply(t, doc, "dep", config.ApplyDeployment{Deployment: d, BaseVersion: 1})
	require.Empty(t, next.Drains)

	c.Customer = "other"
	_, err := config.Apply(doc, newChange("dup"), config.ApplyContract{Contract: c})
	var list *findings.Error
	require.True(t, errors.As(err, &list))
	require.Len(t, list.Findings, 4) // one token, three services

	other, _ := loadSample(t, "kallitexnis")
	regional := *doc.Contracts["hesabu"]
	regional.Services = append([]config.Service(nil), regional.Services...)
	regional.Services[0].Regions = []string{"dar"}
	doc = mustApply(t, doc, "regional", config.ApplyContract{Contract: regional, BaseVersion: 2})
	_, err = config.Apply(doc, newChange("dep2"), config.ApplyDeployment{Deployment: other, BaseVersion: 1})
	require.True(t, errors.As(err, &list))
	require.Equal(t, "contracts[hesabu].services[0].regions[0]", list.Findings[0].Path)
	_, err = config.Apply(doc, newChange("no/slash"), config.StartDrain{Server: "ada-1"})
	require.True(t, errors.As(err, &list))
}

// Guards against a change that modifies a document that other goroutines read,
// and against a result that shares slices with the caller's input.
func TestApplyDoesNotModifyInput(t *testing.T) {
	start := baseDocument(t)
	rapid.Check(t, func(rt *rapid.T) {
		doc := start
		for i := range rapid.IntRange(1, 8).Draw(rt, "changes") {
			before, err := config.Encode(doc)
			require.NoError(rt, err)
			next, err := config.Apply(doc, newChange(fmt.Sprint("c", i)), drawOperation(rt, doc))
			after, encodeErr := config.Encode(doc)
			require.NoError(rt, encodeErr)
			require.Equal(rt, string(before), string(after))
			if err != nil {
				continue
			}
			require.Equal(rt, doc.Version+1, next.Version)
			var list findings.List
			next.Validate(&list)
			require.NoError(rt, list.Err())
			decoded, err := config.Decode(mustEncode(rt, next))
			require.NoError(rt, err)
			require.Equal(rt, mustEncode(rt, next), mustEncode(rt, decoded))
			doc = next
		}
	})
	_, input := loadSample(t, "hesabu")
	doc := mustApply(t, start, "own", config.ApplyContract{Contract: input, BaseVersion: 2})
	input.Services[0].Aliases[0] = "changed"
	require.NotEqual(t, "changed", doc.Contracts["hesabu"].Services[0].Aliases[0])
}

func mustEncode(t require.TestingT, doc *config.Document) []byte {
	data, err := config.Encode(doc)
	require.NoError(t, err)
	return data
}

func drawOperation(rt *rapid.T, doc *config.Document) config.Operation {
	server := rapid.SampledFrom([]string{"salio-1", "ada-2", "none"}).Draw(rt, "server")
	version := uint64(rapid.IntRange(0, int(doc.Version)).Draw(rt, "base"))
	contract := config.Contract{Customer: "hesabu"}
	if have := doc.Contracts["hesabu"]; have != nil {
		contract = *have
		version = have.Version
	}
	return rapid.SampledFrom([]config.Operation{
		config.StartDrain{Server: server},
		config.CancelDrain{Server: server, BaseVersion: version},
		config.ApplyContract{Contract: contract, BaseVersion: version},
		config.RemoveContract{Customer: "hesabu", BaseVersion: version},
		config.ApplyDeployment{Deployment: doc.Deployment, BaseVersion: doc.DeploymentVersion},
	}).Draw(rt, "operation")
}

// Guards against an operation that is lost or altered by its JSON form.
func TestOperationJSON(t *testing.T) {
	for _, op := range []config.Operation{
		config.ApplyContract{BaseVersion: 1}, config.RemoveContract{Customer: "a"}, config.ApplyDeployment{BaseVersion: 2},
		config.StartDrain{Server: "s"}, config.CancelDrain{Server: "s", BaseVersion: 3},
	} {
		got, err := config.WrapOperation(op).Unwrap()
		require.NoError(t, err)
		require.Equal(t, op, got)
	}
	_, err := config.OperationJSON{}.Unwrap()
	require.Error(t, err)
	_, err = config.OperationJSON{StartDrain: &config.StartDrain{}, CancelDrain: &config.CancelDrain{}}.Unwrap()
	require.Error(t, err)
}

// Guards against a version that decreases when old and new documents are offered
// concurrently, and against a missed notification.
func TestHolderVersionNeverDecreases(t *testing.T) {
	var h config.Holder
	require.False(t, h.Offer(nil))
	var writers, reader sync.WaitGroup
	const highest = 500
	reader.Go(func() {
		for last := uint64(0); last < highest; {
			changed := h.Changed()
			if doc := h.Current(); doc != nil {
				require.GreaterOrEqual(t, doc.Version, last)
				last = doc.Version
			}
			if last < highest {
				<-changed
			}
		}
	})
	for w := range 4 {
		writers.Go(func() {
			for v := 1; v <= highest; v++ {
				h.Offer(&config.Document{Version: uint64((v*7+w)%highest + 1)})
			}
		})
	}
	writers.Wait()
	require.Equal(t, uint64(highest), h.Version())
	require.False(t, h.Offer(&config.Document{Version: highest}))
	reader.Wait()
}

package entry

import (
	"context"
	"encoding/binary"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dandelionrack/dandelionrack/pkg/blocks"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
	"github.com/dandelionrack/dandelionrack/pkg/lookup"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

func block24(i uint32, target string) blocks.Block {
	var raw [4]byte
	binary.BigEndian.PutUint32(raw[:], i<<8)
	return blocks.Block{Prefix: netip.PrefixFrom(netip.AddrFrom4(raw), 24), Target: target}
}

// publication is one version of the client blocks.
type publication struct {
	index   blocks.Index
	hash    blocks.Hash
	objects map[blocks.Hash][]byte
}

func publish(t require.TestingT, in []blocks.Block) publication {
	chunks, err := blocks.Split(in)
	require.NoError(t, err)
	p := publication{index: blocks.NewIndex(chunks), objects: map[blocks.Hash][]byte{}}
	p.hash = p.index.Hash()
	p.objects[p.hash] = blocks.Pack(p.index.Encode())
	for _, c := range chunks {
		p.objects[c.Hash] = blocks.Pack(c.Data)
	}
	return p
}

// objectMap is a blocks.Source in memory.
type objectMap struct {
	mu      sync.Mutex
	objects map[blocks.Hash][]byte
}

func (m *objectMap) Get(_ context.Context, h blocks.Hash) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	packed, ok := m.objects[h]
	if !ok {
		return nil, blocks.ErrNotFound
	}
	return packed, nil
}

func (m *objectMap) set(h blocks.Hash, packed []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects[h] = packed
}

// Guards against a partial table, a table that is lost when the next one cannot be
// fetched, and an object that is not fetched again after a failure.
func TestPreviousTableStaysUntilComplete(t *testing.T) {
	// Outside the synctest bubble, because the compressors are shared with other
	// tests and hold channels.
	var in []blocks.Block
	for i := range uint32(8000) {
		in = append(in, block24(20<<16+i, "d1"))
	}
	p := publish(t, in)
	require.Len(t, p.index.Chunks, 2)
	_, err := blocks.OpenIndex(p.objects[p.hash], p.hash)
	require.NoError(t, err)
	synctest.Test(t, func(t *testing.T) {
		last := p.index.Chunks[1].Hash
		source := &objectMap{objects: map[blocks.Hash][]byte{}}
		for h, packed := range p.objects {
			source.objects[h] = packed
		}
		source.objects[last] = p.objects[p.index.Chunks[0].Hash] // does not match its hash
		s := newBlockStore(0, 1, source, hclog.NewNullLogger())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { s.run(ctx); close(done) }()
		before := lookup.NewBuilder()
		before.Set(netip.MustParsePrefix("0.0.0.0/0"), "d2")
		s.useDocument(before.Table())
		s.useIndex(p.hash.String())
		time.Sleep(time.Minute)
		require.Equal(t, 1, s.table.Load().Len())
		require.Equal(t, p.hash.String(), s.status().Wanted)
		require.NotEmpty(t, s.status().LastError)
		// A backoff of 250 ms, doubled up to 10 s, gives 11 attempts in a minute.
		require.InDelta(t, 11, s.status().Failures, 1)

		source.set(last, p.objects[last])
		time.Sleep(maxBlockRetryDelay)
		require.Equal(t, 8000, s.table.Load().Len())
		require.Equal(t, p.hash.String(), s.status().Index)
		require.Empty(t, s.status().Wanted)
		// The index and the valid chunk were fetched only once.
		require.Equal(t, 3, s.status().Fetched.FromStore)
		cancel()
		<-done
	})
}

// Guards against an updated table that differs from one built from the same blocks,
// and against an update that changes the table in use.
func TestUpdatedTableEqualsRebuiltTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newBlockStore(0, 1, nil, hclog.NewNullLogger())
		have := map[uint32]string{}
		for range rapid.IntRange(2, 4).Draw(t, "versions") {
			for range rapid.IntRange(1, 40).Draw(t, "changes") {
				at := rapid.Uint32Range(20<<16, 20<<16+60).Draw(t, "block")
				have[at] = rapid.SampledFrom([]string{"d1", "d2", "d3", ""}).Draw(t, "target")
			}
			var in []blocks.Block
			for at, target := range have {
				if target != "" {
					in = append(in, block24(at, target))
				}
			}
			p := publish(t, in)
			before := s.table.Load()
			var seen []string
			if before != nil {
				seen = lookupTargets(before)
			}
			table, err := s.buildTable(p.index, p.objects)
			require.NoError(t, err)
			s.wanted = p.hash.String()
			s.putInForce(s.wanted, p.index, p.objects, table)
			require.Equal(t, len(in), table.Len())
			for _, b := range in {
				got, _ := table.Locate(b.Prefix.Addr())
				require.Equal(t, b.Target, got)
			}
			if before != nil {
				require.Equal(t, seen, lookupTargets(before))
			}
		}
	})
}

func lookupTargets(t *lookup.Table) []string {
	var out []string
	for i := range uint32(61) {
		target, _ := t.Locate(block24(20<<16+i, "").Prefix.Addr())
		out = append(out, target)
	}
	return out
}

func (b *testBed) operatorClient() *operator.Client {
	c, err := operator.NewClient(operator.ClientConfig{BaseURL: "http://" + b.deployment.EntryInstances[0].OperatorAddr, Token: operatorToken})
	require.NoError(b.t, err)
	return c
}

// setIndex submits a change of the index and returns its findings as text.
func (b *testBed) setIndex(h blocks.Hash) string {
	c := b.operatorClient()
	doc, err := c.Document(b.t.Context())
	require.NoError(b.t, err)
	_, err = c.SubmitChange(b.t.Context(), config.Change{ID: newRequestID()},
		config.SetClientBlocksIndex{Index: h.String(), BaseVersion: doc.DeploymentVersion})
	if err == nil {
		return ""
	}
	var api *operator.Error
	require.True(b.t, errors.As(err, &api), err)
	require.Equal(b.t, operator.CodeInvalid, api.Code)
	return (&findings.Error{Findings: api.Findings}).Error()
}

// Guards against a home region that the configuration does not define, because the
// table in force is older than the document.
func TestUnknownTargetIsNotHomeRegion(t *testing.T) {
	var table atomic.Pointer[lookup.Table]
	b := lookup.NewBuilder()
	b.Set(netip.MustParsePrefix("20.0.0.0/24"), "gone")
	b.Set(netip.MustParsePrefix("20.0.1.0/24"), "r1")
	table.Store(b.Table())
	doc := &config.Document{Deployment: config.Deployment{Regions: []config.Region{{Name: "r1"}}}}
	v := newView(doc, "d1", &table)
	require.Equal(t, "r2", v.homeRegion(netip.MustParseAddr("20.0.0.1"), "r2"))
	require.Equal(t, "r1", v.homeRegion(netip.MustParseAddr("20.0.1.1"), "r2"))
}

// Guards against accepting an index whose table no entry instance can build, and
// against a new entry instance that serves before its table is complete.
func TestIndexRequiresAllObjects(t *testing.T) {
	b := newTestBed(t)
	e1, _ := b.start(0, nil)
	b.configure(1)
	store := platform.NewClient(platform.ClientConfig{BaseURL: b.platform.URL()})
	c := b.operatorClient()
	p := publish(t, []blocks.Block{block24(20<<16, "d2"), block24(20<<16+1, "r1")})
	chunk := p.index.Chunks[0].Hash

	require.Contains(t, b.setIndex(p.hash), "index "+p.hash.String()+" is not in the object store")
	require.NoError(t, c.PutBlock(t.Context(), p.hash, p.objects[p.hash]))
	require.Contains(t, b.setIndex(p.hash), "chunk "+chunk.String()+" of 0.0.0.0/0 is not in the object store")
	require.ErrorContains(t, c.PutBlock(t.Context(), chunk, p.objects[p.hash]), "content has hash")
	missing, err := c.MissingBlocks(t.Context(), []blocks.Hash{p.hash, chunk})
	require.NoError(t, err)
	require.Equal(t, []blocks.Hash{chunk}, missing)
	require.NoError(t, store.PutObject(t.Context(), blockObject(chunk), []byte("damaged")))
	require.Contains(t, b.setIndex(p.hash), "is damaged")
	require.NoError(t, c.PutBlock(t.Context(), chunk, p.objects[chunk]))

	bad := publish(t, []blocks.Block{block24(20<<16, "nowhere")})
	for h, packed := range bad.objects {
		require.NoError(t, c.PutBlock(t.Context(), h, packed))
	}
	require.Contains(t, b.setIndex(bad.hash), `block 20.0.0.0/24: "nowhere" is neither`)
	require.Empty(t, b.setIndex(p.hash))
	// An accepted index comes into force when its table is built, which may be after
	// the response.
	b.eventually("the index in force", func() bool {
		status, err := c.Status(t.Context())
		return err == nil && status.ClientBlocks.Source == operator.BlocksInStore && status.ClientBlocks.Index == p.hash.String()
	})

	// A target of the blocks in force cannot be removed from the deployment.
	doc, err := c.Document(t.Context())
	require.NoError(t, err)
	dep := doc.Deployment
	dep.FailureDomains = dep.FailureDomains[:1]
	_, err = c.SubmitChange(t.Context(), config.Change{ID: newRequestID()},
		config.ApplyDeployment{Deployment: dep, BaseVersion: doc.DeploymentVersion})
	require.ErrorContains(t, err, `"d2" is neither a region nor a failure domain`)

	require.NoError(t, store.PutObject(t.Context(), blockObject(chunk), []byte("damaged")))
	require.Contains(t, b.setIndex(p.hash), "is damaged", "a chunk in force is read again too")
	// e1 must not have the chunk either.
	e1.blocks.mu.Lock()
	e1.blocks.objects = nil
	e1.blocks.mu.Unlock()
	e2, _ := b.start(1, nil)
	b.eventually("a failed fetch", func() bool { return e2.blocks.status().Failures > 0 })
	require.Equal(t, http.StatusServiceUnavailable, b.call(1, http.MethodGet, "/v1/ready", "", nil).status)
	r := b.call(1, http.MethodGet, "/v1/lookup?service=salio", "", nil)
	require.Equal(t, ReasonNotReady, r.refusal.Reason)
	require.NoError(t, store.PutObject(t.Context(), blockObject(chunk), p.objects[chunk]))
	b.eventually("readiness", func() bool { return b.call(1, http.MethodGet, "/v1/ready", "", nil).status == http.StatusOK })
	v := e2.currentView()
	require.Equal(t, "r2", v.homeRegion(netip.MustParseAddr("20.0.0.9"), ""))
	require.Equal(t, "r1", v.homeRegion(netip.MustParseAddr("20.0.1.9"), ""))
}

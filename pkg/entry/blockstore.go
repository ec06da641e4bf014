package entry

import (
	"context"
	"encoding/binary"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/pkg/blocks"
	"github.com/dandelionrack/dandelionrack/pkg/lookup"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

const (
	// blockObjectPrefix is the prefix of the names of client block objects in the
	// object store. The SHA-256 of the unpacked content follows.
	blockObjectPrefix = "blocks/"
	// Bounds of the exponential backoff after a failed fetch.
	minBlockRetryDelay = 250 * time.Millisecond
	maxBlockRetryDelay = 10 * time.Second
	// maxUpdateBlocks limits the number of blocks, old and new, in the chunks that
	// differ between two indexes, up to which the table in force is updated. They
	// are compared in memory, and each change copies the path to its node. A change
	// of one block differs in at most 11,200 blocks. Above the limit a new table is
	// built while the old one is in use.
	maxUpdateBlocks = 40_000
	// chunksPerGC is the number of decoded chunks between two garbage collections
	// while a table is built in addition to a large one. Without them, the garbage
	// of all chunks adds to the memory of two tables: 84 MB at 360,000 blocks.
	chunksPerGC = 16
)

func blockObject(h blocks.Hash) string { return blockObjectPrefix + h.String() }

// blockStore holds the table of client blocks in force, and the objects that it was
// built from in order to serve them to peers. It fetches the objects of a new index
// and switches to the new table in one step when that is complete.
type blockStore struct {
	log     hclog.Logger
	fetcher *blocks.Fetcher // used only by run
	// peers returns the other entry instances of this failure domain and of others.
	peers func() (same, others []blocks.Source)
	table atomic.Pointer[lookup.Table]
	wake  chan struct{}

	mu     sync.Mutex
	wanted string // index of the configuration; "" if the document contains the blocks
	cancel context.CancelFunc
	// inForce is the index of table; "" if the document contains the blocks.
	inForce string
	index   blocks.Index
	since   time.Time
	// objects holds the packed objects of inForce, and pending those of the wanted
	// index or of one that an operator's change names.
	objects map[blocks.Hash][]byte
	pending map[blocks.Hash][]byte

	switches  int64
	failures  int64
	served    int64
	fetched   blocks.FetchStats
	lastError string
}

func newBlockStore(bytesPerSecond int, seed uint64, store blocks.Source, log hclog.Logger) *blockStore {
	return &blockStore{
		log:     log,
		fetcher: blocks.NewFetcher(blocks.FetcherConfig{Store: store, BytesPerSecond: bytesPerSecond, Seed: seed}),
		peers:   func() (same, others []blocks.Source) { return nil, nil },
		wake:    make(chan struct{}, 1),
		pending: map[blocks.Hash][]byte{},
	}
}

// useDocument puts the blocks of a configuration document in force.
func (s *blockStore) useDocument(t *lookup.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setWanted("")
	if s.inForce != "" || s.table.Load() == nil {
		s.since = time.Now()
	}
	s.inForce, s.index, s.objects = "", blocks.Index{}, nil
	s.pending = map[blocks.Hash][]byte{}
	s.table.Store(t)
}

// useIndex starts to fetch an index. The table in force is used until the new one is
// complete.
func (s *blockStore) useIndex(hash string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setWanted(hash)
}

func (s *blockStore) setWanted(hash string) {
	if s.wanted == hash {
		return
	}
	s.wanted, s.lastError = hash, ""
	if s.cancel != nil {
		s.cancel()
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// setPending stores the objects of an index that the configuration may soon name,
// unless an index is being fetched.
func (s *blockStore) setPending(objects map[blocks.Hash][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wanted == s.inForce {
		s.pending = objects
	}
}

// object returns a packed object, or nil if it is not in memory.
func (s *blockStore) object(h blocks.Hash) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if data, ok := s.objects[h]; ok {
		return data
	}
	return s.pending[h]
}

// chunksInForce returns the chunks and objects of an index, or nil if it is not in
// force.
func (s *blockStore) chunksInForce(hash string) (map[blocks.ChunkRef]bool, map[blocks.Hash][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if hash == "" || s.inForce != hash {
		return nil, nil
	}
	refs := make(map[blocks.ChunkRef]bool, len(s.index.Chunks))
	for _, ref := range s.index.Chunks {
		refs[ref] = true
	}
	return refs, s.objects
}

// run fetches each index that the configuration names.
func (s *blockStore) run(ctx context.Context) {
	delay := minBlockRetryDelay
	for ctx.Err() == nil {
		fetchCtx, hash := s.beginFetch(ctx)
		if hash == "" {
			delay = minBlockRetryDelay
			s.waitForWake(ctx, nil)
			continue
		}
		err := s.fetch(fetchCtx, hash)
		if s.endFetch(hash, err) {
			delay = minBlockRetryDelay
			continue
		}
		s.log.Warn("client blocks are not complete; the previous table stays in force",
			"index", hash, "retry_after", delay, "error", err)
		retry := time.NewTimer(delay)
		s.waitForWake(ctx, retry.C)
		retry.Stop()
		delay = min(2*delay, maxBlockRetryDelay)
	}
}

func (s *blockStore) waitForWake(ctx context.Context, retry <-chan time.Time) {
	select {
	case <-ctx.Done():
	case <-s.wake:
	case <-retry:
	}
}

// beginFetch returns the index to fetch, or "" for none. The context ends when
// another index is wanted.
func (s *blockStore) beginFetch(ctx context.Context) (context.Context, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wanted == "" || s.wanted == s.inForce {
		return ctx, ""
	}
	ctx, s.cancel = context.WithCancel(ctx)
	return ctx, s.wanted
}

// endFetch reports whether the fetch needs no retry, because it succeeded or another
// index is wanted.
func (s *blockStore) endFetch(hash string, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel()
	s.cancel = nil
	if err == nil || s.wanted != hash {
		return true
	}
	s.failures++
	s.lastError = err.Error()
	return false
}

// fetch gets the missing objects of an index and puts its table in force. Objects
// that were received before an error are kept for the next attempt.
func (s *blockStore) fetch(ctx context.Context, text string) error {
	hash, err := blocks.ParseHash(text)
	if err != nil {
		return err
	}
	s.fetcher.SetPeers(s.peers())
	index, packed, err := s.fetchIndex(ctx, hash)
	if err != nil {
		return err
	}
	chunks, stats, err := s.fetcher.Fetch(ctx, index, s.knownObjects())
	s.addStats(stats)
	chunks[hash] = packed
	s.savePending(chunks)
	if err != nil {
		return err
	}
	table, err := s.buildTable(index, chunks)
	if err != nil {
		return err
	}
	oldLen := s.table.Load().Len()
	s.putInForce(text, index, chunks, table)
	if oldLen > maxUpdateBlocks {
		// The parts of the old table that the new one does not share are garbage
		// now. The next collection would only start when the heap has twice the size
		// of both tables.
		debug.FreeOSMemory()
	}
	return nil
}

func (s *blockStore) fetchIndex(ctx context.Context, hash blocks.Hash) (blocks.Index, []byte, error) {
	if packed := s.object(hash); packed != nil {
		index, err := blocks.OpenIndex(packed, hash)
		return index, packed, err
	}
	index, packed, stats, err := s.fetcher.FetchIndex(ctx, hash)
	s.addStats(stats)
	return index, packed, err
}

// knownObjects returns all objects that are in memory.
func (s *blockStore) knownObjects() map[blocks.Hash][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[blocks.Hash][]byte, len(s.objects)+len(s.pending))
	for _, from := range []map[blocks.Hash][]byte{s.pending, s.objects} {
		for h, packed := range from {
			out[h] = packed
		}
	}
	return out
}

// savePending stores the objects of an index that is not complete. They are kept
// when the configuration changes to another index, because most chunks are the same
// in both.
func (s *blockStore) savePending(objects map[blocks.Hash][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wanted != "" {
		s.pending = objects
	}
}

func (s *blockStore) addStats(stats blocks.FetchStats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetched.FromPeers += stats.FromPeers
	s.fetched.FromStore += stats.FromStore
	s.fetched.Bytes += stats.Bytes
	s.fetched.Rejected += stats.Rejected
}

// buildTable returns the table of an index. It decodes one chunk at a time, so that
// all decoded blocks are never in memory at once. If few blocks differ, it updates
// the table in force with the chunks that are not in both indexes.
func (s *blockStore) buildTable(index blocks.Index, chunks map[blocks.Hash][]byte) (*lookup.Table, error) {
	s.mu.Lock()
	old, objects, table := s.index, s.objects, s.table.Load()
	s.mu.Unlock()
	removed, added := diffChunks(old, index)
	changed := blocks.Index{Chunks: removed}.BlockCount() + blocks.Index{Chunks: added}.BlockCount()
	if len(old.Chunks) == 0 || changed > maxUpdateBlocks {
		return buildFullTable(index, chunks, table.Len() > maxUpdateBlocks)
	}
	oldBlocks := map[blocks.Block]bool{}
	if err := forEachBlock(removed, objects, func(block blocks.Block) { oldBlocks[block] = true }); err != nil {
		return nil, err
	}
	var newBlocks []blocks.Block
	err := forEachBlock(added, chunks, func(block blocks.Block) {
		if oldBlocks[block] {
			delete(oldBlocks, block)
			return
		}
		newBlocks = append(newBlocks, block)
	})
	if err != nil {
		return nil, err
	}
	b := table.ToBuilder()
	// Removals come first, because a block with a new target is in both lists.
	for block := range oldBlocks {
		b.Remove(block.Prefix)
	}
	for _, block := range newBlocks {
		b.Set(block.Prefix, block.Target)
	}
	return b.Table(), nil
}

// buildFullTable builds a table from all chunks. With collect set, it runs the
// garbage collector after every chunksPerGC chunks.
func buildFullTable(index blocks.Index, chunks map[blocks.Hash][]byte, collect bool) (*lookup.Table, error) {
	b := lookup.NewBuilder()
	for refs := range slices.Chunk(index.Chunks, chunksPerGC) {
		err := forEachBlock(refs, chunks, func(block blocks.Block) { b.Set(block.Prefix, block.Target) })
		if err != nil {
			return nil, err
		}
		if collect {
			runtime.GC()
		}
	}
	return b.Table(), nil
}

// diffChunks returns the chunks that only one of two indexes contains.
func diffChunks(a, b blocks.Index) (onlyA, onlyB []blocks.ChunkRef) {
	return a.Missing(b.HasFunc()), b.Missing(a.HasFunc())
}

func forEachBlock(refs []blocks.ChunkRef, chunks map[blocks.Hash][]byte, use func(blocks.Block)) error {
	for _, ref := range refs {
		list, err := blocks.OpenChunk(ref, chunks[ref.Hash])
		if err != nil {
			return errors.Wrapf(err, "chunk of %s", ref.Range)
		}
		for _, block := range list {
			use(block)
		}
	}
	return nil
}

func (s *blockStore) putInForce(hash string, index blocks.Index, objects map[blocks.Hash][]byte, t *lookup.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wanted != hash {
		return
	}
	s.inForce, s.index, s.objects, s.since = hash, index, objects, time.Now()
	s.pending = map[blocks.Hash][]byte{}
	s.switches++
	s.table.Store(t)
	s.log.Info("client blocks in force", "index", hash, "blocks", t.Len(), "chunks", len(index.Chunks))
}

// status returns the status for operators.
func (s *blockStore) status() operator.BlocksStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := operator.BlocksStatus{
		Source:   operator.BlocksNone,
		Index:    s.inForce,
		Chunks:   len(s.index.Chunks),
		Since:    s.since,
		Fetched:  s.fetched,
		Switches: s.switches,
		Failures: s.failures,
		Served:   s.served,
	}
	if s.wanted != s.inForce {
		out.Wanted, out.LastError = s.wanted, s.lastError
	}
	if t := s.table.Load(); t != nil {
		out.Blocks = t.Len()
		out.Source = operator.BlocksInDocument
		if s.inForce != "" {
			out.Source = operator.BlocksInStore
		}
	}
	return out
}

// storeSource reads client block objects from the object store.
type storeSource struct{ objects platform.Objects }

// Get implements blocks.Source.
func (s storeSource) Get(ctx context.Context, h blocks.Hash) ([]byte, error) {
	data, err := s.objects.GetObject(ctx, blockObject(h))
	if errors.Is(err, platform.ErrNotFound) {
		return nil, errors.Wrapf(blocks.ErrNotFound, "object %s", h)
	}
	return data, err
}

// peerSource reads client block objects from a peer.
type peerSource struct {
	entry *Entry
	addr  string
}

// Get implements blocks.Source.
func (p peerSource) Get(ctx context.Context, h blocks.Hash) ([]byte, error) {
	res, err := p.entry.callPeer(ctx, p.addr, &wire.Request{Call: &wire.Request_BlockFetch{
		BlockFetch: &wire.BlockFetch{Hash: h[:]},
	}})
	if err != nil {
		return nil, err
	}
	packed := res.GetBlock().GetPacked()
	if len(packed) == 0 {
		return nil, errors.Wrapf(blocks.ErrNotFound, "object %s at %s", h, p.addr)
	}
	return packed, nil
}

// blockPeers returns the other entry instances of this failure domain and those of
// other failure domains.
func (e *Entry) blockPeers() (same, others []blocks.Source) {
	v := e.currentView()
	if v == nil {
		return nil, nil
	}
	for id, in := range v.entries {
		if id == e.settings.ID {
			continue
		}
		source := peerSource{entry: e, addr: in.PeerAddr}
		if in.FailureDomain == e.settings.FailureDomain {
			same = append(same, source)
		} else {
			others = append(others, source)
		}
	}
	return same, others
}

func (e *Entry) handleBlockFetch(f *wire.BlockFetch) *wire.Response {
	var h blocks.Hash
	if len(f.GetHash()) != len(h) {
		return &wire.Response{Error: "hash of a wrong length"}
	}
	copy(h[:], f.GetHash())
	packed := e.blocks.object(h)
	if packed != nil {
		e.blocks.mu.Lock()
		e.blocks.served++
		e.blocks.mu.Unlock()
	}
	return &wire.Response{Reply: &wire.Response_Block{Block: &wire.BlockReply{Packed: packed}}}
}

// blockSeed returns a random seed that differs between entry instances, so that
// instances that start at the same time ask different peers.
func blockSeed(id string) uint64 {
	h := blocks.HashOf([]byte(id))
	return binary.BigEndian.Uint64(h[:])
}

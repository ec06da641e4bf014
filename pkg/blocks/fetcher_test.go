package blocks

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fakeSource is a Source that can delay, fail or return corrupt data.
type fakeSource struct {
	chunks   map[Hash][]byte
	delay    time.Duration
	err      error
	corrupt  bool
	requests int
	bytes    atomic.Int64
}

func (s *fakeSource) Get(ctx context.Context, h Hash) ([]byte, error) {
	s.requests++
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if s.err != nil {
		return nil, s.err
	}
	packed, ok := s.chunks[h]
	if !ok {
		return nil, ErrNotFound
	}
	if s.corrupt {
		packed = slices.Clone(packed)
		packed[len(packed)/2] ^= 0xff
	}
	s.bytes.Add(int64(len(packed)))
	return packed, nil
}

// testTable returns the index and the packed chunks of n blocks.
func testTable(t require.TestingT, n int) (Index, map[Hash][]byte) {
	chunks, err := Split(manyBlocks(n))
	require.NoError(t, err)
	packed := map[Hash][]byte{}
	for _, c := range chunks {
		packed[c.Hash] = Pack(c.Data)
	}
	return NewIndex(chunks), packed
}

// Guards against fetching chunks that are already present, and against reading
// the object store although a peer has the chunk.
func TestFetchOnlyMissingChunks(t *testing.T) {
	x, all := testTable(t, 60_000)
	have := map[Hash][]byte{}
	for _, ref := range x.Chunks[1:] {
		have[ref.Hash] = all[ref.Hash]
	}
	empty, full, store := &fakeSource{}, &fakeSource{chunks: all}, &fakeSource{chunks: all}
	f := NewFetcher(FetcherConfig{Peers: []Source{empty, full}, Store: store})
	got, stats, err := f.Fetch(t.Context(), x, have)
	require.NoError(t, err)
	require.Equal(t, all, got)
	require.Equal(t, FetchStats{Kept: len(x.Chunks) - 1, FromPeers: 1, Bytes: len(all[x.Chunks[0].Hash])}, stats)
	require.Zero(t, store.requests)
}

// Guards against a fetch that fails because peers are unreachable, slow or return
// corrupt data, and against a timeout per chunk instead of one per peer.
func TestFetchFallsBackToStore(t *testing.T) {
	x, all := testTable(t, 60_000)
	synctest.Test(t, func(t *testing.T) {
		hanging := &fakeSource{chunks: all, delay: time.Hour}
		dead := &fakeSource{err: errors.New("connection refused")}
		corrupting := &fakeSource{chunks: all, corrupt: true}
		store := &fakeSource{chunks: all}
		start := time.Now()
		f := NewFetcher(FetcherConfig{Peers: []Source{hanging, dead, corrupting}, Store: store})
		got, stats, err := f.Fetch(t.Context(), x, nil)
		require.NoError(t, err)
		require.Equal(t, all, got)
		require.Equal(t, len(x.Chunks), stats.FromStore)
		require.Equal(t, 1, stats.Rejected)
		for _, s := range []*fakeSource{hanging, dead, corrupting} {
			require.Equal(t, 1, s.requests)
		}
		require.Equal(t, defaultTryTimeout, time.Since(start))
	})
}

// Guards against a fetch that fails while the store is down because no peer is in
// the same failure domain, and against use of the links to other failure domains
// while the store works.
func TestFetchAsksRemotePeersLast(t *testing.T) {
	x, all := testTable(t, 60_000)
	down, up := &fakeSource{err: errors.New("connection refused")}, &fakeSource{chunks: all}
	other := &fakeSource{chunks: all}
	f := NewFetcher(FetcherConfig{Store: down, RemotePeers: []Source{other}})
	got, stats, err := f.Fetch(t.Context(), x, nil)
	require.NoError(t, err)
	require.Equal(t, all, got)
	require.Equal(t, len(x.Chunks), stats.FromPeers)
	require.Equal(t, 1, down.requests)

	other.requests = 0
	f = NewFetcher(FetcherConfig{Store: up, RemotePeers: []Source{other}})
	_, stats, err = f.Fetch(t.Context(), x, nil)
	require.NoError(t, err)
	require.Equal(t, len(x.Chunks), stats.FromStore)
	require.Zero(t, other.requests)
}

// Guards against a fetch after a restart that exceeds the byte rate.
func TestFetchLimitsByteRate(t *testing.T) {
	const perSecond = 8 << 10
	x, all := testTable(t, 100_000)
	total, largest := 0, 0
	for _, packed := range all {
		total += len(packed)
		largest = max(largest, len(packed))
	}
	synctest.Test(t, func(t *testing.T) {
		peer := &fakeSource{chunks: all, delay: time.Millisecond}
		start := time.Now()
		done := make(chan error, 1)
		go func() {
			_, _, err := NewFetcher(FetcherConfig{Peers: []Source{peer}, BytesPerSecond: perSecond}).Fetch(t.Context(), x, nil)
			done <- err
		}()
		for running := true; running; {
			select {
			case err := <-done:
				require.NoError(t, err)
				running = false
			case <-time.After(time.Second):
			}
			require.LessOrEqual(t, float64(peer.bytes.Load()), perSecond*time.Since(start).Seconds()+float64(largest))
		}
		require.Equal(t, int64(total), peer.bytes.Load())
		// The fetch must not take longer than its bytes need at this rate, plus the
		// delay of each response.
		limit := float64(total)/perSecond + float64(len(x.Chunks))*0.002
		require.LessOrEqual(t, time.Since(start).Seconds(), limit)
	})
}

// Guards against a fetch that starts over after an interruption.
func TestInterruptedFetchContinues(t *testing.T) {
	x, all := testTable(t, 30_000)
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(0, len(x.Chunks)-1).Draw(rt, "chunks")
		part := map[Hash][]byte{}
		for _, ref := range x.Chunks[:limit] {
			part[ref.Hash] = all[ref.Hash]
		}
		got, _, err := NewFetcher(FetcherConfig{Store: &fakeSource{chunks: part}}).Fetch(t.Context(), x, nil)
		require.ErrorIs(rt, err, ErrNotFound)
		require.Equal(rt, part, got)
		got, stats, err := NewFetcher(FetcherConfig{Store: &fakeSource{chunks: all}}).Fetch(t.Context(), x, got)
		require.NoError(rt, err)
		require.Equal(rt, all, got)
		require.Equal(rt, limit, stats.Kept)
	})
}

// Guards against a fetch that sends most requests to one peer, which many entry
// instances that start at once would overload.
func TestFetchSpreadsOverPeers(t *testing.T) {
	x, all := testTable(t, 360_000)
	peers := make([]Source, 4)
	for i := range peers {
		peers[i] = &fakeSource{chunks: all}
	}
	_, _, err := NewFetcher(FetcherConfig{Peers: peers}).Fetch(t.Context(), x, nil)
	require.NoError(t, err)
	fair := len(x.Chunks) / len(peers)
	for _, p := range peers {
		require.Less(t, p.(*fakeSource).requests, 2*fair)
	}
}

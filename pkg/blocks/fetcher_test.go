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

// source is a peer or store of a test.
type source struct {
	chunks map[Hash][]byte
	delay  time.Duration
	err    error
	damage bool
	asked  int
	bytes  atomic.Int64
}

func (s *source) Get(ctx context.Context, h Hash) ([]byte, error) {
	s.asked++
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
	if s.damage {
		packed = slices.Clone(packed)
		packed[len(packed)/2] ^= 0xff
	}
	s.bytes.Add(int64(len(packed)))
	return packed, nil
}

// table is the index and the packed chunks of many blocks.
func table(t require.TestingT, n int) (Index, map[Hash][]byte) {
	chunks, err := Split(manyBlocks(n))
	require.NoError(t, err)
	packed := map[Hash][]byte{}
	for _, c := range chunks {
		packed[c.Hash] = Pack(c.Data)
	}
	return NewIndex(chunks), packed
}

// Guards against chunks that are fetched although they are there, and against
// use of the object store while peers have them.
func TestFetchTakesOnlyWhatIsMissing(t *testing.T) {
	x, all := table(t, 60_000)
	have := map[Hash][]byte{}
	for _, ref := range x.Chunks[1:] {
		have[ref.Hash] = all[ref.Hash]
	}
	empty, full, store := &source{}, &source{chunks: all}, &source{chunks: all}
	f := NewFetcher(FetcherConfig{Peers: []Source{empty, full}, Store: store})
	got, stats, err := f.Fetch(t.Context(), x, have)
	require.NoError(t, err)
	require.Equal(t, all, got)
	require.Equal(t, FetchStats{Kept: len(x.Chunks) - 1, FromPeers: 1, Bytes: len(all[x.Chunks[0].Hash])}, stats)
	require.Zero(t, store.asked)
}

// Guards against an entry instance without a table because peers are dead,
// slow, or send damaged data, and against a timeout for each chunk.
func TestFetchSurvivesBadPeers(t *testing.T) {
	x, all := table(t, 60_000)
	synctest.Test(t, func(t *testing.T) {
		hanging := &source{chunks: all, delay: time.Hour}
		dead := &source{err: errors.New("connection refused")}
		liar := &source{chunks: all, damage: true}
		store := &source{chunks: all}
		start := time.Now()
		f := NewFetcher(FetcherConfig{Peers: []Source{hanging, dead, liar}, Store: store})
		got, stats, err := f.Fetch(t.Context(), x, nil)
		require.NoError(t, err)
		require.Equal(t, all, got)
		require.Equal(t, len(x.Chunks), stats.FromStore)
		require.Equal(t, 1, stats.Rejected)
		for _, s := range []*source{hanging, dead, liar} {
			require.Equal(t, 1, s.asked)
		}
		require.Equal(t, defaultTryTimeout, time.Since(start))
	})
}

// Guards against an entry instance that is alone in its failure domain and gets
// no table while the store is down, and against use of the links between failure
// domains while the store works.
func TestFetchAsksOtherDomainsLast(t *testing.T) {
	x, all := table(t, 60_000)
	down, up := &source{err: errors.New("connection refused")}, &source{chunks: all}
	other := &source{chunks: all}
	f := NewFetcher(FetcherConfig{Store: down, RemotePeers: []Source{other}})
	got, stats, err := f.Fetch(t.Context(), x, nil)
	require.NoError(t, err)
	require.Equal(t, all, got)
	require.Equal(t, len(x.Chunks), stats.FromPeers)
	require.Equal(t, 1, down.asked)

	other.asked = 0
	f = NewFetcher(FetcherConfig{Store: up, RemotePeers: []Source{other}})
	_, stats, err = f.Fetch(t.Context(), x, nil)
	require.NoError(t, err)
	require.Equal(t, len(x.Chunks), stats.FromStore)
	require.Zero(t, other.asked)
}

// Guards against a restart that exceeds the byte budget of a node.
func TestFetchKeepsTheByteRate(t *testing.T) {
	const perSecond = 8 << 10
	x, all := table(t, 100_000)
	total, largest := 0, 0
	for _, packed := range all {
		total += len(packed)
		largest = max(largest, len(packed))
	}
	synctest.Test(t, func(t *testing.T) {
		peer := &source{chunks: all, delay: time.Millisecond}
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
		// The rate is used, not only kept: a restart must not take longer than
		// its bytes need, plus the delay of each answer.
		limit := float64(total)/perSecond + float64(len(x.Chunks))*0.002
		require.LessOrEqual(t, time.Since(start).Seconds(), limit)
	})
}

// Guards against a fetch that starts from nothing after an interruption.
func TestInterruptedFetchContinues(t *testing.T) {
	x, all := table(t, 30_000)
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(0, len(x.Chunks)-1).Draw(rt, "chunks")
		part := map[Hash][]byte{}
		for _, ref := range x.Chunks[:limit] {
			part[ref.Hash] = all[ref.Hash]
		}
		got, _, err := NewFetcher(FetcherConfig{Store: &source{chunks: part}}).Fetch(t.Context(), x, nil)
		require.ErrorIs(rt, err, ErrNotFound)
		require.Equal(rt, part, got)
		got, stats, err := NewFetcher(FetcherConfig{Store: &source{chunks: all}}).Fetch(t.Context(), x, got)
		require.NoError(rt, err)
		require.Equal(rt, all, got)
		require.Equal(rt, limit, stats.Kept)
	})
}

// Guards against many starts at once that all ask the same peer first.
func TestFetchSpreadsOverPeers(t *testing.T) {
	x, all := table(t, 360_000)
	peers := make([]Source, 4)
	for i := range peers {
		peers[i] = &source{chunks: all}
	}
	_, _, err := NewFetcher(FetcherConfig{Peers: peers}).Fetch(t.Context(), x, nil)
	require.NoError(t, err)
	fair := len(x.Chunks) / len(peers)
	for _, p := range peers {
		require.Less(t, p.(*source).asked, 2*fair)
	}
}

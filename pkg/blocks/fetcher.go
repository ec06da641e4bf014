package blocks

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"
)

// ErrNotFound is the error of a Source that does not have a chunk.
var ErrNotFound = errors.New("chunk not found")

// Source gives packed objects, which are chunks and indexes, by hash: a peer
// or the object store.
type Source interface {
	Chunk(ctx context.Context, hash Hash) ([]byte, error)
}

// Defaults of FetcherConfig.
const (
	defaultPeerTries  = 2
	defaultTryTimeout = 2 * time.Second
)

// FetcherConfig configures a Fetcher. Zero values select the defaults.
type FetcherConfig struct {
	// Peers are entry instances of the same failure domain.
	Peers []Source
	// Store is asked for a chunk that no peer gave.
	Store Source
	// BytesPerSecond bounds the bytes received; 0 is no bound.
	BytesPerSecond int
	// Seed differs between entry instances, so that several that start at once
	// ask different peers.
	Seed uint64
	// PeerTries is the number of peers asked for one chunk.
	PeerTries int
	// TryTimeout bounds one question to a source.
	TryTimeout time.Duration
}

// FetchStats counts what a Fetch did.
type FetchStats struct {
	Kept      int `json:"kept"` // chunks that were there before
	FromPeers int `json:"from_peers"`
	FromStore int `json:"from_store"`
	// Bytes counts all that was received, also data that was rejected.
	Bytes int `json:"bytes"`
	// Rejected counts answers that were not the chunk asked for.
	Rejected int `json:"rejected"`
}

// Fetcher gets missing chunks one after the other within a byte rate. It is
// not safe for concurrent use.
type Fetcher struct {
	cfg FetcherConfig
	// next is when the bytes received so far are within the rate.
	next time.Time
}

// NewFetcher returns a fetcher whose first question is sent at once.
func NewFetcher(cfg FetcherConfig) *Fetcher {
	if cfg.PeerTries <= 0 {
		cfg.PeerTries = defaultPeerTries
	}
	if cfg.TryTimeout <= 0 {
		cfg.TryTimeout = defaultTryTimeout
	}
	return &Fetcher{cfg: cfg}
}

// Fetch returns the packed chunks of an index. Chunks that it has in have are
// kept. On an error it returns the chunks it got so far, so that the next
// Fetch continues there.
func (f *Fetcher) Fetch(ctx context.Context, x Index, have map[Hash][]byte) (map[Hash][]byte, FetchStats, error) {
	var stats FetchStats
	out := make(map[Hash][]byte, len(x.Chunks))
	for _, ref := range x.Chunks {
		if packed, ok := have[ref.Hash]; ok {
			out[ref.Hash] = packed
		}
	}
	stats.Kept = len(out)
	// A peer that failed is not asked again in this Fetch: a dead one would
	// cost a timeout per chunk.
	failed := make([]bool, len(f.cfg.Peers))
	for _, ref := range x.Chunks {
		if _, ok := out[ref.Hash]; ok {
			continue
		}
		check := func(packed []byte) error {
			_, err := Open(ref, packed)
			return err
		}
		packed, err := f.object(ctx, ref.Hash, check, failed, &stats)
		if err != nil {
			return out, stats, errors.Wrapf(err, "fetch chunk of %s", ref.Range)
		}
		out[ref.Hash] = packed
	}
	return out, stats, nil
}

// FetchIndex returns an index and its packed form.
func (f *Fetcher) FetchIndex(ctx context.Context, hash Hash) (Index, []byte, FetchStats, error) {
	var (
		stats FetchStats
		x     Index
	)
	packed, err := f.object(ctx, hash, func(packed []byte) (err error) {
		x, err = OpenIndex(packed, hash)
		return err
	}, make([]bool, len(f.cfg.Peers)), &stats)
	if err != nil {
		return Index{}, nil, stats, errors.Wrapf(err, "fetch index %s", hash)
	}
	return x, packed, stats, nil
}

// SetPeers replaces the peers. The byte rate goes on.
func (f *Fetcher) SetPeers(peers []Source) { f.cfg.Peers = peers }

// checkFunc refuses an object that is not the one asked for.
type checkFunc func(packed []byte) error

func (f *Fetcher) object(ctx context.Context, hash Hash, check checkFunc, failed []bool, stats *FetchStats) ([]byte, error) {
	peers := len(f.cfg.Peers)
	tries := f.cfg.PeerTries
	for i := range peers {
		n := (f.start(hash) + i) % peers
		if failed[n] {
			continue
		}
		if tries == 0 {
			break
		}
		tries--
		packed, err := f.try(ctx, f.cfg.Peers[n], hash, check, stats)
		if err == nil {
			stats.FromPeers++
			return packed, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		failed[n] = !errors.Is(err, ErrNotFound)
	}
	if f.cfg.Store == nil {
		return nil, ErrNotFound
	}
	packed, err := f.try(ctx, f.cfg.Store, hash, check, stats)
	if err != nil {
		return nil, errors.Wrap(err, "object store")
	}
	stats.FromStore++
	return packed, nil
}

// start spreads chunks over peers.
func (f *Fetcher) start(h Hash) int {
	return int((binary.BigEndian.Uint64(h[:]) + f.cfg.Seed) % uint64(len(f.cfg.Peers)))
}

func (f *Fetcher) try(ctx context.Context, from Source, hash Hash, check checkFunc, stats *FetchStats) ([]byte, error) {
	if err := f.waitForRate(ctx); err != nil {
		return nil, err
	}
	tryCtx, cancel := context.WithTimeout(ctx, f.cfg.TryTimeout)
	defer cancel()
	packed, err := from.Chunk(tryCtx, hash)
	if err != nil {
		return nil, err
	}
	stats.Bytes += len(packed)
	f.charge(len(packed))
	if err := check(packed); err != nil {
		stats.Rejected++
		return nil, err
	}
	return packed, nil
}

func (f *Fetcher) waitForRate(ctx context.Context) error {
	t := time.NewTimer(time.Until(f.next))
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// charge counts bytes after they have arrived, because their number is not
// known before. The rate is so exceeded by at most one chunk. Idle time gives
// no allowance for later.
func (f *Fetcher) charge(bytes int) {
	if f.cfg.BytesPerSecond <= 0 {
		return
	}
	now := time.Now()
	if f.next.Before(now) {
		f.next = now
	}
	f.next = f.next.Add(time.Duration(bytes) * time.Second / time.Duration(f.cfg.BytesPerSecond))
}

package blocks

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"
)

// ErrNotFound is returned by a Source that does not have the object.
var ErrNotFound = errors.New("object not found")

// Source returns packed chunks and indexes by hash. It is a peer or the object
// store.
type Source interface {
	Get(ctx context.Context, hash Hash) ([]byte, error)
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
	// Store is asked for chunks that no peer returned.
	Store Source
	// RemotePeers are entry instances of other failure domains. They are asked
	// last, after the store, because the links to them have limited bandwidth.
	RemotePeers []Source
	// BytesPerSecond limits the rate of bytes received; 0 means no limit.
	BytesPerSecond int
	// Seed should differ between entry instances, so that those that start at the
	// same time ask different peers first.
	Seed uint64
	// PeerTries limits the peers asked for one chunk. It applies to Peers and to
	// RemotePeers separately.
	PeerTries int
	// TryTimeout limits one request to a source.
	TryTimeout time.Duration
}

// FetchStats counts the results of a fetch.
type FetchStats struct {
	Kept      int `json:"kept"` // chunks that were already present
	FromPeers int `json:"from_peers"`
	FromStore int `json:"from_store"`
	// Bytes counts the bytes received, including rejected ones.
	Bytes int `json:"bytes"`
	// Rejected counts responses that were not the requested object.
	Rejected int `json:"rejected"`
}

// Fetcher fetches missing chunks one at a time, within a byte rate. It is not safe
// for concurrent use.
type Fetcher struct {
	cfg FetcherConfig
	// nextRequest is the earliest time of the next request that keeps the bytes
	// received so far within the rate.
	nextRequest time.Time
}

// NewFetcher returns a fetcher that sends its first request without delay.
func NewFetcher(cfg FetcherConfig) *Fetcher {
	if cfg.PeerTries <= 0 {
		cfg.PeerTries = defaultPeerTries
	}
	if cfg.TryTimeout <= 0 {
		cfg.TryTimeout = defaultTryTimeout
	}
	return &Fetcher{cfg: cfg}
}

// Fetch returns the packed chunks of an index. Chunks in have are not fetched
// again. On an error it returns the chunks fetched so far; pass them to the next
// Fetch to continue.
func (f *Fetcher) Fetch(ctx context.Context, x Index, have map[Hash][]byte) (map[Hash][]byte, FetchStats, error) {
	var stats FetchStats
	out := make(map[Hash][]byte, len(x.Chunks))
	for _, ref := range x.Chunks {
		if packed, ok := have[ref.Hash]; ok {
			out[ref.Hash] = packed
		}
	}
	stats.Kept = len(out)
	groups := f.sourceGroups()
	for _, ref := range x.Chunks {
		if _, ok := out[ref.Hash]; ok {
			continue
		}
		check := func(packed []byte) error {
			_, err := OpenChunk(ref, packed)
			return err
		}
		packed, err := f.fetchObject(ctx, ref.Hash, check, groups, &stats)
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
	packed, err := f.fetchObject(ctx, hash, func(packed []byte) (err error) {
		x, err = OpenIndex(packed, hash)
		return err
	}, f.sourceGroups(), &stats)
	if err != nil {
		return Index{}, nil, stats, errors.Wrapf(err, "fetch index %s", hash)
	}
	return x, packed, stats, nil
}

// SetPeers replaces the peers and the remote peers. The byte rate limit still
// counts the bytes received before.
func (f *Fetcher) SetPeers(peers, remotePeers []Source) {
	f.cfg.Peers, f.cfg.RemotePeers = peers, remotePeers
}

// checkFunc returns an error if an object is not the requested one.
type checkFunc func(packed []byte) error

// sourceGroup holds the sources of one kind. A source that failed is not asked
// again in the same Fetch, because an unreachable one would cost a timeout per
// chunk.
type sourceGroup struct {
	name     string
	sources  []Source
	failed   []bool
	maxTries int // maximum number of sources asked for one object
	count    func(*FetchStats)
}

// sourceGroups returns the groups of sources in the order in which they are asked.
func (f *Fetcher) sourceGroups() []*sourceGroup {
	peer := func(s *FetchStats) { s.FromPeers++ }
	store := func(s *FetchStats) { s.FromStore++ }
	out := []*sourceGroup{{name: "peers", sources: f.cfg.Peers, maxTries: f.cfg.PeerTries, count: peer}}
	if f.cfg.Store != nil {
		out = append(out, &sourceGroup{name: "object store", sources: []Source{f.cfg.Store}, maxTries: 1, count: store})
	}
	out = append(out, &sourceGroup{name: "remote peers", sources: f.cfg.RemotePeers, maxTries: f.cfg.PeerTries, count: peer})
	for _, g := range out {
		g.failed = make([]bool, len(g.sources))
	}
	return out
}

func (f *Fetcher) fetchObject(ctx context.Context, hash Hash, check checkFunc, groups []*sourceGroup, stats *FetchStats) ([]byte, error) {
	err := ErrNotFound
	for _, g := range groups {
		packed, groupErr := f.askGroup(ctx, g, hash, check, stats)
		if groupErr == nil {
			return packed, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		// Any other error explains more than ErrNotFound from another group.
		if !errors.Is(groupErr, ErrNotFound) {
			err = errors.Wrap(groupErr, g.name)
		}
	}
	return nil, err
}

// askGroup requests an object from at most maxTries sources of a group.
func (f *Fetcher) askGroup(ctx context.Context, g *sourceGroup, hash Hash, check checkFunc, stats *FetchStats) ([]byte, error) {
	err := ErrNotFound
	triesLeft := g.maxTries
	for i := range g.sources {
		n := (f.firstSource(hash, len(g.sources)) + i) % len(g.sources)
		if g.failed[n] || triesLeft == 0 {
			continue
		}
		triesLeft--
		packed, sourceErr := f.askSource(ctx, g.sources[n], hash, check, stats)
		if sourceErr == nil {
			g.count(stats)
			return packed, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if !errors.Is(sourceErr, ErrNotFound) {
			g.failed[n] = true
			err = sourceErr
		}
	}
	return nil, err
}

// firstSource returns the index of the source that is asked first for an object.
// It spreads objects over the sources of a group.
func (f *Fetcher) firstSource(h Hash, sources int) int {
	return int((binary.BigEndian.Uint64(h[:]) + f.cfg.Seed) % uint64(sources))
}

func (f *Fetcher) askSource(ctx context.Context, from Source, hash Hash, check checkFunc, stats *FetchStats) ([]byte, error) {
	if err := f.waitForRate(ctx); err != nil {
		return nil, err
	}
	tryCtx, cancel := context.WithTimeout(ctx, f.cfg.TryTimeout)
	defer cancel()
	packed, err := from.Get(tryCtx, hash)
	if err != nil {
		return nil, err
	}
	stats.Bytes += len(packed)
	f.recordBytes(len(packed))
	if err := check(packed); err != nil {
		stats.Rejected++
		return nil, err
	}
	return packed, nil
}

func (f *Fetcher) waitForRate(ctx context.Context) error {
	t := time.NewTimer(time.Until(f.nextRequest))
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// recordBytes counts bytes after they have arrived, because their number is not
// known earlier. So the rate is exceeded by at most one chunk. Idle time does not
// accumulate as credit.
func (f *Fetcher) recordBytes(bytes int) {
	if f.cfg.BytesPerSecond <= 0 {
		return
	}
	now := time.Now()
	if f.nextRequest.Before(now) {
		f.nextRequest = now
	}
	f.nextRequest = f.nextRequest.Add(time.Duration(bytes) * time.Second / time.Duration(f.cfg.BytesPerSecond))
}

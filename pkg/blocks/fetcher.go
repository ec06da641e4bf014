package blocks

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"
)

// ErrNotFound is the error of a Source that does not have a chunk.
var ErrNotFound = errors.New("chunk not found")

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
	// Store is asked for a chunk that no peer gave.
	Store Source
	// RemotePeers are entry instances of other failure domains. They are asked
	// last, because the links to them have limited bandwidth.
	RemotePeers []Source
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
	tiers := f.tiers()
	for _, ref := range x.Chunks {
		if _, ok := out[ref.Hash]; ok {
			continue
		}
		check := func(packed []byte) error {
			_, err := OpenChunk(ref, packed)
			return err
		}
		packed, err := f.object(ctx, ref.Hash, check, tiers, &stats)
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
	}, f.tiers(), &stats)
	if err != nil {
		return Index{}, nil, stats, errors.Wrapf(err, "fetch index %s", hash)
	}
	return x, packed, stats, nil
}

// SetPeers replaces the peers and the others. The byte rate goes on.
func (f *Fetcher) SetPeers(peers, others []Source) { f.cfg.Peers, f.cfg.RemotePeers = peers, others }

// checkFunc refuses an object that is not the one asked for.
type checkFunc func(packed []byte) error

// tier is a group of sources of one kind. A source that failed is not asked
// again in the same Fetch: a dead one would cost a timeout per chunk.
type tier struct {
	name    string
	sources []Source
	failed  []bool
	tries   int // sources asked for one object
	count   func(*FetchStats)
}

// tiers returns the sources in the order in which they are asked.
func (f *Fetcher) tiers() []*tier {
	peer := func(s *FetchStats) { s.FromPeers++ }
	store := func(s *FetchStats) { s.FromStore++ }
	out := []*tier{{name: "peers", sources: f.cfg.Peers, tries: f.cfg.PeerTries, count: peer}}
	if f.cfg.Store != nil {
		out = append(out, &tier{name: "object store", sources: []Source{f.cfg.Store}, tries: 1, count: store})
	}
	out = append(out, &tier{name: "other failure domains", sources: f.cfg.RemotePeers, tries: f.cfg.PeerTries, count: peer})
	for _, t := range out {
		t.failed = make([]bool, len(t.sources))
	}
	return out
}

func (f *Fetcher) object(ctx context.Context, hash Hash, check checkFunc, tiers []*tier, stats *FetchStats) ([]byte, error) {
	err := ErrNotFound
	for _, t := range tiers {
		packed, tierErr := f.ask(ctx, t, hash, check, stats)
		if tierErr == nil {
			return packed, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		// The reason of the store says more than that others lack the object.
		if !errors.Is(tierErr, ErrNotFound) {
			err = errors.Wrap(tierErr, t.name)
		}
	}
	return nil, err
}

// ask asks some sources of a tier.
func (f *Fetcher) ask(ctx context.Context, t *tier, hash Hash, check checkFunc, stats *FetchStats) ([]byte, error) {
	err := ErrNotFound
	tries := t.tries
	for i := range t.sources {
		n := (f.start(hash, len(t.sources)) + i) % len(t.sources)
		if t.failed[n] || tries == 0 {
			continue
		}
		tries--
		packed, tryErr := f.try(ctx, t.sources[n], hash, check, stats)
		if tryErr == nil {
			t.count(stats)
			return packed, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		if !errors.Is(tryErr, ErrNotFound) {
			t.failed[n] = true
			err = tryErr
		}
	}
	return nil, err
}

// start spreads objects over the sources of a tier.
func (f *Fetcher) start(h Hash, sources int) int {
	return int((binary.BigEndian.Uint64(h[:]) + f.cfg.Seed) % uint64(sources))
}

func (f *Fetcher) try(ctx context.Context, from Source, hash Hash, check checkFunc, stats *FetchStats) ([]byte, error) {
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

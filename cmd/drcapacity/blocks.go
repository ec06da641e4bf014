package main

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/gaissmai/bart"

	"github.com/dandelionrack/dandelionrack/pkg/blocks"
)

type blocksCommand struct {
	Blocks         []int  `help:"Numbers of client blocks." default:"1000,36000,360000"`
	BytesPerSecond int    `help:"Limit for fetching after a restart." default:"8192"`
	MaxRun         uint32 `help:"Longest run of neighbouring blocks of one site." default:"16"`
	Peers          int    `help:"Number of peers in the failure domain." default:"44"`
}

// Run measures the whole table, a change of one block and a restart.
func (c *blocksCommand) Run(ctx context.Context, out *report) error {
	for _, n := range c.Blocks {
		if err := c.measure(ctx, out, n); err != nil {
			return err
		}
	}
	return nil
}

// packedTable is one version of the client blocks in compressed chunks.
type packedTable struct {
	index  blocks.Index
	chunks memorySource
	bytes  int
}

func (c *blocksCommand) measure(ctx context.Context, out *report, n int) error {
	in := sampleTableBlocks(n, c.MaxRun)
	title := fmt.Sprintf("%d client blocks", n)
	start := selfCPU()
	table, err := packTable(in)
	if err != nil {
		return err
	}
	out.row(title+", packed", metric{"chunks", float64(len(table.index.Chunks))},
		metric{"index_bytes", float64(len(table.index.Encode()))}, metric{"packed_bytes", float64(table.bytes)},
		metric{"bytes_per_block", float64(table.bytes) / float64(n)}, metric{"split_pack_cpu_ms", millis(selfCPU() - start)})
	if err := c.measureBuild(out, title, table); err != nil {
		return err
	}
	if err := c.measureChange(ctx, out, title, in, table); err != nil {
		return err
	}
	return c.measureRestart(ctx, out, title, table)
}

func sampleTableBlocks(n int, maxRun uint32) []blocks.Block {
	sample := sampleBlocks(n, maxRun)
	out := make([]blocks.Block, len(sample))
	for i, b := range sample {
		out[i] = blocks.Block{Prefix: netip.MustParsePrefix(b.Prefix), Target: b.FailureDomain}
	}
	return out
}

func packTable(in []blocks.Block) (*packedTable, error) {
	chunks, err := blocks.Split(in)
	if err != nil {
		return nil, err
	}
	t := &packedTable{index: blocks.NewIndex(chunks), chunks: memorySource{}}
	for _, chunk := range chunks {
		packed := blocks.Pack(chunk.Data)
		t.chunks[chunk.Hash] = packed
		t.bytes += len(packed)
	}
	return t, nil
}

// measureBuild builds the lookup table from the chunks, one chunk at a time.
func (c *blocksCommand) measureBuild(out *report, title string, t *packedTable) error {
	before, start := liveHeap(), selfCPU()
	var table bart.Table[uint32]
	targets := map[string]uint32{}
	for _, ref := range t.index.Chunks {
		list, err := blocks.OpenChunk(ref, t.chunks[ref.Hash])
		if err != nil {
			return err
		}
		for _, b := range list {
			target, known := targets[b.Target]
			if !known {
				target = uint32(len(targets))
				targets[b.Target] = target
			}
			table.Insert(b.Prefix, target)
		}
	}
	cpu := selfCPU() - start
	out.row(title+", table", metric{"build_cpu_ms", millis(cpu)},
		metric{"table_bytes", float64(liveHeap()) - float64(before)}, metric{"size", float64(table.Size())})
	return nil
}

// measureChange moves one block to another site and measures what it costs to
// publish the change and what a node fetches.
func (c *blocksCommand) measureChange(ctx context.Context, out *report, title string, in []blocks.Block, old *packedTable) error {
	const newSite = "site-moved"
	in[len(in)/2].Target = newSite
	start := selfCPU()
	table, err := packTable(in)
	if err != nil {
		return err
	}
	publish := selfCPU() - start
	f := blocks.NewFetcher(blocks.FetcherConfig{Store: table.chunks})
	start = selfCPU()
	_, stats, err := f.Fetch(ctx, table.index, old.chunks)
	if err != nil {
		return err
	}
	out.row(title+", one change", metric{"chunks", float64(stats.FromStore)}, metric{"chunk_bytes", float64(stats.Bytes)},
		metric{"index_bytes", float64(len(table.index.Encode()))}, metric{"publish_cpu_ms", millis(publish)},
		metric{"fetch_cpu_ms", millis(selfCPU() - start)})
	return nil
}

// measureRestart fetches everything within the byte rate. Every second peer has
// no chunks, as after two restarts in a row.
func (c *blocksCommand) measureRestart(ctx context.Context, out *report, title string, t *packedTable) error {
	peers := make([]blocks.Source, c.Peers)
	for i := range peers {
		peers[i] = memorySource{}
		if i%2 == 0 {
			peers[i] = t.chunks
		}
	}
	f := blocks.NewFetcher(blocks.FetcherConfig{Peers: peers, Store: t.chunks, BytesPerSecond: c.BytesPerSecond})
	cpu, start := selfCPU(), time.Now()
	_, stats, err := f.Fetch(ctx, t.index, nil)
	if err != nil {
		return err
	}
	out.row(title+", restart", metric{"seconds", time.Since(start).Seconds()}, metric{"bytes", float64(stats.Bytes)},
		metric{"from_peers", float64(stats.FromPeers)}, metric{"from_store", float64(stats.FromStore)},
		metric{"cpu_ms", millis(selfCPU() - cpu)})
	return nil
}

// memorySource is a peer or store that holds packed chunks by hash.
type memorySource map[blocks.Hash][]byte

// Get returns a chunk, or blocks.ErrNotFound.
func (m memorySource) Get(_ context.Context, h blocks.Hash) ([]byte, error) {
	packed, ok := m[h]
	if !ok {
		return nil, blocks.ErrNotFound
	}
	return packed, nil
}

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
	BytesPerSecond int    `help:"Byte rate of a restart." default:"8192"`
	MaxRun         uint32 `help:"Longest run of neighbouring blocks of one site." default:"16"`
	Peers          int    `help:"Peers of the failure domain." default:"44"`
}

// Run measures the whole table, one changed block and a restart.
func (c *blocksCommand) Run(ctx context.Context, out *report) error {
	for _, n := range c.Blocks {
		if err := c.measure(ctx, out, n); err != nil {
			return err
		}
	}
	return nil
}

// packedTable is one version of the client blocks.
type packedTable struct {
	index  blocks.Index
	chunks memorySource
	bytes  int
}

func (c *blocksCommand) measure(ctx context.Context, out *report, n int) error {
	in := chunkBlocks(n, c.MaxRun)
	title := fmt.Sprintf("%d client blocks", n)
	start := ownCPU()
	table, err := packTable(in)
	if err != nil {
		return err
	}
	out.row(title+", packed", field{"chunks", float64(len(table.index.Chunks))},
		field{"index_bytes", float64(len(table.index.Encode()))}, field{"packed_bytes", float64(table.bytes)},
		field{"bytes_per_block", float64(table.bytes) / float64(n)}, field{"split_pack_cpu_ms", millis(ownCPU() - start)})
	if err := c.build(out, title, table); err != nil {
		return err
	}
	if err := c.change(ctx, out, title, in, table); err != nil {
		return err
	}
	return c.restart(ctx, out, title, table)
}

func chunkBlocks(n int, maxRun uint32) []blocks.Block {
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

// build makes the lookup table from the chunks, one chunk at a time.
func (c *blocksCommand) build(out *report, title string, t *packedTable) error {
	before, start := heap(), ownCPU()
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
	cpu := ownCPU() - start
	out.row(title+", table", field{"build_cpu_ms", millis(cpu)},
		field{"table_bytes", float64(heap()) - float64(before)}, field{"size", float64(table.Size())})
	return nil
}

// change moves one block to another site and measures what a node fetches and
// what it costs to put the chunk into a copy of its table.
func (c *blocksCommand) change(ctx context.Context, out *report, title string, in []blocks.Block, old *packedTable) error {
	const newSite = "site-moved"
	in[len(in)/2].Target = newSite
	start := ownCPU()
	table, err := packTable(in)
	if err != nil {
		return err
	}
	publish := ownCPU() - start
	f := blocks.NewFetcher(blocks.FetcherConfig{Store: table.chunks})
	start = ownCPU()
	_, stats, err := f.Fetch(ctx, table.index, old.chunks)
	if err != nil {
		return err
	}
	out.row(title+", one change", field{"chunks", float64(stats.FromStore)}, field{"chunk_bytes", float64(stats.Bytes)},
		field{"index_bytes", float64(len(table.index.Encode()))}, field{"publish_cpu_ms", millis(publish)},
		field{"fetch_cpu_ms", millis(ownCPU() - start)})
	return nil
}

// restart fetches everything within the byte rate, from peers of which each
// second one is empty, as after two restarts in a row.
func (c *blocksCommand) restart(ctx context.Context, out *report, title string, t *packedTable) error {
	peers := make([]blocks.Source, c.Peers)
	for i := range peers {
		peers[i] = memorySource{}
		if i%2 == 0 {
			peers[i] = t.chunks
		}
	}
	f := blocks.NewFetcher(blocks.FetcherConfig{Peers: peers, Store: t.chunks, BytesPerSecond: c.BytesPerSecond})
	cpu, start := ownCPU(), time.Now()
	_, stats, err := f.Fetch(ctx, t.index, nil)
	if err != nil {
		return err
	}
	out.row(title+", restart", field{"seconds", time.Since(start).Seconds()}, field{"bytes", float64(stats.Bytes)},
		field{"from_peers", float64(stats.FromPeers)}, field{"from_store", float64(stats.FromStore)},
		field{"cpu_ms", millis(ownCPU() - cpu)})
	return nil
}

// memorySource is a peer or store with these packed chunks.
type memorySource map[blocks.Hash][]byte

// Get returns a chunk, or blocks.ErrNotFound.
func (m memorySource) Get(_ context.Context, h blocks.Hash) ([]byte, error) {
	packed, ok := m[h]
	if !ok {
		return nil, blocks.ErrNotFound
	}
	return packed, nil
}

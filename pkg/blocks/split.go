package blocks

import (
	"net/netip"
	"slices"
	"sort"
)

// Chunk holds the blocks whose first address lies in a range.
type Chunk struct {
	ChunkRef
	// Data is the encoded form of the blocks.
	Data []byte
}

// Split divides blocks, in any order, into chunks in address order. The chunks
// depend only on the set of blocks, not on earlier changes. Its error lists every
// invalid block.
func Split(in []Block) ([]Chunk, error) {
	sorted, err := normalize(in)
	if err != nil {
		return nil, err
	}
	firstIPv6 := sort.Search(len(sorted), func(i int) bool { return sorted[i].Prefix.Addr().Is6() })
	var out []Chunk
	out = appendRange(out, netip.PrefixFrom(netip.IPv4Unspecified(), 0), sorted[:firstIPv6])
	return appendRange(out, netip.PrefixFrom(netip.IPv6Unspecified(), 0), sorted[firstIPv6:]), nil
}

// appendRange adds the chunks of a range. The recursion ends at single addresses
// at the latest, because at most 129 blocks start at the same address.
func appendRange(out []Chunk, within netip.Prefix, sorted []Block) []Chunk {
	if len(sorted) == 0 {
		return out
	}
	if len(sorted) <= MaxChunkBlocks {
		return append(out, newChunk(within, sorted))
	}
	low, high := splitPrefix(within)
	cut, _ := slices.BinarySearchFunc(sorted, high.Addr(), func(b Block, addr netip.Addr) int {
		return b.Prefix.Addr().Compare(addr)
	})
	out = appendRange(out, low, sorted[:cut])
	return appendRange(out, high, sorted[cut:])
}

func newChunk(within netip.Prefix, sorted []Block) Chunk {
	data := encodeSorted(sorted)
	return Chunk{ChunkRef: ChunkRef{Range: within, Hash: HashOf(data), BlockCount: len(sorted)}, Data: data}
}

// splitPrefix splits a prefix into the two that are one bit longer.
func splitPrefix(p netip.Prefix) (low, high netip.Prefix) {
	bits := p.Bits() + 1
	addr := p.Addr().AsSlice()
	const bitsPerByte = 8
	addr[p.Bits()/bitsPerByte] |= 0x80 >> (p.Bits() % bitsPerByte)
	upper, _ := netip.AddrFromSlice(addr)
	return netip.PrefixFrom(p.Addr(), bits), netip.PrefixFrom(upper, bits)
}

// NewIndex returns the index of chunks that Split returned.
func NewIndex(chunks []Chunk) Index {
	x := Index{Chunks: make([]ChunkRef, len(chunks))}
	for i, c := range chunks {
		x.Chunks[i] = c.ChunkRef
	}
	return x
}

package blocks

import (
	"encoding/binary"
	"net/netip"

	"github.com/go-faster/errors"
)

// MaxIndexBytes limits an encoded index. A chunk takes at most 54 bytes, so there
// is room for more than 9,700 chunks. It must not exceed MaxChunkBytes, which
// Unpack applies to chunks and indexes.
const MaxIndexBytes = MaxChunkBytes

// ChunkRef is the index entry of one chunk: its address range, its hash and the
// number of its blocks.
type ChunkRef struct {
	Range      netip.Prefix
	Hash       Hash
	BlockCount int
}

// Index lists all chunks of one version of the client blocks, in address order.
// Ranges without a block have no chunk.
type Index struct {
	Chunks []ChunkRef
}

// BlockCount returns the number of blocks in all chunks.
func (x Index) BlockCount() int {
	n := 0
	for _, ref := range x.Chunks {
		n += ref.BlockCount
	}
	return n
}

// Hash identifies this version of the client blocks.
func (x Index) Hash() Hash { return HashOf(x.Encode()) }

// HasFunc returns a function that reports whether the index lists a chunk.
func (x Index) HasFunc() func(Hash) bool {
	set := make(map[Hash]bool, len(x.Chunks))
	for _, ref := range x.Chunks {
		set[ref.Hash] = true
	}
	return func(h Hash) bool { return set[h] }
}

// Missing returns the chunks for which have returns false.
func (x Index) Missing(have func(Hash) bool) []ChunkRef {
	var out []ChunkRef
	for _, ref := range x.Chunks {
		if !have(ref.Hash) {
			out = append(out, ref)
		}
	}
	return out
}

// Encode returns the binary form of the index.
func (x Index) Encode() []byte {
	out := []byte{formatVersion}
	out = binary.AppendUvarint(out, uint64(len(x.Chunks)))
	for _, ref := range x.Chunks {
		family := byte(ipv4Bits)
		if ref.Range.Addr().Is6() {
			family = ipv6Bits
		}
		out = append(out, family, byte(ref.Range.Bits()))
		out = append(out, ref.Range.Addr().AsSlice()[:coveredBytes(ref.Range.Bits())]...)
		out = binary.AppendUvarint(out, uint64(ref.BlockCount))
		out = append(out, ref.Hash[:]...)
	}
	return out
}

// DecodeIndex parses the binary form of an index and checks its hash. It accepts
// only disjoint ranges in address order.
func DecodeIndex(data []byte, want Hash) (Index, error) {
	if len(data) > MaxIndexBytes {
		return Index{}, errors.Wrapf(ErrInvalid, "index of %d bytes, at most %d are allowed", len(data), MaxIndexBytes)
	}
	if got := HashOf(data); got != want {
		return Index{}, errors.Wrapf(ErrInvalid, "index has hash %s, want %s", got, want)
	}
	return parseIndex(data)
}

// OpenIndex unpacks and decodes an index. In the object store, indexes are packed
// like chunks, so every object is named by the hash of its unpacked content.
func OpenIndex(packed []byte, want Hash) (Index, error) {
	data, err := Unpack(packed, want)
	if err != nil {
		return Index{}, err
	}
	return parseIndex(data)
}

func parseIndex(data []byte) (Index, error) {
	r := &reader{rest: data}
	if r.readByte() != formatVersion {
		r.fail("format version is not %d", formatVersion)
	}
	var x Index
	count := r.uvarint(MaxIndexBytes)
	for range count {
		ref := r.readRef()
		if r.err != nil {
			return Index{}, r.err
		}
		if n := len(x.Chunks); n > 0 && !before(x.Chunks[n-1].Range, ref.Range) {
			r.fail("range %s is out of order", ref.Range)
		}
		x.Chunks = append(x.Chunks, ref)
	}
	if r.err == nil && len(r.rest) > 0 {
		r.fail("%d bytes after the last chunk", len(r.rest))
	}
	if r.err != nil {
		return Index{}, r.err
	}
	return x, nil
}

func before(a, b netip.Prefix) bool {
	return a.Addr().Less(b.Addr()) && !a.Overlaps(b)
}

func (r *reader) readRef() ChunkRef {
	var ref ChunkRef
	family, bits := r.readByte(), r.readByte()
	if (family != ipv4Bits && family != ipv6Bits) || bits > family {
		r.fail("invalid range: address family %d, prefix length %d", family, bits)
		return ref
	}
	const bitsPerByte = 8
	raw := make([]byte, family/bitsPerByte)
	copy(raw, r.readBytes(coveredBytes(int(bits))))
	addr, _ := netip.AddrFromSlice(raw)
	ref.Range = netip.PrefixFrom(addr, int(bits))
	if ref.Range.Masked() != ref.Range {
		r.fail("range %s has bits set beyond its prefix length", ref.Range)
	}
	ref.BlockCount = int(r.uvarint(MaxChunkBlocks))
	if ref.BlockCount == 0 {
		r.fail("range %s without a block", ref.Range)
	}
	copy(ref.Hash[:], r.readBytes(len(ref.Hash)))
	return ref
}

// OpenChunk unpacks and decodes a chunk, and checks that its blocks lie in the
// range of ref.
func OpenChunk(ref ChunkRef, packed []byte) ([]Block, error) {
	data, err := Unpack(packed, ref.Hash)
	if err != nil {
		return nil, err
	}
	out, err := Decode(data)
	if err != nil {
		return nil, err
	}
	if len(out) != ref.BlockCount {
		return nil, errors.Wrapf(ErrInvalid, "chunk %s has %d blocks, the index says %d", ref.Range, len(out), ref.BlockCount)
	}
	for _, b := range out {
		if !ref.Range.Contains(b.Prefix.Addr()) {
			return nil, errors.Wrapf(ErrInvalid, "block %s is outside the range %s of its chunk", b.Prefix, ref.Range)
		}
	}
	return out, nil
}

package blocks

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"slices"
	"sort"

	"github.com/go-faster/errors"
)

// formatVersion is the first byte of an encoded chunk and of an index.
const formatVersion = 1

const (
	bits4 = 32
	bits6 = 128
)

// Encode returns the binary form of at most MaxChunkBlocks blocks, in any
// order. Equal blocks have one form.
func Encode(in []Block) ([]byte, error) {
	sorted, err := normalize(in)
	if err != nil {
		return nil, err
	}
	if len(sorted) > MaxChunkBlocks {
		return nil, errors.Errorf("%d client blocks in a chunk, at most %d are allowed", len(sorted), MaxChunkBlocks)
	}
	return encode(sorted), nil
}

// encode writes columns, because neighbours in a column are alike and
// compress well: names of targets, then for each address family the prefix
// lengths, the targets and the addresses.
func encode(sorted []Block) []byte {
	names, index := namesOf(sorted)
	out := []byte{formatVersion}
	out = binary.AppendUvarint(out, uint64(len(names)))
	for _, name := range names {
		out = binary.AppendUvarint(out, uint64(len(name)))
		out = append(out, name...)
	}
	first6 := sort.Search(len(sorted), func(i int) bool { return sorted[i].Prefix.Addr().Is6() })
	out = appendFamily(out, sorted[:first6], index, appendAddrs4)
	return appendFamily(out, sorted[first6:], index, appendAddrs6)
}

func namesOf(in []Block) ([]string, map[string]uint64) {
	index := map[string]uint64{}
	var names []string
	for _, b := range in {
		if _, seen := index[b.Target]; !seen {
			index[b.Target] = 0
			names = append(names, b.Target)
		}
	}
	slices.Sort(names)
	for i, name := range names {
		index[name] = uint64(i)
	}
	return names, index
}

func appendFamily(out []byte, family []Block, index map[string]uint64, addrs func([]byte, []Block) []byte) []byte {
	out = binary.AppendUvarint(out, uint64(len(family)))
	for _, b := range family {
		out = append(out, byte(b.Prefix.Bits()))
	}
	for _, b := range family {
		out = binary.AppendUvarint(out, index[b.Target])
	}
	return addrs(out, family)
}

// appendAddrs4 writes the distance to the block before, counted in blocks of
// this prefix length.
func appendAddrs4(out []byte, family []Block) []byte {
	var last uint64
	for _, b := range family {
		raw := b.Prefix.Addr().As4()
		addr := uint64(binary.BigEndian.Uint32(raw[:]))
		unused := bits4 - b.Prefix.Bits()
		out = binary.AppendUvarint(out, addr>>unused-last>>unused)
		last = addr
	}
	return out
}

// appendAddrs6 writes the bytes that the prefix length covers.
func appendAddrs6(out []byte, family []Block) []byte {
	for _, b := range family {
		raw := b.Prefix.Addr().As16()
		out = append(out, raw[:coveredBytes(b.Prefix.Bits())]...)
	}
	return out
}

func coveredBytes(bits int) int { return (bits + 7) / 8 }

// Decode reads the binary form. It accepts only what Encode writes.
func Decode(data []byte) ([]Block, error) {
	if len(data) > MaxChunkBytes {
		return nil, errors.Wrapf(ErrInvalid, "chunk of %d bytes, at most %d are allowed", len(data), MaxChunkBytes)
	}
	r := &reader{rest: data}
	if r.oneByte() != formatVersion {
		r.fail("format version is not %d", formatVersion)
	}
	names := r.names()
	out := r.family(nil, names, bits4, (*reader).addr4)
	out = r.family(out, names, bits6, (*reader).addr6)
	if r.err == nil && len(r.rest) > 0 {
		r.fail("%d bytes after the last block", len(r.rest))
	}
	if r.err != nil {
		return nil, r.err
	}
	if err := checkCanonical(data, out); err != nil {
		return nil, err
	}
	return out, nil
}

// checkCanonical refuses a second form of the same blocks: wrong order,
// unused names, or numbers that are longer than needed. Otherwise two hashes
// could name the same content.
func checkCanonical(data []byte, decoded []Block) error {
	for i := 1; i < len(decoded); i++ {
		if compare(decoded[i-1], decoded[i]) >= 0 {
			return errors.Wrapf(ErrInvalid, "block %s is out of order", decoded[i].Prefix)
		}
	}
	if !bytes.Equal(encode(decoded), data) {
		return errors.Wrap(ErrInvalid, "not the canonical form")
	}
	return nil
}

// reader takes values off the front and keeps the first error.
type reader struct {
	rest []byte
	last uint64 // IPv4 address of the block before
	err  error
}

func (r *reader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = errors.Wrapf(ErrInvalid, format, args...)
	}
	r.rest = nil
}

func (r *reader) take(n int) []byte {
	if n > len(r.rest) {
		r.fail("ends early")
		return nil
	}
	out := r.rest[:n]
	r.rest = r.rest[n:]
	return out
}

func (r *reader) oneByte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

// number reads a uvarint that must not exceed limit.
func (r *reader) number(limit uint64) uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.fail("number is cut off or too long")
		return 0
	}
	r.rest = r.rest[n:]
	if v > limit {
		r.fail("number %d exceeds %d", v, limit)
		return 0
	}
	return v
}

func (r *reader) names() []string {
	names := make([]string, r.number(MaxChunkBlocks))
	for i := range names {
		names[i] = string(r.take(int(r.number(MaxTargetName))))
		if names[i] == "" {
			r.fail("target without a name")
		}
		if r.err != nil {
			return nil
		}
	}
	return names
}

func (r *reader) family(out []Block, names []string, maxBits byte, addr func(*reader, int) netip.Addr) []Block {
	count := int(r.number(uint64(MaxChunkBlocks - len(out))))
	lengths := r.take(count)
	if r.err != nil {
		return nil
	}
	if count > 0 && len(names) == 0 {
		r.fail("blocks without a target")
		return nil
	}
	targets := make([]uint64, count)
	for i := range targets {
		targets[i] = r.number(uint64(len(names)) - 1)
		if r.err != nil {
			return nil
		}
	}
	out = slices.Grow(out, count)
	for i, bits := range lengths {
		if bits > maxBits {
			r.fail("prefix length %d", bits)
			return nil
		}
		prefix := netip.PrefixFrom(addr(r, int(bits)), int(bits))
		if r.err != nil {
			return nil
		}
		out = append(out, Block{Prefix: prefix, Target: names[targets[i]]})
	}
	return out
}

func (r *reader) addr4(bits int) netip.Addr {
	const maxAddr = 1<<bits4 - 1
	unused := bits4 - bits
	addr := (r.last>>unused + r.number(maxAddr)) << unused
	if addr > maxAddr {
		r.fail("address beyond the last one")
	}
	r.last = addr
	var raw [4]byte
	binary.BigEndian.PutUint32(raw[:], uint32(addr))
	return netip.AddrFrom4(raw)
}

func (r *reader) addr6(bits int) netip.Addr {
	var raw [16]byte
	copy(raw[:], r.take(coveredBytes(bits)))
	addr := netip.AddrFrom16(raw)
	prefix := netip.PrefixFrom(addr, bits)
	if prefix.Masked() != prefix || unmap(prefix) != prefix {
		r.fail("%s has bits beyond its length or is an IPv4 address", prefix)
	}
	return addr
}

package blocks

import (
	"bytes"
	"encoding/binary"
	"net/netip"
	"slices"
	"sort"

	"github.com/go-faster/errors"
)

// formatVersion is the first byte of an encoded chunk or index.
const formatVersion = 1

const (
	ipv4Bits = 32
	ipv6Bits = 128
)

// Encode returns the binary form of at most MaxChunkBlocks blocks. The result does
// not depend on their order.
func Encode(in []Block) ([]byte, error) {
	sorted, err := normalize(in)
	if err != nil {
		return nil, err
	}
	if len(sorted) > MaxChunkBlocks {
		return nil, errors.Errorf("%d client blocks in a chunk, at most %d are allowed", len(sorted), MaxChunkBlocks)
	}
	return encodeSorted(sorted), nil
}

// encodeSorted writes blocks in columns, because similar adjacent values compress
// well: the target names, then for each address family the prefix lengths, the
// targets and the addresses.
func encodeSorted(sorted []Block) []byte {
	names, index := targetNames(sorted)
	out := []byte{formatVersion}
	out = binary.AppendUvarint(out, uint64(len(names)))
	for _, name := range names {
		out = binary.AppendUvarint(out, uint64(len(name)))
		out = append(out, name...)
	}
	firstIPv6 := sort.Search(len(sorted), func(i int) bool { return sorted[i].Prefix.Addr().Is6() })
	out = appendFamily(out, sorted[:firstIPv6], index, appendIPv4Addrs)
	return appendFamily(out, sorted[firstIPv6:], index, appendIPv6Addrs)
}

func targetNames(in []Block) ([]string, map[string]uint64) {
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

// appendIPv4Addrs writes the difference from the address of the previous block, in
// units of blocks of this prefix length.
func appendIPv4Addrs(out []byte, family []Block) []byte {
	var last uint64
	for _, b := range family {
		raw := b.Prefix.Addr().As4()
		addr := uint64(binary.BigEndian.Uint32(raw[:]))
		unused := ipv4Bits - b.Prefix.Bits()
		out = binary.AppendUvarint(out, addr>>unused-last>>unused)
		last = addr
	}
	return out
}

// appendIPv6Addrs writes the address bytes that the prefix length covers.
func appendIPv6Addrs(out []byte, family []Block) []byte {
	for _, b := range family {
		raw := b.Prefix.Addr().As16()
		out = append(out, raw[:coveredBytes(b.Prefix.Bits())]...)
	}
	return out
}

func coveredBytes(bits int) int { return (bits + 7) / 8 }

// Decode parses the binary form of a chunk. It accepts only output of Encode.
func Decode(data []byte) ([]Block, error) {
	if len(data) > MaxChunkBytes {
		return nil, errors.Wrapf(ErrInvalid, "chunk of %d bytes, at most %d are allowed", len(data), MaxChunkBytes)
	}
	r := &reader{rest: data}
	if r.readByte() != formatVersion {
		r.fail("format version is not %d", formatVersion)
	}
	names := r.readNames()
	out := r.readFamily(nil, names, ipv4Bits, (*reader).readIPv4)
	out = r.readFamily(out, names, ipv6Bits, (*reader).readIPv6)
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

// checkCanonical rejects other encodings of the same blocks, such as a different
// order, unused target names or overlong varints. Otherwise the same blocks could
// have several hashes.
func checkCanonical(data []byte, decoded []Block) error {
	for i := 1; i < len(decoded); i++ {
		if compareBlocks(decoded[i-1], decoded[i]) >= 0 {
			return errors.Wrapf(ErrInvalid, "block %s is out of order", decoded[i].Prefix)
		}
	}
	if !bytes.Equal(encodeSorted(decoded), data) {
		return errors.Wrap(ErrInvalid, "not the canonical encoding")
	}
	return nil
}

// reader consumes values from the front of rest and keeps the first error.
type reader struct {
	rest     []byte
	prevIPv4 uint64 // IPv4 address of the previous block
	err      error
}

func (r *reader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = errors.Wrapf(ErrInvalid, format, args...)
	}
	r.rest = nil
}

func (r *reader) readBytes(n int) []byte {
	if n > len(r.rest) {
		r.fail("unexpected end of data")
		return nil
	}
	out := r.rest[:n]
	r.rest = r.rest[n:]
	return out
}

func (r *reader) readByte() byte {
	if b := r.readBytes(1); b != nil {
		return b[0]
	}
	return 0
}

// uvarint reads an unsigned varint that must not exceed limit.
func (r *reader) uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.fail("varint is truncated or too long")
		return 0
	}
	r.rest = r.rest[n:]
	if v > limit {
		r.fail("value %d exceeds %d", v, limit)
		return 0
	}
	return v
}

func (r *reader) readNames() []string {
	names := make([]string, r.uvarint(MaxChunkBlocks))
	for i := range names {
		names[i] = string(r.readBytes(int(r.uvarint(MaxTargetName))))
		if names[i] == "" {
			r.fail("target name is empty")
		}
		if r.err != nil {
			return nil
		}
	}
	return names
}

func (r *reader) readFamily(out []Block, names []string, maxBits byte, addr func(*reader, int) netip.Addr) []Block {
	count := int(r.uvarint(uint64(MaxChunkBlocks - len(out))))
	lengths := r.readBytes(count)
	if r.err != nil {
		return nil
	}
	if count > 0 && len(names) == 0 {
		r.fail("blocks without any target name")
		return nil
	}
	targets := make([]uint64, count)
	for i := range targets {
		targets[i] = r.uvarint(uint64(len(names)) - 1)
		if r.err != nil {
			return nil
		}
	}
	out = slices.Grow(out, count)
	for i, bits := range lengths {
		if bits > maxBits {
			r.fail("invalid prefix length %d", bits)
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

func (r *reader) readIPv4(bits int) netip.Addr {
	const maxAddr = 1<<ipv4Bits - 1
	unused := ipv4Bits - bits
	addr := (r.prevIPv4>>unused + r.uvarint(maxAddr)) << unused
	if addr > maxAddr {
		r.fail("IPv4 address out of range")
	}
	r.prevIPv4 = addr
	var raw [4]byte
	binary.BigEndian.PutUint32(raw[:], uint32(addr))
	return netip.AddrFrom4(raw)
}

func (r *reader) readIPv6(bits int) netip.Addr {
	var raw [16]byte
	copy(raw[:], r.readBytes(coveredBytes(bits)))
	addr := netip.AddrFrom16(raw)
	prefix := netip.PrefixFrom(addr, bits)
	if prefix.Masked() != prefix || unmapPrefix(prefix) != prefix {
		r.fail("%s has bits set beyond its prefix length or is an IPv4-mapped address", prefix)
	}
	return addr
}

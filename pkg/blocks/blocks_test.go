package blocks

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawBlocks draws IPv4 and IPv6 blocks with distinct prefixes, in any order.
func drawBlocks(t *rapid.T, maxBlocks int) []Block {
	block := rapid.Custom(func(t *rapid.T) Block {
		var raw [16]byte
		binary.BigEndian.PutUint64(raw[:], rapid.Uint64().Draw(t, "addr"))
		addr := netip.AddrFrom16(raw)
		if rapid.Bool().Draw(t, "ipv4") {
			addr = netip.AddrFrom4([4]byte(raw[4:8]))
		}
		bits := rapid.IntRange(0, addr.BitLen()).Draw(t, "bits")
		target := fmt.Sprintf("site-%d", rapid.IntRange(0, 9).Draw(t, "target"))
		return Block{Prefix: netip.PrefixFrom(addr, bits).Masked(), Target: target}
	})
	return rapid.SliceOfNDistinct(block, 0, maxBlocks, func(b Block) netip.Prefix { return b.Prefix }).Draw(t, "blocks")
}

// manyBlocks returns n /24 blocks at random places of the IPv4 address space.
func manyBlocks(n int) []Block {
	const seed = 11
	random := rand.New(rand.NewPCG(seed, uint64(n)))
	taken := map[uint32]bool{}
	out := make([]Block, 0, n)
	for len(out) < n {
		block := random.Uint32N(1 << 24)
		if taken[block] {
			continue
		}
		taken[block] = true
		addr := netip.AddrFrom4([4]byte{byte(block >> 16), byte(block >> 8), byte(block), 0})
		out = append(out, Block{Prefix: netip.PrefixFrom(addr, 24), Target: fmt.Sprintf("site-%d", random.IntN(86))})
	}
	return out
}

func sortedBlocks(in []Block) []Block {
	out := slices.Clone(in)
	slices.SortFunc(out, compareBlocks)
	return out
}

// Guards against a block that is lost or changed by encoding, and against an
// encoding that depends on the order, which would give equal blocks two hashes.
func TestEncodeRoundTripInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawBlocks(t, 60)
		data, err := Encode(in)
		require.NoError(t, err)
		shuffled, err := Encode(rapid.Permutation(in).Draw(t, "order"))
		require.NoError(t, err)
		require.Equal(t, data, shuffled)
		out, err := Decode(data)
		require.NoError(t, err)
		require.ElementsMatch(t, in, out)
		packed := Pack(data)
		unpacked, err := Unpack(packed, HashOf(data))
		require.NoError(t, err)
		require.Equal(t, data, unpacked)
	})
}

// Guards against a corrupted or truncated chunk that is accepted.
func TestDamagedChunkIsRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data, err := Encode(drawBlocks(t, 40))
		require.NoError(t, err)
		packed := Pack(data)
		damaged := slices.Clone(packed)
		i := rapid.IntRange(0, len(packed)-1).Draw(t, "byte")
		if rapid.Bool().Draw(t, "cut") {
			damaged = damaged[:i]
		} else {
			damaged[i] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		}
		unpacked, err := Unpack(damaged, HashOf(data))
		if err == nil {
			// The bit has no effect on the content, such as a reserved bit.
			require.Equal(t, data, unpacked)
			return
		}
		require.ErrorIs(t, err, ErrInvalid)
	})
}

// Guards against a split that loses blocks, returns overlapping ranges or exceeds
// the maximum size of a chunk.
func TestSplitCoversAllBlocks(t *testing.T) {
	for _, n := range []int{0, 1, MaxChunkBlocks, MaxChunkBlocks + 1, 50_000} {
		in := manyBlocks(n)
		chunks, err := Split(in)
		require.NoError(t, err)
		x := NewIndex(chunks)
		require.Equal(t, n, x.BlockCount())
		var out []Block
		for _, c := range chunks {
			got, err := OpenChunk(c.ChunkRef, Pack(c.Data))
			require.NoError(t, err)
			out = append(out, got...)
		}
		require.True(t, slices.Equal(sortedBlocks(in), out))
		read, err := DecodeIndex(x.Encode(), x.Hash())
		require.NoError(t, err)
		require.Equal(t, len(x.Chunks), len(read.Chunks))
		for i := range x.Chunks {
			require.Equal(t, x.Chunks[i], read.Chunks[i])
		}
	}
}

// Guards against a change of one block that moves the boundaries of other chunks:
// every node would then fetch the whole table again.
func TestBlockChangeAffectsOneChunk(t *testing.T) {
	in := manyBlocks(14_000)
	before, err := Split(in)
	require.NoError(t, err)
	have := map[Hash]bool{}
	for _, c := range before {
		have[c.Hash] = true
	}
	rapid.Check(t, func(t *rapid.T) {
		i := rapid.IntRange(0, len(in)-1).Draw(t, "block")
		changed := slices.Clone(in)
		// A removal can merge two chunks into one; an addition can split a full
		// chunk in two.
		allowed := 1
		switch rapid.SampledFrom([]string{"target", "remove", "add"}).Draw(t, "change") {
		case "target":
			changed[i].Target = "site-new"
		case "remove":
			changed = slices.Delete(changed, i, i+1)
		case "add":
			sub := netip.PrefixFrom(changed[i].Prefix.Addr(), 28)
			changed = append(changed, Block{Prefix: sub, Target: "site-new"})
			allowed = 2
		}
		after, err := Split(changed)
		require.NoError(t, err)
		missing := NewIndex(after).Missing(func(h Hash) bool { return have[h] })
		require.NotEmpty(t, missing)
		require.LessOrEqual(t, len(missing), allowed)
	})
}

// Guards against an error that omits some of the invalid blocks.
func TestInvalidBlocksAreAllReported(t *testing.T) {
	_, err := Split([]Block{
		{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Target: "a"},
		{Prefix: netip.Prefix{}, Target: "a"},
		{Prefix: netip.MustParsePrefix("10.1.0.0/16")},
		{Prefix: netip.MustParsePrefix("10.0.0.7/8"), Target: "b"},
	})
	require.ErrorContains(t, err, "client_blocks[1].prefix")
	require.ErrorContains(t, err, "client_blocks[2].target")
	require.ErrorContains(t, err, `10.0.0.0/8 has two targets, "a" and "b"`)
	_, err = Encode(manyBlocks(MaxChunkBlocks + 1))
	require.ErrorContains(t, err, "at most")
}

// Guards against an IPv4-mapped prefix that is stored as IPv6, where lookups never
// find it.
func TestMappedPrefixesBecomeIPv4(t *testing.T) {
	a, err := Encode([]Block{{Prefix: netip.MustParsePrefix("::ffff:10.0.0.0/104"), Target: "a"}})
	require.NoError(t, err)
	b, err := Encode([]Block{{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Target: "a"}})
	require.NoError(t, err)
	require.Equal(t, b, a)
}

// Guards against an index that lists a chunk under the wrong range: lookups would
// send callers to the wrong target without an error.
func TestOpenChunkChecksRangeAndCount(t *testing.T) {
	data, err := Encode([]Block{{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Target: "a"}})
	require.NoError(t, err)
	ref := ChunkRef{Range: netip.MustParsePrefix("0.0.0.0/1"), Hash: HashOf(data), BlockCount: 1}
	_, err = OpenChunk(ref, Pack(data))
	require.NoError(t, err)
	wrongRange, wrongCount := ref, ref
	wrongRange.Range = netip.MustParsePrefix("128.0.0.0/1")
	wrongCount.BlockCount = 2
	for _, wrong := range []ChunkRef{wrongRange, wrongCount} {
		_, err = OpenChunk(wrong, Pack(data))
		require.ErrorIs(t, err, ErrInvalid)
	}
}

// Guards against a small packed object that decompresses to more memory than a
// node has.
func TestUnpackLimitsMemory(t *testing.T) {
	_, err := Unpack(Pack(make([]byte, 8*MaxChunkBytes)), Hash{})
	require.ErrorIs(t, err, ErrInvalid)
	_, err = Unpack(make([]byte, MaxPackedBytes+1), Hash{})
	require.ErrorContains(t, err, "at most")
}

// Guards against text of the wrong length that is accepted as a hash.
func TestParseHash(t *testing.T) {
	want := HashOf([]byte("x"))
	got, err := ParseHash(want.String())
	require.NoError(t, err)
	require.Equal(t, want, got)
	for _, bad := range []string{"", "zz", want.String()[2:]} {
		_, err := ParseHash(bad)
		require.ErrorIs(t, err, ErrInvalid)
	}
}

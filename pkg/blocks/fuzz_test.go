package blocks

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

func mustEncode(tb testing.TB, prefixes ...string) []byte {
	var in []Block
	for i, p := range prefixes {
		in = append(in, Block{Prefix: netip.MustParsePrefix(p), Target: string(rune('a' + i%3))})
	}
	data, err := Encode(in)
	require.NoError(tb, err)
	return data
}

// Guards against a panic on data from a peer, and against two encodings of the
// same blocks.
func FuzzDecode(f *testing.F) {
	f.Add(mustEncode(f))
	f.Add(mustEncode(f, "0.0.0.0/0", "10.0.0.0/8", "10.0.0.0/24", "10.0.1.0/24", "255.255.255.255/32"))
	f.Add(mustEncode(f, "::/0", "2001:db8::/32", "2001:db8::1/128"))
	f.Add(mustEncode(f, "192.0.2.0/25", "2001:db8::/33"))
	f.Add([]byte{formatVersion, 1, 1, 'a', 1, 33, 0, 0, 0})                  // prefix too long
	f.Add([]byte{formatVersion, 0x81, 0x00, 1, 'a', 0, 0})                   // overlong varint
	f.Add([]byte{formatVersion, 0, 1, 8, 0, 10, 0})                          // no target names
	f.Add([]byte{formatVersion, 1, 1, 'a', 2, 8, 8, 0, 0, 0xff, 1, 0xff, 1}) // address out of range
	f.Fuzz(func(t *testing.T, data []byte) {
		out, err := Decode(data)
		if err != nil {
			require.ErrorIs(t, err, ErrInvalid)
			return
		}
		again, err := Encode(out)
		require.NoError(t, err)
		require.Equal(t, data, again)
	})
}

// Guards against a panic on an index from a peer, and against a decoded index that
// changes when it is encoded again.
func FuzzDecodeIndex(f *testing.F) {
	chunks, err := Split(manyBlocks(3 * MaxChunkBlocks))
	require.NoError(f, err)
	f.Add(NewIndex(chunks).Encode())
	f.Add(Index{}.Encode())
	f.Add(Index{Chunks: []ChunkRef{{Range: netip.MustParsePrefix("2000::/3"), BlockCount: 1}}}.Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		x, err := DecodeIndex(data, HashOf(data))
		if err != nil {
			require.ErrorIs(t, err, ErrInvalid)
			return
		}
		again, err := DecodeIndex(x.Encode(), x.Hash())
		require.NoError(t, err)
		require.Equal(t, x, again)
	})
}

// Guards against a panic on an object from the store or a peer, and against an
// object that is accepted as an index with another hash.
func FuzzOpenIndex(f *testing.F) {
	chunks, err := Split(manyBlocks(7000))
	require.NoError(f, err)
	good := NewIndex(chunks).Encode()
	for _, seed := range [][]byte{Pack(good), Pack(nil), good, {}} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, packed []byte) {
		// With the hash of the unpacked content, OpenIndex reaches the decoder.
		data, err := decompressor().DecodeAll(packed, nil)
		if err != nil {
			return
		}
		want := HashOf(data)
		x, err := OpenIndex(packed, want)
		if err != nil {
			return
		}
		require.Equal(t, want, x.Hash())
		_, err = OpenIndex(packed, Hash{})
		require.ErrorIs(t, err, ErrInvalid)
	})
}

package blocks

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

// MaxPackedBytes bounds a packed chunk. Data that does not compress grows by
// a few bytes per block of the compressor.
const MaxPackedBytes = MaxChunkBytes + 1<<10

// Hash names a chunk or an index by its content.
type Hash [sha256.Size]byte

// HashOf is the SHA-256 of the encoded form.
func HashOf(data []byte) Hash { return sha256.Sum256(data) }

// String is the hexadecimal form.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// ParseHash reads the hexadecimal form.
func ParseHash(s string) (Hash, error) {
	var h Hash
	raw, err := hex.DecodeString(s)
	if err != nil {
		return h, errors.Wrapf(ErrInvalid, "hash %q: %v", s, err)
	}
	if len(raw) != len(h) {
		return h, errors.Wrapf(ErrInvalid, "hash of %d bytes, want %d", len(raw), len(h))
	}
	copy(h[:], raw)
	return h, nil
}

// The compressor and decompressor are used for whole buffers only, for which
// they are safe for concurrent use. One of each is kept, because a new one
// allocates its tables again.
var (
	compressor = sync.OnceValue(func() *zstd.Encoder {
		w, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedBestCompression),
			zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(MaxChunkBytes))
		if err != nil {
			panic("blocks: options of the compressor: " + err.Error())
		}
		return w
	})
	decompressor = sync.OnceValue(func() *zstd.Decoder {
		r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(MaxChunkBytes))
		if err != nil {
			panic("blocks: options of the decompressor: " + err.Error())
		}
		return r
	})
)

// Pack compresses an encoded chunk.
func Pack(data []byte) []byte { return compressor().EncodeAll(data, nil) }

// Unpack decompresses a packed chunk and checks that its content has the hash.
func Unpack(packed []byte, want Hash) ([]byte, error) {
	if len(packed) > MaxPackedBytes {
		return nil, errors.Wrapf(ErrInvalid, "packed chunk of %d bytes, at most %d are allowed", len(packed), MaxPackedBytes)
	}
	data, err := decompressor().DecodeAll(packed, nil)
	if err != nil {
		return nil, errors.Wrapf(ErrInvalid, "decompress: %v", err)
	}
	got := HashOf(data)
	if got != want {
		return nil, errors.Wrapf(ErrInvalid, "content has hash %s, want %s", got, want)
	}
	return data, nil
}

package blocks

import (
	"crypto/sha256"
	"encoding/hex"
	"sync"

	"github.com/go-faster/errors"
	"github.com/klauspost/compress/zstd"
)

// MaxPackedBytes limits a packed chunk or index. Incompressible data grows by a
// few bytes per zstd block.
const MaxPackedBytes = MaxChunkBytes + 1<<10

// Hash identifies a chunk or an index by its content.
type Hash [sha256.Size]byte

// HashOf returns the SHA-256 of the encoded form of a chunk or an index.
func HashOf(data []byte) Hash { return sha256.Sum256(data) }

// String returns the hexadecimal form.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// ParseHash parses the hexadecimal form.
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

// The compressor and the decompressor are reused, because each new one allocates
// its tables. EncodeAll and DecodeAll are safe for concurrent use; no other methods
// are called.
var (
	compressor = sync.OnceValue(func() *zstd.Encoder {
		w, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedBestCompression),
			zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(MaxChunkBytes))
		if err != nil {
			panic("blocks: create compressor: " + err.Error())
		}
		return w
	})
	decompressor = sync.OnceValue(func() *zstd.Decoder {
		r, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
			zstd.WithDecoderMaxMemory(MaxChunkBytes))
		if err != nil {
			panic("blocks: create decompressor: " + err.Error())
		}
		return r
	})
)

// Pack compresses an encoded chunk or index.
func Pack(data []byte) []byte { return compressor().EncodeAll(data, nil) }

// Unpack decompresses a packed chunk or index and checks the hash of its content.
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

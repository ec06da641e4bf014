// Package blocks stores client blocks in content-addressed chunks, each for an
// address range, and fetches the chunks that changed. A client block is an
// address prefix of callers.
//
// Except for Fetcher, the package does no I/O, reads no clock and starts no
// goroutine.
package blocks

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/findings"
)

const (
	// MaxChunkBlocks limits the blocks of a chunk. Because ranges are split in
	// half, chunks are about ln 2 (69%) full: 4,000 blocks on average.
	MaxChunkBlocks = 5600
	// MaxTargetName is the maximum length of a target name in bytes.
	MaxTargetName = 64
	// MaxChunkBytes limits an encoded chunk. It has room for MaxChunkBlocks blocks
	// of at most 20 bytes, each with a different target.
	MaxChunkBytes = 512 << 10
)

// ErrInvalid is wrapped by errors for data that is malformed or has the wrong
// hash.
var ErrInvalid = errors.New("invalid client block data")

// Block maps the caller addresses in a prefix to a target: the name of a failure
// domain or region.
type Block struct {
	Prefix netip.Prefix
	Target string
}

// compareBlocks orders blocks by address, and a block before the smaller ones
// that start at the same address.
func compareBlocks(a, b Block) int {
	return cmp.Or(a.Prefix.Addr().Compare(b.Prefix.Addr()), cmp.Compare(a.Prefix.Bits(), b.Prefix.Bits()))
}

// normalize returns the blocks masked, sorted and without duplicates. Its error
// lists every invalid block.
func normalize(in []Block) ([]Block, error) {
	var problems findings.List
	out := make([]Block, 0, len(in))
	for i, b := range in {
		if field, problem := checkBlock(b); problem != "" {
			problems.Add(fmt.Sprintf("client_blocks[%d].%s", i, field), "%s", problem)
			continue
		}
		b.Prefix = unmapPrefix(b.Prefix).Masked()
		out = append(out, b)
	}
	slices.SortStableFunc(out, compareBlocks)
	unique := out[:0]
	for _, b := range out {
		if len(unique) == 0 || unique[len(unique)-1].Prefix != b.Prefix {
			unique = append(unique, b)
			continue
		}
		if have := unique[len(unique)-1]; have.Target != b.Target {
			problems.Add("client_blocks", "%s has two targets, %q and %q", b.Prefix, have.Target, b.Target)
		}
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return unique, nil
}

func checkBlock(b Block) (field, problem string) {
	switch {
	case !b.Prefix.IsValid():
		return "prefix", "not a valid prefix"
	case b.Target == "":
		return "target", "is required"
	case len(b.Target) > MaxTargetName:
		return "target", fmt.Sprintf("is longer than %d bytes", MaxTargetName)
	}
	return "", ""
}

// unmapPrefix converts a prefix of IPv4-mapped IPv6 addresses to IPv4, the form
// that lookups use.
func unmapPrefix(p netip.Prefix) netip.Prefix {
	const mappedBits = 96
	if !p.Addr().Is4In6() || p.Bits() < mappedBits {
		return p
	}
	return netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-mappedBits)
}

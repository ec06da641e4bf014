// Package blocks holds client blocks as content-addressed chunks, each for a
// range of addresses, and fetches the chunks that changed.
//
// All of it but Fetcher is pure: no I/O, no clock, no goroutine.
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
	// MaxChunkBlocks bounds the blocks of a chunk. Halving ranges leaves them
	// about ln 2 full, so that chunks hold 4,000 blocks on average.
	MaxChunkBlocks = 5600
	// MaxTargetName is the longest name of a target in bytes.
	MaxTargetName = 64
	// MaxChunkBytes bounds an encoded chunk: MaxChunkBlocks blocks of at most
	// 20 bytes, each with a target of its own.
	MaxChunkBytes = 512 << 10
)

// ErrInvalid marks data that is not the encoding of anything.
var ErrInvalid = errors.New("invalid client block data")

// Block maps the caller addresses of a prefix to a target, such as a failure
// domain or a site.
type Block struct {
	Prefix netip.Prefix
	Target string
}

// compare orders blocks by address and puts a covering block before those
// within it.
func compare(a, b Block) int {
	return cmp.Or(a.Prefix.Addr().Compare(b.Prefix.Addr()), cmp.Compare(a.Prefix.Bits(), b.Prefix.Bits()))
}

// normalize returns the blocks masked, sorted and without repetitions. Its
// error lists every block that is invalid.
func normalize(in []Block) ([]Block, error) {
	var problems findings.List
	out := make([]Block, 0, len(in))
	for i, b := range in {
		if field, problem := check(b); problem != "" {
			problems.Add(fmt.Sprintf("client_blocks[%d].%s", i, field), "%s", problem)
			continue
		}
		b.Prefix = unmap(b.Prefix).Masked()
		out = append(out, b)
	}
	slices.SortStableFunc(out, compare)
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

func check(b Block) (field, problem string) {
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

// unmap turns a prefix of IPv4-mapped IPv6 addresses into its IPv4 form, which
// is the form that lookups use.
func unmap(p netip.Prefix) netip.Prefix {
	const mappedBits = 96
	if !p.Addr().Is4In6() || p.Bits() < mappedBits {
		return p
	}
	return netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-mappedBits)
}

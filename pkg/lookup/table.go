// Package lookup maps a client address to a failure domain and ranks the entry
// instances by their distance from it.
//
// The package is pure: it does no I/O and reads no clock. A Table does not
// change after Build or Builder.Table and is safe for concurrent use.
package lookup

import (
	"fmt"
	"net/netip"

	"github.com/gaissmai/bart"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
)

// Table maps client addresses to targets by longest prefix match. A target is a
// failure domain, or a region in a table from a Builder.
type Table struct {
	// The values are indexes into targets: with a string in each of several
	// hundred thousand entries, the table would take four times the memory.
	blocks  *bart.Table[uint32]
	targets []string
}

// Build returns the table of the client blocks in a deployment. Its error lists
// every invalid client block.
func Build(dep *config.Deployment) (*Table, error) {
	t := &Table{blocks: &bart.Table[uint32]{}}
	index := make(map[string]uint32, len(dep.FailureDomains))
	for _, fd := range dep.FailureDomains {
		index[fd.Name] = uint32(len(t.targets))
		t.targets = append(t.targets, fd.Name)
	}
	var problems findings.List
	for i, block := range dep.ClientBlocks {
		if field, problem := t.insert(block, index); problem != "" {
			problems.Add(fmt.Sprintf("client_blocks[%d].%s", i, field), "%s", problem)
		}
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return t, nil
}

// insert adds a block. If the block is invalid, it returns the field and the
// problem.
func (t *Table) insert(block config.ClientBlock, index map[string]uint32) (field, problem string) {
	prefix, err := netip.ParsePrefix(block.Prefix)
	if err != nil {
		return "prefix", err.Error()
	}
	domain, ok := index[block.FailureDomain]
	if !ok {
		return "failure_domain", fmt.Sprintf("unknown failure domain %q", block.FailureDomain)
	}
	prefix = unmapPrefix(prefix).Masked()
	if existing, ok := t.blocks.Get(prefix); ok && existing != domain {
		return "prefix", fmt.Sprintf("%s is already in failure domain %q", prefix, t.targets[existing])
	}
	t.blocks.Insert(prefix, domain)
	return "", ""
}

// unmapPrefix converts a prefix of IPv4-mapped IPv6 addresses to IPv4, the form
// that Locate looks up.
func unmapPrefix(p netip.Prefix) netip.Prefix {
	const mappedBits = 96
	if !p.Addr().Is4In6() || p.Bits() < mappedBits {
		return p
	}
	return netip.PrefixFrom(p.Addr().Unmap(), p.Bits()-mappedBits)
}

// Locate returns the target of the client block with the longest prefix that
// contains addr.
func (t *Table) Locate(addr netip.Addr) (target string, ok bool) {
	i, ok := t.blocks.Lookup(addr.Unmap().WithZone(""))
	if !ok {
		return "", false
	}
	return t.targets[i], true
}

// Len returns the number of client blocks; a nil table has none.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return t.blocks.Size()
}

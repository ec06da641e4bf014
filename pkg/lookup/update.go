package lookup

import (
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"
)

// Builder makes a Table from blocks that have already been validated. It is not
// safe for concurrent use.
type Builder struct {
	table *Table
	index map[string]uint32
	// persistent is set if table shares nodes with another table, which must not
	// be modified.
	persistent bool
}

// NewBuilder returns a builder that starts with an empty table.
func NewBuilder() *Builder {
	return &Builder{table: &Table{blocks: &bart.Table[uint32]{}}, index: map[string]uint32{}}
}

// ToBuilder returns a builder that starts with the blocks of t. The table it
// builds shares unchanged nodes with t, which is not modified. Each change
// copies the path to its node, so for many changes NewBuilder is cheaper.
func (t *Table) ToBuilder() *Builder {
	b := &Builder{
		table:      &Table{blocks: t.blocks, targets: slices.Clone(t.targets)},
		index:      make(map[string]uint32, len(t.targets)),
		persistent: true,
	}
	for i, name := range t.targets {
		b.index[name] = uint32(i)
	}
	return b
}

// Set maps a prefix to a target.
func (b *Builder) Set(prefix netip.Prefix, target string) {
	i, known := b.index[target]
	if !known {
		i = uint32(len(b.table.targets))
		b.table.targets = append(b.table.targets, target)
		b.index[target] = i
	}
	prefix = unmapPrefix(prefix).Masked()
	if b.persistent {
		b.table.blocks = b.table.blocks.InsertPersist(prefix, i)
		return
	}
	b.table.blocks.Insert(prefix, i)
}

// Remove deletes the mapping of a prefix.
func (b *Builder) Remove(prefix netip.Prefix) {
	prefix = unmapPrefix(prefix).Masked()
	if b.persistent {
		b.table.blocks = b.table.blocks.DeletePersist(prefix)
		return
	}
	b.table.blocks.Delete(prefix)
}

// Table returns the table. The builder must not be used afterwards.
func (b *Builder) Table() *Table { return b.table }

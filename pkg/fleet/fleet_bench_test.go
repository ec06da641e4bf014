package fleet

import (
	"fmt"
	"testing"
)

// BenchmarkOrganisations measures the index of a document with 10,000 keys.
func BenchmarkOrganisations(b *testing.B) {
	var all []Organisation
	for i := range 1000 {
		o := Organisation{Name: fmt.Sprint("organisation-", i)}
		for k := range 10 {
			o.Keys = append(o.Keys, fmt.Sprintf("key-of-%d-%d", i, k))
		}
		all = append(all, o)
	}
	doc := NewDocument(1, nil, nil, Limits{})
	if err := doc.SetOrganisations(all); err != nil {
		b.Fatal(err)
	}
	b.Run("build", func(b *testing.B) {
		for b.Loop() {
			_ = doc.SetOrganisations(all)
		}
	})
	b.Run("lookup", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if doc.OrganisationOf("key-of-500-5") == nil {
				b.Fatal("not found")
			}
		}
	})
}

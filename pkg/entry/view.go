package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"sync/atomic"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/lookup"
)

// configView is one version of the configuration, indexed for this entry instance.
// It is immutable, so that a request uses one version from start to end.
type configView struct {
	doc    *config.Document
	region string // region of this entry instance
	// blocks holds the table of client blocks in force. It is the exception: it is
	// replaced when the blocks of a new index are complete, which is later than the
	// change of the document.
	blocks           *atomic.Pointer[lookup.Table]
	customerByToken  map[string]string // customer by SHA-256 of the token
	entries          map[string]config.EntryInstance
	servers          map[string]config.BackendServer
	targets          map[string]bool // names of regions and failure domains
	regionByDomain   map[string]string
	entriesByDomain  map[string][]string // ids of entry instances
	serversByService map[string][]config.BackendServer
}

func newView(doc *config.Document, failureDomain string, blocks *atomic.Pointer[lookup.Table]) *configView {
	v := &configView{
		doc:              doc,
		region:           doc.Deployment.RegionOf(failureDomain),
		blocks:           blocks,
		customerByToken:  map[string]string{},
		entries:          map[string]config.EntryInstance{},
		servers:          map[string]config.BackendServer{},
		targets:          targetsOf(&doc.Deployment),
		regionByDomain:   map[string]string{},
		entriesByDomain:  map[string][]string{},
		serversByService: map[string][]config.BackendServer{},
	}
	for _, fd := range doc.Deployment.FailureDomains {
		v.regionByDomain[fd.Name] = fd.Region
	}
	for _, e := range doc.Deployment.EntryInstances {
		v.entries[e.ID] = e
		v.entriesByDomain[e.FailureDomain] = append(v.entriesByDomain[e.FailureDomain], e.ID)
	}
	for _, s := range doc.Deployment.BackendServers {
		v.servers[s.ID] = s
		for _, name := range s.Services {
			v.serversByService[name] = append(v.serversByService[name], s)
		}
	}
	for customer, contract := range doc.Contracts {
		for _, digest := range contract.TokenSHA256 {
			v.customerByToken[digest] = customer
		}
	}
	return v
}

// contractOf returns the contract that a bearer token belongs to. It compares only
// digests, so its running time reveals nothing about the token.
func (v *configView) contractOf(token string) (*config.Contract, bool) {
	sum := sha256.Sum256([]byte(token))
	customer, ok := v.customerByToken[hex.EncodeToString(sum[:])]
	if !ok {
		return nil, false
	}
	return v.doc.Contracts[customer], true
}

// homeRegion returns the region of the client block that contains the address, or
// fallback if there is none.
func (v *configView) homeRegion(addr netip.Addr, fallback string) string {
	target, ok := v.locate(addr)
	if !ok {
		return fallback
	}
	if region, ok := v.regionByDomain[target]; ok {
		return region
	}
	return target
}

// locate returns the failure domain or region of the client block that contains the
// address. It ignores a target that this version of the configuration does not
// define, because the table may still be that of an older document.
func (v *configView) locate(addr netip.Addr) (string, bool) {
	table := v.blocks.Load()
	if table == nil {
		return "", false
	}
	target, ok := table.Locate(addr)
	return target, ok && v.targets[target]
}

// regionOf returns the region of an entry instance, or this instance's own region if
// the configuration does not list it.
func (v *configView) regionOf(entry string) string {
	if region, ok := v.regionByDomain[v.entries[entry].FailureDomain]; ok {
		return region
	}
	return v.region
}

// linkBitsPerSecond returns the link capacity between two regions.
func (v *configView) linkBitsPerSecond(a, b string) int64 {
	for _, l := range v.doc.Deployment.Links {
		if (l.A == a && l.B == b) || (l.A == b && l.B == a) {
			return l.BitsPerSecond
		}
	}
	return v.doc.Deployment.DefaultLinkBitsPerSecond
}

// entryCount returns the number of configured entry instances in a region.
func (v *configView) entryCount(region string) int {
	n := 0
	for fd, entries := range v.entriesByDomain {
		if v.regionByDomain[fd] == region {
			n += len(entries)
		}
	}
	return n
}

package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"sync/atomic"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/lookup"
)

// view is what one version of the configuration means to this entry instance.
// It is immutable, so that a request sees one version from start to end.
type configView struct {
	doc    *config.Document
	region string // region of this entry instance
	// blocks holds the table of client blocks in force. It changes when the
	// blocks of an index are complete, which is later than the document.
	blocks           *atomic.Pointer[lookup.Table]
	customerByToken  map[string]string // customer by token digest
	entries          map[string]config.EntryInstance
	servers          map[string]config.BackendServer
	targets          map[string]bool     // regions and failure domains
	regionByDomain   map[string]string   // region by failure domain
	entriesByDomain  map[string][]string // entry ids by failure domain
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

// contractOf returns the contract that a bearer token belongs to. Only digests
// are compared, so the time taken tells nothing about the token.
func (v *configView) contractOf(token string) (*config.Contract, bool) {
	sum := sha256.Sum256([]byte(token))
	customer, ok := v.customerByToken[hex.EncodeToString(sum[:])]
	if !ok {
		return nil, false
	}
	return v.doc.Contracts[customer], true
}

// homeRegion is the region of the client block that holds the address, or the
// given region when no block does.
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

// locate returns the failure domain or region of the client block that holds
// the address. A target that this version of the configuration does not define
// counts as none: the table of an index follows the document with a delay.
func (v *configView) locate(addr netip.Addr) (string, bool) {
	table := v.blocks.Load()
	if table == nil {
		return "", false
	}
	target, ok := table.Locate(addr)
	return target, ok && v.targets[target]
}

// regionOf is the region of an entry instance, or the own one if the
// configuration does not have it.
func (v *configView) regionOf(entry string) string {
	if region, ok := v.regionByDomain[v.entries[entry].FailureDomain]; ok {
		return region
	}
	return v.region
}

// linkBits is the capacity between two regions in bits per second.
func (v *configView) linkBitsPerSecond(a, b string) int64 {
	for _, l := range v.doc.Deployment.Links {
		if (l.A == a && l.B == b) || (l.A == b && l.B == a) {
			return l.BitsPerSecond
		}
	}
	return v.doc.Deployment.DefaultLinkBitsPerSecond
}

// seatsOfRegion counts the configured entry instances of a region.
func (v *configView) entryCount(region string) int {
	n := 0
	for fd, entries := range v.entriesByDomain {
		if v.regionByDomain[fd] == region {
			n += len(entries)
		}
	}
	return n
}

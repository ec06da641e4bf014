package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/dandelionrack/dandelionrack/pkg/config"
)

const (
	bedCustomer = "customer-00000"
	bedToken    = "capacity-token"
	bedDomain   = "zone-1"
	bedServers  = 12
)

// bedDocument is one failure domain.
func bedDocument(entries, servers int) *config.Document {
	doc := sampleDocument(0, 0, 1, 0)
	sum := sha256.Sum256([]byte(bedToken))
	doc.Contracts[bedCustomer].TokenSHA256 = []string{hex.EncodeToString(sum[:])}
	dep := &doc.Deployment
	dep.FailureDomains = append(dep.FailureDomains[:0], config.FailureDomain{Name: bedDomain, Region: regionName(0)})
	// The block of the callers of the bed.
	dep.ClientBlocks = append(dep.ClientBlocks, config.ClientBlock{Prefix: "10.0.0.0/8", FailureDomain: bedDomain})
	for i := range entries {
		host := fmt.Sprintf("127.31.0.%d", i+1)
		dep.EntryInstances = append(dep.EntryInstances, config.EntryInstance{
			ID: fmt.Sprintf("entry-%d", i), FailureDomain: bedDomain,
			CallerAddr: host + ":7001", PeerAddr: host + ":7002", OperatorAddr: host + ":7003",
		})
	}
	for i := range servers {
		dep.BackendServers = append(dep.BackendServers, config.BackendServer{
			ID: fmt.Sprintf("server-%d", i), Addr: fmt.Sprintf("127.31.1.%d:8000", i+1), FailureDomain: bedDomain,
			Services: []string{"catalogue", "deposits", "royalties"}, Slots: 7, MaxConnections: 330,
		})
	}
	return doc
}

// addSites adds the failure domains that client blocks name. The bed runs a link
// for each of them and each entry instance.
func addSites(doc *config.Document) {
	doc.Deployment.FailureDomains = append(doc.Deployment.FailureDomains, sampleSites()...)
}

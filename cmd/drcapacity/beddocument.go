package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/dandelionrack/dandelionrack/pkg/config"
)

const (
	testbedCustomer = "customer-00000"
	testbedToken    = "capacity-token"
	testbedDomain   = "zone-1"
	testbedServers  = 12
)

// testbedDocument returns a configuration whose servers are all in one failure
// domain.
func testbedDocument(entries, servers int) *config.Document {
	doc := sampleDocument(0, 0, 1, 0)
	sum := sha256.Sum256([]byte(testbedToken))
	doc.Contracts[testbedCustomer].TokenSHA256 = []string{hex.EncodeToString(sum[:])}
	dep := &doc.Deployment
	dep.FailureDomains = append(dep.FailureDomains[:0], config.FailureDomain{Name: testbedDomain, Region: regionName(0)})
	// The block of the callers of the testbed.
	dep.ClientBlocks = append(dep.ClientBlocks, config.ClientBlock{Prefix: "10.0.0.0/8", FailureDomain: testbedDomain})
	for i := range entries {
		host := fmt.Sprintf("127.31.0.%d", i+1)
		dep.EntryInstances = append(dep.EntryInstances, config.EntryInstance{
			ID: fmt.Sprintf("entry-%d", i), FailureDomain: testbedDomain,
			CallerAddr: host + ":7001", PeerAddr: host + ":7002", OperatorAddr: host + ":7003",
		})
	}
	for i := range servers {
		dep.BackendServers = append(dep.BackendServers, config.BackendServer{
			ID: fmt.Sprintf("server-%d", i), Addr: fmt.Sprintf("127.31.1.%d:8000", i+1), FailureDomain: testbedDomain,
			Services: []string{"catalogue", "deposits", "royalties"}, Slots: 7, MaxConnections: 330,
		})
	}
	return doc
}

// addSites adds the failure domains that client blocks name. The testbed runs a
// link between the callers of each of them and each entry instance.
func addSites(doc *config.Document) {
	doc.Deployment.FailureDomains = append(doc.Deployment.FailureDomains, sampleSites()...)
}

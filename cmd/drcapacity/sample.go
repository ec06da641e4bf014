package main

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/config"
)

// Planned sizes of a deployment, from docs/design.md section 1.7.
const (
	plannedSites   = 86
	plannedDomains = 12
	plannedRegions = 4
	// defaultMaxRun is the longest run of neighbouring blocks of one site. Real
	// address allocations are unknown; 1 is the worst case for compression.
	defaultMaxRun = 16
)

// sampleBlocks spreads n /24 blocks over the IPv4 space. As in allocated address
// space, neighbouring blocks belong to one site, in runs of 1 to maxRun blocks.
func sampleBlocks(n int, maxRun uint32) []config.ClientBlock {
	const seed, firstBlock, lastBlock = 17, 1 << 16, 223 << 16
	random := rand.New(rand.NewPCG(seed, uint64(n)))
	taken := make(map[uint32]int, n)
	for len(taken) < n {
		start := firstBlock + random.Uint32N(lastBlock-firstBlock)
		site := random.IntN(plannedSites)
		for i := range random.Uint32N(maxRun) + 1 {
			if _, used := taken[start+i]; !used && len(taken) < n {
				taken[start+i] = site
			}
		}
	}
	out := make([]config.ClientBlock, 0, n)
	for block, site := range taken {
		out = append(out, config.ClientBlock{Prefix: blockPrefix(block).String(), FailureDomain: siteName(site)})
	}
	slices.SortFunc(out, func(a, b config.ClientBlock) int {
		return netip.MustParsePrefix(a.Prefix).Addr().Compare(netip.MustParsePrefix(b.Prefix).Addr())
	})
	return out
}

func blockPrefix(block uint32) netip.Prefix {
	const bits = 24
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{byte(block >> 16), byte(block >> 8), byte(block), 0}), bits)
}

func siteName(i int) string { return fmt.Sprintf("site-%02d", i) }

// sampleSites returns one failure domain per site, because config.ClientBlock names
// a failure domain.
func sampleSites() []config.FailureDomain {
	out := make([]config.FailureDomain, plannedSites)
	for i := range out {
		out[i] = config.FailureDomain{Name: siteName(i), Region: regionName(i % plannedRegions)}
	}
	return out
}

func regionName(i int) string { return fmt.Sprintf("region-%d", i) }

// sampleDocument returns a configuration with the given numbers of entry
// instances, backend servers, contracts and client blocks.
func sampleDocument(entries, servers, contracts, blocks int) *config.Document {
	doc := &config.Document{
		Version:   1,
		Change:    config.Change{ID: "change-1", Author: "drcapacity", At: time.Unix(0, 0).UTC()},
		Contracts: map[string]*config.Contract{},
		Drains:    map[string]*config.Drain{},
	}
	dep := &doc.Deployment
	dep.FailureDomains = sampleSites()
	for i := range plannedRegions {
		dep.Regions = append(dep.Regions, config.Region{Name: regionName(i)})
	}
	dep.DefaultLinkBitsPerSecond = 1e9
	for i := range entries {
		host := fmt.Sprintf("127.%d.%d.%d", 16+i>>16, i>>8&255, i&255)
		dep.EntryInstances = append(dep.EntryInstances, config.EntryInstance{
			ID: fmt.Sprintf("entry-%04d", i), FailureDomain: siteName(i % plannedDomains),
			CallerAddr: host + ":7001", PeerAddr: host + ":7002", OperatorAddr: host + ":7003",
		})
	}
	for i := range servers {
		dep.BackendServers = append(dep.BackendServers, config.BackendServer{
			ID: fmt.Sprintf("server-%04d", i), Addr: fmt.Sprintf("127.200.%d.%d:8000", i>>8, i&255),
			FailureDomain: siteName(i % plannedDomains), Services: []string{"catalogue"}, Slots: 7, MaxConnections: 330,
		})
	}
	for i := range contracts {
		c := sampleContract(i)
		doc.Contracts[c.Customer] = c
	}
	dep.ClientBlocks = sampleBlocks(blocks, defaultMaxRun)
	return doc
}

func sampleContract(i int) *config.Contract {
	c := &config.Contract{
		Customer: fmt.Sprintf("customer-%05d", i), Version: 1, ChangeID: "change-1", Author: "drcapacity",
		TokenSHA256: []string{hex.EncodeToString(make([]byte, 32))},
	}
	for _, name := range []string{"catalogue", "deposits", "royalties"} {
		c.Services = append(c.Services, config.Service{
			Name: name, Idempotent: name != "deposits", Priority: config.PriorityInteractive,
			Timeout: config.Duration(2 * time.Second), RatePerSecond: 200, RetryRatio: 0.1,
			ShiftCap:  config.ShiftCap{Share: 0.1, Window: config.Duration(10 * time.Second), Rate: 200},
			Objective: config.Objective{Availability: 0.999, Latency: config.Duration(250 * time.Millisecond)},
		})
	}
	return c
}

package main

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/entry"
	"github.com/dandelionrack/dandelionrack/pkg/lookup"
	"github.com/dandelionrack/dandelionrack/pkg/membership"
)

type lookupCommand struct {
	Blocks  []int `help:"Numbers of client blocks." default:"1000,36000,360000"`
	Entries []int `help:"Numbers of entry instances to rank." default:"8,64,540"`
	Lookups int   `help:"Lookups per measurement." default:"2000000"`
}

// Run measures the lookup table, then the ranking of entry instances.
func (c *lookupCommand) Run(ctx context.Context, out *report) error {
	for _, n := range c.Blocks {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := c.measureTable(out, n); err != nil {
			return err
		}
	}
	for _, n := range c.Entries {
		c.measureRank(out, n)
	}
	return nil
}

func (c *lookupCommand) measureTable(out *report, n int) error {
	dep := &config.Deployment{FailureDomains: sampleSites(), ClientBlocks: sampleBlocks(n, defaultMaxRun)}
	before := liveHeap()
	start := selfCPU()
	table, err := lookup.Build(dep)
	if err != nil {
		return errors.Wrap(err, "build table")
	}
	build := selfCPU() - start
	bytes := float64(liveHeap()) - float64(before)
	addrs := randomAddrs()
	found := 0
	start = selfCPU()
	for i := range c.Lookups {
		if _, ok := table.Locate(addrs[i%len(addrs)]); ok {
			found++
		}
	}
	each := float64(selfCPU()-start) / float64(c.Lookups)
	out.row(fmt.Sprintf("%d client blocks", n), metric{"table_bytes", bytes}, metric{"build_cpu_ms", millis(build)},
		metric{"locate_ns", each}, metric{"found_share", float64(found) / float64(c.Lookups)})
	runtime.KeepAlive(dep)
	return nil
}

// randomAddrs returns enough addresses to exceed the processor caches.
func randomAddrs() []netip.Addr {
	const count, seed = 1 << 16, 5
	random := rand.New(rand.NewPCG(seed, seed))
	out := make([]netip.Addr, count)
	for i := range out {
		var b [4]byte
		binary.BigEndian.PutUint32(b[:], random.Uint32())
		out[i] = netip.AddrFrom4(b)
	}
	return out
}

// measureRank ranks all entry instances for a client and encodes the answer, which
// lists all of them, as pkg/entry does for each lookup.
func (c *lookupCommand) measureRank(out *report, entries int) {
	doc := sampleDocument(entries, 0, 0, 0)
	ready := func(string) membership.State { return membership.StateReady }
	addrs := randomAddrs()
	const rounds = 2000
	start := selfCPU()
	for i := range rounds {
		lookup.Rank(&doc.Deployment, siteName(i%plannedDomains), ready, "entry-0000", addrs[i])
	}
	ranked := micros(selfCPU()-start) / rounds
	answer := lookupAnswer(lookup.Rank(&doc.Deployment, siteName(0), ready, "entry-0000", addrs[0]))
	start = selfCPU()
	var data []byte
	for range rounds {
		data, _ = json.Marshal(answer)
	}
	encoded := micros(selfCPU()-start) / rounds
	out.row(fmt.Sprintf("rank %d entry instances", entries), metric{"rank_cpu_us", ranked},
		metric{"encode_cpu_us", encoded}, metric{"answer_bytes", float64(len(data))})
}

func lookupAnswer(ranked []config.EntryInstance) entry.LookupResponse {
	a := entry.LookupResponse{Service: "catalogue", ConfigVersion: 100_000, TTLMS: 5000}
	for _, in := range ranked {
		a.Entries = append(a.Entries, entry.LookupEntry{
			ID: in.ID, Addr: in.CallerAddr, FailureDomain: in.FailureDomain, Region: regionName(0),
		})
	}
	return a
}

package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/findings"
)

func reviewedDocument() *Document {
	return &Document{
		Deployment: Deployment{
			Regions:        []Region{{Name: "r1"}, {Name: "r2"}},
			FailureDomains: []FailureDomain{{Name: "d1", Region: "r1"}, {Name: "d2", Region: "r2"}},
			EntryInstances: []EntryInstance{{ID: "e1", FailureDomain: "d1"}, {ID: "e2", FailureDomain: "d2"}},
			BackendServers: []BackendServer{{ID: "b1", FailureDomain: "d1", Services: []string{"s"}, Slots: 2}},
			ClientBlocks:   []ClientBlock{{Prefix: "10.0.0.0/8", FailureDomain: "d1"}, {Prefix: "10.1.0.0/16", FailureDomain: "d2"}},
		},
		Contracts: map[string]*Contract{"c": {Customer: "c", TokenSHA256: []string{"t1"}, Services: []Service{{
			Name: "s", Idempotent: true, Timeout: Duration(time.Second), RetryRatio: 0.1, RatePerSecond: 100,
			ShiftCap:  ShiftCap{Share: 0.1, Window: Duration(2 * time.Second), Rate: 50},
			Objective: Objective{Availability: 0.99, Latency: Duration(300 * time.Millisecond)},
		}}}},
		Drains: map[string]*Drain{},
	}
}

func review(d *Document) []string {
	var list findings.List
	d.Review(&list)
	var out []string
	for _, f := range list.Items() {
		out = append(out, f.String())
	}
	return out
}

// Guards against a document without effect that nobody is told of: entries that can never
// match, and limits that contradict each other.
func TestReview(t *testing.T) {
	require.Empty(t, review(reviewedDocument()))
	service := func(change func(*Service)) func(*Document) {
		return func(d *Document) { change(&d.Contracts["c"].Services[0]) }
	}
	for want, change := range map[string]func(*Document){
		`services: no contract has a service of "b2"`: func(d *Document) {
			d.Deployment.BackendServers = append(d.Deployment.BackendServers, BackendServer{ID: "b2", FailureDomain: "d1", Services: []string{"old"}, Slots: 1})
		},
		`failure_domains[2]: "d3" has neither`: func(d *Document) {
			d.Deployment.FailureDomains = append(d.Deployment.FailureDomains, FailureDomain{Name: "d3", Region: "r1"})
		},
		`regions[2]: "r3" has no failure domain`: func(d *Document) { d.Deployment.Regions = append(d.Deployment.Regions, Region{Name: "r3"}) },
		`client_blocks[2]: 10.2.0.0/16 has no effect: client_blocks[0], 10.0.0.0/8,`: func(d *Document) {
			d.Deployment.ClientBlocks = append(d.Deployment.ClientBlocks, ClientBlock{Prefix: "10.2.0.0/16", FailureDomain: "d1"})
		},
		`client_blocks[1]: 10.1.0.0/16 never matches`: func(d *Document) {
			for i := range 4 {
				d.Deployment.ClientBlocks = append(d.Deployment.ClientBlocks, ClientBlock{Prefix: fmt.Sprintf("10.1.%d.0/18", 64*i), FailureDomain: "d1"})
			}
		},
		`services[0].name: no backend server has the service "other"`: service(func(s *Service) { s.Name = "other" }),
		`services[0].regions: no backend server of "s" is in these`:   service(func(s *Service) { s.Regions = []string{"r2"} }),
		`services[0].regions[1]: no backend server of "s" is in "r2"`: service(func(s *Service) { s.Regions = []string{"r1", "r2"} }),
		`shift_cap.rate: is above rate_per_second`:                    service(func(s *Service) { s.ShiftCap.Rate = 200 }),
		`shift_cap: allows less than one request`:                     service(func(s *Service) { s.ShiftCap.Share = 0.001 }),
		`hedge_after: is not below objective.latency`:                 service(func(s *Service) { s.HedgeAfter = s.Objective.Latency }),
		`hedge_after: has no effect`:                                  service(func(s *Service) { s.HedgeAfter, s.RetryRatio = 1000, 0 }),
		`rate_per_second: is above what 2 slots can serve`:            service(func(s *Service) { s.RatePerSecond = 5000 }),
		`rate_per_second: is below one request a second`:              service(func(s *Service) { s.RatePerSecond, s.ShiftCap.Rate = 1, 1 }),
		`drains[gone]: the deployment has no such`:                    func(d *Document) { d.Drains["gone"] = &Drain{} },
		`contracts[c].token_sha256[0]: the contract of "d" has the same`: func(d *Document) {
			other := *d.Contracts["c"]
			other.Customer = "d"
			d.Contracts["d"] = &other
		},
	} {
		d := reviewedDocument()
		change(d)
		found := review(d)
		require.NotEmpty(t, found, want)
		require.Contains(t, found[0]+found[len(found)-1], want)
	}
}

// Guards against a difference that is not shown, and against differences of order or of
// what the system itself records.
func TestCompare(t *testing.T) {
	before, after := reviewedDocument(), reviewedDocument()
	after.Version, after.Contracts["c"].ChangeID = 9, "x"
	after.Deployment.Regions = []Region{{Name: "r2"}, {Name: "r1"}}
	same, err := Compare(before, after)
	require.NoError(t, err)
	require.Empty(t, same)
	after.Contracts["c"].Services[0].Timeout = Duration(2 * time.Second)
	after.Contracts["c"].Services[0].Regions = []string{"r1"}
	after.Deployment.ClientBlocks = after.Deployment.ClientBlocks[:1]
	found, err := Compare(before, after)
	require.NoError(t, err)
	var texts []string
	for _, d := range found {
		texts = append(texts, d.String())
	}
	require.Equal(t, []string{
		`contracts.c.services.s.regions: added ["r1"]`,
		`contracts.c.services.s.timeout: "1s" becomes "2s"`,
		`deployment.client_blocks.10.1.0.0/16: removed {"failure_domain":"d2","prefix":"10.1.0.0/16"}`,
	}, texts)
}

package config_test

import (
	"math"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
	"github.com/dandelionrack/dandelionrack/pkg/settings"
)

// loadSample reads a sample deployment and its contract.
func loadSample(t testing.TB, name string) (config.Deployment, config.Contract) {
	t.Helper()
	var d config.Deployment
	var c config.Contract
	dir := filepath.Join("..", "..", "deploy", name)
	require.NoError(t, settings.Load(filepath.Join(dir, "deployment.json"), &d, func(l *findings.List) {
		config.ValidateDeployment(&d, l, "")
	}))
	require.NoError(t, settings.Load(filepath.Join(dir, "contract.json"), &c, func(l *findings.List) {
		config.ValidateContract(&c, &d, l, "")
	}))
	return d, c
}

// Guards against sample files whose sizes differ from the planned ones below.
func TestSampleSizes(t *testing.T) {
	sizes := map[string]map[string][3]int{ // service: servers, slots each, connections each
		"kallitexnis": {"catalogue": {12, 7, 330}, "deposits": {12, 3, 330}, "royalties": {12, 8, 330}},
		"hesabu":      {"salio": {14, 3, 390}, "ada": {14, 3, 390}, "weka": {12, 3, 390}},
	}
	bits := map[string]int64{"kallitexnis": 4_000_000_000, "hesabu": 280_000_000}
	for name, want := range sizes {
		d, c := loadSample(t, name)
		require.Len(t, d.Regions, 3)
		require.Len(t, d.FailureDomains, 6)
		require.Len(t, d.EntryInstances, 8)
		require.Len(t, c.Services, 3)
		require.Equal(t, bits[name], d.DefaultLinkBitsPerSecond)
		for _, l := range d.Links {
			require.Equal(t, bits[name], l.BitsPerSecond)
		}
		got := map[string][3]int{}
		perDomain := map[string]map[string]int{}
		for _, s := range d.BackendServers {
			v := s.Services[0]
			got[v] = [3]int{got[v][0] + 1, s.Slots, s.MaxConnections}
			if perDomain[v] == nil {
				perDomain[v] = map[string]int{}
			}
			perDomain[v][s.FailureDomain]++
		}
		require.Equal(t, want, got)
		for v, domains := range perDomain {
			require.Len(t, domains, 6, v)
			for fd, n := range domains {
				require.InDelta(t, float64(want[v][0])/6, n, 0.99, "%s in %s", v, fd)
			}
		}
	}
}

// Guards against a deployment error that is accepted or reported at the wrong
// path.
func TestDeploymentFindings(t *testing.T) {
	cases := map[string]func(d *config.Deployment){
		"regions[3].name":                   func(d *config.Deployment) { d.Regions = append(d.Regions, d.Regions[0]) },
		"failure_domains[0].region":         func(d *config.Deployment) { d.FailureDomains[0].Region = "none" },
		"failure_domains[6].name":           func(d *config.Deployment) { d.FailureDomains = append(d.FailureDomains, d.FailureDomains[0]) },
		"entry_instances[1].id":             func(d *config.Deployment) { d.EntryInstances[1].ID = d.EntryInstances[0].ID },
		"entry_instances[1].failure_domain": func(d *config.Deployment) { d.EntryInstances[1].FailureDomain = "none" },
		"entry_instances[2].peer_addr":      func(d *config.Deployment) { d.EntryInstances[2].PeerAddr = d.EntryInstances[2].CallerAddr },
		"entry_instances[0].caller_addr":    func(d *config.Deployment) { d.EntryInstances[0].CallerAddr = "localhost:7001" },
		"entry_instances[0].operator_addr":  func(d *config.Deployment) { d.EntryInstances[0].OperatorAddr = "0.0.0.0:7003" },
		"backend_servers[5].addr":           func(d *config.Deployment) { d.BackendServers[5].Addr = "[::ffff:127.11.0.1]:7001" },
		"backend_servers[5].id":             func(d *config.Deployment) { d.BackendServers[5].ID = d.BackendServers[4].ID },
		"backend_servers[5].failure_domain": func(d *config.Deployment) {
			d.FailureDomains = append(d.FailureDomains, config.FailureDomain{Name: "x", Region: d.Regions[0].Name})
			d.BackendServers[5].FailureDomain = "x"
		},
		"backend_servers[0].services":        func(d *config.Deployment) { d.BackendServers[0].Services = nil },
		"backend_servers[0].services[1]":     func(d *config.Deployment) { d.BackendServers[0].Services = []string{"a", "a"} },
		"backend_servers[0].slots":           func(d *config.Deployment) { d.BackendServers[0].Slots = 0 },
		"backend_servers[0].max_connections": func(d *config.Deployment) { d.BackendServers[0].MaxConnections = 1 },
		"links[1]":                           func(d *config.Deployment) { d.Links[1].A, d.Links[1].B = d.Links[0].B, d.Links[0].A },
		"links[0].bits_per_second":           func(d *config.Deployment) { d.Links[0].BitsPerSecond = 0 },
		"links[0].one_way_delay":             func(d *config.Deployment) { d.Links[0].OneWayDelay = -1 },
		"default_link_bits_per_second":       func(d *config.Deployment) { d.DefaultLinkBitsPerSecond = 0 },
		"client_blocks[3].prefix":            func(d *config.Deployment) { d.ClientBlocks[3].Prefix = d.ClientBlocks[0].Prefix },
		"client_blocks[4].prefix":            func(d *config.Deployment) { d.ClientBlocks[4].Prefix = "10.21.0.1/16" },
	}
	for path, mutate := range cases {
		d, _ := loadSample(t, "kallitexnis")
		mutate(&d)
		var list findings.List
		config.ValidateDeployment(&d, &list, "")
		require.Equal(t, []string{path}, paths(&list), path)
	}
}

// Guards against a contract error that is accepted, such as hedging or no timeout
// for an at-most-once service.
func TestContractFindings(t *testing.T) {
	type services = []config.Service
	cases := map[string]func(c *config.Contract, s services){
		"c.customer":                           func(c *config.Contract, _ services) { c.Customer = "Not A Name" },
		"c.token_sha256":                       func(c *config.Contract, _ services) { c.TokenSHA256 = nil },
		"c.token_sha256[0]":                    func(c *config.Contract, _ services) { c.TokenSHA256[0] = "token" },
		"c.token_sha256[1]":                    func(c *config.Contract, _ services) { c.TokenSHA256 = append(c.TokenSHA256, c.TokenSHA256[0]) },
		"c.services":                           func(c *config.Contract, _ services) { c.Services = nil },
		"c.services[1].name":                   func(_ *config.Contract, s services) { s[1].Name = s[0].Aliases[0] },
		"c.services[1].aliases[0]":             func(_ *config.Contract, s services) { s[1].Aliases = s[0].Aliases },
		"c.services[0].priority":               func(_ *config.Contract, s services) { s[0].Priority = "urgent" },
		"c.services[2].timeout":                func(_ *config.Contract, s services) { s[2].Timeout = 0 },
		"c.services[0].regions[0]":             func(_ *config.Contract, s services) { s[0].Regions = []string{"none"} },
		"c.services[0].regions[1]":             func(_ *config.Contract, s services) { s[0].Regions = []string{"dar", "dar"} },
		"c.services[0].rate_per_second":        func(_ *config.Contract, s services) { s[0].RatePerSecond = -1 },
		"c.services[0].retry_ratio":            func(_ *config.Contract, s services) { s[0].RetryRatio = 0.11 },
		"c.services[0].hedge_after":            func(_ *config.Contract, s services) { s[0].HedgeAfter = s[0].Timeout },
		"c.services[2].hedge_after":            func(_ *config.Contract, s services) { s[2].HedgeAfter = 1 },
		"c.services[0].shift_cap.share":        func(_ *config.Contract, s services) { s[0].ShiftCap.Share = math.NaN() },
		"c.services[0].shift_cap.window":       func(_ *config.Contract, s services) { s[0].ShiftCap.Window = 0 },
		"c.services[0].shift_cap.rate":         func(_ *config.Contract, s services) { s[0].ShiftCap.Rate = 0 },
		"c.services[0].objective.latency":      func(_ *config.Contract, s services) { s[0].Objective.Latency = 0 },
		"c.services[0].objective.availability": func(_ *config.Contract, s services) { s[0].Objective.Availability = 1 },
	}
	for path, mutate := range cases {
		d, c := loadSample(t, "hesabu")
		mutate(&c, c.Services)
		var list findings.List
		config.ValidateContract(&c, &d, &list, "c")
		require.Equal(t, []string{path}, paths(&list), path)
	}
}

func paths(l *findings.List) []string {
	var out []string
	for _, f := range l.Items() {
		out = append(out, f.Path)
	}
	return out
}

// Guards against a panic on malformed contracts, and against an accepted contract
// whose values break later calculations.
func FuzzContract(f *testing.F) {
	f.Add([]byte(`{"customer": "a", "services": [{"name": "s", "timeout": "1s", "retry_ratio": 0.1}]}`))
	f.Add([]byte(`{"token_sha256": ["00"], "services": [{"aliases": ["x", "x"], "shift_cap": {"share": 2}}]}`))
	d, _ := loadSample(f, "hesabu")
	f.Fuzz(func(t *testing.T, data []byte) {
		var c config.Contract
		err := settings.Parse("f", data, &c, func(l *findings.List) { config.ValidateContract(&c, &d, l, "") })
		if err != nil {
			return
		}
		for _, s := range c.Services {
			require.Positive(t, s.Timeout)
			require.GreaterOrEqual(t, s.ShiftCap.PerWindow(), 0.0)
			require.False(t, math.IsInf(s.ShiftCap.PerWindow(), 0))
			found, ok := c.FindService(s.Name)
			require.True(t, ok)
			require.Equal(t, s.Name, found.Name)
		}
	})
}

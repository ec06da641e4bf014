package config

import (
	"fmt"
	"net/netip"
	"regexp"

	"github.com/dandelionrack/dandelionrack/pkg/findings"
)

// maxSlots limits the slots of one backend server, so that a typo does not
// reserve excessive memory.
const maxSlots = 100_000

// deploymentValidator holds the state that the checks of a deployment share.
type deploymentValidator struct {
	d           *Deployment
	list        *findings.List
	prefix      string
	regions     seen
	domains     seen
	addresses   seen
	entryCounts map[string]int // number of entry instances by failure domain
}

// ValidateDeployment adds a finding for each problem of a deployment. Paths
// start with prefix.
func ValidateDeployment(d *Deployment, list *findings.List, prefix string) {
	c := &deploymentValidator{
		d:           d,
		list:        list,
		prefix:      prefix,
		regions:     seen{},
		domains:     seen{},
		addresses:   seen{},
		entryCounts: map[string]int{},
	}
	c.checkRegions()
	c.checkDomains()
	c.checkEntries()
	c.checkServers()
	c.checkLinks()
	c.checkClientBlocks()
	c.checkClientBlocksIndex()
}

func (c *deploymentValidator) elementPath(kind string, i int) string {
	return joinPath(c.prefix, fmt.Sprintf("%s[%d]", kind, i))
}

func (c *deploymentValidator) checkRegions() {
	if len(c.d.Regions) == 0 {
		c.list.Add(joinPath(c.prefix, "regions"), "needs at least one region")
	}
	for i, r := range c.d.Regions {
		path := c.elementPath("regions", i) + ".name"
		checkName(c.list, path, r.Name)
		c.regions.add(c.list, path, r.Name)
	}
}

func (c *deploymentValidator) checkDomains() {
	if len(c.d.FailureDomains) == 0 {
		c.list.Add(joinPath(c.prefix, "failure_domains"), "needs at least one failure domain")
	}
	for i, fd := range c.d.FailureDomains {
		path := c.elementPath("failure_domains", i)
		checkName(c.list, path+".name", fd.Name)
		c.domains.add(c.list, path+".name", fd.Name)
		c.requireRegion(path+".region", fd.Region)
	}
}

func (c *deploymentValidator) checkEntries() {
	if len(c.d.EntryInstances) == 0 {
		c.list.Add(joinPath(c.prefix, "entry_instances"), "needs at least one entry instance")
	}
	ids := seen{}
	for i, e := range c.d.EntryInstances {
		path := c.elementPath("entry_instances", i)
		checkName(c.list, path+".id", e.ID)
		ids.add(c.list, path+".id", e.ID)
		c.requireDomain(path+".failure_domain", e.FailureDomain)
		c.entryCounts[e.FailureDomain]++
		c.checkAddr(path+".caller_addr", e.CallerAddr)
		c.checkAddr(path+".peer_addr", e.PeerAddr)
		c.checkAddr(path+".operator_addr", e.OperatorAddr)
	}
}

func (c *deploymentValidator) checkServers() {
	ids := seen{}
	for i, s := range c.d.BackendServers {
		path := c.elementPath("backend_servers", i)
		checkName(c.list, path+".id", s.ID)
		ids.add(c.list, path+".id", s.ID)
		c.checkAddr(path+".addr", s.Addr)
		c.checkServerDomain(path+".failure_domain", s.FailureDomain)
		c.checkServerServices(path, s.Services)
		if s.Slots < 1 || s.Slots > maxSlots {
			c.list.Add(path+".slots", "must be from 1 to %d", maxSlots)
		}
		if s.MaxConnections < s.Slots || s.MaxConnections < 1 {
			c.list.Add(path+".max_connections", "must be at least the number of slots, %d", s.Slots)
		}
	}
}

// checkServerDomain also reports a failure domain without an entry instance,
// because nothing could admit requests to its backend servers.
func (c *deploymentValidator) checkServerDomain(path, name string) {
	if c.requireDomain(path, name) && c.entryCounts[name] == 0 {
		c.list.Add(path, "failure domain %q has backend servers but no entry instance", name)
	}
}

func (c *deploymentValidator) checkServerServices(path string, services []string) {
	if len(services) == 0 {
		c.list.Add(path+".services", "needs at least one service")
	}
	names := seen{}
	for i, name := range services {
		at := fmt.Sprintf("%s.services[%d]", path, i)
		checkName(c.list, at, name)
		names.add(c.list, at, name)
	}
}

func (c *deploymentValidator) checkLinks() {
	if len(c.d.Regions) > 1 && c.d.DefaultLinkBitsPerSecond <= 0 {
		c.list.Add(joinPath(c.prefix, "default_link_bits_per_second"), "must be above 0")
	}
	pairs := seen{}
	for i, l := range c.d.Links {
		path := c.elementPath("links", i)
		c.requireRegion(path+".a", l.A)
		c.requireRegion(path+".b", l.B)
		if l.A == l.B {
			c.list.Add(path, "must connect two different regions")
		}
		pairs.add(c.list, path, min(l.A, l.B)+" - "+max(l.A, l.B))
		if l.BitsPerSecond <= 0 {
			c.list.Add(path+".bits_per_second", "must be above 0")
		}
		if l.OneWayDelay < 0 {
			c.list.Add(path+".one_way_delay", "must not be negative")
		}
	}
}

func (c *deploymentValidator) checkClientBlocks() {
	blocks := seen{}
	for i, b := range c.d.ClientBlocks {
		path := c.elementPath("client_blocks", i)
		c.requireDomain(path+".failure_domain", b.FailureDomain)
		p, err := netip.ParsePrefix(b.Prefix)
		switch {
		case err != nil:
			c.list.Add(path+".prefix", "%q must be an address prefix such as 10.0.0.0/16", b.Prefix)
		case p != p.Masked():
			c.list.Add(path+".prefix", "%q has bits set after the prefix; use %s", b.Prefix, p.Masked())
		default:
			blocks.add(c.list, path+".prefix", p.String())
		}
	}
}

var indexPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (c *deploymentValidator) checkClientBlocksIndex() {
	index := c.d.ClientBlocksIndex
	if index == "" {
		return
	}
	path := joinPath(c.prefix, "client_blocks_index")
	if !indexPattern.MatchString(index) {
		c.list.Add(path, "%q must be the SHA-256 of an index: 64 lower-case hexadecimal digits", index)
	}
	if len(c.d.ClientBlocks) > 0 {
		c.list.Add(path, "excludes client_blocks; set only one of the two")
	}
}

func (c *deploymentValidator) requireRegion(path, name string) {
	if _, ok := c.regions[name]; !ok {
		c.list.Add(path, "region %q is not defined", name)
	}
}

func (c *deploymentValidator) requireDomain(path, name string) bool {
	_, ok := c.domains[name]
	if !ok {
		c.list.Add(path, "failure domain %q is not defined", name)
	}
	return ok
}

// checkAddr requires an IP address, because a partitioned failure domain may
// have no DNS.
func (c *deploymentValidator) checkAddr(path, addr string) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil || ap.Port() == 0 || ap.Addr().IsUnspecified() {
		c.list.Add(path, "%q must be an IP address and port, such as 10.0.0.1:7001", addr)
		return
	}
	c.addresses.add(c.list, path, netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port()).String())
}

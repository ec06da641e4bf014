// Package testbed runs the processes of one deployment on loopback addresses:
// the entry instances, and stand-ins for the platform, the backend servers and
// the network links. The demo, the scenario tests and the benchmarks use it.
package testbed

import (
	"fmt"
	"math/rand/v2"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
	linkstandin "github.com/dandelionrack/dandelionrack/internal/standin/link"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/entry"
	"github.com/dandelionrack/dandelionrack/pkg/settings"
)

// OperatorToken is the operator token of every entry instance of a testbed.
const OperatorToken = "testbed-operator"

// Port offsets from the base port of a testbed. All loopback hosts of the
// deployment use the same ports.
const (
	callerOffset = iota
	peerOffset
	operatorOffset
	backendOffset
	platformOffset
	backendAdminOffset
	linkAdminOffset
	linkOffset // first port of the links
)

const portsPerTestbed = 400

// layout is a deployment with the addresses of one testbed.
type layout struct {
	basePort      int
	rangeListener net.Listener // listens on the last port to reserve the range
	deployment    config.Deployment
	contract      config.Contract
	links         []linkstandin.LinkSettings
	groups        []linkstandin.GroupSettings
	// The address maps translate real addresses to those of links: per entry
	// instance for its peers, and per failure domain for its callers.
	// platformURLs holds the platform URL of each entry instance.
	entryAddressMaps  map[string]map[string]string
	callerAddressMaps map[string]map[string]string
	platformURLs      map[string]string
}

// Delays are one-way delays of the simulated network.
type Delays struct {
	BetweenDomains time.Duration
	ToCallers      time.Duration
	// PlatformRegion is the region that hosts the platform's services.
	PlatformRegion string
}

func loadLayout(dir string, delays *Delays, linkBits int64) (*layout, error) {
	l := &layout{
		entryAddressMaps:  map[string]map[string]string{},
		callerAddressMaps: map[string]map[string]string{},
		platformURLs:      map[string]string{},
	}
	if err := settings.Load(filepath.Join(dir, "deployment.json"), &l.deployment, nil); err != nil {
		return nil, err
	}
	if err := settings.Load(filepath.Join(dir, "contract.json"), &l.contract, nil); err != nil {
		return nil, err
	}
	l.setLinkBits(linkBits)
	base, rangeListener, err := reservePortRange()
	if err != nil {
		return nil, err
	}
	l.basePort, l.rangeListener = base, rangeListener
	l.assignPorts()
	l.addLinks(delays)
	return l, nil
}

// setLinkBits replaces the capacity of all links; 0 keeps it.
func (l *layout) setLinkBits(bits int64) {
	if bits == 0 {
		return
	}
	l.deployment.DefaultLinkBitsPerSecond = bits
	for i := range l.deployment.Links {
		l.deployment.Links[i].BitsPerSecond = bits
	}
}

// reservePortRange finds a range of ports below the ephemeral range and listens
// on its last port while the testbed runs. Merely checking that a range is free
// let two testbeds that started at the same time choose the same one.
func reservePortRange() (int, net.Listener, error) {
	const first, last = 10000, 30000
	for range 1000 {
		base := first + rand.IntN((last-first)/portsPerTestbed)*portsPerTestbed
		rangeListener, err := listenLocal(base + portsPerTestbed - 1)
		if err != nil {
			continue
		}
		// Another program may use the range without listening on its last port.
		platform, err := listenLocal(base + platformOffset)
		if err != nil {
			_ = rangeListener.Close()
			continue
		}
		return base, rangeListener, platform.Close()
	}
	return 0, nil, errors.New("no free port range found")
}

func listenLocal(port int) (net.Listener, error) {
	return net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(port)))
}

func (l *layout) port(offset int) string { return strconv.Itoa(l.basePort + offset) }

func (l *layout) assignPorts() {
	for i := range l.deployment.EntryInstances {
		in := &l.deployment.EntryInstances[i]
		in.CallerAddr = withPort(in.CallerAddr, l.port(callerOffset))
		in.PeerAddr = withPort(in.PeerAddr, l.port(peerOffset))
		in.OperatorAddr = withPort(in.OperatorAddr, l.port(operatorOffset))
	}
	for i := range l.deployment.BackendServers {
		s := &l.deployment.BackendServers[i]
		s.Addr = withPort(s.Addr, l.port(backendOffset))
	}
}

func withPort(addr, port string) string {
	host, _, _ := net.SplitHostPort(addr)
	return net.JoinHostPort(host, port)
}

func (l *layout) platformAddr() string     { return "127.0.0.1:" + l.port(platformOffset) }
func (l *layout) backendAdminAddr() string { return "127.0.0.1:" + l.port(backendAdminOffset) }
func (l *layout) linkAdminAddr() string    { return "127.0.0.1:" + l.port(linkAdminOffset) }

// addLinks puts a link between every pair of entry instances of different
// failure domains, between entry instances and the platform, and between the
// callers of each failure domain and the entry instances. Link names are
// "peer/<from>/<to>", "platform/<entry>" and "caller/<domain>/<entry>".
func (l *layout) addLinks(delays *Delays) {
	next := l.basePort + linkOffset
	add := func(name, target string, p linkPath) string {
		listen := "127.0.0.1:" + strconv.Itoa(next)
		next++
		l.links = append(l.links, linkstandin.LinkSettings{
			Name: name, Listen: listen, Target: target, Delay: config.Duration(p.delay), Group: p.group, Backward: p.backward,
		})
		return listen
	}
	d := Delays{}
	if delays != nil {
		d = *delays
	}
	for _, from := range l.deployment.EntryInstances {
		peers := map[string]string{}
		for _, to := range l.deployment.EntryInstances {
			if from.FailureDomain == to.FailureDomain {
				continue
			}
			between := l.pathBetween(from.FailureDomain, to.FailureDomain, d, delays != nil)
			peers[to.PeerAddr] = add(linkName("peer", from.ID, to.ID), to.PeerAddr, between)
		}
		l.entryAddressMaps[from.ID] = peers
		delay := time.Duration(0)
		if region := l.deployment.RegionOf(from.FailureDomain); delays != nil && region != d.PlatformRegion {
			delay = l.linkDelay(region, d.PlatformRegion)
		}
		l.platformURLs[from.ID] = "http://" + add("platform/"+from.ID, l.platformAddr(), linkPath{delay: delay})
	}
	for _, fd := range l.deployment.FailureDomains {
		callers := map[string]string{}
		for _, to := range l.deployment.EntryInstances {
			delay := d.ToCallers
			if region := l.deployment.RegionOf(to.FailureDomain); delays != nil && region != fd.Region {
				delay += l.linkDelay(region, fd.Region)
			}
			callers[to.CallerAddr] = add(linkName("caller", fd.Name, to.ID), to.CallerAddr, linkPath{delay: delay})
		}
		l.callerAddressMaps[fd.Name] = callers
	}
}

func linkName(parts ...string) string { return strings.Join(parts, "/") }

// linkPath is the delay of a link and the shared capacity that it uses.
type linkPath struct {
	delay    time.Duration
	group    string
	backward bool
}

// pathBetween returns the path between two failure domains. All links between
// two regions share one group "A>B", whichever side dials: the requests that a
// region sends and its responses to the other use the same direction.
func (l *layout) pathBetween(a, b string, d Delays, shaped bool) linkPath {
	ra, rb := l.deployment.RegionOf(a), l.deployment.RegionOf(b)
	if !shaped {
		return linkPath{}
	}
	if ra == rb {
		return linkPath{delay: d.BetweenDomains}
	}
	first, second := min(ra, rb), max(ra, rb)
	name := first + ">" + second
	l.addGroup(name, l.linkBits(ra, rb))
	return linkPath{delay: l.linkDelay(ra, rb), group: name, backward: ra != first}
}

func (l *layout) addGroup(name string, bits int64) {
	for _, g := range l.groups {
		if g.Name == name {
			return
		}
	}
	l.groups = append(l.groups, linkstandin.GroupSettings{Name: name, BitsPerSecond: bits})
}

func (l *layout) findLink(a, b string) *config.Link {
	for i, link := range l.deployment.Links {
		if (link.A == a && link.B == b) || (link.A == b && link.B == a) {
			return &l.deployment.Links[i]
		}
	}
	return nil
}

func (l *layout) linkDelay(a, b string) time.Duration {
	if link := l.findLink(a, b); link != nil {
		return link.OneWayDelay.Std()
	}
	return 0
}

func (l *layout) linkBits(a, b string) int64 {
	if link := l.findLink(a, b); link != nil && link.BitsPerSecond > 0 {
		return link.BitsPerSecond
	}
	return l.deployment.DefaultLinkBitsPerSecond
}

// entrySettings returns the settings of one entry instance.
func (l *layout) entrySettings(in config.EntryInstance, noPredecessor bool, ttl time.Duration) entry.Settings {
	return entry.Settings{
		ID:                 in.ID,
		FailureDomain:      in.FailureDomain,
		CallerAddr:         in.CallerAddr,
		PeerAddr:           in.PeerAddr,
		OperatorAddr:       in.OperatorAddr,
		PlatformURL:        l.platformURLs[in.ID],
		Seeds:              l.seeds(in),
		OperatorToken:      OperatorToken,
		LookupTTL:          config.Duration(ttl),
		NoPredecessor:      noPredecessor,
		AllowClientAddress: true,
		AddressMap:         l.entryAddressMaps[in.ID],
	}
}

func (l *layout) seeds(self config.EntryInstance) []string {
	var out []string
	for _, in := range l.deployment.EntryInstances {
		if in.ID != self.ID {
			out = append(out, in.PeerAddr)
		}
	}
	return out
}

func (l *layout) backendSettings(work backendstandin.Work) backendstandin.Settings {
	out := backendstandin.Settings{Admin: l.backendAdminAddr(), Work: work}
	for _, s := range l.deployment.BackendServers {
		out.Servers = append(out.Servers, backendstandin.ServerSettings{
			ID: s.ID, Addr: s.Addr, Slots: s.Slots, MaxConnections: s.MaxConnections,
		})
	}
	return out
}

// clientAddress returns the i-th address of the client block of a failure
// domain.
func (l *layout) clientAddress(failureDomain string, i int) (string, error) {
	for _, b := range l.deployment.ClientBlocks {
		if b.FailureDomain != failureDomain || !strings.HasPrefix(b.Prefix, "10.") {
			continue
		}
		ip, _, err := net.ParseCIDR(b.Prefix)
		if err != nil {
			return "", err
		}
		v4 := ip.To4()
		return fmt.Sprintf("%d.%d.%d.%d", v4[0], v4[1], i/250%250, 1+i%250), nil
	}
	return "", errors.Errorf("failure domain %s has no client block", failureDomain)
}

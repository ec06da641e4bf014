package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/standin/link"
	"github.com/dandelionrack/dandelionrack/internal/testbed"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/ingress"
	"github.com/dandelionrack/dandelionrack/platform/standin"
)

// The deployment: two regions of two failure domains, two services.
const (
	host          = "shop.example"
	movingRoute   = "move"
	serviceReads  = "reads"
	serviceWrites = "writes"
	slots         = 4
	coldStart     = 2 * time.Second
	coldPerSecond = 6.0
	startTimeout  = 15 * time.Second
	// serverWork is the mean time of a run, and with 3 servers of a service in
	// a failure domain the load stays near half of the slots.
	serverWork      = 40 * time.Millisecond
	serversPerGroup = 3
	gatesPerDomain  = 2
	linkDelay       = config.Duration(2 * time.Millisecond) // one way
)

var domains = map[string]string{"north-a": "north", "north-b": "north", "south-a": "south", "south-b": "south"}

var domainNames = []string{"north-a", "north-b", "south-a", "south-b"}

// gate is an entry instance: a process of its own.
type gate struct {
	fleet.InstanceConfig
	file      string     // settings of the platform
	lifecycle sync.Mutex // held while the process is ended and started
}

// server is a backend server with the link to it.
type server struct {
	*standin.Backend
	domain string
	entry  fleet.BackendServer
	link   string // prefix of its link
	// The fields below are guarded by bed.mu, as entry is.
	registered bool
	disturbed  bool
}

// bed runs the deployment. The store, the backend servers and the links are
// in this process, the entry instances are processes.
type bed struct {
	dir       string
	processes *testbed.Processes
	ledger    *Checker
	store     *standin.Store
	links     *link.Proxy
	gates     []*gate

	http *http.Client
	all  []*server

	storeFault, evacuation sync.Mutex // one at a time

	mu        sync.Mutex
	servers   []*server // registered
	spare     []*server // running and not registered
	disturbed int       // servers
	version   uint64
	moved     bool
}

func newBed(ctx context.Context, o Options, ledger *Checker) (*bed, error) {
	b := &bed{dir: o.Dir, processes: testbed.NewProcesses(o.Bin, o.Dir), ledger: ledger, version: 2, http: newHTTPClient()}
	if err := b.start(ctx); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

func (b *bed) start(ctx context.Context) error {
	var err error
	if b.store, err = standin.NewStore(); err != nil {
		return err
	}
	for _, step := range []func() error{b.startServers, b.makeGates, b.startLinks, b.writeOwnSettings} {
		if err := step(); err != nil {
			return err
		}
	}
	b.store.PutDocument(b.document())
	b.ledger.RouteChanged(time.Now(), b.movingService())
	for _, s := range b.servers {
		s.registered = true
		b.store.Register(s.entry)
	}
	for _, g := range b.gates {
		if err := b.startGate(g); err != nil {
			return err
		}
	}
	return b.awaitReady(ctx, startTimeout)
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, IdleConnTimeout: 10 * time.Second}}
}

// startServers starts all servers, also those that join later.
func (b *bed) startServers() error {
	for _, service := range []string{serviceReads, serviceWrites} {
		for _, domain := range domainNames {
			for i := range serversPerGroup + 1 {
				s := &server{domain: domain, Backend: &standin.Backend{
					ID: fmt.Sprintf("%s-%s-%d", service, domain, i), Service: service, Region: domains[domain],
					Slots: slots, ServiceTime: serverWork, Observe: b.ledger.RequestReceived,
				}}
				s.link = "server/" + s.ID + "/"
				if err := s.Start(); err != nil {
					return err
				}
				b.ledger.AddServer(s.ID, domain)
				b.all = append(b.all, s)
				if i < serversPerGroup {
					b.servers = append(b.servers, s)
				} else {
					b.spare = append(b.spare, s)
				}
			}
		}
	}
	return nil
}

func (b *bed) makeGates() error {
	for _, domain := range domainNames {
		for i := range gatesPerDomain {
			g := &gate{InstanceConfig: fleet.InstanceConfig{
				ID: fmt.Sprintf("%s-%d", domain, i), FailureDomain: domain, Region: domains[domain], DomainRegions: domains,
				HeartbeatInterval: 1500 * time.Millisecond, MaxOpenFiles: 4096, Bounds: b.ledger.bounds,
			}}
			for _, into := range []*string{&g.ClientAddr, &g.ReadyAddr, &g.PeerAddr, &g.DirectoryAddr} {
				addr, err := testbed.FreeAddr()
				if err != nil {
					return err
				}
				*into = addr
			}
			b.gates = append(b.gates, g)
		}
	}
	for _, g := range b.gates {
		for _, seed := range b.gates[:3] {
			g.Seeds = append(g.Seeds, seed.PeerAddr)
		}
	}
	return nil
}

// startLinks puts a link before each server, and before the store for each
// entry instance.
func (b *bed) startLinks() error {
	settings := link.DefaultSettings()
	for _, s := range b.all {
		settings.Links = append(settings.Links, link.LinkSettings{Name: s.link, Listen: "127.0.0.1:0", Target: s.Addr(), Delay: linkDelay})
	}
	for _, g := range b.gates {
		settings.Links = append(settings.Links, link.LinkSettings{Name: storeLink(g), Listen: "127.0.0.1:0", Target: b.store.Addr()})
	}
	var err error
	if b.links, err = link.Start(settings); err != nil {
		return err
	}
	for _, s := range b.all {
		s.entry = fleet.BackendServer{
			ID: s.ID, Service: s.Service, Addr: b.links.Addr(s.link), FailureDomain: s.domain, Slots: slots, StartTime: time.Now(),
		}
	}
	for _, g := range b.gates {
		g.StoreAddr = b.links.Addr(storeLink(g))
	}
	return nil
}

func storeLink(g *gate) string { return "store/" + g.ID + "/" }

func (b *bed) document() *fleet.Document {
	route := func(name, service string, safe bool, regions ...string) fleet.Route {
		return fleet.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Services: []fleet.WeightedService{{Service: service, Weight: 1}}, Idempotent: safe,
			Timeout: 1500 * time.Millisecond, TargetLatency: 150 * time.Millisecond, MaxAttempts: 2, Sticky: true, AllowedRegions: regions,
		}
	}
	var services []fleet.Service
	for _, name := range []string{serviceReads, serviceWrites} {
		services = append(services, fleet.Service{Name: name, HealthPath: "/health", MaxConnections: 300, ColdStart: coldStart, ColdPerSecond: coldPerSecond})
	}
	return fleet.NewDocument(b.version, []fleet.Route{
		route("read", serviceReads, true), route("pay", serviceWrites, false), route("home", serviceReads, true, "north"),
		route(movingRoute, b.movingService(), false),
	}, services, fleet.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
}

// moveRoute writes the next document, in which the moving route has the other
// service.
func (b *bed) moveRoute() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.version += 3
	b.moved = !b.moved
	b.store.PutDocument(b.document())
	b.ledger.RouteChanged(time.Now(), b.movingService())
}

func (b *bed) movingService() string {
	if b.moved {
		return serviceWrites
	}
	return serviceReads
}

func (b *bed) startGate(g *gate) error {
	g.file = filepath.Join(b.dir, g.ID+".json")
	if err := os.WriteFile(g.file, standin.NodeFile(g.InstanceConfig), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	return b.processes.Start(testbed.Program{Name: g.ID, Program: "drgate", Args: []string{"--settings", b.ownSettings(), "--node", g.file}})
}

func (b *bed) ownSettings() string { return filepath.Join(b.dir, "gate.json") }

// writeOwnSettings writes the settings that all entry instances share.
func (b *bed) writeOwnSettings() error {
	s := ingress.DefaultSettings()
	text := fmt.Sprintf(`{"log_level": %q, "lookup_ttl": %q}`, s.LogLevel, s.LookupTTL.Std())
	if err := os.WriteFile(b.ownSettings(), []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	return nil
}

// awaitReady waits until all entry instances are ready.
func (b *bed) awaitReady(ctx context.Context, d time.Duration) error {
	return testbed.Wait(ctx, d, func() error {
		for _, g := range b.gates {
			if err := b.ready(ctx, g); err != nil {
				return err
			}
		}
		return nil
	})
}

func (b *bed) ready(ctx context.Context, g *gate) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := standin.CheckReady(ctx, b.http, g.ReadyAddr); err != nil {
		return errors.Wrapf(err, "entry instance %s", g.ID)
	}
	return nil
}

func (b *bed) close() {
	b.processes.Close()
	if b.links != nil {
		_ = b.links.Close() // the run is over
	}
	for _, s := range b.all {
		s.Crash()
	}
	if b.store != nil {
		b.store.Close()
	}
	b.http.CloseIdleConnections()
}

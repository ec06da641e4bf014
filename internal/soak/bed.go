package soak

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
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

// The deployment has four failure domains and two services.
const (
	host          = "shop.example"
	switchedRoute = "move"
	serviceReads  = "reads"
	serviceWrites = "writes"
	slots         = 4
	coldStart     = 2 * time.Second
	coldPerSecond = 6.0
	startTimeout  = 15 * time.Second
	// meanServiceTime and 3 servers per service and failure domain keep about half
	// of the slots busy.
	meanServiceTime = 40 * time.Millisecond
	serversPerGroup = 3
	linkDelay       = config.Duration(2 * time.Millisecond) // one way
	// metricsPort is that of all entry instances, each of which has its own IP address.
	metricsPort = 7555
)

var domainNames = []string{"north-a", "north-b", "south-a", "south-b"}

// entryInstance is an entry instance that runs as a separate process.
type entryInstance struct {
	fleet.InstanceConfig
	settingsFile string     // the platform's settings file
	lifecycleMu  sync.Mutex // held while the process is stopped and started
}

// server is a backend server and the link to it.
type server struct {
	*standin.Backend
	domain       string
	registration fleet.BackendServer
	link         string // prefix of the link's name
	// The fields below and registration are guarded by environment.mu.
	registered bool
	faulty     bool
}

// environment runs the deployment. The store, the backend servers and the links run
// in this process, each entry instance in its own process.
type environment struct {
	dir       string
	layout    Layout
	domains   map[string]string // failure domain to region
	processes *testbed.Processes
	checker   *Checker
	store     *standin.Store
	links     *link.Proxy
	instances []*entryInstance

	httpClient *http.Client
	allServers []*server

	storeFaultMu, evacuationMu sync.Mutex // at most one store fault and one evacuation at a time

	mu            sync.Mutex
	servers       []*server // registered
	spare         []*server // running and not registered
	faultyServers int
	version       uint64
	routeSwitched bool
}

func newEnvironment(ctx context.Context, o Options, checker *Checker) (*environment, error) {
	e := &environment{
		dir: o.Dir, layout: o.Layout, domains: o.Layout.domains(), processes: testbed.NewProcesses(o.Bin, o.Dir), checker: checker,
		version: 2, httpClient: newHTTPClient(),
	}
	if err := e.start(ctx); err != nil {
		e.close()
		return nil, err
	}
	return e, nil
}

func (e *environment) start(ctx context.Context) error {
	var err error
	if e.store, err = standin.NewStore(); err != nil {
		return err
	}
	for _, step := range []func() error{e.startServers, e.configureInstances, e.startLinks, e.writeSettings} {
		if err := step(); err != nil {
			return err
		}
	}
	e.store.PutDocument(e.document())
	e.checker.RouteChanged(time.Now(), e.switchedService())
	for _, s := range e.servers {
		s.registered = true
		e.store.Register(s.registration)
	}
	for _, inst := range e.instances {
		if err := e.startInstance(inst); err != nil {
			return err
		}
	}
	return e.awaitReady(ctx, startTimeout)
}

func newHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, IdleConnTimeout: 10 * time.Second}}
}

// startServers starts all servers, including the spare ones.
func (e *environment) startServers() error {
	for _, service := range []string{serviceReads, serviceWrites} {
		for _, domain := range domainNames {
			for i := range serversPerGroup + 1 {
				// Another process could take a port of 127.0.0.1 while the server is down.
				addr, err := testbed.FreeAddr()
				if err != nil {
					return err
				}
				s := &server{domain: domain, Backend: &standin.Backend{
					ID: fmt.Sprintf("%s-%s-%d", service, domain, i), Service: service, Region: e.domains[domain],
					Slots: slots, ServiceTime: meanServiceTime, Listen: addr, Observe: e.checker.RequestReceived,
				}}
				s.link = "server/" + s.ID + "/"
				if err := s.Start(); err != nil {
					return err
				}
				e.checker.AddServer(s.ID, domain)
				e.allServers = append(e.allServers, s)
				if i < serversPerGroup {
					e.servers = append(e.servers, s)
				} else {
					e.spare = append(e.spare, s)
				}
			}
		}
	}
	return nil
}

func (e *environment) configureInstances() error {
	total := e.layout.instances()
	for i, domain := range domainNames {
		count := (total + len(domainNames) - 1 - i) / len(domainNames)
		for k := range count {
			inst := &entryInstance{InstanceConfig: fleet.InstanceConfig{
				ID: fmt.Sprintf("%s-%d", domain, k), FailureDomain: domain, Region: e.domains[domain], DomainRegions: e.domains,
				HeartbeatInterval: 1500 * time.Millisecond, MaxOpenFiles: 4096, Bounds: e.checker.bounds,
			}}
			for _, addrField := range []*string{&inst.ClientAddr, &inst.ReadyAddr, &inst.PeerAddr, &inst.DirectoryAddr} {
				addr, err := testbed.FreeAddr()
				if err != nil {
					return err
				}
				*addrField = addr
			}
			e.instances = append(e.instances, inst)
		}
	}
	for _, inst := range e.instances {
		for _, seed := range e.instances[:3] {
			inst.Seeds = append(inst.Seeds, seed.PeerAddr)
		}
	}
	return nil
}

// startLinks starts a proxied link to each server, and one to the store for each
// entry instance.
func (e *environment) startLinks() error {
	settings := link.DefaultSettings()
	for _, s := range e.allServers {
		settings.Links = append(settings.Links, link.LinkSettings{Name: s.link, Listen: "127.0.0.1:0", Target: s.Addr(), Delay: linkDelay})
	}
	for _, inst := range e.instances {
		settings.Links = append(settings.Links, link.LinkSettings{Name: storeLink(inst), Listen: "127.0.0.1:0", Target: e.store.Addr()})
	}
	var err error
	if e.links, err = link.Start(settings); err != nil {
		return err
	}
	for _, s := range e.allServers {
		s.registration = fleet.BackendServer{
			ID: s.ID, Service: s.Service, Addr: e.links.Addr(s.link), FailureDomain: s.domain, Slots: slots, StartTime: time.Now(),
		}
	}
	for _, inst := range e.instances {
		inst.StoreAddr = e.links.Addr(storeLink(inst))
	}
	return nil
}

func storeLink(inst *entryInstance) string { return "store/" + inst.ID + "/" }

func (e *environment) document() *fleet.Document {
	route := func(name, service string, idempotent bool, regions ...string) fleet.Route {
		return fleet.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Services: []fleet.WeightedService{{Service: service, Weight: 1}}, Idempotent: idempotent,
			Timeout: 1500 * time.Millisecond, TargetLatency: 150 * time.Millisecond, MaxAttempts: 2, Sticky: true, AllowedRegions: regions,
		}
	}
	var services []fleet.Service
	for _, name := range []string{serviceReads, serviceWrites} {
		services = append(services, fleet.Service{Name: name, HealthPath: "/health", MaxConnections: 300, ColdStart: coldStart, ColdPerSecond: coldPerSecond})
	}
	return fleet.NewDocument(e.version, []fleet.Route{
		route("read", serviceReads, true), route("pay", serviceWrites, false), route("home", serviceReads, true, "north"),
		route(switchedRoute, e.switchedService(), false),
	}, services, fleet.Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
}

// switchRoute writes a new routing document in which switchedRoute uses the other
// service.
func (e *environment) switchRoute() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version += 3
	e.routeSwitched = !e.routeSwitched
	e.store.PutDocument(e.document())
	e.checker.RouteChanged(time.Now(), e.switchedService())
}

func (e *environment) switchedService() string {
	if e.routeSwitched {
		return serviceWrites
	}
	return serviceReads
}

func (e *environment) startInstance(inst *entryInstance) error {
	inst.settingsFile = filepath.Join(e.dir, inst.ID+".json")
	if err := os.WriteFile(inst.settingsFile, standin.InstanceSettings(inst.InstanceConfig), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	return e.processes.Start(testbed.Program{CPUShare: e.layout.cpuShare(slices.Index(e.instances, inst)), Name: inst.ID, Executable: "drgate", Args: []string{"--settings", e.settingsPath(), "--node", inst.settingsFile}})
}

func (e *environment) settingsPath() string { return filepath.Join(e.dir, "gate.json") }

// writeSettings writes the settings file that all entry instances share.
func (e *environment) writeSettings() error {
	s := ingress.DefaultSettings()
	text := fmt.Sprintf(`{"log_level": %q, "lookup_ttl": %q, "metrics_port": %d}`, s.LogLevel, s.LookupTTL.Std(), metricsPort)
	if err := os.WriteFile(e.settingsPath(), []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "settings")
	}
	return nil
}

// awaitReady waits until all entry instances are ready.
func (e *environment) awaitReady(ctx context.Context, d time.Duration) error {
	return testbed.WaitFor(ctx, d, func() error {
		for _, inst := range e.instances {
			if err := e.checkReady(ctx, inst); err != nil {
				return err
			}
		}
		return nil
	})
}

func (e *environment) checkReady(ctx context.Context, inst *entryInstance) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := standin.CheckReady(ctx, e.httpClient, inst.ReadyAddr); err != nil {
		return errors.Wrapf(err, "entry instance %s", inst.ID)
	}
	return nil
}

func (e *environment) close() {
	e.processes.Close()
	if e.links != nil {
		_ = e.links.Close() // the run has ended
	}
	for _, s := range e.allServers {
		s.Crash()
	}
	if e.store != nil {
		e.store.Close()
	}
	e.httpClient.CloseIdleConnections()
}

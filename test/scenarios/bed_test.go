package scenarios

import (
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
	platformstandin "github.com/dandelionrack/dandelionrack/internal/standin/platform"
	"github.com/dandelionrack/dandelionrack/internal/testbed"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// cmdBed starts a testbed with a sample deployment:
// bed DEPLOYMENT [work=40ms] [body=2000] [ttl=1s] [cap_rate=SERVICE:RATE]
// [rate=SERVICE:RATE] [regions=SERVICE:REGION] [link_bits=N] [links] [tls]
func cmdBed(s *scenario, _ *testscript.TestScript, a *arguments) error {
	name := a.positional("deployment")
	opts := testbed.Options{
		BinDir:        binDir,
		DeploymentDir: filepath.Join(repositoryRoot, "deploy", name),
		WorkDir:       s.dir,
		LookupTTL:     a.duration("ttl", time.Second),
		LogLevel:      a.text("log", "debug"),
		Work: backendstandin.Work{
			Distribution: backendstandin.Fixed,
			ServiceTime:  config.Duration(a.duration("work", 40*time.Millisecond)),
			BodySize:     int(a.number("body", 500)),
		},
	}
	if a.flag("links") {
		opts.Delays = testbed.SampleDelays(name)
	}
	opts.TLS = a.flag("tls")
	opts.LinkBitsPerSecond = int64(a.number("link_bits", 0))
	opts.AdjustContract = contractAdjustment(a)
	if err := a.done(); err != nil {
		return err
	}
	s.token = name + "-token"
	var err error
	s.testbed, err = testbed.Start(s.ctx, opts)
	return err
}

// contractAdjustment reads the arguments that modify services of the contract:
// the rate to which the shift cap refers, so that the cap fits the low rates of
// a scenario, the rate limit, and the only region that may serve.
func contractAdjustment(a *arguments) func(*config.Contract) {
	caps, limits, regions := a.mapping("cap_rate"), a.mapping("rate"), a.mapping("regions")
	number := func(text string) float64 {
		n, err := strconv.ParseFloat(text, 64)
		a.recordError(err)
		return n
	}
	capRates, rates := map[string]float64{}, map[string]float64{}
	for name, text := range caps {
		capRates[name] = number(text)
	}
	for name, text := range limits {
		rates[name] = number(text)
	}
	return func(c *config.Contract) {
		for i := range c.Services {
			svc := &c.Services[i]
			if rate, ok := capRates[svc.Name]; ok {
				svc.ShiftCap.Rate = rate
			}
			if rate, ok := rates[svc.Name]; ok {
				svc.RatePerSecond = rate
			}
			if region, ok := regions[svc.Name]; ok {
				svc.Regions = []string{region}
			}
		}
	}
}

// cmdEntry acts on an entry instance:
//   - entry kill|pause|resume ID
//   - entry start ID [certificate=good|expired|foreign|none]
//   - entry stop ID [within=30s] [as=NAME &]
//   - entry succeed ID: starts a second process with the same id and redirects the
//     links to it
//   - entry exited ID [code=N] [within=30s]: requires that the process exits with
//     a code
func cmdEntry(s *scenario, _ *testscript.TestScript, a *arguments) error {
	verb, id := a.positional("entry command"), a.positional("entry instance")
	within := a.duration("within", 30*time.Second)
	name := a.text("as", "stop of "+id)
	code := int(a.number("code", 0))
	certificate := testbed.CertificateKind(a.text("certificate", string(testbed.CertificateValid)))
	if err := a.done(); err != nil {
		return err
	}
	switch verb {
	case "kill":
		return s.testbed.Kill(id)
	case "start":
		s.mu.Lock()
		s.restarts = append(s.restarts, testbed.Restart{Entry: id, At: time.Now()})
		s.mu.Unlock()
		return s.testbed.RestartEntryWithCertificate(id, certificate)
	case "succeed":
		return s.testbed.StartSuccessor(s.ctx, id)
	case "exited":
		got, err := s.testbed.ExitCode(s.ctx, id, within)
		if err == nil && got != code {
			err = errors.Errorf("exit code %d, want %d", got, code)
		}
		return err
	case "pause":
		return s.testbed.Signal(id, syscall.SIGSTOP)
	case "resume":
		return s.testbed.Signal(id, syscall.SIGCONT)
	case "stop":
		return s.startJob(name, a.background, func() ([]loadgen.Result, error) {
			return nil, s.stopEntry(id, within)
		})
	default:
		return errors.Errorf("unknown entry command %q", verb)
	}
}

// cmdReady requires that an entry instance becomes ready and has a contract:
// ready ID [within=10s]
func cmdReady(s *scenario, _ *testscript.TestScript, a *arguments) error {
	id := a.positional("entry instance")
	within := a.duration("within", 10*time.Second)
	if err := a.done(); err != nil {
		return err
	}
	ctx, cancel := s.withTimeout(within)
	defer cancel()
	return s.testbed.WaitReady(ctx, id)
}

// cmdCut partitions a failure domain from all others and the platform, or only
// from the platform: cut DOMAIN [from=all|platform] [refuse]
func cmdCut(s *scenario, _ *testscript.TestScript, a *arguments) error {
	p := testbed.Partition{Domain: a.positional("failure domain"), Refuse: a.flag("refuse")}
	switch from := a.text("from", "all"); from {
	case "all":
	case "platform":
		p.PlatformOnly = true
	default:
		return errors.Errorf("cannot cut from %q", from)
	}
	if err := a.done(); err != nil {
		return err
	}
	return s.testbed.ApplyPartition(s.ctx, p)
}

// cmdHeal removes the faults of all links.
func cmdHeal(s *scenario, _ *testscript.TestScript, a *arguments) error {
	if err := a.done(); err != nil {
		return err
	}
	return s.testbed.HealLinks(s.ctx, "")
}

// cmdLink sets faults of the links whose name has a prefix:
// link PREFIX [drop_reverse=true] [close_after_reverse=N] [delay=1s]
func cmdLink(s *scenario, _ *testscript.TestScript, a *arguments) error {
	prefix := a.positional("prefix")
	state := a.remainingNamed()
	if err := a.done(); err != nil {
		return err
	}
	return s.testbed.SetLinkState(s.ctx, prefix, state)
}

// cmdPlatform replaces the faults of the platform; ok only documents that there
// are none:
// platform [ok] [down=hang|refuse|drop] [lose_replies=N] [latency=D] [stale_reads=D]
func cmdPlatform(s *scenario, _ *testscript.TestScript, a *arguments) error {
	f := platformstandin.Fault{
		Outage:      platformstandin.Outage(a.text("down", "")),
		Latency:     config.Duration(a.duration("latency", 0)),
		LoseReplies: int(a.number("lose_replies", 0)),
		StaleReads:  config.Duration(a.duration("stale_reads", 0)),
	}
	if a.flag("ok") && f != (platformstandin.Fault{}) {
		return errors.New("ok cannot be combined with a fault")
	}
	if err := a.done(); err != nil {
		return err
	}
	return s.testbed.SetPlatformFault(s.ctx, f)
}

// cmdBackend changes the mode of the backend servers whose id has a prefix:
// backend PREFIX NAME=VALUE...
func cmdBackend(s *scenario, _ *testscript.TestScript, a *arguments) error {
	prefix := a.positional("prefix")
	mode := a.remainingNamed()
	if err := a.done(); err != nil {
		return err
	}
	return s.testbed.SetBackendMode(s.ctx, prefix, mode)
}

// remainingNamed takes all remaining named arguments, with integers and booleans
// converted to their type.
func (a *arguments) remainingNamed() map[string]any {
	out := map[string]any{}
	for name, text := range a.named {
		if n, err := strconv.Atoi(text); err == nil {
			out[name] = n
		} else if b, err := strconv.ParseBool(text); err == nil {
			out[name] = b
		} else {
			out[name] = text
		}
	}
	clear(a.named)
	return out
}

// cmdInstances replaces the platform's instance list. It contains every entry
// instance and backend server, live unless named in leaving:
// instances [leaving=ID|ID]
func cmdInstances(s *scenario, _ *testscript.TestScript, a *arguments) error {
	leaving := map[string]bool{}
	for _, id := range a.list("leaving") {
		leaving[id] = true
	}
	if err := a.done(); err != nil {
		return err
	}
	var list []platform.Instance
	add := func(id, kind string) {
		in := platform.Instance{ID: id, Kind: kind, State: platform.InstanceLive}
		if leaving[id] {
			in.State = platform.InstanceLeaving
		}
		list = append(list, in)
	}
	dep := s.testbed.Deployment()
	for _, in := range dep.EntryInstances {
		add(in.ID, "entry")
	}
	for _, b := range dep.BackendServers {
		add(b.ID, "backend")
	}
	return s.testbed.SetInstances(s.ctx, list)
}

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

// cmdBed starts a deployment:
// bed DEPLOYMENT [work=40ms] [body=2000] [ttl=1s] [cap_rate=SERVICE:RATE]
// [rate=SERVICE:RATE] [regions=SERVICE:REGION] [link_bits=N] [links] [tls]
func cmdBed(s *scenario, _ *testscript.TestScript, a *arguments) error {
	name := a.word("deployment")
	opts := testbed.Options{
		BinDir:        binDir,
		DeploymentDir: filepath.Join(repository, "deploy", name),
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
	opts.AdjustContract = contractChange(a)
	if err := a.done(); err != nil {
		return err
	}
	s.token = name + "-token"
	var err error
	s.bed, err = testbed.Start(s.ctx, opts)
	return err
}

// contractChange reads the rules that adjust services: the rate to which the
// shift cap refers, so that the cap fits the low rates of a scenario, the rate
// limit, and the one region that may serve.
func contractChange(a *arguments) func(*config.Contract) {
	caps, limits, regions := a.rules("cap_rate"), a.rules("rate"), a.rules("regions")
	number := func(text string) float64 {
		n, err := strconv.ParseFloat(text, 64)
		a.fail(err)
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
// entry kill|pause|resume ID, entry start ID [certificate=good|expired|foreign|none],
// entry stop ID [within=30s] [as=NAME &], entry succeed ID starts a second
// process at its seat and leads the links to it, and entry exited ID [code=1]
// [within=30s] requires the end of a process.
func cmdEntry(s *scenario, _ *testscript.TestScript, a *arguments) error {
	verb, id := a.word("verb"), a.word("entry instance")
	within := a.duration("within", 30*time.Second)
	name := a.text("as", "stop of "+id)
	code := int(a.number("code", 0))
	certificate := testbed.CertificateKind(a.text("certificate", string(testbed.CertificateValid)))
	if err := a.done(); err != nil {
		return err
	}
	switch verb {
	case "kill":
		return s.bed.Kill(id)
	case "start":
		s.mu.Lock()
		s.restarts = append(s.restarts, testbed.Restart{Entry: id, At: time.Now()})
		s.mu.Unlock()
		return s.bed.RestartEntryWithCertificate(id, certificate)
	case "succeed":
		return s.bed.StartSuccessor(s.ctx, id)
	case "exited":
		got, err := s.bed.ExitCode(s.ctx, id, within)
		if err == nil && got != code {
			err = errors.Errorf("exit code %d", got)
		}
		return err
	case "pause":
		return s.bed.Signal(id, syscall.SIGSTOP)
	case "resume":
		return s.bed.Signal(id, syscall.SIGCONT)
	case "stop":
		return s.start(name, a.background, func() ([]loadgen.Result, error) {
			return nil, s.stop(id, within)
		})
	default:
		return errors.Errorf("unknown verb %q", verb)
	}
}

// cmdReady requires that an entry instance has a contract in force:
// ready ID [within=10s]
func cmdReady(s *scenario, _ *testscript.TestScript, a *arguments) error {
	id := a.word("entry instance")
	within := a.duration("within", 10*time.Second)
	if err := a.done(); err != nil {
		return err
	}
	ctx, cancel := s.limit(within)
	defer cancel()
	return s.bed.WaitReady(ctx, id)
}

// cmdCut separates a failure domain: cut DOMAIN [from=all|platform] [refuse]
func cmdCut(s *scenario, _ *testscript.TestScript, a *arguments) error {
	p := testbed.Partition{Domain: a.word("failure domain"), Refuse: a.flag("refuse")}
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
	return s.bed.ApplyPartition(s.ctx, p)
}

// cmdHeal ends the faults of all links.
func cmdHeal(s *scenario, _ *testscript.TestScript, a *arguments) error {
	if err := a.done(); err != nil {
		return err
	}
	return s.bed.HealLinks(s.ctx, "")
}

// cmdLink sets a fault of links by name prefix:
// link PREFIX [drop_reverse=true] [close_after_reverse=N] [delay=1s]
func cmdLink(s *scenario, _ *testscript.TestScript, a *arguments) error {
	prefix := a.word("prefix")
	state := a.values()
	if err := a.done(); err != nil {
		return err
	}
	return s.bed.SetLinkState(s.ctx, prefix, state)
}

// cmdPlatform replaces the faults of the platform:
// platform [down=hang|refuse|drop] [lose_replies=N] [latency=D] [stale_reads=D]
func cmdPlatform(s *scenario, _ *testscript.TestScript, a *arguments) error {
	f := platformstandin.Fault{
		Outage:      platformstandin.Outage(a.text("down", "")),
		Latency:     config.Duration(a.duration("latency", 0)),
		LoseReplies: int(a.number("lose_replies", 0)),
		StaleReads:  config.Duration(a.duration("stale_reads", 0)),
	}
	if a.flag("ok") && f != (platformstandin.Fault{}) {
		return errors.New("ok and a fault exclude each other")
	}
	if err := a.done(); err != nil {
		return err
	}
	return s.bed.SetPlatformFault(s.ctx, f)
}

// cmdBackend changes backend servers by id prefix: backend PREFIX NAME=VALUE...
func cmdBackend(s *scenario, _ *testscript.TestScript, a *arguments) error {
	prefix := a.word("prefix")
	mode := a.values()
	if err := a.done(); err != nil {
		return err
	}
	return s.bed.SetBackendMode(s.ctx, prefix, mode)
}

// values takes all pairs, numbers and truth values in their own type.
func (a *arguments) values() map[string]any {
	out := map[string]any{}
	for name, text := range a.pairs {
		if n, err := strconv.Atoi(text); err == nil {
			out[name] = n
		} else if b, err := strconv.ParseBool(text); err == nil {
			out[name] = b
		} else {
			out[name] = text
		}
	}
	clear(a.pairs)
	return out
}

// cmdInstances replaces the platform's instance list; every entry instance and
// backend server that is not named is live: instances [leaving=ID|ID]
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
	dep := s.bed.Deployment()
	for _, in := range dep.EntryInstances {
		add(in.ID, "entry")
	}
	for _, b := range dep.BackendServers {
		add(b.ID, "backend")
	}
	return s.bed.SetInstances(s.ctx, list)
}

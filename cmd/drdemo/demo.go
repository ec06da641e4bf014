package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
	"github.com/dandelionrack/dandelionrack/internal/testbed"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/settings"
)

// serviceTime is the median service time of the stand-ins for backend servers.
const serviceTime = 40 * time.Millisecond

// drainLimit is the time in which the demo's drain has to end: the longest
// request of the demo plus the 3 s of the design.
const drainLimit = 3*time.Second + 500*time.Millisecond

type demo struct {
	cl    commandLine
	bed   *testbed.Testbed
	token string
	dir   string
	// deployment is the sample as it stands in its file.
	deployment config.Deployment
}

func run(ctx context.Context, cl commandLine) error {
	dir, err := os.MkdirTemp("", "drdemo")
	if err != nil {
		return errors.Wrap(err, "folder of the demo")
	}
	if cl.Verbose {
		fmt.Println("settings and logs:", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	d := &demo{cl: cl, token: cl.Deployment + "-token", dir: dir}
	folder := filepath.Join(cl.Deploy, cl.Deployment)
	if err := settings.Load(filepath.Join(folder, "deployment.json"), &d.deployment, nil); err != nil {
		return err
	}
	started := time.Now()
	d.bed, err = testbed.Start(ctx, testbed.Options{
		BinDir:        cl.Bin,
		DeploymentDir: folder,
		WorkDir:       dir,
		Delays:        testbed.SampleDelays(cl.Deployment),
		Work: backendstandin.Work{
			Distribution:   backendstandin.Lognormal,
			ServiceTime:    config.Duration(serviceTime),
			Sigma:          0.3,
			MaxServiceTime: config.Duration(500 * time.Millisecond),
			BodySize:       2000,
		},
		AdjustContract: d.setRates,
	})
	if err != nil {
		return err
	}
	defer d.bed.Close()
	fmt.Printf("%s: %d entry instances and %d backend servers ready after %.1f s\n", cl.Deployment,
		len(d.bed.Deployment().EntryInstances), len(d.bed.Deployment().BackendServers), time.Since(started).Seconds())
	return d.drive(ctx)
}

// setRates makes the nominal rates of the contract those of the demo's load.
func (d *demo) setRates(c *config.Contract) {
	for i := range c.Services {
		c.Services[i].ShiftCap.Rate = d.rate(&c.Services[i])
	}
}

// rate is the load of a service in requests per second.
func (d *demo) rate(svc *config.Service) float64 {
	slots := 0
	for _, s := range d.deployment.BackendServers {
		if slices.Contains(s.Services, svc.Name) {
			slots += s.Slots
		}
	}
	return d.cl.Load * float64(slots) / serviceTime.Seconds()
}

// drive sends load, drains a backend server in the middle, and reports.
func (d *demo) drive(ctx context.Context) error {
	callers, err := d.bed.Callers(4, d.token)
	if err != nil {
		return err
	}
	results := make(chan []loadgen.Result, 1)
	go func() {
		results <- loadgen.Run(ctx, callers, d.streams(), d.cl.Duration)
	}()
	drained := make(chan error, 1)
	go func() {
		time.Sleep(d.cl.Duration / 3)
		drained <- d.drain(ctx)
	}()
	all := <-results
	if err := <-drained; err != nil {
		return err
	}
	if err := loadgen.WriteResults(d.cl.Results, all); err != nil {
		return err
	}
	fmt.Println()
	loadgen.PrintSummaries(os.Stdout, loadgen.Summarize(all))
	d.printPlacement(all)
	if err := d.printReports(ctx, all); err != nil {
		return err
	}
	return d.check(ctx, all)
}

// streams loads every service at the wanted share of its slots.
func (d *demo) streams() []loadgen.Stream {
	var out []loadgen.Stream
	for _, svc := range d.bed.Contract().Services {
		name := svc.Name
		if len(svc.Aliases) > 0 {
			name = svc.Aliases[0] // callers that were never updated
		}
		out = append(out, loadgen.Stream{
			Service:    name,
			Rate:       d.rate(&svc),
			AtMostOnce: !svc.Idempotent,
			Timeout:    svc.Timeout.Std(),
		})
	}
	return out
}

// drain empties one backend server through the operator command and reports
// how long it took.
func (d *demo) drain(ctx context.Context) error {
	server := d.bed.Deployment().BackendServers[0].ID
	started := time.Now()
	if _, err := d.drctl(ctx, "drain", "start", server, "--reason", "demo"); err != nil {
		return err
	}
	if _, err := d.drctl(ctx, "drain", "status", server, "--wait"); err != nil {
		return err
	}
	took := time.Since(started)
	fmt.Printf("\ndrain of %s: idle after %.2f s\n", server, took.Seconds())
	if took > drainLimit {
		return errors.Errorf("drain took %s, more than %s", took, drainLimit)
	}
	_, err := d.drctl(ctx, "drain", "cancel", server)
	return err
}

// drctl runs the operator command as an operator would.
func (d *demo) drctl(ctx context.Context, args ...string) (string, error) {
	tokenFile := filepath.Join(d.dir, "operator-token")
	if err := os.WriteFile(tokenFile, []byte(testbed.OperatorToken+"\n"), 0o600); err != nil {
		return "", err
	}
	first := d.bed.Deployment().EntryInstances[0].OperatorAddr
	all := append([]string{"--server", "http://" + first, "--token-file", tokenFile}, args...)
	out, err := exec.CommandContext(ctx, filepath.Join(d.cl.Bin, "drctl"), all...).CombinedOutput()
	if err != nil {
		return "", errors.Wrapf(err, "drctl %s: %s", strings.Join(args, " "), out)
	}
	return string(out), nil
}

// printPlacement shows which share of each service each region served.
func (d *demo) printPlacement(all []loadgen.Result) {
	dep := d.bed.Deployment()
	regionOf := map[string]string{}
	for _, s := range dep.BackendServers {
		regionOf[s.ID] = dep.RegionOf(s.FailureDomain)
	}
	counts := map[string]map[string]int{}
	for _, r := range all {
		if r.BackendServer == "" {
			continue
		}
		if counts[r.Service] == nil {
			counts[r.Service] = map[string]int{}
		}
		counts[r.Service][regionOf[r.BackendServer]]++
	}
	fmt.Println("\nanswers by region")
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Printf("%-12s %v\n", name, counts[name])
	}
}

func (d *demo) printReports(ctx context.Context, all []loadgen.Result) error {
	out, err := d.drctl(ctx, "burn")
	if err != nil {
		return err
	}
	fmt.Printf("\nservice-level burn\n%s", out)
	last := all[len(all)-1]
	if last.RequestID == "" {
		return nil
	}
	if out, err = d.drctl(ctx, "trace", last.RequestID); err != nil {
		return err
	}
	fmt.Printf("\ntrace of one request\n%s", out)
	return nil
}

// check compares what callers were told with what backend servers ran.
func (d *demo) check(ctx context.Context, all []loadgen.Result) error {
	stats, err := d.bed.BackendStats(ctx)
	if err != nil {
		return err
	}
	for id, s := range stats {
		if s.Overruns > 0 {
			return errors.Errorf("backend server %s was over its slots %d times", id, s.Overruns)
		}
	}
	runs, err := d.bed.BackendRuns(ctx, "")
	if err != nil {
		return err
	}
	problems := testbed.Audit(all, runs)
	for _, p := range problems {
		fmt.Println("problem:", p)
	}
	if len(problems) > 0 {
		return errors.Errorf("%d requests were told something else than what happened", len(problems))
	}
	fmt.Println("\nchecked: no key ran twice, every refusal was true, no backend server over its slots")
	return nil
}

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

// serviceTime is the median service time of the stand-in backend servers.
const serviceTime = 40 * time.Millisecond

// drainLimit is the longest allowed drain: 3 s by design, plus the 500 ms of the
// longest request.
const drainLimit = 3*time.Second + 500*time.Millisecond

type demo struct {
	cl      commandLine
	testbed *testbed.Testbed
	token   string
	dir     string
	// deployment is as written in its file. The testbed runs it on other addresses.
	deployment config.Deployment
}

func run(ctx context.Context, cl commandLine) error {
	dir, err := os.MkdirTemp("", "drdemo")
	if err != nil {
		return errors.Wrap(err, "create the working directory")
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
	d.testbed, err = testbed.Start(ctx, testbed.Options{
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
		AdjustContract: d.setNominalRates,
	})
	if err != nil {
		return err
	}
	defer d.testbed.Close()
	fmt.Printf("%s: %d entry instances and %d backend servers ready after %.1f s\n", cl.Deployment,
		len(d.testbed.Deployment().EntryInstances), len(d.testbed.Deployment().BackendServers), time.Since(started).Seconds())
	return d.runLoad(ctx)
}

// setNominalRates sets the nominal rates in the contract to those of the load.
func (d *demo) setNominalRates(c *config.Contract) {
	for i := range c.Services {
		c.Services[i].ShiftCap.Rate = d.loadRate(&c.Services[i])
	}
}

// loadRate returns the load of a service in requests per second.
func (d *demo) loadRate(svc *config.Service) float64 {
	slots := 0
	for _, s := range d.deployment.BackendServers {
		if slices.Contains(s.Services, svc.Name) {
			slots += s.Slots
		}
	}
	return d.cl.Load * float64(slots) / serviceTime.Seconds()
}

// runLoad sends load, drains a backend server meanwhile, and prints the report.
func (d *demo) runLoad(ctx context.Context) error {
	callers, err := d.testbed.Callers(4, d.token)
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

// streams returns one load stream per service.
func (d *demo) streams() []loadgen.Stream {
	var out []loadgen.Stream
	for _, svc := range d.testbed.Contract().Services {
		name := svc.Name
		if len(svc.Aliases) > 0 {
			name = svc.Aliases[0] // like callers that still use the old name
		}
		out = append(out, loadgen.Stream{
			Service:    name,
			Rate:       d.loadRate(&svc),
			AtMostOnce: !svc.Idempotent,
			Timeout:    svc.Timeout.Std(),
		})
	}
	return out
}

// drain drains one backend server, prints how long it took, and cancels the drain.
func (d *demo) drain(ctx context.Context) error {
	server := d.testbed.Deployment().BackendServers[0].ID
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

// drctl runs the command as an operator does.
func (d *demo) drctl(ctx context.Context, args ...string) (string, error) {
	tokenFile := filepath.Join(d.dir, "operator-token")
	if err := os.WriteFile(tokenFile, []byte(testbed.OperatorToken+"\n"), 0o600); err != nil {
		return "", err
	}
	first := d.testbed.Deployment().EntryInstances[0].OperatorAddr
	all := append([]string{"--server", "http://" + first, "--token-file", tokenFile}, args...)
	out, err := exec.CommandContext(ctx, filepath.Join(d.cl.Bin, "drctl"), all...).CombinedOutput()
	if err != nil {
		return "", errors.Wrapf(err, "drctl %s: %s", strings.Join(args, " "), out)
	}
	return string(out), nil
}

// printPlacement prints the number of answers by service and region.
func (d *demo) printPlacement(all []loadgen.Result) {
	dep := d.testbed.Deployment()
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

// check compares the answers to callers with the runs of backend servers, and
// checks that no server exceeded its slots.
func (d *demo) check(ctx context.Context, all []loadgen.Result) error {
	stats, err := d.testbed.BackendStats(ctx)
	if err != nil {
		return err
	}
	for id, s := range stats {
		if s.Overruns > 0 {
			return errors.Errorf("backend server %s exceeded its slots %d times", id, s.Overruns)
		}
	}
	runs, err := d.testbed.BackendRuns(ctx, "")
	if err != nil {
		return err
	}
	problems := testbed.Audit(all, runs)
	for _, p := range problems {
		fmt.Println("problem:", p)
	}
	if len(problems) > 0 {
		return errors.Errorf("%d answers to callers do not match the runs of backend servers", len(problems))
	}
	fmt.Println("\nchecked: no key ran twice, every refusal was true, no backend server over its slots")
	return nil
}

// Package bench measures a deployment of the testbed as callers see it: latency
// and throughput at several loads, compared with direct calls and with two simple
// load balancers, and the duration of drains, changes and fail-over.
package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/go-faster/errors"

	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
	"github.com/dandelionrack/dandelionrack/internal/testbed"
	"github.com/dandelionrack/dandelionrack/pkg/config"
)

// Part is one group of measurements.
type Part string

// Parts in the order in which they run.
const (
	PartLatency   Part = "latency"   // added latency inside one failure domain
	PartLoad      Part = "load"      // the system at each load
	PartBaselines Part = "baselines" // the load balancers of this package at each load
	PartDrain     Part = "drain"
	PartConfig    Part = "config"
	PartFailover  Part = "failover"
)

// Parts lists all parts.
func Parts() []Part {
	return []Part{PartLatency, PartLoad, PartBaselines, PartDrain, PartConfig, PartFailover}
}

// Options configures Run.
type Options struct {
	Bin         string // folder with the built programs
	Deploy      string // folder with the sample deployments
	Deployments []string
	Parts       []Part
	Loads       []int // percent of the slots
	// Each measurement takes Duration, after Warmup under the same load.
	Warmup, Duration time.Duration
	// ServiceTime is the median service time of a backend server. It has to be
	// long enough that the request rate does not saturate the machine.
	ServiceTime time.Duration
	// LatencyServiceTime is the fixed service time of PartLatency.
	LatencyServiceTime time.Duration
	Progress           io.Writer
}

const (
	// serviceTimeSigma is the sigma of the lognormal service times; their mean
	// is lognormalMeanFactor times their median.
	serviceTimeSigma    = 0.3
	lognormalMeanFactor = 1.046 // exp(serviceTimeSigma^2 / 2)
	// answerSize is the size of an answer body in bytes.
	answerSize = 2000
	// callersPerDomain callers spread the load over the entry instances of a
	// failure domain.
	callersPerDomain = 4
)

// Run measures the parts of opts on each deployment of opts. If it fails, the
// report has the results up to then.
func Run(ctx context.Context, opts Options) (*Report, error) {
	report := newReport(opts)
	for _, name := range opts.Deployments {
		r := &runner{opts: opts, name: name, result: &DeploymentResult{Deployment: name}}
		report.Deployments = append(report.Deployments, r.result)
		if err := r.run(ctx); err != nil {
			return report, errors.Wrap(err, name)
		}
	}
	return report, nil
}

// runner measures one deployment.
type runner struct {
	opts    Options
	name    string
	result  *DeploymentResult
	testbed *testbed.Testbed
	dir     string // settings and logs of testbed
}

func (r *runner) includes(p Part) bool { return slices.Contains(r.opts.Parts, p) }

func (r *runner) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(r.opts.Progress, "%s %s: %s\n", time.Now().Format("15:04:05"), r.name, fmt.Sprintf(format, args...))
}

func (r *runner) run(ctx context.Context) error {
	if r.includes(PartLatency) {
		if err := r.measureLatency(ctx); err != nil {
			return errors.Wrap(err, "latency")
		}
	}
	if !slices.ContainsFunc(r.opts.Parts, func(p Part) bool { return p != PartLatency }) {
		return nil
	}
	work := backendstandin.Work{
		Distribution:   backendstandin.Lognormal,
		ServiceTime:    config.Duration(r.opts.ServiceTime),
		Sigma:          serviceTimeSigma,
		MaxServiceTime: config.Duration(10 * r.opts.ServiceTime),
		BodySize:       answerSize,
	}
	return r.withTestbed(ctx, filepath.Join(r.opts.Deploy, r.name), testbed.SampleDelays(r.name), work, r.runParts)
}

// runParts runs the parts that share one testbed. Fail-over is last, because it
// kills an entry instance and does not restart it.
func (r *runner) runParts(ctx context.Context) error {
	steps := []struct {
		part Part
		run  func(context.Context) error
	}{
		{PartLoad, r.measureLoads},
		{PartBaselines, r.measureBaselines},
		{PartDrain, r.measureDrain},
		{PartConfig, r.measureChanges},
		{PartFailover, r.measureFailover},
	}
	for _, s := range steps {
		if !r.includes(s.part) {
			continue
		}
		if err := s.run(ctx); err != nil {
			return errors.Wrap(err, string(s.part))
		}
	}
	return nil
}

// withTestbed starts a testbed, calls f and stops the testbed. If delays is nil, the
// entry instances also connect to the platform without a link.
func (r *runner) withTestbed(ctx context.Context, folder string, delays *testbed.Delays, work backendstandin.Work, f func(context.Context) error) error {
	dir, err := os.MkdirTemp("", "drbench")
	if err != nil {
		return errors.Wrap(err, "temporary folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	tb, err := testbed.Start(ctx, testbed.Options{
		BinDir: r.opts.Bin, DeploymentDir: folder, WorkDir: dir, Delays: delays, DirectPlatform: delays == nil, Work: work,
	})
	if err != nil {
		return errors.Wrap(err, "start")
	}
	defer tb.Close()
	r.testbed, r.dir = tb, dir
	return f(ctx)
}

// token returns the customer's token in the sample deployments.
func (r *runner) token() string { return r.name + "-token" }

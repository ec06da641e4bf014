// Command drbench measures the sample deployments and prints tables. It starts
// the programs of the product; these start no processes themselves.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/alecthomas/kong"

	"github.com/dandelionrack/dandelionrack/internal/bench"
	"github.com/dandelionrack/dandelionrack/internal/cli"
)

const description = "Measures latency, headroom, drains, changes and fail-over of the sample deployments. " +
	"Figures need an otherwise idle machine.\n\nExit codes: 0 all parts were measured, 1 failure, 2 usage."

type commandLine struct {
	Deployment         []string         `help:"Deployments to measure: folders below --deploy." default:"kallitexnis,hesabu"`
	Deploy             string           `help:"Folder with the sample deployments." default:"deploy"`
	Bin                string           `help:"Folder with the built programs." default:"bin"`
	Only               []string         `help:"Parts to run: latency, load, baselines, drain, config, failover. Default: all."`
	Loads              []int            `help:"Loads in percent of the slots." default:"50,80,100,150"`
	Warmup             time.Duration    `help:"Load before each measurement." default:"5s"`
	Duration           time.Duration    `help:"Time of each measurement." default:"15s"`
	ServiceTime        time.Duration    `help:"Median service time of the load runs." default:"150ms"`
	LatencyServiceTime time.Duration    `help:"Fixed service time of the part latency." default:"50ms"`
	Out                string           `help:"File for the figures as JSON." default:"out/bench.json"`
	Version            kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	os.Exit(run())
}

func run() int {
	var cl commandLine
	if _, ok := cli.Parse(&cl, "drbench", description); !ok {
		return cli.ExitUsage
	}
	opts, err := cl.options()
	if err != nil {
		return cli.Fail("drbench", err, cli.ExitUsage)
	}
	ctx, stop := cli.SignalContext()
	defer stop()
	report, err := bench.Run(ctx, opts)
	report.Print(os.Stdout)
	if writeErr := report.WriteJSON(cl.Out); writeErr != nil {
		return cli.Fail("drbench", writeErr, cli.ExitFailure)
	}
	if err != nil {
		return cli.Fail("drbench", err, cli.ExitFailure)
	}
	return cli.ExitOK
}

func (cl *commandLine) options() (bench.Options, error) {
	parts := bench.Parts()
	if len(cl.Only) > 0 {
		parts = nil
	}
	for _, name := range cl.Only {
		if !slices.Contains(bench.Parts(), bench.Part(name)) {
			return bench.Options{}, fmt.Errorf("--only: unknown part %q; parts are %v", name, bench.Parts())
		}
		parts = append(parts, bench.Part(name))
	}
	for _, load := range cl.Loads {
		if load <= 0 {
			return bench.Options{}, fmt.Errorf("--loads: %d is not above 0", load)
		}
	}
	if cl.Duration <= 0 || cl.Warmup < 0 || cl.ServiceTime <= 0 || cl.LatencyServiceTime <= 0 {
		return bench.Options{}, fmt.Errorf("--duration and service times must be above 0, --warmup at least 0")
	}
	for _, name := range cl.Deployment {
		if _, err := os.Stat(filepath.Join(cl.Deploy, name)); err != nil {
			return bench.Options{}, fmt.Errorf("--deployment: %w", err)
		}
	}
	return bench.Options{
		Bin: cl.Bin, Deploy: cl.Deploy, Deployments: cl.Deployment, Parts: parts, Loads: cl.Loads,
		Warmup: cl.Warmup, Duration: cl.Duration,
		ServiceTime: cl.ServiceTime, LatencyServiceTime: cl.LatencyServiceTime,
		Progress: os.Stderr,
	}, nil
}

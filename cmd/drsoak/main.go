// Command drsoak runs entry instances as separate processes, injects faults drawn
// from a seed and checks the guarantees for clients and backend servers.
package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/cli"
	"github.com/dandelionrack/dandelionrack/internal/soak"
)

const description = "Runs entry instances of the users' platform as separate processes with stand-ins for the store, the backend servers and the clients. " +
	"Faults are drawn from a seed: processes are killed, stopped, frozen and reloaded; links are cut, block one direction, slow down or are reset; the store fails; backend servers crash, misbehave and are replaced.\n\n" +
	"A seed reproduces the faults, not the timing of the processes.\n\n" +
	"Exit codes: 0 no invariant violated, 1 failure, 2 usage."

type commandLine struct {
	Bin     string        `help:"Folder with the built programs." default:"bin"`
	Seed    []uint64      `help:"Seeds to play; by default new ones."`
	Runs    int           `help:"Number of new seeds if none is given." default:"1"`
	Faults  time.Duration `help:"How long new faults are injected in each run." default:"30s"`
	Clients int           `help:"Number of clients that send requests." default:"40"`
	Verbose bool          `help:"Print each fault."`

	Play        string           `help:"What to play: faults drawn from the seed, the planned removal of most entry instances, or a frozen follower of the store." enum:"faults,removal,follower" default:"faults"`
	Instances   int              `help:"Number of entry instances; all but three leave in a removal." default:"8"`
	OneRegion   bool             `help:"Put all failure domains into one region."`
	Bound       time.Duration    `help:"Time within which changes in the store must take effect, with a frozen follower; by default 2.5 s."`
	Logs        string           `help:"Folder that keeps the logs of all runs; by default those of failed runs are kept in a temporary one."`
	Connections int              `help:"Connections of clients for each entry instance, in a removal." default:"40"`
	MaxPause    time.Duration    `help:"Longest pause of a client between two requests, in a removal." default:"4s"`
	CPUShare    []float64        `name:"cpu-share" help:"Shares of a core that entry instances may use, in turn; by default all of it."`
	Version     kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var cl commandLine
	if _, ok := cli.Parse(&cl, "drsoak", description); !ok {
		os.Exit(cli.ExitUsage)
	}
	ctx, stop := cli.SignalContext()
	err := run(ctx, cl)
	stop()
	if err != nil {
		os.Exit(cli.Fail("drsoak", err, cli.ExitFailure))
	}
}

func run(ctx context.Context, cl commandLine) error {
	seeds := cl.Seed
	for range cl.Runs {
		if len(cl.Seed) == 0 {
			seeds = append(seeds, rand.Uint64N(1_000_000))
		}
	}
	failed := 0
	for _, seed := range seeds {
		violated, err := runSeed(ctx, cl, seed)
		if err != nil {
			return err
		}
		if violated {
			failed++
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d runs violated an invariant", failed, len(seeds))
	}
	return nil
}

// runSeed runs one seed and reports whether an invariant was violated. The logs of
// such a run are kept.
func runSeed(ctx context.Context, cl commandLine, seed uint64) (bool, error) {
	dir, err := os.MkdirTemp(cl.Logs, "drsoak-")
	if err != nil {
		return false, errors.Wrap(err, "create the log folder")
	}
	faults, err := os.Create(filepath.Join(dir, "faults.txt"))
	if err != nil {
		return false, errors.Wrap(err, "create the fault list")
	}
	defer faults.Close()
	o := soak.Options{
		Bin: cl.Bin, Dir: dir, Seed: seed, FaultDuration: cl.Faults, Clients: cl.Clients, FaultLog: faults,
		Layout: soak.Layout{Instances: cl.Instances, OneRegion: cl.OneRegion, CPUShares: cl.CPUShare},
	}
	if cl.Verbose {
		o.FaultLog = io.MultiWriter(faults, os.Stdout)
	}
	report, err := play(ctx, cl, o)
	if err != nil {
		return false, errors.Wrapf(err, "seed %d, logs in %s", seed, dir)
	}
	fmt.Println(report)
	for _, v := range report.Violations {
		fmt.Println("  ", v)
	}
	if len(report.Violations) > 0 {
		fmt.Println("   logs:", dir)
		return true, nil
	}
	if cl.Logs != "" {
		return false, nil
	}
	if err := os.RemoveAll(dir); err != nil {
		return false, errors.Wrap(err, "remove logs")
	}
	return false, nil
}

func play(ctx context.Context, cl commandLine, o soak.Options) (soak.Report, error) {
	switch cl.Play {
	case "removal":
		return soak.RunRemoval(ctx, o, soak.Removal{AtOnce: 3, Interval: 1300 * time.Millisecond, ConnectionsPerInstance: cl.Connections, MaxPause: cl.MaxPause})
	case "follower":
		return soak.RunFrozenFollower(ctx, o, soak.FrozenFollower{Rounds: 3, Frozen: 4 * time.Second, Lead: 300 * time.Millisecond, Bound: cl.Bound})
	default:
		return soak.Run(ctx, o)
	}
}

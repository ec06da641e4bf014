// Command drcapacity measures CPU, memory and traffic of parts of the system at
// several sizes, for docs/CAPACITY.md. It uses loopback addresses only.
package main

import (
	"context"
	"os"

	"github.com/alecthomas/kong"

	"github.com/dandelionrack/dandelionrack/internal/cli"
)

type commandLine struct {
	Output  string           `help:"Output format." enum:"text,json" default:"text"`
	Version kong.VersionFlag `help:"Print the version and exit."`

	Heartbeats heartbeatsCommand `cmd:"" help:"CPU and bytes of heartbeats in a full mesh."`
	Lookup     lookupCommand     `cmd:"" help:"Memory, build time and lookup time by number of client blocks."`
	Document   documentCommand   `cmd:"" help:"Size and decode time of the configuration document."`
	Push       pushCommand       `cmd:"" help:"Time and bytes to push a document to peers."`
	Idle       idleCommand       `cmd:"" help:"CPU, memory and store operations of idle drentry processes."`
	Requests   requestsCommand   `cmd:"" help:"CPU and store operations per request of one drentry process."`
	Blocks     blocksCommand     `cmd:"" help:"Client blocks in chunks: whole table, one change, a restart."`
}

func main() {
	os.Exit(run())
}

func run() int {
	var cl commandLine
	parsed, ok := cli.Parse(&cl, "drcapacity", "Measures the cost of the parts of dandelionrack by size.\n\nExit codes: 0 ok, 1 failure, 2 usage.")
	if !ok {
		return cli.ExitUsage
	}
	ctx, stop := cli.SignalContext()
	defer stop()
	out := &report{format: cl.Output, w: os.Stdout}
	out.machineLoad()
	parsed.BindTo(ctx, (*context.Context)(nil))
	if err := parsed.Run(out); err != nil {
		return cli.Fail("drcapacity", err, cli.ExitFailure)
	}
	return cli.ExitOK
}

// Command drdemo runs a whole deployment on loopback addresses, sends load, drains
// a backend server and prints a report. All processes are its direct children.
package main

import (
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/dandelionrack/dandelionrack/internal/cli"
)

const description = "Runs the layout of one customer, with its delays and links, sends load, runs a drain and prints a report.\n\n" +
	"Exit codes: 0 all checks passed, 1 failure, 2 usage."

type commandLine struct {
	Deployment string           `help:"Deployment to run: a folder below --deploy." default:"kallitexnis"`
	Deploy     string           `help:"Folder with the sample deployments." default:"deploy"`
	Bin        string           `help:"Folder with the built programs." default:"bin"`
	Duration   time.Duration    `help:"Duration of the load." default:"10s"`
	Load       float64          `help:"Load as a share of the slots." default:"0.5"`
	Results    string           `help:"Write every result as a JSON line to this file." placeholder:"FILE"`
	Verbose    bool             `help:"Keep the folder with settings and logs, and print its name."`
	Version    kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var cl commandLine
	if _, ok := cli.Parse(&cl, "drdemo", description); !ok {
		os.Exit(cli.ExitUsage)
	}
	ctx, stop := cli.SignalContext()
	err := run(ctx, cl)
	stop()
	if err != nil {
		os.Exit(cli.Fail("drdemo", err, cli.ExitFailure))
	}
}

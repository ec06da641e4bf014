// Command drdemo runs a whole deployment on loopback addresses, drives load,
// drains a backend server and prints a report. It starts the programs of the
// product, which themselves start no process.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/dandelionrack/dandelionrack/internal/version"
)

type commandLine struct {
	Deployment string           `help:"Deployment to run: a folder below --deploy." default:"kallitexnis"`
	Deploy     string           `help:"Folder with the sample deployments." default:"deploy"`
	Bin        string           `help:"Folder with the built programs." default:"bin"`
	Duration   time.Duration    `help:"How long load is sent." default:"10s"`
	Load       float64          `help:"Load as a share of the slots." default:"0.5"`
	Results    string           `help:"Write every result as a JSON line to this file." placeholder:"FILE"`
	Verbose    bool             `help:"Keep the folder with settings and logs, and print its name."`
	Version    kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var cl commandLine
	kong.Parse(&cl,
		kong.Name("drdemo"),
		kong.Description("Runs the layout of one customer, with its delays and links, drives load, runs a drain and prints a report.\n\nExit codes: 0 all checks passed, 1 failure."),
		kong.Vars{"version": "drdemo " + version.String()},
	)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, cl)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "drdemo:", err)
		os.Exit(1)
	}
}

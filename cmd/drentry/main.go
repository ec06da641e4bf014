// Command drentry runs one entry instance: it answers lookups, sends requests
// to backend servers under the contracts of their customers, and serves the
// operator API.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/internal/cli"
	"github.com/dandelionrack/dandelionrack/internal/stopsignal"
	"github.com/dandelionrack/dandelionrack/pkg/entry"
	"github.com/dandelionrack/dandelionrack/pkg/settings"
)

const description = "Runs one entry instance of dandelionrack. SIGTERM or SIGINT starts a graceful stop.\n\n" +
	"Exit codes: 0 stopped gracefully, 1 failure, 2 usage or invalid settings."

type commandLine struct {
	Settings string           `help:"Settings file, JSON with comments." required:"" placeholder:"FILE"`
	Check    bool             `help:"Check the settings, print every finding and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	os.Exit(run())
}

func run() int {
	var cl commandLine
	if _, ok := cli.Parse(&cl, "drentry", description); !ok {
		return cli.ExitUsage
	}
	var s entry.Settings
	if err := settings.Load(cl.Settings, &s, s.Check); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cli.ExitUsage
	}
	if cl.Check {
		return cli.ExitOK
	}
	s.SetDefaults()
	log := hclog.New(&hclog.LoggerOptions{
		Name:       "drentry",
		Level:      hclog.LevelFromString(s.LogLevel),
		Output:     os.Stderr,
		JSONFormat: s.LogFormat == entry.LogFormatJSON,
	})
	if err := serve(s, log); err != nil {
		log.Error("entry instance failed", "error", err)
		return cli.ExitFailure
	}
	return cli.ExitOK
}

func serve(s entry.Settings, log hclog.Logger) error {
	ctx, cancel := stopsignal.Context()
	defer cancel()
	e, err := entry.New(s, log)
	if err != nil {
		return err
	}
	return e.Run(ctx)
}

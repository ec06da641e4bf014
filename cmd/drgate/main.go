// Command drgate runs one entry instance on the users' platform: it serves the
// routes of the platform's routing document and directory lookups.
package main

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/alecthomas/kong"
	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/internal/cli"
	"github.com/dandelionrack/dandelionrack/internal/reloadsignal"
	"github.com/dandelionrack/dandelionrack/internal/stopsignal"
	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/ingress"
	"github.com/dandelionrack/dandelionrack/pkg/replica"
	"github.com/dandelionrack/dandelionrack/pkg/settings"
	"github.com/dandelionrack/dandelionrack/platform"
)

const description = "Runs one entry instance on the users' platform. SIGTERM or SIGINT starts a graceful stop, " +
	"SIGHUP reads the platform's settings again.\n\n" +
	"Exit codes: 0 stopped gracefully, 1 failure, 2 usage or invalid settings."

// settingsPollInterval is how often the platform's settings file is checked for
// changes, since it may change without a signal. It is below the shortest time
// limit among the bounds in the file, 2.5 s.
const settingsPollInterval = time.Second

type commandLine struct {
	Settings string           `help:"Settings file of drgate, JSON with comments." placeholder:"FILE"`
	Node     string           `help:"Settings file of the platform; by default the path that the platform provides." placeholder:"FILE"`
	Check    bool             `help:"Check both files, print every finding and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// heapShare is the share of the process's memory that the Go runtime may use before it
// collects garbage more often. The rest is for the program (15 MB) and for bytes that
// the kernel has received, which count towards the memory. Bodies take up to 48 MiB of
// 184 MB, so that garbage is collected early rather than when memory has doubled.
const heapShare = 0.7

// setMemoryLimit sets the soft memory limit of the runtime, unless GOMEMLIMIT does.
func setMemoryLimit(n fleet.InstanceConfig) {
	if n.MemoryBytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(heapShare * float64(n.MemoryBytes)))
	}
}

func main() {
	os.Exit(run())
}

func run() int {
	var cl commandLine
	if _, ok := cli.Parse(&cl, "drgate", description); !ok {
		return cli.ExitUsage
	}
	if cl.Node == "" {
		cl.Node = os.Getenv(platform.SettingsEnvVar)
	}
	s := ingress.DefaultSettings()
	if cl.Settings != "" {
		if err := settings.Load(cl.Settings, &s, s.Check); err != nil {
			return cli.Fail("drgate", err, cli.ExitUsage)
		}
	}
	node, err := platform.ReadInstanceConfig(cl.Node, s.MetricsPort)
	if err != nil {
		return cli.Fail("drgate", err, cli.ExitUsage)
	}
	if cl.Check {
		return cli.ExitOK
	}
	setMemoryLimit(node)
	out := ingress.NewAsyncWriter(os.Stdout)
	defer out.Close()
	log := hclog.New(&hclog.LoggerOptions{
		Name: "drgate", Level: hclog.LevelFromString(s.LogLevel), Output: out, JSONFormat: true,
	}).With("entry", node.ID)
	if err := serve(cl.Node, node, s, log, out.Dropped.Load); err != nil {
		log.Error("entry instance failed", "error", err)
		fmt.Fprintln(os.Stderr, err)
		return cli.ExitFailure
	}
	return cli.ExitOK
}

func serve(nodeFile string, node fleet.InstanceConfig, s ingress.Settings, log hclog.Logger, droppedLines func() int64) error {
	ctx, cancel := stopsignal.Context()
	defer cancel()
	in := ingress.New(ingress.Options{
		Instance: node, Settings: s, Protocol: platform.Protocol{}, NewStore: newStore, Log: log, DroppedLines: droppedLines,
	})
	go watchSettings(ctx, reloadsignal.Signals(), nodeFile, s.MetricsPort, in, log)
	return in.Run(ctx)
}

func newStore(addr string, observe func(string, time.Duration, error)) replica.Store {
	store := platform.NewStore(addr)
	store.Observe = observe
	return store
}

// watchSettings applies the platform's settings file when it changes, and on each
// reload signal.
func watchSettings(ctx context.Context, reload <-chan os.Signal, file string, metricsPort int, in *ingress.Ingress, log hclog.Logger) {
	last, lastErr := os.ReadFile(file)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			signalled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(file)
		unchanged := string(data) == string(last) && (err == nil) == (lastErr == nil)
		if unchanged && !signalled {
			continue
		}
		last, lastErr = data, err
		var node fleet.InstanceConfig
		if err == nil {
			node, err = platform.DecodeInstanceConfig(file, data, metricsPort)
		}
		if err != nil {
			log.Warn("changed settings are invalid; keeping the previous ones", "error", err)
			continue
		}
		setMemoryLimit(node)
		in.Reload(node)
	}
}

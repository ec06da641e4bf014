// Package program is the common frame of the stand-in programs: command line,
// settings file, log and signals.
package program

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/tailscale/hujson"
)

// Exit codes of the programs.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2 // usage or invalid settings
)

type commandLine struct {
	Settings string           `help:"Settings file, JSON with comments." required:"" placeholder:"FILE"`
	LogLevel string           `help:"Log level: trace, debug, info, warn or error." default:"info" enum:"trace,debug,info,warn,error"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// Run parses the command line, loads the settings over the given defaults and
// calls serve until a signal ends its context. It returns the exit code.
func Run[T any](name, help string, settings T, serve func(ctx context.Context, settings T, log hclog.Logger) error) int {
	var cl commandLine
	parser, err := kong.New(&cl, kong.Name(name), kong.Description(help), kong.Vars{"version": name + " " + version()})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitFailure
	}
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return ExitUsage
	}
	if err := Load(cl.Settings, &settings); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return ExitUsage
	}
	log := hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.LevelFromString(cl.LogLevel), Output: os.Stderr})
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := serve(ctx, settings, log); err != nil {
		log.Error("stopped", "error", err)
		return ExitFailure
	}
	return ExitOK
}

// Load reads a JSON file with comments and refuses unknown keys.
func Load(file string, into any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "settings")
	}
	standard, err := hujson.Standardize(data)
	if err != nil {
		return errors.Wrapf(err, "settings %s", file)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		// Standardize keeps the line breaks, so the offset gives the line of
		// the original file.
		line := 1 + bytes.Count(standard[:decoder.InputOffset()], []byte("\n"))
		return errors.Wrapf(err, "settings %s:%d", file, line)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.Errorf("settings %s: more than one JSON value", file)
	}
	return nil
}

func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "unknown"
}

// Package program implements what the stand-in programs share: the command line,
// the settings file, logging and signal handling.
package program

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/tailscale/hujson"

	"github.com/dandelionrack/dandelionrack/internal/cli"
	"github.com/dandelionrack/dandelionrack/internal/stopsignal"
)

type commandLine struct {
	Settings string           `help:"Settings file, JSON with comments." required:"" placeholder:"FILE"`
	LogLevel string           `help:"Log level: trace, debug, info, warn or error." default:"info" enum:"trace,debug,info,warn,error"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// Run parses the command line, loads the settings file over the given defaults
// and calls serve with a context that a signal cancels. It returns the exit code.
func Run[T any](name, help string, settings T, serve func(ctx context.Context, settings T, log hclog.Logger) error) int {
	var cl commandLine
	if _, ok := cli.Parse(&cl, name, help); !ok {
		return cli.ExitUsage
	}
	if err := LoadSettings(cl.Settings, &settings); err != nil {
		return cli.Fail(name, err, cli.ExitUsage)
	}
	log := hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.LevelFromString(cl.LogLevel), Output: os.Stderr})
	ctx, stop := stopsignal.Context()
	defer stop()
	if err := serve(ctx, settings, log); err != nil {
		log.Error("stopped", "error", err)
		return cli.ExitFailure
	}
	return cli.ExitOK
}

// LoadSettings decodes a JSON file with comments and rejects unknown keys.
func LoadSettings(file string, into any) error {
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
		// Standardize preserves line breaks, so the offset yields the line
		// number of the original file.
		line := 1 + bytes.Count(standard[:decoder.InputOffset()], []byte("\n"))
		return errors.Wrapf(err, "settings %s:%d", file, line)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.Errorf("settings %s: more than one JSON value", file)
	}
	return nil
}

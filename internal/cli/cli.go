// Package cli is the common frame of the programs' command lines.
package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/dandelionrack/dandelionrack/internal/version"
)

// Exit codes of the programs.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2 // usage or invalid settings
)

// Parse parses the command line of this process into a kong structure. If the
// usage is wrong it prints why and returns false; the program then ends with
// ExitUsage. --help and --version end the process.
func Parse(into any, name, description string) (*kong.Context, bool) {
	parser := kong.Must(into,
		kong.Name(name),
		kong.Description(description),
		kong.Vars{"version": name + " " + version.String()},
	)
	parsed, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return nil, false
	}
	return parsed, true
}

// Fail prints an error of a program and returns the exit code.
func Fail(name string, err error, code int) int {
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	return code
}

// SignalContext ends with the first SIGINT or SIGTERM.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

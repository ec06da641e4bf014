// Package cli holds what the command lines of all programs have in common.
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

// Parse parses the command line of this process into a kong structure. On a
// usage error it prints the error and returns false; the program then exits with
// ExitUsage. --help and --version exit the process.
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

// Fail prints err to stderr and returns code.
func Fail(name string, err error, code int) int {
	fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
	return code
}

// SignalContext returns a context that is cancelled by the first SIGINT or
// SIGTERM.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

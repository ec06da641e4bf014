// Command drctl is the client of the operator API of entry instances. It changes
// contracts and deployments, runs drains and shows the state of the system.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/logx"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailure     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnavailable = 4
)

const description = `Operator command of dandelionrack.

Exit codes: 0 ok, 1 failure, 2 usage or invalid input, 3 conflict with another change, 4 unavailable.`

// cli holds the flags and commands.
type cli struct {
	Server    []string         `help:"Base URL of an operator API (repeatable). The next one is tried when a connection is refused." placeholder:"URL" env:"DRCTL_SERVER"`
	TokenFile string           `help:"File with the operator token." type:"path" env:"DRCTL_TOKEN_FILE"`
	CAFile    string           `name:"ca-file" help:"PEM file with the certificate authority of the servers." type:"path"`
	Timeout   time.Duration    `help:"Time limit of one call." default:"10s"`
	Output    string           `help:"Output format: ${enum}." enum:"text,json" default:"text"`
	Author    string           `help:"Author of a change." default:"${user}"`
	ChangeID  string           `name:"change-id" help:"Id of the change; give the id of an earlier command to submit its change again."`
	Version   kong.VersionFlag `help:"Print the version."`

	Contract   contractCmd   `cmd:"" help:"Contracts of customers."`
	Deployment deploymentCmd `cmd:"" help:"Regions, failure domains, entry instances and backend servers."`
	Blocks     blocksCmd     `cmd:"" help:"Client blocks outside the configuration document."`
	Drain      drainCmd      `cmd:"" help:"Planned drains of backend servers."`
	Trace      traceCmd      `cmd:"" help:"Show every step of a request."`
	Routes     routesCmd     `cmd:"" help:"Show where requests can go."`
	Burn       burnCmd       `cmd:"" help:"Show the use of the error budgets."`
	Unresolved unresolvedCmd `cmd:"" help:"At-most-once requests whose outcome is unknown."`
	Status     statusCmd     `cmd:"" help:"Show the state of the entry instance that answers."`
	Config     configCmd     `cmd:"" help:"Configuration files."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	// The HTTP client of go-zero logs every call to stdout, where only the output
	// of the command may appear.
	logx.Disable()
	var c cli
	parser, err := kong.New(&c,
		kong.Name("drctl"),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.Vars{"version": "drctl " + buildVersion(), "user": os.Getenv("USER")},
	)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "drctl:", err)
		return exitFailure
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "drctl:", err)
		return exitUsage
	}
	s := &session{cli: &c, ctx: ctx, stdout: stdout, stderr: stderr}
	err = parsed.Run(s)
	if err == nil {
		return exitOK
	}
	s.printError(err)
	return exitCode(err)
}

func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(unknown)"
	}
	return info.Main.Version
}

// errUsage marks invalid input that the command line parser cannot detect.
var errUsage = errors.New("usage")

func exitCode(err error) int {
	var (
		invalid  *findings.Error
		conflict *config.ConflictError
		api      *operator.Error
	)
	switch {
	case errors.Is(err, errUsage), errors.As(err, &invalid):
		return exitUsage
	case errors.As(err, &conflict):
		return exitConflict
	case errors.Is(err, operator.ErrNotSent), errors.Is(err, operator.ErrNoResponse):
		return exitUnavailable
	case errors.As(err, &api):
		return apiExitCode(api.Code)
	default:
		return exitFailure
	}
}

func apiExitCode(code operator.Code) int {
	switch code {
	case operator.CodeInvalid:
		return exitUsage
	case operator.CodeConflict:
		return exitConflict
	case operator.CodeUnavailable, operator.CodeUnknownOutcome:
		return exitUnavailable
	default:
		return exitFailure
	}
}

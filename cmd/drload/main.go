// Command drload sends requests to a running system at a fixed rate and
// prints what callers see.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	"github.com/dandelionrack/dandelionrack/internal/version"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

type commandLine struct {
	Entry      []string         `help:"Callers' address of an entry instance, for lookups; repeat it for more." required:"" placeholder:"IP:PORT"`
	TokenFile  string           `help:"File with the customer's bearer token." required:"" placeholder:"FILE"`
	Service    string           `help:"Service name or an old name of it." required:""`
	Rate       float64          `help:"Requests per second." default:"10"`
	Duration   time.Duration    `help:"How long requests are sent." default:"10s"`
	Timeout    time.Duration    `help:"Deadline of each request." default:"2s"`
	AtMostOnce bool             `help:"Send an idempotency key with each request."`
	Client     string           `help:"Address of the caller, where the entry instances allow it." placeholder:"IP"`
	Callers    int              `help:"Number of callers, each with its own lookup cache." default:"4"`
	Output     string           `help:"Output format." enum:"text,json" default:"text"`
	Results    string           `help:"Write every result as a JSON line to this file." placeholder:"FILE"`
	Version    kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	os.Exit(run())
}

func run() int {
	var cl commandLine
	parser := kong.Must(&cl,
		kong.Name("drload"),
		kong.Description("Sends requests at a fixed rate. Latency counts from the moment at which a request was due.\n\nExit codes: 0 every request was answered, 1 some were not, 2 usage."),
		kong.Vars{"version": "drload " + version.String()},
	)
	if _, err := parser.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "drload:", err)
		return exitUsage
	}
	token, err := os.ReadFile(cl.TokenFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "drload: token:", err)
		return exitUsage
	}
	if cl.Rate <= 0 || cl.Callers <= 0 {
		fmt.Fprintln(os.Stderr, "drload: --rate and --callers must be above 0")
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	results := loadgen.Run(ctx, cl.callers(strings.TrimSpace(string(token))), []loadgen.Stream{{
		Service:    cl.Service,
		Rate:       cl.Rate,
		AtMostOnce: cl.AtMostOnce,
		Timeout:    cl.Timeout,
	}}, cl.Duration)
	if err := loadgen.WriteResults(cl.Results, results); err != nil {
		fmt.Fprintln(os.Stderr, "drload: results:", err)
		return exitFailure
	}
	return cl.report(results)
}

func (cl *commandLine) callers(token string) []*loadgen.Caller {
	out := make([]*loadgen.Caller, cl.Callers)
	for i := range out {
		out[i] = &loadgen.Caller{Seeds: cl.Entry, Token: token, Client: cl.Client, HTTP: loadgen.NewHTTPClient()}
	}
	return out
}

func (cl *commandLine) report(results []loadgen.Result) int {
	summaries := loadgen.Summarize(results)
	if cl.Output == "json" {
		_ = json.NewEncoder(os.Stdout).Encode(summaries)
	} else {
		loadgen.PrintSummaries(os.Stdout, summaries)
	}
	for _, r := range results {
		if r.Outcome != loadgen.OutcomeAnswered && r.Outcome != loadgen.OutcomeRecorded {
			return exitFailure
		}
	}
	return exitOK
}

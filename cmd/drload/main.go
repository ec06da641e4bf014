// Command drload sends requests to a running system at a fixed rate and
// prints what callers see.
package main

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/cli"
	"github.com/dandelionrack/dandelionrack/internal/loadgen"
)

const description = "Sends requests at a fixed rate. Latency counts from the moment at which a request was due.\n\n" +
	"Exit codes: 0 every request was answered, 1 some were not, 2 usage."

type commandLine struct {
	Entry      []string         `help:"Callers' address of an entry instance, for lookups; repeat it for more." required:"" placeholder:"IP:PORT"`
	TokenFile  string           `help:"File with the customer's bearer token." required:"" placeholder:"FILE"`
	Service    string           `help:"Service name or an old name of it." required:""`
	Rate       float64          `help:"Requests per second." default:"10"`
	Duration   time.Duration    `help:"How long requests are sent." default:"10s"`
	Timeout    time.Duration    `help:"Deadline of each request." default:"2s"`
	AtMostOnce bool             `help:"Send an idempotency key with each request."`
	IssuedKeys bool             `help:"Use entry-issued keys in place of caller-made ones."`
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
	if _, ok := cli.Parse(&cl, "drload", description); !ok {
		return cli.ExitUsage
	}
	token, err := os.ReadFile(cl.TokenFile)
	if err != nil {
		return cli.Fail("drload", errors.Wrap(err, "token"), cli.ExitUsage)
	}
	if cl.Rate <= 0 || cl.Callers <= 0 {
		return cli.Fail("drload", errors.New("--rate and --callers must be above 0"), cli.ExitUsage)
	}
	ctx, stop := cli.SignalContext()
	defer stop()
	results := loadgen.Run(ctx, cl.callers(strings.TrimSpace(string(token))), []loadgen.Stream{{
		Service:       cl.Service,
		Rate:          cl.Rate,
		AtMostOnce:    cl.AtMostOnce || cl.IssuedKeys,
		UseIssuedKeys: cl.IssuedKeys,
		Timeout:       cl.Timeout,
	}}, cl.Duration)
	if err := loadgen.WriteResults(cl.Results, results); err != nil {
		return cli.Fail("drload", errors.Wrap(err, "results"), cli.ExitFailure)
	}
	return cl.report(results)
}

func (cl *commandLine) callers(token string) []*loadgen.Caller {
	out := make([]*loadgen.Caller, cl.Callers)
	for i := range out {
		out[i] = &loadgen.Caller{Seeds: cl.Entry, Token: token, ClientAddr: cl.Client, HTTPClient: loadgen.NewHTTPClient()}
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
			return cli.ExitFailure
		}
	}
	return cli.ExitOK
}

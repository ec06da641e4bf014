package main

import (
	"context"
	"fmt"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	"github.com/dandelionrack/dandelionrack/internal/wait"
)

type requestsCommand struct {
	Bin      string        `help:"Folder with the built programs." default:"bin"`
	Rates    []float64     `help:"Requests per second." default:"50,100,200"`
	Lookups  []float64     `help:"Lookups per second." default:"200,400,800"`
	Duration time.Duration `help:"Time to measure each rate." default:"10s"`
}

// Run measures requests of two services and lookups at each rate, all sent to one
// entry instance.
func (c *requestsCommand) Run(ctx context.Context, out *report) error {
	b, err := startTestbed(ctx, c.Bin, testbedDocument(1, testbedServers))
	if err != nil {
		return err
	}
	defer b.close()
	idle, err := c.measureWindow(ctx, b, func() error { return wait.Sleep(ctx, c.Duration) })
	if err != nil {
		return err
	}
	for _, service := range []string{"catalogue", "deposits"} {
		for _, rate := range c.Rates {
			if err := c.measureRequests(ctx, out, b, service, rate, idle); err != nil {
				return err
			}
		}
	}
	for _, rate := range c.Lookups {
		if err := c.measureLookups(ctx, out, b, rate, idle); err != nil {
			return err
		}
	}
	return nil
}

// measureWindow runs load between two snapshots and returns their difference.
func (c *requestsCommand) measureWindow(ctx context.Context, b *domainTestbed, load func() error) (windowUsage, error) {
	first, err := b.takeSnapshot(ctx)
	if err != nil {
		return windowUsage{}, err
	}
	if err := load(); err != nil {
		return windowUsage{}, err
	}
	last, err := b.takeSnapshot(ctx)
	return windowUsage{
		seconds: last.at.Sub(first.at).Seconds(),
		cpu:     (last.cpu - first.cpu).Seconds(),
		reads:   float64(last.store.Reads - first.store.Reads),
		commits: float64(last.store.Commits - first.store.Commits),
		rows:    float64(last.store.Writes - first.store.Writes),
	}, err
}

// windowUsage is what one entry instance used between two snapshots.
type windowUsage struct {
	seconds, cpu, reads, commits, rows float64
}

// metrics returns the total CPU load, and, less what an idle entry instance uses,
// the CPU time for each of n requests and the commits and writes per second.
func (w windowUsage) metrics(n float64, idle windowUsage) []metric {
	windowRatio := w.seconds / idle.seconds
	return []metric{
		{"cpu_us_each", 1e6 * (w.cpu - idle.cpu*windowRatio) / n},
		{"core_percent", 100 * w.cpu / w.seconds},
		{"commits_per_s", (w.commits - idle.commits*windowRatio) / w.seconds},
		{"writes_per_s", (w.rows - idle.rows*windowRatio) / w.seconds},
	}
}

func (c *requestsCommand) measureRequests(ctx context.Context, out *report, b *domainTestbed, service string, rate float64, idle windowUsage) error {
	callers, err := b.Callers(1, testbedToken)
	if err != nil {
		return err
	}
	stream := loadgen.Stream{Service: service, Rate: rate, Timeout: 2 * time.Second, AtMostOnce: service == "deposits"}
	var results []loadgen.Result
	w, err := c.measureWindow(ctx, b, func() error {
		results = loadgen.Run(ctx, callers, []loadgen.Stream{stream}, c.Duration)
		return ctx.Err()
	})
	if err != nil {
		return err
	}
	answered := 0
	for _, r := range results {
		if r.Outcome == loadgen.OutcomeAnswered {
			answered++
		}
	}
	out.row(fmt.Sprintf("%s, %g/s", service, rate), append(w.metrics(float64(len(results)), idle),
		metric{"answered_share", float64(answered) / float64(len(results))})...)
	return nil
}

func (c *requestsCommand) measureLookups(ctx context.Context, out *report, b *domainTestbed, rate float64, idle windowUsage) error {
	url := "http://" + b.Deployment().EntryInstances[0].CallerAddr + "/v1/lookup?service=catalogue"
	done, failed := 0, 0
	w, err := c.measureWindow(ctx, b, func() error {
		done, failed = sendLookups(ctx, url, rate, c.Duration)
		return ctx.Err()
	})
	if err != nil {
		return err
	}
	out.row(fmt.Sprintf("lookups, %g/s", rate), append(w.metrics(float64(max(1, done)), idle),
		metric{"done", float64(done)}, metric{"failed", float64(failed)})...)
	return nil
}

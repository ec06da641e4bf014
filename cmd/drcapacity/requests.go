package main

import (
	"context"
	"fmt"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	"github.com/dandelionrack/dandelionrack/internal/wait"
)

type requestsCommand struct {
	Bin      string        `help:"Folder of the built programs." default:"bin"`
	Rates    []float64     `help:"Requests per second." default:"50,100,200"`
	Lookups  []float64     `help:"Lookups per second." default:"200,400,800"`
	Duration time.Duration `help:"Time per rate." default:"10s"`
}

// Run sends requests of one kind at each rate to one entry instance.
func (c *requestsCommand) Run(ctx context.Context, out *report) error {
	b, err := startBed(ctx, c.Bin, bedDocument(1, bedServers))
	if err != nil {
		return err
	}
	defer b.close()
	idle, err := c.window(ctx, b, func() error { return wait.Sleep(ctx, c.Duration) })
	if err != nil {
		return err
	}
	for _, service := range []string{"catalogue", "deposits"} {
		for _, rate := range c.Rates {
			if err := c.requests(ctx, out, b, service, rate, idle); err != nil {
				return err
			}
		}
	}
	for _, rate := range c.Lookups {
		if err := c.lookups(ctx, out, b, rate, idle); err != nil {
			return err
		}
	}
	return nil
}

// window runs load between two samples and returns their difference.
func (c *requestsCommand) window(ctx context.Context, b *smallBed, load func() error) (work, error) {
	first, err := b.sample(ctx)
	if err != nil {
		return work{}, err
	}
	if err := load(); err != nil {
		return work{}, err
	}
	last, err := b.sample(ctx)
	return work{
		seconds: last.at.Sub(first.at).Seconds(),
		cpu:     (last.cpu - first.cpu).Seconds(),
		reads:   float64(last.store.Reads - first.store.Reads),
		commits: float64(last.store.Commits - first.store.Commits),
		rows:    float64(last.store.Writes - first.store.Writes),
	}, err
}

// work is what one entry instance did in a window.
type work struct {
	seconds, cpu, reads, commits, rows float64
}

// per takes off what the entry instance does when idle.
func (w work) per(n float64, idle work) []field {
	part := w.seconds / idle.seconds
	return []field{
		{"cpu_us_each", 1e6 * (w.cpu - idle.cpu*part) / n},
		{"core_percent", 100 * w.cpu / w.seconds},
		{"commits_per_s", (w.commits - idle.commits*part) / w.seconds},
		{"writes_per_s", (w.rows - idle.rows*part) / w.seconds},
	}
}

func (c *requestsCommand) requests(ctx context.Context, out *report, b *smallBed, service string, rate float64, idle work) error {
	callers, err := b.Callers(1, bedToken)
	if err != nil {
		return err
	}
	stream := loadgen.Stream{Service: service, Rate: rate, Timeout: 2 * time.Second, AtMostOnce: service == "deposits"}
	var results []loadgen.Result
	w, err := c.window(ctx, b, func() error {
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
	out.row(fmt.Sprintf("%s, %g/s", service, rate), append(w.per(float64(len(results)), idle),
		field{"answered_share", float64(answered) / float64(len(results))})...)
	return nil
}

func (c *requestsCommand) lookups(ctx context.Context, out *report, b *smallBed, rate float64, idle work) error {
	url := "http://" + b.Deployment().EntryInstances[0].CallerAddr + "/v1/lookup?service=catalogue"
	done, failed := 0, 0
	w, err := c.window(ctx, b, func() error {
		done, failed = lookupLoad(ctx, url, rate, c.Duration)
		return ctx.Err()
	})
	if err != nil {
		return err
	}
	out.row(fmt.Sprintf("lookups, %g/s", rate), append(w.per(float64(max(1, done)), idle),
		field{"done", float64(done)}, field{"failed", float64(failed)})...)
	return nil
}

package main

import (
	"context"
	"fmt"
	"time"
)

type idleCommand struct {
	Bin      string        `help:"Folder of the built programs." default:"bin"`
	Entries  []int         `help:"Numbers of entry instances, with no client blocks." default:"1,2,4,8"`
	Blocks   []int         `help:"Numbers of client blocks, with one entry instance." default:"1000,36000,120000,360000"`
	Servers  []int         `help:"Numbers of backend servers, with one entry instance." default:"1,12,48"`
	Duration time.Duration `help:"Time per size." default:"15s"`
}

// Run measures processes that get no request from callers.
func (c *idleCommand) Run(ctx context.Context, out *report) error {
	for _, n := range c.Entries {
		c.measure(ctx, out, fmt.Sprintf("%d entry instances", n), n, bedServers, 0)
	}
	for _, n := range c.Blocks {
		c.measure(ctx, out, fmt.Sprintf("%d client blocks", n), 1, bedServers, n)
	}
	for _, n := range c.Servers {
		c.measure(ctx, out, fmt.Sprintf("%d backend servers", n), 1, n, 0)
	}
	return ctx.Err()
}

func (c *idleCommand) measure(ctx context.Context, out *report, title string, entries, servers, blocks int) {
	b, err := startBed(ctx, c.Bin, bedDocument(entries, servers, blocks))
	if err != nil {
		out.failed(title, err)
		return
	}
	defer b.close()
	first, err := b.sample(ctx)
	if err != nil {
		out.failed(title, err)
		return
	}
	if err := sleep(ctx, c.Duration); err != nil {
		return
	}
	last, err := b.sample(ctx)
	if err != nil {
		out.failed(title, err)
		return
	}
	out.row(title, last.since(first)...)
}

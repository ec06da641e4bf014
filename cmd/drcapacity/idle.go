package main

import (
	"context"
	"fmt"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/config"
)

type idleCommand struct {
	Bin     string `help:"Folder of the built programs." default:"bin"`
	Entries []int  `help:"Numbers of entry instances, with no client blocks." default:"1,2,4,8"`
	Blocks  []int  `help:"Numbers of client blocks, with one entry instance; published by drctl." default:"0,36000,360000"`
	// BlockEntries above 1 show an entry instance that fetches from a peer; the
	// figures are then averages, except those of a restart.
	BlockEntries int           `help:"Numbers of entry instances of the rows with client blocks." default:"1"`
	MaxRun       uint32        `help:"Longest run of neighbouring blocks of one site; 1 compresses worst." default:"16"`
	Servers      []int         `help:"Numbers of backend servers, with one entry instance." default:"1,12,48"`
	Duration     time.Duration `help:"Time per size." default:"15s"`
}

// Run measures processes that get no request from callers.
func (c *idleCommand) Run(ctx context.Context, out *report) error {
	for _, n := range c.Entries {
		c.measure(ctx, out, fmt.Sprintf("%d entry instances", n), bedDocument(n, bedServers))
	}
	for _, n := range c.Blocks {
		title := fmt.Sprintf("%d client blocks", n)
		if err := c.measureBlocks(ctx, out, title, n); err != nil {
			out.failed(title, err)
		}
	}
	for _, n := range c.Servers {
		c.measure(ctx, out, fmt.Sprintf("%d backend servers", n), bedDocument(1, n))
	}
	return ctx.Err()
}

func (c *idleCommand) measure(ctx context.Context, out *report, title string, doc *config.Document) {
	b, err := startBed(ctx, c.Bin, doc)
	if err != nil {
		out.failed(title, err)
		return
	}
	defer b.close()
	if err := c.idle(ctx, out, title, b); err != nil {
		out.failed(title, err)
	}
}

// idle samples a bed for the duration.
func (c *idleCommand) idle(ctx context.Context, out *report, title string, b *smallBed) error {
	first, err := b.sample(ctx)
	if err != nil {
		return err
	}
	if err := wait.Sleep(ctx, c.Duration); err != nil {
		return err
	}
	last, err := b.sample(ctx)
	if err != nil {
		return err
	}
	out.row(title, last.since(first)...)
	return nil
}

// measureBlocks publishes client blocks to one entry instance, changes one of
// them and replaces the entry instance.
func (c *idleCommand) measureBlocks(ctx context.Context, out *report, title string, n int) error {
	doc := bedDocument(c.BlockEntries, bedServers)
	addSites(doc)
	b, err := startBed(ctx, c.Bin, doc)
	if err != nil {
		return err
	}
	defer b.close()
	p, err := newPublisher(b, c.Bin, n, c.MaxRun)
	if err != nil {
		return err
	}
	if n > 0 {
		if err := p.publish(ctx, out, title+", publish"); err != nil {
			return err
		}
	}
	if err := c.idle(ctx, out, title+", idle", b); err != nil {
		return err
	}
	if n > 0 {
		p.moveBlock()
		if err := p.publish(ctx, out, title+", one change"); err != nil {
			return err
		}
		p.moveAll()
		if err := p.publish(ctx, out, title+", all changed"); err != nil {
			return err
		}
	}
	if err := p.restart(ctx, out, title+", restart"); err != nil {
		return err
	}
	return c.idle(ctx, out, title+", idle after it", b)
}

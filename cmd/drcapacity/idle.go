package main

import (
	"context"
	"fmt"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/config"
)

type idleCommand struct {
	Bin     string `help:"Folder with the built programs." default:"bin"`
	Entries []int  `help:"Numbers of entry instances, with no client blocks." default:"1,2,4,8"`
	Blocks  []int  `help:"Numbers of client blocks, with one entry instance; published by drctl." default:"0,36000,360000"`
	// With BlockEntries above 1, one entry instance fetches from its peers, and
	// all values but those of a restart are averages.
	BlockEntries int           `help:"Number of entry instances when client blocks are measured." default:"1"`
	MaxRun       uint32        `help:"Longest run of neighbouring blocks of one site; 1 compresses worst." default:"16"`
	Servers      []int         `help:"Numbers of backend servers, with one entry instance." default:"1,12,48"`
	Duration     time.Duration `help:"Time to measure each size." default:"15s"`
}

// Run measures processes that get no requests from callers.
func (c *idleCommand) Run(ctx context.Context, out *report) error {
	for _, n := range c.Entries {
		c.measure(ctx, out, fmt.Sprintf("%d entry instances", n), testbedDocument(n, testbedServers))
	}
	for _, n := range c.Blocks {
		title := fmt.Sprintf("%d client blocks", n)
		if err := c.measureBlocks(ctx, out, title, n); err != nil {
			out.failedRow(title, err)
		}
	}
	for _, n := range c.Servers {
		c.measure(ctx, out, fmt.Sprintf("%d backend servers", n), testbedDocument(1, n))
	}
	return ctx.Err()
}

func (c *idleCommand) measure(ctx context.Context, out *report, title string, doc *config.Document) {
	b, err := startTestbed(ctx, c.Bin, doc)
	if err != nil {
		out.failedRow(title, err)
		return
	}
	defer b.close()
	if err := c.measureIdle(ctx, out, title, b); err != nil {
		out.failedRow(title, err)
	}
}

// measureIdle measures a running testbed for the duration.
func (c *idleCommand) measureIdle(ctx context.Context, out *report, title string, b *domainTestbed) error {
	first, err := b.takeSnapshot(ctx)
	if err != nil {
		return err
	}
	if err := wait.Sleep(ctx, c.Duration); err != nil {
		return err
	}
	last, err := b.takeSnapshot(ctx)
	if err != nil {
		return err
	}
	out.row(title, last.ratesSince(first)...)
	return nil
}

// measureBlocks publishes client blocks, changes one of them, then all of them,
// and restarts one entry instance.
func (c *idleCommand) measureBlocks(ctx context.Context, out *report, title string, n int) error {
	doc := testbedDocument(c.BlockEntries, testbedServers)
	addSites(doc)
	b, err := startTestbed(ctx, c.Bin, doc)
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
	if err := c.measureIdle(ctx, out, title+", idle", b); err != nil {
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
	return c.measureIdle(ctx, out, title+", idle after it", b)
}

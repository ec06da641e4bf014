package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

type pushCommand struct {
	Peers  []int `help:"Numbers of peers." default:"7,31,63"`
	Blocks []int `help:"Numbers of client blocks in the document." default:"0,1000,36000"`
	Rounds int   `help:"Number of changes at each size." default:"10"`
}

// Run measures pushing documents from one node to all others, as pkg/entry does.
func (c *pushCommand) Run(ctx context.Context, out *report) error {
	for _, blocks := range c.Blocks {
		for _, peers := range c.Peers {
			if err := c.measurePush(ctx, out, peers, blocks); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *pushCommand) measurePush(ctx context.Context, out *report, peers, blocks int) error {
	m, err := startMesh(peers+1, 0)
	if err != nil {
		return err
	}
	defer m.stop()
	doc := sampleDocument(plannedDomains*4, 36, 2, blocks)
	title := fmt.Sprintf("%d peers, %d client blocks", peers, blocks)
	// The first push opens the sessions and is not measured.
	if err := m.pushOnce(ctx, doc); err != nil {
		out.failedRow(title, err)
		return nil
	}
	m.bytes.Store(0)
	cpu, start := selfCPU(), time.Now()
	for range c.Rounds {
		doc.Version++
		if err := m.pushOnce(ctx, doc); err != nil {
			out.failedRow(title, err)
			return nil
		}
	}
	rounds := float64(c.Rounds)
	out.row(title, metric{"wall_ms", millis(time.Since(start)) / rounds},
		metric{"cpu_ms_all_nodes", millis(selfCPU()-cpu) / rounds},
		metric{"sender_bytes", float64(m.bytes.Load()) / rounds})
	return nil
}

func (m *mesh) pushOnce(ctx context.Context, doc *config.Document) error {
	data, err := config.Encode(doc)
	if err != nil {
		return err
	}
	req := &wire.Request{Call: &wire.Request_ConfigPush{ConfigPush: &wire.ConfigPush{Version: doc.Version, Document: data}}}
	ctx, cancel := context.WithTimeout(ctx, 4*callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	failures := make(chan error, len(m.nodes))
	for _, to := range m.nodes[1:] {
		wg.Go(func() {
			if _, err := m.nodes[0].pool.Call(ctx, to.addr, req); err != nil {
				failures <- err
			}
		})
	}
	wg.Wait()
	close(failures)
	return <-failures
}

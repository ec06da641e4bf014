package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// heartbeatInterval is the same as in pkg/entry.
const heartbeatInterval = 200 * time.Millisecond

type heartbeatsCommand struct {
	Nodes    []int         `help:"Numbers of nodes." default:"8,16,32,64"`
	Services int           `help:"Services whose free slots a heartbeat carries." default:"3"`
	Duration time.Duration `help:"Time to measure each size." default:"10s"`
}

// Run measures heartbeats in a full mesh at each size: first as calls, for
// comparison, then as the streams that pkg/entry uses.
func (c *heartbeatsCommand) Run(ctx context.Context, out *report) error {
	c.printMessageSizes(out)
	for _, n := range c.Nodes {
		if err := c.measureCalls(ctx, out, n); err != nil {
			return err
		}
	}
	for _, n := range c.Nodes {
		if err := c.measureStreams(ctx, out, n); err != nil {
			return err
		}
	}
	return nil
}

func (c *heartbeatsCommand) printMessageSizes(out *report) {
	full := newNode("entry-0000", "", 1, c.Services).heartbeat()
	out.row("heartbeat message", metric{"full_bytes", float64(proto.Size(full))},
		metric{"unchanged_bytes", float64(proto.Size(unchangedHeartbeat(1)))})
}

// unchangedHeartbeat is what a stream sends while its state does not change. The
// receiver knows sender and state from earlier messages.
func unchangedHeartbeat(sequence uint64) *wire.Heartbeat {
	return &wire.Heartbeat{Sequence: sequence}
}

// measureCalls measures one call per ordered pair of nodes and interval. The
// same sessions without calls show the cost of session pings.
func (c *heartbeatsCommand) measureCalls(ctx context.Context, out *report, n int) error {
	m, err := startMesh(n, c.Services)
	if err != nil {
		return err
	}
	defer m.stop()
	if _, failed := m.round(ctx); failed > 0 {
		return fmt.Errorf("%d of the first heartbeats failed", failed)
	}
	m.bytes.Store(0)
	cpu, start := selfCPU(), time.Now()
	if err := wait.Sleep(ctx, c.Duration/2); err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	pingCPU := (selfCPU() - cpu).Seconds() / seconds / float64(n)
	pingBytes := float64(m.bytes.Load()) / seconds / float64(n)
	m.bytes.Store(0)
	cpu, start = selfCPU(), time.Now()
	exchanges, failed, rounds, err := m.rounds(ctx, c.Duration)
	if err != nil {
		return err
	}
	seconds = time.Since(start).Seconds()
	nodeCPU := (selfCPU() - cpu).Seconds() / seconds / float64(n)
	// Each byte is counted once, but one node sends it and another receives it, so
	// a node handles twice its share.
	nodeBytes := 2 * float64(m.bytes.Load()) / seconds / float64(n)
	done := float64(exchanges)
	out.row(fmt.Sprintf("calls, %d nodes", n),
		metric{"core_percent_per_node", 100 * nodeCPU}, metric{"bytes_per_s_per_node", nodeBytes},
		metric{"cpu_us_per_exchange", 1e6 * (nodeCPU - pingCPU) * float64(n) * seconds / done},
		metric{"bytes_per_exchange", (nodeBytes/2 - pingBytes) * float64(n) * seconds / done},
		metric{"ping_core_percent_per_node", 100 * pingCPU}, metric{"ping_bytes_per_s_per_node", 2 * pingBytes},
		metric{"rounds_per_s", float64(rounds) / seconds}, metric{"failed", float64(failed)})
	return nil
}

// rounds runs one round per interval, fewer if rounds take longer than that.
func (m *mesh) rounds(ctx context.Context, d time.Duration) (exchanges, failed int64, rounds int, err error) {
	end := time.Now().Add(d)
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for time.Now().Before(end) {
		done, bad := m.round(ctx)
		exchanges += done
		failed += bad
		rounds++
		select {
		case <-t.C:
		case <-ctx.Done():
			return exchanges, failed, rounds, ctx.Err()
		}
	}
	return exchanges, failed, rounds, nil
}

// round sends one heartbeat from each node to each other node.
func (m *mesh) round(ctx context.Context) (done, failed int64) {
	var ok, bad atomic.Int64
	var wg sync.WaitGroup
	for _, from := range m.nodes {
		for _, to := range m.nodes {
			if from == to {
				continue
			}
			wg.Go(func() {
				if from.sendHeartbeat(ctx, to) != nil {
					bad.Add(1)
					return
				}
				ok.Add(1)
			})
		}
	}
	wg.Wait()
	return ok.Load(), bad.Load()
}

package main

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/wait"
	"github.com/dandelionrack/dandelionrack/pkg/peer"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// measureStreams measures the heartbeats of pkg/entry: one stream per ordered pair
// of nodes, one message per interval, and only changed state is sent.
func (c *heartbeatsCommand) measureStreams(ctx context.Context, out *report, n int) error {
	m, err := startMesh(n, c.Services)
	if err != nil {
		return err
	}
	defer m.stop()
	s := &streamMesh{mesh: m}
	if err := s.open(ctx); err != nil {
		return err
	}
	if err := s.round(); err != nil {
		return err
	}
	if err := wait.Sleep(ctx, heartbeatInterval); err != nil {
		return err
	}
	s.sent, m.bytes = 0, atomic.Int64{}
	received := m.received()
	cpu, start := selfCPU(), time.Now()
	for time.Since(start) < c.Duration {
		if err := s.round(); err != nil {
			return err
		}
		if err := wait.Sleep(ctx, heartbeatInterval); err != nil {
			return err
		}
	}
	seconds := time.Since(start).Seconds()
	nodeCPU := (selfCPU() - cpu).Seconds() / seconds / float64(n)
	// Each byte is counted once, but one node sends it and another receives it.
	nodeBytes := 2 * float64(m.bytes.Load()) / seconds / float64(n)
	sent := float64(s.sent)
	out.row(fmt.Sprintf("streams, %d nodes", n),
		metric{"core_percent_per_node", 100 * nodeCPU}, metric{"bytes_per_s_per_node", nodeBytes},
		metric{"cpu_us_per_message", 1e6 * nodeCPU * float64(n) * seconds / sent},
		metric{"bytes_per_message", nodeBytes / 2 * float64(n) * seconds / sent},
		metric{"received_share", float64(m.received()-received) / sent})
	return nil
}

// streamMesh holds the heartbeat streams between all ordered pairs of a mesh.
type streamMesh struct {
	*mesh
	streams []nodeStream
	sent    int64
}

type nodeStream struct {
	from *node
	*peer.HeartbeatStream
}

func (s *streamMesh) open(ctx context.Context) error {
	for _, from := range s.nodes {
		for _, to := range s.nodes {
			if from == to {
				continue
			}
			stream, err := from.pool.OpenHeartbeats(ctx, to.addr, from.receive)
			if err != nil {
				return err
			}
			s.streams = append(s.streams, nodeStream{from: from, HeartbeatStream: stream})
		}
	}
	return nil
}

func (s *streamMesh) round() error {
	for _, stream := range s.streams {
		if err := stream.Send(stream.from.heartbeat()); err != nil {
			return err
		}
		s.sent++
	}
	return nil
}

// received returns the number of heartbeats that arrived on streams.
func (m *mesh) received() int64 {
	var sum int64
	for _, nd := range m.nodes {
		sum += nd.received.Load()
	}
	return sum
}

// HandleHeartbeat handles a heartbeat from a stream as pkg/entry does.
func (nd *node) HandleHeartbeat(_ context.Context, hb *wire.Heartbeat, _ *peer.HeartbeatReplier) {
	nd.received.Add(1)
	nd.receive(hb)
}

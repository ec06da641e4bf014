package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// streams measures the planned form of heartbeats: one session and one stream
// per unordered pair of nodes, both ends write one message per interval, and
// an unchanged state is not repeated.
func (c *heartbeatsCommand) streams(ctx context.Context, out *report, n int) error {
	s := &streamMesh{}
	defer s.stop()
	for i := range n {
		for j := range i {
			if err := s.connect(i, j); err != nil {
				return err
			}
		}
	}
	cpu, start := ownCPU(), time.Now()
	before := s.bytes.Load()
	for time.Since(start) < c.Duration {
		if err := s.round(); err != nil {
			return err
		}
		if err := sleep(ctx, heartbeatInterval); err != nil {
			return err
		}
	}
	seconds := time.Since(start).Seconds()
	nodeCPU := (ownCPU() - cpu).Seconds() / seconds / float64(n)
	nodeBytes := 2 * float64(s.bytes.Load()-before) / seconds / float64(n)
	sent := float64(s.sent.Load())
	out.row(fmt.Sprintf("streams, %d nodes", n),
		field{"core_percent_per_node", 100 * nodeCPU}, field{"bytes_per_s_per_node", nodeBytes},
		field{"cpu_us_per_message", 1e6 * nodeCPU * float64(n) * seconds / sent},
		field{"bytes_per_message", nodeBytes / 2 * float64(n) * seconds / sent},
		field{"received_share", float64(s.received.Load()) / sent})
	return nil
}

// streamMesh is all pairs of one size.
type streamMesh struct {
	ends           []net.Conn
	sessions       []*yamux.Session
	sequence       uint64
	bytes          atomic.Int64
	sent, received atomic.Int64
	wg             sync.WaitGroup
}

func (s *streamMesh) connect(i, j int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	defer l.Close()
	out, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return errors.Wrapf(err, "pair %d, %d", i, j)
	}
	in, err := (&countingListener{Listener: l, bytes: &s.bytes}).Accept()
	if err != nil {
		return errors.Wrapf(err, "pair %d, %d", i, j)
	}
	client, err := yamux.Client(out, streamConfig())
	if err != nil {
		return errors.Wrap(err, "session")
	}
	server, err := yamux.Server(in, streamConfig())
	if err != nil {
		return errors.Wrap(err, "session")
	}
	s.sessions = append(s.sessions, client, server)
	a, err := client.Open()
	if err != nil {
		return errors.Wrap(err, "open stream")
	}
	b, err := server.Accept()
	if err != nil {
		return errors.Wrap(err, "accept stream")
	}
	for _, end := range []net.Conn{a, b} {
		s.ends = append(s.ends, end)
		s.wg.Go(func() { s.read(end) })
	}
	return nil
}

// streamConfig has no session pings, because heartbeats on the stream show
// the same.
func streamConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false
	return cfg
}

func (s *streamMesh) read(end net.Conn) {
	r := bufio.NewReader(end)
	for {
		if protodelim.UnmarshalFrom(r, &wire.Heartbeat{}) != nil {
			return
		}
		s.received.Add(1)
	}
}

func (s *streamMesh) round() error {
	s.sequence++
	// One write, because each write is a frame with a header of 12 bytes.
	var message bytes.Buffer
	if _, err := protodelim.MarshalTo(&message, unchanged(s.sequence)); err != nil {
		return errors.Wrap(err, "encode heartbeat")
	}
	for _, end := range s.ends {
		if _, err := end.Write(message.Bytes()); err != nil {
			return errors.Wrap(err, "write heartbeat")
		}
		s.sent.Add(1)
	}
	return nil
}

func (s *streamMesh) stop() {
	for _, session := range s.sessions {
		_ = session.Close()
	}
	s.wg.Wait()
}

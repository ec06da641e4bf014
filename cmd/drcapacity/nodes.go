package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/membership"
	"github.com/dandelionrack/dandelionrack/pkg/peer"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// callTimeout is long, so that slow calls are measured and not counted as failed.
const callTimeout = 5 * time.Second

// node is the part of an entry instance that speaks the peer protocol.
type node struct {
	id       string
	addr     string
	services int
	pool     *peer.Pool
	server   *peer.Server
	sequence atomic.Uint64
	received atomic.Int64
	holder   config.Holder

	mu      sync.Mutex
	members *membership.Members
}

// mesh is a set of nodes in this process. bytes counts both directions of all
// connections at their accepting ends, without TCP and IP headers.
type mesh struct {
	nodes []*node
	bytes atomic.Int64
	wg    sync.WaitGroup
}

func startMesh(n, services int) (*mesh, error) {
	m := &mesh{}
	var entries []config.EntryInstance
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			m.stop()
			return nil, errors.Wrap(err, "listen")
		}
		nd := newNode(fmt.Sprintf("entry-%04d", i), l.Addr().String(), n, services)
		m.nodes = append(m.nodes, nd)
		entries = append(entries, config.EntryInstance{ID: nd.id, PeerAddr: nd.addr})
		m.wg.Go(func() { _ = nd.server.Serve(&countingListener{Listener: l, bytes: &m.bytes}) })
	}
	for _, nd := range m.nodes {
		nd.members.SetPeers(time.Now(), entries)
	}
	return m, nil
}

func newNode(id, addr string, n, services int) *node {
	nd := &node{id: id, addr: addr, services: services, members: membership.New(membership.Config{Self: id})}
	cfg := peer.Config{Self: id, Incarnation: 1, Handler: nd, MaxSessionsPerAddr: 2 * n, DialTimeout: callTimeout}
	nd.pool = peer.NewPool(cfg)
	nd.server = peer.NewServer(cfg)
	return nd
}

func (m *mesh) stop() {
	for _, nd := range m.nodes {
		nd.pool.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, nd := range m.nodes {
		wg.Go(func() { _ = nd.server.Shutdown(ctx) })
	}
	wg.Wait()
	m.wg.Wait()
}

// Handle handles configuration pushes and heartbeats as pkg/entry does.
func (nd *node) Handle(_ context.Context, req *wire.Request) *wire.Response {
	if push := req.GetConfigPush(); push != nil {
		doc, err := config.Decode(push.GetDocument())
		if err != nil {
			return &wire.Response{Error: err.Error()}
		}
		nd.holder.Offer(doc)
		return &wire.Response{Reply: &wire.Response_Config{Config: &wire.ConfigDocument{Version: nd.holder.Version()}}}
	}
	nd.receive(req.GetHeartbeat())
	return &wire.Response{Reply: &wire.Response_Heartbeat{Heartbeat: nd.heartbeat()}}
}

func (nd *node) receive(hb *wire.Heartbeat) {
	free := make(map[string]int, len(hb.GetFreeSlots()))
	for service, n := range hb.GetFreeSlots() {
		free[service] = int(n)
	}
	nd.mu.Lock()
	defer nd.mu.Unlock()
	nd.members.HandleHeartbeat(time.Now(), hb.GetEntry(), &membership.Heartbeat{
		Incarnation: hb.GetIncarnation(), Sequence: hb.GetSequence(), State: membership.StateReady,
		ConfigVersion: hb.GetConfigVersion(), Free: free, LeavingServers: hb.GetLeavingServers(),
	})
}

func (nd *node) heartbeat() *wire.Heartbeat {
	hb := &wire.Heartbeat{
		Entry: nd.id, Incarnation: uint64(1764000000000) << 20, State: wire.EntryState_ENTRY_STATE_READY,
		ConfigVersion: 100_000, Sequence: nd.sequence.Add(1), FreeSlots: map[string]int32{},
	}
	for i := range nd.services {
		hb.FreeSlots[fmt.Sprintf("service-%d", i)] = 3
	}
	return hb
}

// sendHeartbeat calls a peer with a heartbeat and handles the one in the response.
func (nd *node) sendHeartbeat(ctx context.Context, to *node) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := nd.pool.Call(ctx, to.addr, &wire.Request{Call: &wire.Request_Heartbeat{Heartbeat: nd.heartbeat()}})
	if err != nil {
		return err
	}
	nd.receive(resp.GetHeartbeat())
	return nil
}

// countingListener counts the bytes of the connections it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that a backend server has received.
type arrival struct {
	id, method, target, server, service string
	at                                  time.Time
	ran                                 bool
}

// arrivals collects what the backend servers have received.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(x arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, x)
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.list...)
}

// backend is a stand-in of a backend server.
type backend struct {
	id, service, zone string
	slots             int
	work              time.Duration
	size              int // of a body, if it is longer than the text
	born              time.Time
	rec               *record
	seen              *arrivals
	addr              string
	server            *http.Server

	mu       sync.Mutex
	seq      int
	draining bool
	running  int
}

// startBackend starts a backend server on an address of its own.
func startBackend(b *backend, ip string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	b.addr, b.born = l.Addr().String(), time.Now()
	b.server = &http.Server{Handler: http.HandlerFunc(b.handle), IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	return nil
}

// entry returns what the server registers.
func (b *backend) entry(state string) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	return map[string]any{
		"service": b.service, "address": b.addr, "zone": b.zone, "version": "v1", "slots": b.slots,
		"state": state, "cold_remaining": "0ms", "seq": b.seq, "born": b.born.UnixMilli(),
	}
}

func (b *backend) handle(w http.ResponseWriter, r *http.Request) {
	reached := time.Now()
	h := w.Header()
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	h.Set("X-Instance-Id", b.id)
	b.mu.Lock()
	draining, running := b.draining, b.running
	b.mu.Unlock()
	h.Set("X-Backend-Load", fmt.Sprintf("%d,0,%d", running, b.slots))
	if draining {
		h.Set("Connection", "close")
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	x := arrival{id: r.Header.Get("X-Request-Id"), method: r.Method, target: r.URL.RequestURI(), server: b.id, service: b.service, at: reached}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != b.id {
		b.seen.add(x)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	if b.running >= b.slots {
		b.mu.Unlock()
		b.seen.add(x)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.running++
	b.mu.Unlock()
	x.ran = true
	b.seen.add(x)
	b.rec.addAt(reached, "%s runs %s (%s %s, %d bytes, %s ms left)", b.id, x.id, x.method, x.target, len(body), r.Header.Get("X-Request-Deadline"))
	left, _ := strconv.Atoi(r.Header.Get("X-Request-Deadline"))
	late := left > 0 && time.Duration(left)*time.Millisecond < b.work
	if late {
		time.Sleep(time.Duration(left) * time.Millisecond)
	} else {
		time.Sleep(b.work)
	}
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	text := b.id + " ran " + x.id + "\n"
	h.Set("X-Backend-Signature", "3e1b.07.5a2.600.0."+x.id)
	if late {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	_, _ = io.WriteString(w, padded(text, b.size))
}

// exit ends the server at once, with its connections.
func (b *backend) exit() {
	b.rec.add("%s exits", b.id)
	_ = b.server.Close()
}

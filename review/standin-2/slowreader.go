package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	grace = 6 * time.Second
	// downloadBytes is the largest body of the download class of the site.
	downloadBytes = 540_000
	downloadLimit = 4 * time.Second
	// The buffers between a client and an entry instance are those of an Ethernet link:
	// the loopback interface alone would take a whole body at once.
	clientSegment = 1460
	clientBuffer  = 16 << 10
)

// slowReader lets clients read their downloads slowly while a machine is stopped: not
// for pause, from the head of the answer on.
func slowReader(b *bed, trouble bool, pause time.Duration) (int, error) {
	const host, prefix = "jepu9.example", "/xapu221/"
	r := route{Name: "r-exd9dnn", Host: host, Prefix: prefix, Kind: "download", Service: "wuno96b", Timeout: downloadLimit, Aim: 500 * time.Millisecond, Attempts: 2}
	b.store.put("op", "config", desiredState(5, []route{r}, []string{"wuno96b"}))
	for _, s := range []*backend{
		{id: "i-a92b70f5", service: "wuno96b", zone: "attiki-a", slots: 9, work: 720 * time.Millisecond, size: downloadBytes},
		{id: "i-7f3a91c2", service: "wuno96b", zone: "attiki-b", slots: 9, work: 720 * time.Millisecond, size: downloadBytes},
	} {
		if err := b.backend(s); err != nil {
			return 2, err
		}
	}
	if err := b.start([]machine{{"attiki-a", "attiki", "edge-attiki-a-1"}, {"attiki-b", "attiki", "edge-attiki-b-1"}, {"makedonia-a", "makedonia", "edge-makedonia-a-1"}}); err != nil {
		return 2, err
	}
	if err := b.waitReady(15 * time.Second); err != nil {
		return 2, err
	}
	time.Sleep(8 * time.Second) // traffic starts 8 s after the machines

	x := b.nodes[0]
	front := x.ip + ":" + frontPort
	addrs, ttl, err := resolve(b.nodes[1].ip+":"+directoryPort, host, x.region, x.zone)
	if err != nil {
		return 2, err
	}
	if !slices.Contains(addrs, front) {
		return 2, fmt.Errorf("the directory doesn't name %s: %v", front, addrs)
	}
	resolved := time.Now()
	b.rec.say("the directory names %v for %v", addrs, ttl)
	start := time.Now()
	if trouble {
		b.signal(syscall.SIGTERM, x)
		b.rec.say("%s gets SIGTERM", x.name)
		kill := time.AfterFunc(grace, func() { b.signal(syscall.SIGKILL, x) })
		defer kill.Stop()
	}
	// Clients whose response of the directory is up to three times its ttl old.
	results := make(chan answered, 100)
	sent := 0
	for d := 2200 * time.Millisecond; d <= 2600*time.Millisecond; d += 100 * time.Millisecond {
		time.Sleep(time.Until(start.Add(d)))
		if time.Since(resolved) > 3*ttl {
			return 2, fmt.Errorf("a response of the directory counts for %v only", ttl)
		}
		sent++
		go func() { results <- downloadSlowly(b.rec, front, host, prefix+"ny95/2f", pause) }()
	}
	cut, served, refused := 0, 0, 0
	for range sent {
		a := <-results
		switch {
		case a.status == http.StatusOK && a.cause == "":
			served++
		case a.status == http.StatusServiceUnavailable:
			refused++
		case a.ended.Sub(a.sent) < downloadLimit && b.ran(a.id):
			cut++
			b.rec.say("%s, sent %v after SIGTERM, ends %v after it, %v before its time limit: %s", a.id,
				a.sent.Sub(start).Round(time.Millisecond), a.ended.Sub(start).Round(time.Millisecond), (downloadLimit - a.ended.Sub(a.sent)).Round(time.Millisecond), a.cause)
		}
	}
	b.rec.say("LOST: of %d downloads %d were served, %d refused, and %d passed on to a backend server and ended without a complete answer before their time limit", sent, served, refused, cut)
	for _, line := range x.lines("stopp") {
		b.rec.add("%s logs %s", x.name, line)
	}
	switch {
	case cut > 0:
		return 1, nil
	case served+refused < sent:
		return 2, fmt.Errorf("only %d of %d downloads were answered", served+refused, sent)
	}
	return 0, nil
}

// ran reports whether a backend server has run a request.
func (b *bed) ran(id string) bool {
	return slices.ContainsFunc(b.seen.all(), func(a arrival) bool { return a.id == id && a.ran })
}

// resolve asks a directory for the addresses of a host.
func resolve(directory, host, region, zone string) (addrs []string, ttl time.Duration, err error) {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + directory + "/api/resolve?" + url.Values{"name": {host}, "region": {region}, "zone": {zone}}.Encode())
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	var out struct {
		Addrs []string `json:"addrs"`
		TTL   string   `json:"ttl"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return nil, 0, err
	}
	ttl, err = time.ParseDuration(out.TTL)
	return out.Addrs, ttl, err
}

// downloadSlowly sends a request on a new connection and reads the body of the answer
// after a pause, well before its time limit.
func downloadSlowly(rec *record, addr, host, path string, pause time.Duration) answered {
	a := answered{id: newID(), sent: time.Now()}
	rec.addAt(a.sent, "client sends %s (GET %s, limit %d ms) to %s", a.id, path, downloadLimit.Milliseconds(), addr)
	read := 0
	end := func(cause string) answered {
		a.ended, a.cause = time.Now(), cause
		rec.add("client has status %d and %d bytes for %s after %d ms: %s", a.status, read, a.id, a.ended.Sub(a.sent).Milliseconds(), cause)
		return a
	}
	dialer := net.Dialer{Timeout: time.Second, ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, clientSegment)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, clientBuffer)
		})
	}}
	c, err := dialer.Dial("tcp", addr)
	if err != nil {
		return end(err.Error())
	}
	defer c.Close()
	_ = c.SetDeadline(a.sent.Add(downloadLimit))
	head := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\n\r\n", path, host, a.id, downloadLimit.Milliseconds())
	if _, err := io.WriteString(c, head); err != nil {
		return end(err.Error())
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 4<<10), &http.Request{Method: http.MethodGet})
	if err != nil {
		return end(err.Error())
	}
	a.status, a.signed = resp.StatusCode, resp.Header.Get("X-Backend-Signature") != ""
	time.Sleep(pause)
	n, err := io.Copy(io.Discard, resp.Body)
	read = int(n)
	if err != nil {
		return end(err.Error())
	}
	if a.status == http.StatusOK && read != downloadBytes {
		return end(fmt.Sprintf("body of %d bytes", read))
	}
	return end("")
}

// padded extends a text to a size.
func padded(text string, size int) string {
	return text + strings.Repeat(".", max(0, size-len(text)))
}

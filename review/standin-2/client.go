package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// answered is what a client has got for one attempt.
type answered struct {
	id          string
	sent, ended time.Time
	status      int // 0: none
	signed      bool
	body, cause string
}

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x1c41d07be0000000+lastID.Add(1)) }

// sendOnce sends one request on a new connection and reads its answer.
func sendOnce(rec *record, addr, host, method, path, body string, limit time.Duration) answered {
	a := answered{id: newID(), sent: time.Now()}
	rec.addAt(a.sent, "client sends %s (%s %s, limit %d ms) to %s", a.id, method, path, limit.Milliseconds(), addr)
	defer func() {
		if a.status == 0 {
			rec.add("client has no answer to %s: %s", a.id, a.cause)
			return
		}
		rec.add("client has %d for %s after %d ms, signed %v: %s", a.status, a.id, a.ended.Sub(a.sent).Milliseconds(), a.signed, strings.TrimSpace(a.body))
	}()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		a.ended, a.cause = time.Now(), err.Error()
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(a.sent.Add(limit))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nCookie: X-Affinity-Key=17\r\nX-Request-Deadline: %d\r\n", method, path, host, a.id, limit.Milliseconds())
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
		a.ended, a.cause = time.Now(), err.Error()
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		a.ended, a.cause = time.Now(), err.Error()
		return a
	}
	data, err := io.ReadAll(resp.Body)
	a.ended = time.Now()
	if err != nil {
		a.cause = err.Error()
		return a
	}
	a.status, a.body, a.signed = resp.StatusCode, string(data), resp.Header.Get("X-Backend-Signature") != ""
	return a
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Reply is what a client sees of one attempt.
type Reply struct {
	Status  int // 0: the connection ended without an answer
	Signed  bool
	Body    string
	Whole   bool // the answer looks complete to the client
	Opened  bool // the connection was opened
	EndedAt time.Time
	Err     error
}

// Send makes one attempt on a new connection: one request with a body of size
// bytes, and its answer.
func Send(addr, method, path, id, object string, size int, limit time.Duration) Reply {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return Reply{Err: err, EndedAt: time.Now()}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit + time.Second))
	rep := Reply{Opened: true}
	go func() {
		_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nCookie: X-Affinity-Key=%s\r\nX-Request-Deadline: %d\r\nContent-Length: %d\r\n\r\n",
			method, path, host, id, object, limit.Milliseconds(), size)
		if err == nil {
			_, _ = c.Write(make([]byte, size)) // the answer may come before
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		rep.Err, rep.EndedAt = err, time.Now()
		return rep
	}
	data, err := io.ReadAll(resp.Body)
	rep.Status, rep.Signed, rep.Body, rep.Whole, rep.Err, rep.EndedAt = resp.StatusCode, resp.Header.Get("X-Backend-Signature") != "", string(data), err == nil, err, time.Now()
	return rep
}

package sendonce

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// longBody exceeds what the kernel takes while the server does not read.
	longBody = 8 << 20
	// settle is longer than loopback needs to deliver a part of a response.
	settle = 20 * time.Millisecond
)

var wholeBody = strings.Repeat("0123456789", 300)

// framings holds a whole response in each framing.
var framings = map[string]string{
	"no length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + wholeBody,
	"length":    fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(wholeBody), wholeBody),
	"chunks":    fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(wholeBody), wholeBody),
}

// sendLong sends a request with a long body to a server that reads some of it and
// then calls respond. It returns the body of the response.
func sendLong(t *testing.T, read int64, respond func(c *net.TCPConn)) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ended := make(chan struct{})
	defer func() {
		_ = l.Close()
		<-ended
	}()
	go func() {
		defer close(ended)
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_ = c.(*net.TCPConn).SetReadBuffer(64 << 10)
		req, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, req.Body, read); err == nil {
			respond(c.(*net.TCPConn))
		}
	}()
	client := New(Options{})
	defer client.CloseIdle()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	resp, err := client.Send(ctx, Request{Method: http.MethodPost, URL: "http://" + l.Addr().String(), Body: make([]byte, longBody)})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against a part of a response that counts as whole because its server
// crashed or reset the connection. The kernel reports a reset once. If the goroutine
// that writes the request body gets the report, reading ends without an error.
func TestConnectionFailsDuringResponse(t *testing.T) {
	for framing, response := range framings {
		head := strings.Index(response, "\r\n\r\n")
		for stage, sent := range map[string]int{
			"in the head": head, "half of the body": head + len(wholeBody)/2, "last byte missing": len(response) - 1,
		} {
			for bodyState, read := range map[string]int64{"unread": 0, "half read": longBody / 2, "read": longBody} {
				for end, linger := range map[string]int{"crash": -1, "reset": 0} {
					if framing == "no length" && stage != "in the head" && bodyState == "read" && end == "crash" {
						// The end of a process whose sockets have no unread bytes
						// ends the connection in order, like a whole response.
						continue
					}
					t.Run(strings.Join([]string{framing, stage, "request body " + bodyState, end}, "/"), func(t *testing.T) {
						body, err := sendLong(t, read, func(c *net.TCPConn) {
							_, _ = io.WriteString(c, response[:sent])
							time.Sleep(settle)
							_ = c.SetLinger(linger)
							_ = c.Close()
						})
						assert.Error(t, err, "%d bytes count as whole", len(body))
					})
				}
			}
		}
	}
}

package upstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// idleMargin is taken off the idle time that a server announces: the time a
// request needs to reach it (55 ms one way) and the rounding to seconds.
const idleMargin = 700 * time.Millisecond

type conn struct {
	nc        net.Conn
	tcp       *net.TCPConn
	r         *bufio.Reader
	used      bool // carried a request before
	answered  bool // something arrived for the present request
	idleSince time.Time
	connect   time.Duration // time to open it, about one round trip
	expires   time.Time     // by the Keep-Alive header of the server
}

const (
	// forgottenLeast is the idle time below which a reset has another cause.
	forgottenLeast = 50 * time.Millisecond
	// resetSlack is added to a round trip for the reset of a connection that
	// the server does not know any more. A server that resets a request which
	// it ran takes the time of the work, 50 ms and more.
	resetSlack = 10 * time.Millisecond
)

// forgotten reports whether a failed request met a connection that its server
// had forgotten: the reset came at once, after some idle time.
func (c *conn) forgotten(now time.Time, t Timing) bool {
	return t.Reused && !c.answered && t.Idle >= forgottenLeast && now.Sub(t.SentAt) <= c.connect+resetSlack
}

func (c *conn) abort() { _ = c.nc.Close() } // the exchange sees the closed connection

// limitSilence ends a connection whose peer does not acknowledge what was sent.
func limitSilence(c *net.TCPConn, after time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "limit silence")
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
	})
	if err == nil {
		err = failure
	}
	if err != nil {
		return errors.Wrap(err, "limit silence")
	}
	return nil
}

// quiet reports whether nothing has arrived on an idle connection: neither its
// end nor bytes that belong to no request.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	if c.tcp == nil {
		return true
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, failure := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = failure == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// exchange writes the request and reads its answer.
func (c *conn) exchange(r Request, t *Timing) (*Response, bool, error) {
	head := encodeHead(r)
	t.SentAt = time.Now()
	c.answered = false
	written, err := c.write(head, r.Body)
	if err != nil {
		return nil, false, &Error{Sent: true, Err: err}
	}
	answer, reusable, err := c.readAnswer(r, t)
	c.used = true
	if written != nil {
		// The server may answer before it has read a long body. What it would
		// read next on this connection is the rest of that body.
		select {
		case failure := <-written:
			reusable = reusable && failure == nil
		default:
			reusable = false
		}
	}
	if err != nil {
		return nil, false, &Error{Sent: true, Err: err}
	}
	return answer, reusable, nil
}

// write sends head and body. A long body is written beside the reading of the
// answer; the channel then gets the result.
func (c *conn) write(head, body []byte) (<-chan error, error) {
	if len(body) <= writeAhead {
		_, err := c.nc.Write(append(head, body...))
		return nil, err
	}
	if _, err := c.nc.Write(head); err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.nc.Write(body)
		done <- err
	}()
	return done, nil
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEndHeaders returns the headers that are passed on.
func EndToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	var named []string
	for _, line := range h["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			named = append(named, http.CanonicalHeaderKey(strings.TrimSpace(token)))
		}
	}
	for name, values := range h {
		if !slices.Contains(hopHeaders, name) && !slices.Contains(named, name) {
			out[name] = values
		}
	}
	return out
}

func encodeHead(r Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), writeAhead))
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readAnswer reads the answer that belongs to the request and skips late
// answers to earlier requests on the connection.
func (c *conn) readAnswer(r Request, t *Timing) (*Response, bool, error) {
	for {
		resp, err := http.ReadResponse(c.r, &http.Request{Method: r.Method})
		if err != nil {
			return nil, false, errors.Wrap(err, "read answer")
		}
		c.answered = true
		if resp.StatusCode < http.StatusOK {
			continue // an interim response
		}
		if r.Matches(resp) {
			return c.readBody(r, resp, t.MismatchedResponses == 0)
		}
		t.MismatchedResponses++
		if !c.used || t.MismatchedResponses > maxForeign || !hasKnownEnd(r.Method, resp) {
			return nil, false, errors.New("the answer belongs to another request")
		}
		if err := discard(resp.Body); err != nil {
			return nil, false, errors.Wrap(err, "skip a late answer to an earlier request")
		}
	}
}

func hasKnownEnd(method string, resp *http.Response) bool {
	return resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked") ||
		method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

// readBody reads a body to its end. A body without a length is whole if its
// connection ends in order; a reset is an error.
func (c *conn) readBody(r Request, resp *http.Response, clean bool) (*Response, bool, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	if err != nil {
		return nil, false, errors.Wrap(err, "the answer is not whole")
	}
	if len(body) > MaxResponseBytes {
		return nil, false, errors.Errorf("the answer is larger than %d bytes", MaxResponseBytes)
	}
	c.noteKeepAlive(resp.Header.Get("Keep-Alive"))
	reusable := clean && !resp.Close && hasKnownEnd(r.Method, resp) && c.r.Buffered() == 0
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, reusable, nil
}

// noteKeepAlive reads "timeout=N" in seconds.
func (c *conn) noteKeepAlive(value string) {
	for part := range strings.SplitSeq(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(number); err == nil {
			c.expires = time.Now().Add(time.Duration(seconds)*time.Second - idleMargin)
		}
	}
}

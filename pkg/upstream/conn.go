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
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/dandelionrack/dandelionrack/internal/bytebudget"
	"github.com/dandelionrack/dandelionrack/internal/sendonce"
)

// keepAliveMargin is subtracted from the idle timeout that a server announces. It
// covers the one-way latency to the server (55 ms) and rounding to whole seconds.
const keepAliveMargin = 700 * time.Millisecond

// conn is a connection to a backend server that carries one request at a time.
type conn struct {
	nc          net.Conn
	tcp         *net.TCPConn
	r           *bufio.Reader
	limited     *io.LimitedReader // what r reads from; see limitHead
	used        bool              // has carried a request before
	responded   bool              // a response to the current request has begun to arrive
	unframed    bool              // the body of the response had neither a length nor chunks
	idleSince   time.Time
	connectTime time.Duration // time to open the connection, about one round trip
	expires     time.Time     // from the server's Keep-Alive header
	watcher     *sendWatcher
	// receiveBuffer is the size of the kernel's receive buffer.
	receiveBuffer int
	body          growingReader // of the current response
	userTimeout   time.Duration // the TCP_USER_TIMEOUT while the connection is not watched
	sending       atomic.Bool   // a request is being written
	watched       atomic.Bool   // the watcher replaces TCP_USER_TIMEOUT
	silent        atomic.Bool   // ended by the watcher
	// probesBounded is set once the time between window probes is bounded; for the
	// watcher only.
	probesBounded bool
}

const (
	// minStaleIdle is the idle time below which a reset is not attributed to a
	// stale connection.
	minStaleIdle = 50 * time.Millisecond
	// resetSlack is added to the round trip within which a server resets a
	// connection that it no longer knows. A reset after the server has run the
	// request comes later: service times are 50 ms or more.
	resetSlack = 10 * time.Millisecond
)

// closedAtOnce reports whether the connection failed within a round trip after the
// request was sent, before any response: the server had dropped an idle connection,
// or nothing accepts requests at its address.
func (c *conn) closedAtOnce(now time.Time, t Timing) bool {
	return !c.responded && now.Sub(t.SentAt) <= c.connectTime+resetSlack
}

// abort closes the connection. With TCP_USER_TIMEOUT back in force, the kernel soon
// drops what the server has not taken.
func (c *conn) abort() {
	_ = c.endWatch() // the connection is given up
	_ = c.nc.Close() // roundTrip reports the closed connection
}

// setUserTimeout sets TCP_USER_TIMEOUT, which closes a connection whose sent data
// stays unacknowledged for that long.
func setUserTimeout(c *net.TCPConn, after time.Duration) error {
	return setTCPOption(c, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
}

// noPendingInput reports whether an idle connection is open and has no unread
// bytes, which would belong to no request.
func (c *conn) noPendingInput() bool {
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
	empty := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, failure := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = failure == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// roundTrip writes the request and reads its response.
func (c *conn) roundTrip(r Request, t *Timing) (*Response, bool, error) {
	head := encodeHead(r)
	t.SentAt = time.Now()
	c.responded = false
	written, err := c.write(head, r.Body)
	if err != nil {
		return nil, false, &Error{Sent: true, Err: err}
	}
	response, reusable, err := c.readResponse(r, t)
	c.used = true
	if err == nil && c.unframed {
		// Reading does not show each reset.
		if err = c.confirmEnd(written); err != nil {
			release(r.Budget, response.Acquired)
			return nil, false, &Error{Sent: true, Err: errors.Wrap(err, "incomplete response")}
		}
		return response, false, nil
	}
	if written != nil {
		// The server may respond before it has read a long body. It would then
		// read the rest of that body as the next request.
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
	return response, reusable, nil
}

// write sends head and body. A long body is written concurrently with reading the
// response; the returned channel then receives the result.
func (c *conn) write(head, body []byte) (<-chan error, error) {
	if len(head)+len(body) > smallRequest {
		c.sending.Store(true)
		c.watcher.add(c)
	}
	if len(body) <= maxInlineBody {
		_, err := c.nc.Write(append(head, body...))
		c.sending.Store(false)
		return nil, err
	}
	if _, err := c.nc.Write(head); err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.nc.Write(body)
		c.sending.Store(false)
		done <- err
	}()
	return done, nil
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// EndToEndHeaders returns h without the hop-by-hop headers and those that
// Connection names.
func EndToEndHeaders(h http.Header) http.Header {
	out := make(http.Header, len(h))
	named := map[string]bool{} // a client may name thousands
	for _, line := range h["Connection"] {
		for token := range strings.SplitSeq(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(token))] = true
		}
	}
	for name, values := range h {
		if !slices.Contains(hopByHopHeaders, name) && !named[name] {
			out[name] = values
		}
	}
	return out
}

func encodeHead(r Request) []byte {
	var b bytes.Buffer
	b.Grow(512 + min(len(r.Body), maxInlineBody))
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

// limitHead makes reading fail once the head of a response exceeds maxHeadBytes: a
// faulty server may send bytes without end.
func (c *conn) limitHead() { c.limited.N = maxHeadBytes }

// limitBody makes reading fail once the encoding of a body (chunk headers, extensions
// and trailers) takes maxBodyOverhead more bytes than twice the body. Each chunk takes
// processor time, which a server that sends chunks of a byte took from all other
// requests until the deadline.
func (c *conn) limitBody(body io.Reader) io.Reader {
	c.limited.N = maxBodyOverhead
	return &encodedBody{body, c.limited}
}

// encodedBody permits its connection to read as many bytes as it has decoded, twice.
type encodedBody struct {
	io.Reader
	connection *io.LimitedReader
}

func (b *encodedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.connection.N += 2 * int64(n)
	return n, err
}

// readResponse reads the response that belongs to the request and skips late
// responses to earlier requests on the connection.
func (c *conn) readResponse(r Request, t *Timing) (response *Response, reusable bool, err error) {
	c.limitHead()
	memory := headMemory{budget: r.Budget}
	defer func() {
		release(r.Budget, memory.buffer)
		if response == nil {
			memory.releaseHead()
			return
		}
		response.Acquired += memory.head
		if reusable {
			c.shrinkBuffer()
		}
	}()
	for interim := 0; ; {
		if err := c.bufferHead(&memory); err != nil {
			return nil, false, errors.Wrap(err, "read answer")
		}
		resp, err := http.ReadResponse(c.r, &http.Request{Method: r.Method})
		if err != nil {
			return nil, false, errors.Wrap(shortenError(err), "read answer")
		}
		c.responded = true
		if !sendonce.ValidStatus(resp.StatusCode) {
			return nil, false, errors.Errorf("status %q is none of HTTP", resp.Status)
		}
		if resp.StatusCode < http.StatusOK {
			if interim++; interim > maxInterim {
				return nil, false, errors.Errorf("more than %d interim responses", maxInterim)
			}
			continue
		}
		body := c.limitBody(resp.Body)
		if r.Matches(resp) {
			return c.readBody(r, resp, body, t.MismatchedResponses == 0)
		}
		t.MismatchedResponses++
		if !c.used || t.MismatchedResponses > maxMismatched || !hasKnownEnd(r.Method, resp) {
			return nil, false, errors.New("response belongs to another request")
		}
		if err := discard(body); err != nil {
			return nil, false, errors.Wrap(err, "skip late response to an earlier request")
		}
		c.limitHead()
	}
}

// hasKnownEnd reports whether the end of the body is known without the connection
// being closed.
func hasKnownEnd(method string, resp *http.Response) bool {
	return resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked") ||
		method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

// readBody reads a body to its end. A body without a length is complete if the
// connection is closed in order; a reset is an error.
func (c *conn) readBody(r Request, resp *http.Response, from io.Reader, noneSkipped bool) (*Response, bool, error) {
	if resp.ContentLength > MaxResponseBytes && r.Method != http.MethodHead {
		return nil, false, errors.Errorf("response is larger than %d bytes", MaxResponseBytes)
	}
	c.body = growingReader{Reader: from, conn: c}
	body, acquired, err := readAll(io.LimitReader(&c.body, MaxResponseBytes+1), resp.ContentLength, r.Budget)
	if err != nil {
		return nil, false, errors.Wrap(err, "incomplete response")
	}
	if len(body) > MaxResponseBytes {
		release(r.Budget, acquired)
		return nil, false, errors.Errorf("response is larger than %d bytes", MaxResponseBytes)
	}
	c.applyKeepAlive(resp.Header.Get("Keep-Alive"))
	c.unframed = !hasKnownEnd(r.Method, resp)
	reusable := noneSkipped && !resp.Close && !c.unframed && c.r.Buffered() == 0 && c.shrinkReceiveBuffer()
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Acquired: acquired}, reusable, nil
}

// maxReusedReceiveBuffer is the largest receive buffer of a connection that is reused, that
// of a body of 2 MiB: a server may still fill the window that it was given.
const maxReusedReceiveBuffer = 512 << 10

// shrinkReceiveBuffer restores the receive buffer of a connection before it is reused. It
// reports false if that has been too large.
func (c *conn) shrinkReceiveBuffer() bool {
	if c.receiveBuffer > maxReusedReceiveBuffer {
		return false
	}
	if c.receiveBuffer > receiveBuffer {
		c.setReceiveBuffer(receiveBuffer)
	}
	return true
}

func (c *conn) setReceiveBuffer(size int) {
	c.receiveBuffer = size
	_ = c.tcp.SetReadBuffer(size) // fails if the connection is closed, as its next use does then
}

// growingReader reads a body and lets the receive buffer of its connection grow.
type growingReader struct {
	io.Reader
	conn *conn
	read int
}

func (g *growingReader) Read(p []byte) (int, error) {
	n, err := g.Reader.Read(p)
	g.read += n
	if size := g.read / receiveBufferDivisor; g.conn.tcp != nil && size >= 2*g.conn.receiveBuffer {
		g.conn.setReceiveBuffer(size)
	}
	return n, err
}

// readAll reads to the end and returns the bytes that it acquired from the budget.
// After an error these are released.
func readAll(from io.Reader, length int64, budget *bytebudget.Budget) ([]byte, int64, error) {
	if budget == nil {
		body, err := io.ReadAll(from)
		return body, 0, err
	}
	return budget.ReadAll(from, length)
}

func release(budget *bytebudget.Budget, n int64) {
	if budget != nil {
		budget.Release(n)
	}
}

// applyKeepAlive sets the expiry from "timeout=N", in seconds, of a Keep-Alive
// header.
func (c *conn) applyKeepAlive(value string) {
	for part := range strings.SplitSeq(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(number); err == nil {
			c.expires = time.Now().Add(time.Duration(seconds)*time.Second - keepAliveMargin)
		}
	}
}

package httpserver

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

const (
	// freeHeadBytes and freeHeadLines bound a head that is not counted: the bound of
	// open connections bounds the sum of these. Requests have some 10 lines and 500
	// bytes; a browser sends 20 lines.
	freeHeadBytes = 2 << 10
	freeHeadLines = 32
	// byteCost and lineCost estimate the memory that a head takes. A byte is in the
	// receive buffer, in a string, and in the head that is sent on. A line is an entry
	// of two maps, with a slice and two strings, of which garbage remains until it is
	// collected.
	byteCost = 4
	lineCost = 256
	// minLineBytes is the size of the shortest header line. The lines of an encrypted
	// head are not known before it is complete, and assumed to be that short.
	minLineBytes = 4
	// refusalLinger bounds how long a connection is read on after a refusal, so that
	// its close does not drop the refusal before the client has read it.
	refusalLinger      = 500 * time.Millisecond
	refusalLingerBytes = 64 << 10
	// refusalRetryAfter is sent with the default refusal.
	refusalRetryAfter = time.Second
)

// errHeadMemory ends a connection whose head does not fit into the memory for heads.
var errHeadMemory = errors.New("memory limit for request heads reached")

// HeadMemory bounds the memory that the heads of requests take together, from their
// first byte to the end of their requests. Small heads are not counted. A head is
// accepted in any case if no other one is counted. It is safe for concurrent use, and
// several servers may share it.
type HeadMemory struct {
	limit   int64
	used    atomic.Int64
	refused atomic.Int64
}

// NewHeadMemory returns an unused HeadMemory of a number of bytes.
func NewHeadMemory(limit int64) *HeadMemory { return &HeadMemory{limit: limit} }

// Used returns the estimated bytes of the counted heads.
func (m *HeadMemory) Used() int64 { return m.used.Load() }

// Refused returns the number of requests that were refused so far.
func (m *HeadMemory) Refused() int64 { return m.refused.Load() }

// grow counts n more bytes for a head for which held bytes are counted already, and
// reports whether there is room.
func (m *HeadMemory) grow(held, n int64) bool {
	if used := m.used.Add(n); used > m.limit && used > held+n {
		m.used.Add(-n)
		m.refused.Add(1)
		return false
	}
	return true
}

func (m *HeadMemory) release(n int64) { m.used.Add(-n) }

// headSize is the size of a head.
type headSize struct{ bytes, lines int }

// cost returns the bytes that are counted for a head.
func (h headSize) cost() int64 {
	if h.bytes <= freeHeadBytes && h.lines <= freeHeadLines {
		return 0
	}
	return int64(h.bytes)*byteCost + int64(h.lines)*lineCost
}

// sizeOf returns the size of a head that has been read.
func sizeOf(r *http.Request) headSize {
	h := headSize{bytes: len(r.RequestURI) + len(r.Host)}
	for name, values := range r.Header {
		h.lines += len(values)
		for _, v := range values {
			h.bytes += len(name) + len(v)
		}
	}
	return h
}

// headReader follows the head that is being read from a connection.
type headReader struct {
	memory    *HeadMemory // nil: no bound
	encrypted bool
	size      headSize
	lineBytes int  // of the current line, without its end
	started   bool // a line that is not empty has begun
	complete  bool // the empty line after the head has been read
	held      int64
}

// read counts bytes that were read from the connection. It reports whether the head
// still fits into the memory.
func (h *headReader) read(p []byte) bool {
	if h.memory == nil || h.complete {
		return true
	}
	if h.encrypted {
		h.size.bytes += len(p)
		h.size.lines = h.size.bytes / minLineBytes
	} else {
		h.scan(p)
	}
	return h.hold(h.size.cost())
}

func (h *headReader) scan(p []byte) {
	for _, c := range p {
		h.size.bytes++
		switch {
		case c == '\n':
			h.size.lines++
			if h.lineBytes == 0 && h.started {
				h.complete = true
				return
			}
			h.lineBytes = 0
		case c != '\r':
			h.lineBytes++
			h.started = true
		}
	}
}

// hold counts cost bytes in all for the head, if there is room.
func (h *headReader) hold(cost int64) bool {
	if h.memory == nil || cost <= h.held {
		return true
	}
	if !h.memory.grow(h.held, cost-h.held) {
		return false
	}
	h.held = cost
	return true
}

// reset ends the head; the next byte is the first of another one.
func (h *headReader) reset() {
	if h.memory != nil {
		h.memory.release(h.held)
	}
	*h = headReader{memory: h.memory, encrypted: h.encrypted}
}

// refuseHead answers a head that does not fit into the memory and returns the error
// with which reading ends. net/http does not answer after an error of this kind.
func (c *conn) refuseHead() error {
	if !c.head.encrypted {
		deadline := time.Now().Add(refusalLinger)
		_ = c.Conn.SetDeadline(deadline) // fails if the connection is closed, as all calls below do then
		_, _ = c.Conn.Write(c.refusal)
		if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
			_ = w.CloseWrite()
		}
		_, _ = io.CopyN(io.Discard, c.Conn, refusalLingerBytes)
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: errHeadMemory}
}

// admitHead counts the head of a request that has been read, and reports whether there
// is room. release ends that.
//
// Bytes that arrive together with the previous request are not counted on the way, nor
// are the lines of HTTP/2, which has many requests on a connection.
func (s *Server) admitHead(r *http.Request) (release func(), ok bool) {
	m := s.cfg.HeadMemory
	if m == nil {
		return func() {}, true
	}
	held := int64(0)
	if c, ok := r.Context().Value(connKey{}).(*conn); ok && r.ProtoMajor == 1 {
		held = c.headHeld()
	}
	extra := sizeOf(r).cost() - held
	if extra <= 0 {
		return func() {}, true
	}
	if !m.grow(held, extra) {
		return nil, false
	}
	return func() { m.release(extra) }, true
}

// refuse is the default of Config.Refuse.
func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Retry-After", strconv.Itoa(int(refusalRetryAfter.Seconds())))
	http.Error(w, "not run: "+errHeadMemory.Error(), http.StatusServiceUnavailable)
}

// recordedResponse keeps what a handler writes.
type recordedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recordedResponse) Header() http.Header         { return r.header }
func (r *recordedResponse) WriteHeader(status int)      { r.status = status }
func (r *recordedResponse) Write(p []byte) (int, error) { return r.body.Write(p) }

// encodeRefusal returns the response of a handler as it is sent on a connection of
// which no request has been read.
func encodeRefusal(handler http.HandlerFunc) ([]byte, error) {
	rec := &recordedResponse{header: http.Header{}, status: http.StatusOK}
	handler(rec, &http.Request{Method: http.MethodGet, Header: http.Header{}})
	resp := http.Response{
		StatusCode: rec.status, ProtoMajor: 1, ProtoMinor: 1, Header: rec.header, Close: true,
		ContentLength: int64(rec.body.Len()), Body: io.NopCloser(&rec.body),
	}
	var out bytes.Buffer
	if err := resp.Write(&out); err != nil {
		return nil, errors.Wrap(err, "encode the refusal")
	}
	return out.Bytes(), nil
}

// Package sendonce sends HTTP requests over keep-alive connections with
// net/http for at-most-once calls: no request is sent twice, and the error of a
// failed request says whether any byte of it may have been sent.
//
// The Transport of net/http retries a request when a keep-alive connection
// breaks and the request looks replayable: GET, or any method with an
// Idempotency-Key header, if the body is absent or has GetBody. A backend
// server that runs a request and then closes the connection would run it
// twice. Every request of this package therefore has a non-nil body that cannot
// be rewound, even if it is empty.
package sendonce

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Defaults of Options.
const (
	defaultDialTimeout = time.Second
	// The idle timeout is below that of common servers (60 s and more), so
	// that a request is rarely sent on a connection that the server is closing.
	defaultIdleTimeout = 30 * time.Second
	keepAlivePeriod    = 15 * time.Second
)

// ErrUnknownEnd is returned at the end of a response body that has neither a length
// nor chunks: it may be a part of the body.
var ErrUnknownEnd = errors.New("response has neither a Content-Length nor a chunked body")

// Options configures the connections of a Client.
type Options struct {
	// MaxConnections bounds open and opening connections per address; 0 means
	// no bound.
	MaxConnections int
	DialTimeout    time.Duration
	IdleTimeout    time.Duration
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
}

// Request is a request with its whole body in memory.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
}

// Error reports that a request got no response.
type Error struct {
	// Sent is false only if no byte of the request left this process.
	Sent bool
	Err  error
}

func (e *Error) Error() string {
	if e.Sent {
		return "request may have been sent: " + e.Err.Error()
	}
	return "request was not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns a client with its own Transport.
func New(o Options) *Client {
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	dialer := &net.Dialer{Timeout: o.DialTimeout, KeepAlive: keepAlivePeriod}
	return &Client{transport: newTransport(o, dialer)}
}

func newTransport(o Options, dialer *net.Dialer) *http.Transport {
	idle := o.MaxConnections
	if idle <= 0 {
		idle = 1024
	}
	// HTTP/2 is off: it would multiplex all requests on one connection, and it
	// has its own retry rules. Compression is off so that bodies pass
	// unchanged. Proxy settings of the environment do not apply.
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		Proxy: nil,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		Protocols:           protocols,
		DisableCompression:  true,
		MaxConnsPerHost:     o.MaxConnections,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     o.IdleTimeout,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// Send sends the request at most once and returns the response. Each error
// is an *Error. It does not follow redirects. Reading a body to its end returns
// ErrUnknownEnd if only the end of the connection delimits it.
func (c *Client) Send(ctx context.Context, r Request) (*http.Response, error) {
	var usedConn *countingConn
	var countBefore uint64
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		usedConn, _ = info.Conn.(*countingConn)
		countBefore = usedConn.writeCount()
		usedConn.beginResponse()
	}}
	req, err := r.build(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return nil, &Error{Err: err}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		sent := usedConn != nil && usedConn.blockWrites(countBefore)
		return nil, &Error{Sent: sent, Err: err}
	}
	if !ValidStatus(resp.StatusCode) || resp.StatusCode < http.StatusOK {
		_ = resp.Body.Close() // nothing of it is used
		return nil, &Error{Sent: true, Err: errors.Errorf("status %q is no final status of HTTP", resp.Status)}
	}
	if !hasKnownEnd(r.Method, resp) {
		resp.Body = unframedBody{resp.Body}
	}
	return resp, nil
}

// Bounds of a status.
const (
	minStatus = 100
	maxStatus = 599
)

// ValidStatus reports whether a status is one of HTTP. net/http parses any three digits,
// and a sign with two.
func ValidStatus(status int) bool { return status >= minStatus && status <= maxStatus }

// hasKnownEnd reports whether the end of the body is known without the connection
// being closed.
func hasKnownEnd(method string, resp *http.Response) bool {
	return resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked") ||
		method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
}

// unframedBody is a body that only the end of the connection delimits. Its end is
// reported as ErrUnknownEnd: the kernel reports a reset once, and if the goroutine
// that writes the request gets the report, net/http takes the end of the stream for
// the end of the body.
type unframedBody struct{ io.ReadCloser }

func (b unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = ErrUnknownEnd
	}
	return n, err
}

func (r Request) build(ctx context.Context) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, nil)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	if r.Header != nil {
		req.Header = r.Header.Clone()
	}
	req.Body = nonRewindableBody{bytes.NewReader(r.Body)}
	req.GetBody = nil
	// net/http takes length 0 with a non-nil body as an unknown length: an
	// empty body is sent as nothing for GET and as an empty chunked body for
	// POST.
	req.ContentLength = int64(len(r.Body))
	return req, nil
}

// CloseIdle closes the idle connections.
func (c *Client) CloseIdle() { c.transport.CloseIdleConnections() }

// nonRewindableBody hides the type of its reader, because net/http can rewind a
// *bytes.Reader.
type nonRewindableBody struct{ r io.Reader }

func (b nonRewindableBody) Read(p []byte) (int, error) { return b.r.Read(p) }

func (b nonRewindableBody) Close() error { return nil }

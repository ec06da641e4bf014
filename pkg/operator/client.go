package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"github.com/dandelionrack/dandelionrack/pkg/config"
)

const (
	defaultTimeout = 10 * time.Second
	dialTimeout    = 2 * time.Second
	// maxResponseBytes bounds a response; the largest is the document.
	maxResponseBytes = 64 << 20
)

var (
	// ErrNotSent means that no request reached the entry instance, so the client
	// can try another one.
	ErrNotSent = errors.New("operator API: the entry instance refused the connection")
	// ErrNoResponse means that the request may have been handled, but no complete
	// response came back. A change must be submitted again with the same id.
	ErrNoResponse = errors.New("operator API: no complete response")
)

// ClientConfig configures a Client.
type ClientConfig struct {
	BaseURL string // such as http://127.1.0.1:7003
	Token   string
	Timeout time.Duration // of one call; 0 means 10 s
	CAFile  string        // PEM file with the certificate authority; empty means the system's
}

// Client calls the operator API of one entry instance.
type Client struct {
	base    string
	token   string
	service httpc.Service
}

// NewClient returns a client without opening a connection.
func NewClient(c ClientConfig) (*Client, error) {
	u, err := url.Parse(c.BaseURL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, errors.Errorf("operator API address %q must be like http://127.0.0.1:7003", c.BaseURL)
	}
	if strings.ContainsFunc(c.Token, invalidInToken) {
		return nil, errors.New("operator API token must be printable ASCII without spaces")
	}
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	if c.CAFile != "" {
		pool, err := loadCA(c.CAFile)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	timeout := c.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	base := strings.TrimSuffix(c.BaseURL, "/")
	client := &http.Client{Transport: transport, Timeout: timeout}
	// httpc keeps one circuit breaker per service name, so each address gets its
	// own.
	return &Client{base: base, token: c.Token, service: httpc.NewServiceWithClient("operator "+base, client)}, nil
}

// invalidInToken reports characters that are invalid in a header and would make
// each request fail before it is sent.
func invalidInToken(r rune) bool { return r <= ' ' || r > '~' }

func loadCA(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("CA file %s contains no certificate", file)
	}
	return pool, nil
}

// BaseURL returns the address of the entry instance.
func (c *Client) BaseURL() string { return c.base }

// SubmitChange makes a change and returns the document of its version. The
// change must have an id.
func (c *Client) SubmitChange(ctx context.Context, ch config.Change, op config.Operation) (*config.Document, error) {
	body := ChangeRequest{Change: ch, Operation: config.WrapOperation(op)}
	return call[*config.Document](ctx, c, http.MethodPost, "/v1/changes", body)
}

// Document returns the current document of the entry instance.
func (c *Client) Document(ctx context.Context) (*config.Document, error) {
	return get[*config.Document](ctx, c, "/v1/document")
}

// History returns the newest n changes, newest first.
func (c *Client) History(ctx context.Context, n int) ([]config.HistoryEntry, error) {
	return get[[]config.HistoryEntry](ctx, c, "/v1/history?limit="+strconv.Itoa(n))
}

// DrainStatus returns the progress of the drain of a backend server.
func (c *Client) DrainStatus(ctx context.Context, server string) (DrainStatus, error) {
	return get[DrainStatus](ctx, c, "/v1/drains/"+url.PathEscape(server))
}

// Trace returns the trace of a request.
func (c *Client) Trace(ctx context.Context, requestID string) (TraceReport, error) {
	return get[TraceReport](ctx, c, "/v1/traces/"+url.PathEscape(requestID))
}

// Burn returns the consumption of the error budgets.
func (c *Client) Burn(ctx context.Context) (BurnReport, error) {
	return get[BurnReport](ctx, c, "/v1/burn")
}

// Routes returns the possible destinations of requests.
func (c *Client) Routes(ctx context.Context) (RoutesReport, error) {
	return get[RoutesReport](ctx, c, "/v1/routes")
}

// Unresolved returns the claims whose outcome is unknown or, with resolved,
// those that an operator resolved.
func (c *Client) Unresolved(ctx context.Context, resolved bool) ([]UnresolvedClaim, error) {
	return get[[]UnresolvedClaim](ctx, c, "/v1/unresolved?resolved="+strconv.FormatBool(resolved))
}

// Resolve resolves a claim. The change must have an id.
func (c *Client) Resolve(ctx context.Context, req ResolveRequest) (ResolveReport, error) {
	return call[ResolveReport](ctx, c, http.MethodPost, "/v1/unresolved/resolve", req)
}

// Status returns the state of the entry instance.
func (c *Client) Status(ctx context.Context) (EntryStatus, error) {
	return get[EntryStatus](ctx, c, "/v1/status")
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	return call[T](ctx, c, http.MethodGet, path, nil)
}

func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var out T
	data, status, err := c.roundTrip(ctx, method, path, body)
	if err != nil {
		return out, err
	}
	if status != http.StatusOK {
		return out, decodeError(status, data)
	}
	if err := json.Unmarshal(data, &out); err != nil {
		return out, errors.Wrapf(ErrNoResponse, "%s (%v)", c.base, err)
	}
	return out, nil
}

// roundTrip sends one request and reads the complete response.
func (c *Client) roundTrip(ctx context.Context, method, path string, body any) ([]byte, int, error) {
	var payload io.Reader
	contentType := "application/json"
	switch b := body.(type) {
	case nil:
	case []byte:
		contentType = "application/octet-stream"
		payload = bytes.NewReader(b)
	default:
		data, err := json.Marshal(body)
		if err != nil {
			return nil, 0, errors.Wrap(err, "encode request")
		}
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, payload)
	if err != nil {
		return nil, 0, errors.Wrap(err, "make request")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("Content-Type", contentType)
	resp, err := c.service.DoRequest(req)
	if err != nil {
		return nil, 0, c.transportError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, 0, errors.Wrapf(ErrNoResponse, "%s (%v)", c.base, err)
	}
	if len(data) > maxResponseBytes {
		return nil, 0, errors.Wrapf(ErrNoResponse, "%s (larger than %d bytes)", c.base, maxResponseBytes)
	}
	return data, resp.StatusCode, nil
}

// transportError distinguishes a request that was certainly not sent from one
// that may have been handled.
func (c *Client) transportError(err error) error {
	kind := ErrNoResponse
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, breaker.ErrServiceUnavailable) {
		kind = ErrNotSent
	}
	return errors.Wrapf(kind, "%s (%v)", c.base, err)
}

func decodeError(status int, data []byte) error {
	out := &Error{}
	if err := json.Unmarshal(data, out); err != nil || out.Code == "" {
		out = &Error{Code: CodeInternal, Message: "HTTP status " + strconv.Itoa(status)}
	}
	out.Status = status
	return out
}

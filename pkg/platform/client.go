package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/internal/sendonce"
)

const (
	defaultClientTimeout = 2 * time.Second
	maxResponseBytes     = 64 << 20
	// NotWrittenHeader on a 503 says that the platform refused the request
	// before it wrote anything.
	NotWrittenHeader = "Not-Written"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// BaseURL is the root of the API, such as "http://127.0.0.1:9000".
	BaseURL string
	// Timeout bounds each call; 0 means 2 s.
	Timeout time.Duration
}

// Client calls the platform over HTTP. It implements Platform.
//
// It does not use httpc of go-zero, because the circuit breaker of httpc rejects
// calls by its own rule after errors, and http.Client follows redirects and
// resends. The writer of a claim must know whether its transaction was sent.
type Client struct {
	base    string
	timeout time.Duration
	http    *sendonce.Client
}

var _ Platform = (*Client)(nil)

// NewClient returns a client of the platform at cfg.BaseURL.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultClientTimeout
	}
	return &Client{
		base:    strings.TrimRight(cfg.BaseURL, "/"),
		timeout: cfg.Timeout,
		http:    sendonce.New(sendonce.Options{DialTimeout: cfg.Timeout}),
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdle() }

// ConflictBody is the body of a 409 response to a transaction.
type ConflictBody struct {
	Rows []Row `json:"rows"`
}

// Commit applies a transaction.
func (c *Client) Commit(ctx context.Context, tx Tx) error {
	body, err := json.Marshal(tx)
	if err != nil {
		return errors.Wrap(err, "encode transaction")
	}
	resp, err := c.write(ctx, http.MethodPost, "/v1/tx", body)
	if err != nil {
		return errors.Wrap(err, "commit")
	}
	if resp.status != http.StatusConflict {
		return nil
	}
	var conflict ConflictBody
	if err := json.Unmarshal(resp.body, &conflict); err != nil {
		return errors.Wrapf(ErrUnknownOutcome, "commit: decode conflict: %v", err)
	}
	return &ConflictError{Rows: conflict.Rows}
}

// Get reads a row.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	var row Row
	path, err := resourcePath("/v1/rows/", key)
	if err != nil {
		return row, err
	}
	err = c.read(ctx, path, &row)
	return row, wrapNonNil(err, "get row")
}

// List reads rows by key prefix.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var rows []Row
	err := c.read(ctx, "/v1/rows?"+listQuery(prefix, after, limit), &rows)
	return rows, wrapNonNil(err, "list rows")
}

// PutObject stores an object.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	path, err := resourcePath("/v1/objects/", name)
	if err != nil {
		return err
	}
	_, err = c.write(ctx, http.MethodPut, path, data)
	return wrapNonNil(err, "put object")
}

// GetObject reads an object.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	path, err := resourcePath("/v1/objects/", name)
	if err != nil {
		return nil, err
	}
	resp, err := c.get(ctx, path)
	if err == nil && resp.unknownEnd {
		return nil, errors.Wrapf(ErrUnavailable, "get object: %v", sendonce.ErrUnknownEnd)
	}
	return resp.body, wrapNonNil(err, "get object")
}

// ListObjects returns names of objects by prefix.
func (c *Client) ListObjects(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	var names []string
	err := c.read(ctx, "/v1/objects?"+listQuery(prefix, after, limit), &names)
	return names, wrapNonNil(err, "list objects")
}

// Instances returns the platform's instance list.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	err := c.read(ctx, "/v1/instances", &list)
	return list, wrapNonNil(err, "list instances")
}

// wrapNonNil is needed because errors.Wrap of go-faster returns an error for nil.
func wrapNonNil(err error, message string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, message)
}

// resourcePath escapes a key as one path segment. It refuses keys that path
// cleaning would change.
func resourcePath(collection, key string) (string, error) {
	if key == "" || key == "." || key == ".." {
		return "", errors.Errorf("platform: key %q is not valid", key)
	}
	return collection + url.PathEscape(key), nil
}

func listQuery(prefix, after string, limit int) string {
	return url.Values{
		"prefix": {prefix},
		"after":  {after},
		"limit":  {strconv.Itoa(limit)},
	}.Encode()
}

type response struct {
	status int
	body   []byte
	// unknownEnd reports that body may be a part of the response, which only JSON
	// shows by itself.
	unknownEnd bool
}

// write sends a request that changes state. Statuses 200, 204 and 409 are
// returned. Any other result is an error: ErrUnavailable when nothing was
// written, ErrUnknownOutcome when it is not known, or a plain error for other 4xx
// statuses.
func (c *Client) write(ctx context.Context, method, path string, body []byte) (response, error) {
	resp, header, err := c.do(ctx, method, path, body)
	if err != nil {
		return resp, classifyWriteError(err)
	}
	switch {
	case resp.status == http.StatusOK, resp.status == http.StatusNoContent, resp.status == http.StatusConflict:
		return resp, nil
	case resp.status == http.StatusServiceUnavailable && header.Get(NotWrittenHeader) == "true":
		return resp, errors.Wrap(ErrUnavailable, "not written")
	case resp.status >= 400 && resp.status < 500:
		return resp, errors.Errorf("platform: status %d: %s", resp.status, resp.body)
	default:
		return resp, errors.Wrapf(ErrUnknownOutcome, "status %d", resp.status)
	}
}

// classifyWriteError maps a failed write to ErrUnavailable or ErrUnknownOutcome.
func classifyWriteError(err error) error {
	var failed *sendonce.Error
	if errors.As(err, &failed) && !failed.Sent {
		return errors.Wrapf(ErrUnavailable, "%v", err)
	}
	return errors.Wrapf(ErrUnknownOutcome, "%v", err)
}

func (c *Client) read(ctx context.Context, path string, into any) error {
	resp, err := c.get(ctx, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(resp.body, into); err != nil {
		return errors.Wrap(err, "decode response")
	}
	return nil
}

// get reads a path. A read has no side effects, so every failure to get a
// response is ErrUnavailable.
func (c *Client) get(ctx context.Context, path string) (response, error) {
	resp, _, err := c.do(ctx, http.MethodGet, path, nil)
	switch {
	case err != nil:
		return response{}, errors.Wrapf(ErrUnavailable, "%v", err)
	case resp.status == http.StatusOK:
		return resp, nil
	case resp.status == http.StatusNotFound:
		return response{}, ErrNotFound
	case resp.status >= 500:
		return response{}, errors.Wrapf(ErrUnavailable, "status %d", resp.status)
	default:
		return response{}, errors.Errorf("platform: status %d: %s", resp.status, resp.body)
	}
}

// do sends one request and reads the complete response.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (response, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	header := http.Header{"Content-Type": {"application/json"}}
	resp, err := c.http.Send(ctx, sendonce.Request{
		Method: method, URL: c.base + path, Header: header, Body: body,
	})
	if err != nil {
		return response{}, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	unknownEnd := errors.Is(err, sendonce.ErrUnknownEnd)
	if err != nil && !unknownEnd {
		return response{}, nil, &sendonce.Error{Sent: true, Err: errors.Wrap(err, "read response")}
	}
	if len(data) > maxResponseBytes {
		return response{}, nil, &sendonce.Error{Sent: true, Err: errors.New("response too large")}
	}
	return response{status: resp.StatusCode, body: data, unknownEnd: unknownEnd}, resp.Header, nil
}

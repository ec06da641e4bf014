package backend

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	"github.com/dandelionrack/dandelionrack/internal/sendonce"
)

// Headers of the protocol between entry instances and backend servers.
const (
	// TimeoutHeader carries the time left for the request in milliseconds.
	TimeoutHeader = "Request-Timeout-Ms"
	// NotRunHeader on a 503 says that the server did not run the request.
	NotRunHeader = "Not-Run"
)

// maxDiscardBytes bounds how much of a response body is read and discarded so
// that its connection can be reused.
const maxDiscardBytes = 64 << 10

// Do sends a call once and returns the complete response. Each error is a
// *NotRunError or an *UnknownOutcomeError.
func (p *Pool) Do(ctx context.Context, call Call) (*Response, error) {
	if call.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, call.Timeout)
		defer cancel()
	}
	header, err := requestHeader(ctx, call.Header)
	if err != nil {
		return nil, err
	}
	s := p.serverFor(call.Server, call.Addr, call.MaxConnections)
	resp, err := s.client.Send(ctx, sendonce.Request{
		Method: call.Method, URL: "http://" + call.Addr + call.Path, Header: header, Body: call.Body,
	})
	if err != nil {
		return nil, classifySendError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(NotRunHeader) == "true" {
		_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardBytes)
		return nil, &NotRunError{Reason: "shed by the backend server", Shed: true}
	}
	return readResponse(resp, call)
}

// requestHeader adds TimeoutHeader. A call whose deadline has passed is not
// sent.
func requestHeader(ctx context.Context, header http.Header) (http.Header, error) {
	out := header.Clone()
	if out == nil {
		out = http.Header{}
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		return out, nil
	}
	left := time.Until(deadline).Milliseconds()
	if left <= 0 {
		return nil, &NotRunError{Reason: "deadline passed before the call", Err: ctx.Err()}
	}
	out.Set(TimeoutHeader, strconv.FormatInt(left, 10))
	return out, nil
}

func classifySendError(err error) error {
	var failed *sendonce.Error
	if errors.As(err, &failed) && !failed.Sent {
		return &NotRunError{Reason: "request was not sent", Unreachable: isUnreachable(failed.Err), Err: failed.Err}
	}
	return &UnknownOutcomeError{Reason: "no answer", Err: err}
}

// readResponse reads the whole body. A body that is delimited only by the close
// of its connection cannot be told from a truncated one.
func readResponse(resp *http.Response, call Call) (*Response, error) {
	if !hasDelimitedBody(resp, call.Method) {
		return nil, &UnknownOutcomeError{Reason: "response has neither a Content-Length nor a chunked body"}
	}
	limit := call.MaxResponseBytes
	if limit <= 0 {
		limit = defaultMaxResponseBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, &UnknownOutcomeError{Reason: "incomplete response", Err: err}
	}
	if int64(len(body)) > limit {
		return nil, &UnknownOutcomeError{Reason: "response is larger than " + strconv.FormatInt(limit, 10) + " bytes"}
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func hasDelimitedBody(resp *http.Response, method string) bool {
	switch {
	case method == http.MethodHead, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		return true
	case resp.ContentLength >= 0:
		return true
	default:
		return slices.Contains(resp.TransferEncoding, "chunked")
	}
}

func openConnections(ctx context.Context, s *server, n int) error {
	group, ctx := errgroup.WithContext(ctx)
	answered := make(chan struct{}, n)
	all := make(chan struct{})
	for range n {
		group.Go(func() error { return openConnection(ctx, s, answered, all) })
	}
	group.Go(func() error {
		defer close(all)
		for range n {
			select {
			case <-answered:
			case <-ctx.Done():
				return errors.Wrap(ctx.Err(), "warm connections")
			}
		}
		return nil
	})
	return group.Wait()
}

// openConnection keeps its connection in use until all requests are answered.
func openConnection(ctx context.Context, s *server, answered chan<- struct{}, all <-chan struct{}) error {
	resp, err := s.client.Send(ctx, sendonce.Request{Method: http.MethodGet, URL: "http://" + s.addr + healthPath})
	if err != nil {
		return errors.Wrap(err, "warm connection")
	}
	defer resp.Body.Close()
	answered <- struct{}{}
	<-all
	_, err = io.CopyN(io.Discard, resp.Body, maxDiscardBytes)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, sendonce.ErrUnknownEnd) {
		return errors.Wrap(err, "warm connection")
	}
	return nil
}

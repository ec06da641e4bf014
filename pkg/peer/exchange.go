package peer

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/hashicorp/yamux"

	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// rejectPrefix starts the error text of a Response if the request was not
// handled.
const rejectPrefix = "not handled: "

var (
	errRejected = errors.New("rejected by the peer")
	errBusy     = errors.New("too many calls on the session")
)

// Stages of an exchange. A cancelled call may report ErrNotSent only if it was
// abandoned in stageIdle.
const (
	stageIdle int32 = iota
	stageWriting
	stageAbandoned
)

// exchange sends one request on a stream of its own and reads the response.
type exchange struct {
	addr       string
	session    *clientSession
	frame      []byte
	maxStreams int
	stage      atomic.Int32
	stream     atomic.Pointer[yamux.Stream]
}

type result struct {
	resp *wire.Response
	err  error
}

// run performs the exchange in a separate goroutine, because opening, writing
// and closing a stream of a frozen session block for up to its write timeout.
func (x *exchange) run(ctx context.Context) (*wire.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, newNotSentError(x.addr, err)
	}
	if x.session.NumStreams() >= x.maxStreams {
		return nil, newNotSentError(x.addr, errBusy)
	}
	done := make(chan result, 1)
	go func() {
		resp, err := x.roundTrip()
		done <- result{resp: resp, err: err}
		x.closeStream()
	}()
	select {
	case r := <-done:
		return r.resp, r.err
	case <-ctx.Done():
		return nil, x.abandon(ctx.Err())
	}
}

// abandon ends the call early. The returned error tells whether any byte may
// have been sent.
func (x *exchange) abandon(cause error) error {
	unsent := x.stage.CompareAndSwap(stageIdle, stageAbandoned)
	go x.closeStream()
	if unsent {
		return newNotSentError(x.addr, cause)
	}
	return newReplyLostError(x.addr, cause)
}

// closeStream closes the stream, which tells the peer that the call has ended,
// and unblocks a pending Read or Write of the exchange.
func (x *exchange) closeStream() {
	stream := x.stream.Load()
	if stream == nil {
		return
	}
	_ = stream.SetDeadline(time.Now())
	_ = stream.Close()
}

func (x *exchange) roundTrip() (*wire.Response, error) {
	start := time.Now()
	stream, err := x.session.OpenStream()
	if err != nil {
		return nil, newNotSentError(x.addr, errors.Wrap(err, "open stream"))
	}
	x.stream.Store(stream)
	if !x.stage.CompareAndSwap(stageIdle, stageWriting) {
		return nil, newNotSentError(x.addr, context.Canceled)
	}
	if n, err := stream.Write(x.frame); err != nil {
		return nil, x.writeError(n, err, start)
	}
	resp := &wire.Response{}
	if err := readFrame(stream, resp); err != nil {
		return nil, x.readError(err, start)
	}
	return x.checkRejected(resp)
}

func (x *exchange) checkRejected(resp *wire.Response) (*wire.Response, error) {
	reason, rejected := strings.CutPrefix(resp.GetError(), rejectPrefix)
	if rejected {
		return nil, newNotSentError(x.addr, errors.Wrap(errRejected, reason))
	}
	return resp, nil
}

// writeError reports a failed write as not sent only if yamux rejected it because
// the stream was closed. After other errors a queued frame may still be sent.
func (x *exchange) writeError(n int, err error, start time.Time) error {
	if n == 0 && errors.Is(err, yamux.ErrStreamClosed) {
		return newNotSentError(x.addr, err)
	}
	return x.readError(err, start)
}

// readError reports a stream reset as a rejection: yamux resets a stream when
// the peer's accept backlog is full, and otherwise only streamCloseTimeout after
// the peer closed its side. A stream that was opened after the peer sent GoAway
// counts as rejected too.
func (x *exchange) readError(err error, start time.Time) error {
	if stream := x.stream.Load(); stream != nil && x.session.conn.goAway.openedAfterGoAway(stream.StreamID()) {
		return newNotSentError(x.addr, errors.Wrap(errRejected, "opened after the peer sent GoAway"))
	}
	if errors.Is(err, yamux.ErrConnectionReset) && time.Since(start) < streamCloseTimeout {
		return newNotSentError(x.addr, errors.Wrap(errRejected, "stream reset"))
	}
	return newReplyLostError(x.addr, errors.Wrap(err, "read response"))
}

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

// rejectPrefix marks the error of a Response whose request was not handled.
const rejectPrefix = "not handled: "

var (
	errRejected = errors.New("rejected by the peer")
	errBusy     = errors.New("too many calls on the session")
)

// Stages of an exchange. The caller may give up only from stageIdle if it is
// to report ErrNotSent.
const (
	stageIdle int32 = iota
	stageWriting
	stageAbandoned
)

// exchange is one call on one stream.
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

// run does the exchange in a goroutine of its own, because opening, writing
// and closing a stream of a frozen session block for up to its write timeout.
func (x *exchange) run(ctx context.Context) (*wire.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, notSent(x.addr, err)
	}
	if x.session.NumStreams() >= x.maxStreams {
		return nil, notSent(x.addr, errBusy)
	}
	done := make(chan result, 1)
	go func() {
		resp, err := x.do()
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

// abandon gives up the call and reports whether a byte may have left.
func (x *exchange) abandon(cause error) error {
	unsent := x.stage.CompareAndSwap(stageIdle, stageAbandoned)
	go x.closeStream()
	if unsent {
		return notSent(x.addr, cause)
	}
	return lost(x.addr, cause)
}

// closeStream tells the peer that the call is over and wakes a blocked Read
// or Write of the exchange.
func (x *exchange) closeStream() {
	stream := x.stream.Load()
	if stream == nil {
		return
	}
	_ = stream.SetDeadline(time.Now())
	_ = stream.Close()
}

func (x *exchange) do() (*wire.Response, error) {
	start := time.Now()
	stream, err := x.session.OpenStream()
	if err != nil {
		return nil, notSent(x.addr, errors.Wrap(err, "open stream"))
	}
	x.stream.Store(stream)
	if !x.stage.CompareAndSwap(stageIdle, stageWriting) {
		return nil, notSent(x.addr, context.Canceled)
	}
	if n, err := stream.Write(x.frame); err != nil {
		return nil, x.writeFailed(n, err, start)
	}
	resp := &wire.Response{}
	if err := readFrame(stream, resp); err != nil {
		return nil, x.readFailed(err, start)
	}
	return x.accept(resp)
}

func (x *exchange) accept(resp *wire.Response) (*wire.Response, error) {
	reason, rejected := strings.CutPrefix(resp.GetError(), rejectPrefix)
	if rejected {
		return nil, notSent(x.addr, errors.Wrap(errRejected, reason))
	}
	return resp, nil
}

// writeFailed treats a write as unsent only if yamux refused it because of
// the state of the stream. After other errors a queued frame may still leave.
func (x *exchange) writeFailed(n int, err error, start time.Time) error {
	if n == 0 && errors.Is(err, yamux.ErrStreamClosed) {
		return notSent(x.addr, err)
	}
	return x.readFailed(err, start)
}

// readFailed treats a stream reset as a rejection: yamux resets a stream when
// the peer's backlog is full, and otherwise only streamCloseTimeout after the
// peer closed its side. So it does a stream that was opened after the peer's
// announcement of its end.
func (x *exchange) readFailed(err error, start time.Time) error {
	if stream := x.stream.Load(); stream != nil && x.session.conn.peer.openedLate(stream.StreamID()) {
		return notSent(x.addr, errors.Wrap(errRejected, "opened after the peer's end"))
	}
	if errors.Is(err, yamux.ErrConnectionReset) && time.Since(start) < streamCloseTimeout {
		return notSent(x.addr, errors.Wrap(errRejected, "stream reset"))
	}
	return lost(x.addr, errors.Wrap(err, "read response"))
}

package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// errMalformed means that a peer sent bytes that are not a valid message.
var errMalformed = errors.New("peer: malformed message")

// encodeFrame returns the message with its length prefix. It encodes the whole
// message, so that one that is too large fails before any byte is sent.
func encodeFrame(m proto.Message) ([]byte, error) {
	size := proto.Size(m)
	if size > MaxMessageSize {
		return nil, errors.Wrapf(ErrTooLarge, "%d bytes", size)
	}
	// protodelim.MarshalTo would make a second copy of a large body.
	buf := make([]byte, 0, size+binary.MaxVarintLen64)
	buf = protowire.AppendVarint(buf, uint64(size))
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, m)
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	return buf, nil
}

// readFrame reads one message and rejects data after it. It returns
// errMalformed for malformed input and the reader's error if the input ends
// early. Memory grows with the bytes received, because a peer could claim a large
// length without sending it; protodelim would allocate the whole length.
func readFrame(r io.Reader, m proto.Message) error {
	br := bufio.NewReader(r)
	if err := readMessage(br, m, MaxMessageSize); err != nil {
		return err
	}
	return requireNoMoreData(br)
}

// requireNoMoreData returns an error if data after a call's only message is
// buffered.
func requireNoMoreData(br *bufio.Reader) error {
	if br.Buffered() > 0 {
		return errors.Wrap(errMalformed, "data after the message")
	}
	return nil
}

// readMessage reads one message like readFrame but allows more to follow. It
// rejects messages of more than limit bytes.
func readMessage(br *bufio.Reader, m proto.Message, limit uint64) error {
	src := &errorRecorder{r: br}
	size, err := binary.ReadUvarint(src)
	if err != nil {
		return src.classify(err)
	}
	if size > limit {
		return errors.Wrapf(errMalformed, "length %d", size)
	}
	body, err := readBody(src, int(size))
	if err != nil {
		return src.classify(err)
	}
	if err := proto.Unmarshal(body, m); err != nil {
		return errors.Wrap(errMalformed, err.Error())
	}
	return nil
}

// readBody starts with a small buffer and grows it to at most growthFactor times
// the bytes received.
func readBody(r io.Reader, size int) ([]byte, error) {
	const initialSize, growthFactor = 64 << 10, 16
	body := make([]byte, min(size, initialSize))
	received := 0
	for {
		if _, err := io.ReadFull(r, body[received:]); err != nil {
			return nil, err
		}
		received = len(body)
		if received == size {
			return body, nil
		}
		next := make([]byte, min(size, growthFactor*received))
		copy(next, body)
		body = next
	}
}

// errorRecorder remembers the error of its source, to distinguish input that
// ended early from malformed input.
type errorRecorder struct {
	r   *bufio.Reader
	err error
}

func (e *errorRecorder) ReadByte() (byte, error) {
	b, err := e.r.ReadByte()
	if err != nil {
		e.err = err
	}
	return b, err
}

func (e *errorRecorder) Read(p []byte) (int, error) {
	n, err := e.r.Read(p)
	if err != nil {
		e.err = err
	}
	return n, err
}

func (e *errorRecorder) classify(err error) error {
	if e.err != nil {
		return errors.Wrap(e.err, "read message")
	}
	return errors.Wrap(errMalformed, err.Error())
}

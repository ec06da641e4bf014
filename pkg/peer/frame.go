package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// errGarbage means that a peer sent bytes that are no message.
var errGarbage = errors.New("peer: malformed message")

// encodeFrame returns the message with its length prefix, so that the size is
// known before the first byte leaves.
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

// readFrame reads one message and requires that nothing follows it. It
// returns errGarbage for malformed input and the error of the reader when the
// input ends early. Memory grows with the bytes that arrive, so a length
// prefix alone reserves nothing; protodelim would allocate the whole length.
func readFrame(r io.Reader, m proto.Message) error {
	br := bufio.NewReader(r)
	if err := readMessage(br, m, MaxMessageSize); err != nil {
		return err
	}
	return nothingBuffered(br)
}

// nothingBuffered requires that a call's message was the last one so far.
func nothingBuffered(br *bufio.Reader) error {
	if br.Buffered() > 0 {
		return errors.Wrap(errGarbage, "data after the message")
	}
	return nil
}

// readMessage is readFrame for a stream on which more messages may follow.
func readMessage(br *bufio.Reader, m proto.Message, limit uint64) error {
	src := &earlyEnd{r: br}
	size, err := binary.ReadUvarint(src)
	if err != nil {
		return src.classify(err)
	}
	if size > limit {
		return errors.Wrapf(errGarbage, "length %d", size)
	}
	body, err := readBody(src, int(size))
	if err != nil {
		return src.classify(err)
	}
	if err := proto.Unmarshal(body, m); err != nil {
		return errors.Wrap(errGarbage, err.Error())
	}
	return nil
}

// readBody reserves little before the first bytes arrive, and then up to
// bodyGrowth times what has arrived.
func readBody(r io.Reader, size int) ([]byte, error) {
	const firstPart, bodyGrowth = 64 << 10, 16
	body := make([]byte, min(size, firstPart))
	have := 0
	for {
		if _, err := io.ReadFull(r, body[have:]); err != nil {
			return nil, err
		}
		have = len(body)
		if have == size {
			return body, nil
		}
		next := make([]byte, min(size, bodyGrowth*have))
		copy(next, body)
		body = next
	}
}

// earlyEnd keeps the error of its source, which tells input that ended early
// from malformed input.
type earlyEnd struct {
	r   *bufio.Reader
	err error
}

func (e *earlyEnd) ReadByte() (byte, error) {
	b, err := e.r.ReadByte()
	if err != nil {
		e.err = err
	}
	return b, err
}

func (e *earlyEnd) Read(p []byte) (int, error) {
	n, err := e.r.Read(p)
	if err != nil {
		e.err = err
	}
	return n, err
}

func (e *earlyEnd) classify(err error) error {
	if e.err != nil {
		return errors.Wrap(e.err, "read message")
	}
	return errors.Wrap(errGarbage, err.Error())
}

package peer

import (
	"bytes"
	"io"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// Guards against input that panics the frame reader, and against truncated input
// that is reported as malformed: truncation means a lost connection, but a
// malformed message gets the peer disconnected.
func FuzzReadFrame(f *testing.F) {
	whole, err := encodeFrame(forward("id", []byte("body")))
	require.NoError(f, err)
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add(append(bytes.Clone(whole), 0))
	f.Add([]byte{})
	f.Add([]byte{0x80})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Add(bytes.Repeat([]byte{0xff}, 11))
	f.Add([]byte{3, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		req := &wire.Request{}
		err := readFrame(bytes.NewReader(data), req)
		switch {
		case err == nil:
			frame, err := encodeFrame(req)
			require.NoError(t, err)
			again := &wire.Request{}
			require.NoError(t, readFrame(bytes.NewReader(frame), again))
			require.True(t, proto.Equal(req, again))
		case errors.Is(err, errMalformed):
		default:
			require.True(t, errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
		}
	})
}

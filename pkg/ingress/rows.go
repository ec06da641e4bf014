package ingress

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/dandelionrack/dandelionrack/pkg/replica"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

const (
	// deflateFrom is the size of the values of a batch from which it is
	// compressed. A registration has some 250 bytes, and those of one service
	// differ in a few; a document of a few routes has 3 KB.
	deflateFrom = 1 << 10
	// maxInflated bounds a batch of a peer; the store allows 64 KiB a row by
	// default and names its own bound.
	maxInflated = 64 << 20
	// keptBatches bounds the encoded batches that are kept: most peers of a
	// follower get the same ones.
	keptBatches = 8
)

// rowEncoder encodes batches for peers and keeps the latest ones, since each
// goes to many peers. A document with 1,400 routes took 5 s to leave a 10 Mbit/s
// link for 30 peers.
type rowEncoder struct {
	kept map[batchKey]*wire.TableRows
}

type batchKey struct {
	table          replica.TableName
	after, version uint64
	full           bool
	rows           int
	versions       uint64 // sum over the rows
}

func newRowEncoder() *rowEncoder { return &rowEncoder{kept: map[batchKey]*wire.TableRows{}} }

func (e *rowEncoder) encode(name replica.TableName, b replica.Batch) *wire.TableRows {
	key := batchKey{table: name, after: b.After, version: b.Version, full: b.Full, rows: len(b.Rows)}
	for _, r := range b.Rows {
		key.versions += r.Version
	}
	if kept := e.kept[key]; kept != nil {
		return kept
	}
	out := &wire.TableRows{Table: string(name), After: b.After, Version: b.Version, Full: b.Full}
	size := 0
	for _, r := range b.Rows {
		out.Rows = append(out.Rows, &wire.TableRow{Key: r.Key, Version: r.Version, Value: r.Value, Removed: r.Removed})
		size += len(r.Value)
	}
	if size >= deflateFrom {
		if data, ok := deflate(&wire.TableRows{Rows: out.Rows}); ok {
			out.Deflated, out.Rows = data, nil
		}
	}
	if len(e.kept) >= keptBatches {
		clear(e.kept)
	}
	e.kept[key] = out
	return out
}

// deflate fails for keys that are no valid UTF-8, as the message without
// compression does.
func deflate(rows *wire.TableRows) ([]byte, bool) {
	data, err := proto.Marshal(rows)
	if err != nil {
		return nil, false
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	_, _ = w.Write(data) // a buffer takes everything
	_ = w.Close()
	return b.Bytes(), true
}

func inflate(data []byte) ([]*wire.TableRow, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxInflated+1))
	if err != nil {
		return nil, errors.Wrap(err, "inflate")
	}
	if len(data) > maxInflated {
		return nil, errors.Errorf("more than %d bytes", maxInflated)
	}
	var rows wire.TableRows
	if err := proto.Unmarshal(data, &rows); err != nil {
		return nil, errors.Wrap(err, "decode rows")
	}
	return rows.GetRows(), nil
}

func decodeBatch(in *wire.TableRows) (replica.Batch, error) {
	b := replica.Batch{After: in.GetAfter(), Version: in.GetVersion(), Full: in.GetFull()}
	rows := in.GetRows()
	if len(in.GetDeflated()) > 0 {
		var err error
		if rows, err = inflate(in.GetDeflated()); err != nil {
			return replica.Batch{}, err
		}
	}
	for _, r := range rows {
		b.Rows = append(b.Rows, replica.Row{Key: r.GetKey(), Version: r.GetVersion(), Value: r.GetValue(), Removed: r.GetRemoved()})
	}
	return b, nil
}

package ingress

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/replica"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

const (
	// deflateFrom is the size of a value from which it is compressed. A
	// registration has some 250 bytes, a document of a few routes 3 KB.
	deflateFrom = 2 << 10
	// maxInflated bounds a value of a peer; the store allows 64 KiB a row by
	// default and names its own bound.
	maxInflated = 8 << 20
)

// rowEncoder encodes rows for peers and keeps the compressed form of the
// latest large value of each row, since it goes to many peers. A document with
// 1,400 routes took 5 s to leave a 10 Mbit/s link for 30 peers.
type rowEncoder struct {
	deflated map[rowKey]deflatedValue
}

type rowKey struct {
	table replica.TableName
	key   string
}

type deflatedValue struct {
	version uint64
	data    []byte
}

func newRowEncoder() *rowEncoder { return &rowEncoder{deflated: map[rowKey]deflatedValue{}} }

func (e *rowEncoder) encode(name replica.TableName, b replica.Batch) *wire.TableRows {
	out := &wire.TableRows{Table: string(name), After: b.After, Version: b.Version, Full: b.Full}
	for _, r := range b.Rows {
		row := &wire.TableRow{Key: r.Key, Version: r.Version, Value: r.Value, Removed: r.Removed}
		if len(r.Value) >= deflateFrom {
			row.Value, row.Deflated = e.deflate(rowKey{name, r.Key}, r), true
		}
		out.Rows = append(out.Rows, row)
	}
	return out
}

func (e *rowEncoder) deflate(key rowKey, r replica.Row) []byte {
	if kept := e.deflated[key]; kept.version == r.Version && kept.data != nil {
		return kept.data
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	_, _ = w.Write(r.Value) // a buffer takes everything
	_ = w.Close()
	e.deflated[key] = deflatedValue{r.Version, b.Bytes()}
	return b.Bytes()
}

func decodeBatch(in *wire.TableRows) (replica.Batch, error) {
	b := replica.Batch{After: in.GetAfter(), Version: in.GetVersion(), Full: in.GetFull()}
	for _, r := range in.GetRows() {
		value := slices.Clone(r.GetValue())
		if r.GetDeflated() {
			var err error
			value, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value)), maxInflated+1))
			if err != nil {
				return replica.Batch{}, errors.Wrapf(err, "row %q", r.GetKey())
			}
			if len(value) > maxInflated {
				return replica.Batch{}, errors.Errorf("row %q is larger than %d bytes", r.GetKey(), maxInflated)
			}
		}
		b.Rows = append(b.Rows, replica.Row{Key: r.GetKey(), Version: r.GetVersion(), Value: value, Removed: r.GetRemoved()})
	}
	return b, nil
}

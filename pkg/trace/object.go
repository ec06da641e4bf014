package trace

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

const (
	prefix = "trace/"
	suffix = ".jsonl.gz"
	// maxRange bounds the request times in one object. A reader therefore
	// knows where to stop listing: an object that holds request time t is
	// named with a time in [t, t+maxRange].
	maxRange = 2 * time.Minute
	// maxBatchSpans bounds the size of one object and the time to encode it.
	maxBatchSpans = 50_000
	// maxObjectBytes bounds a decompressed object.
	maxObjectBytes = 64 << 20
	listLimit      = 1000
)

// batch is one object before its write.
type batch struct {
	name  string
	data  []byte
	spans int
}

// spanTime is the time that orders a span: the time in its request id, so
// that a reader can derive it from the id alone.
func spanTime(s *Span) time.Time {
	t, err := requestTime(s.RequestID)
	if err != nil {
		return s.At
	}
	return t
}

// cutBatch takes the earliest spans that fit into one object.
func cutBatch(backlog []Span) (batch, rest []Span) {
	if len(backlog) == 0 {
		return nil, nil
	}
	sorted := sortBySpanTime(backlog)
	limit := spanTime(&sorted[0]).Add(maxRange)
	n := 1
	for n < len(sorted) && n < maxBatchSpans && spanTime(&sorted[n]).Before(limit) {
		n++
	}
	return sorted[:n:n], sorted[n:]
}

func sortBySpanTime(spans []Span) []Span {
	type timed struct {
		at time.Time
		i  int
	}
	order := make([]timed, len(spans))
	for i := range spans {
		order[i] = timed{at: spanTime(&spans[i]), i: i}
	}
	slices.SortStableFunc(order, func(a, b timed) int { return a.at.Compare(b.at) })
	out := make([]Span, len(spans))
	for i, t := range order {
		out[i] = spans[t.i]
	}
	return out
}

// newBatch encodes spans that are sorted by spanTime.
func newBatch(spans []Span, entry string, now time.Time) (*batch, error) {
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	enc := json.NewEncoder(zip)
	for i := range spans {
		if err := enc.Encode(&spans[i]); err != nil {
			return nil, errors.Wrap(err, "encode trace spans")
		}
	}
	if err := zip.Close(); err != nil {
		return nil, errors.Wrap(err, "compress trace spans")
	}
	from := spanTime(&spans[0])
	to := spanTime(&spans[len(spans)-1])
	return &batch{name: objectName(from, to, now, entry), data: buf.Bytes(), spans: len(spans)}, nil
}

// objectName sorts by the latest request time. The time of the write keeps
// the names of one entry instance distinct.
func objectName(from, to, written time.Time, entry string) string {
	return fmt.Sprintf("%s%013d-%013d-%013d-%s%s",
		prefix, to.UnixMilli(), from.UnixMilli(), written.UnixMilli(), entry, suffix)
}

// parseName returns the range of request times of an object.
func parseName(name string) (from, to int64, ok bool) {
	rest, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, 0, false
	}
	_, err := fmt.Sscanf(rest, "%013d-%013d-", &to, &from)
	return from, to, err == nil
}

// Find reads the archived spans of a request. Of all objects it reads only
// those whose range of request times includes that of the request.
func Find(ctx context.Context, objects platform.Objects, requestID string) ([]Span, error) {
	at, err := requestTime(requestID)
	if err != nil {
		return nil, err
	}
	names, err := namesAround(ctx, objects, at.UnixMilli())
	if err != nil {
		return nil, err
	}
	var found []Span
	for _, name := range names {
		spans, err := readObject(ctx, objects, name, requestID)
		if err != nil {
			return SortUnique(found), errors.Wrapf(err, "read trace object %s", name)
		}
		found = append(found, spans...)
	}
	return SortUnique(found), nil
}

func namesAround(ctx context.Context, objects platform.Objects, at int64) ([]string, error) {
	// The name without further parts sorts before all objects of that time.
	after := fmt.Sprintf("%s%013d", prefix, at)
	var out []string
	for {
		names, err := objects.ListObjects(ctx, prefix, after, listLimit)
		if err != nil {
			return nil, errors.Wrap(err, "list trace objects")
		}
		for _, name := range names {
			from, to, ok := parseName(name)
			if ok && to > at+maxRange.Milliseconds() {
				return out, nil
			}
			if ok && from <= at {
				out = append(out, name)
			}
		}
		if len(names) < listLimit {
			return out, nil
		}
		after = names[len(names)-1]
	}
}

func readObject(ctx context.Context, objects platform.Objects, name, requestID string) ([]Span, error) {
	data, err := objects.GetObject(ctx, name)
	if err != nil {
		return nil, err
	}
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	dec := json.NewDecoder(bufio.NewReader(io.LimitReader(zip, maxObjectBytes)))
	var out []Span
	for {
		var s Span
		err := dec.Decode(&s)
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return out, errors.Wrap(err, "decode")
		}
		if s.RequestID == requestID {
			out = append(out, s)
		}
	}
}

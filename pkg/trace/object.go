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
	objectPrefix = "trace/"
	objectSuffix = ".jsonl.gz"
	// maxObjectRange bounds the range of request times in one object, so that a
	// reader knows where to stop listing: the name of an object that contains
	// request time t starts with a time in [t, t+maxObjectRange].
	maxObjectRange = 2 * time.Minute
	// maxBatchSpans bounds the size of one object and the time to encode it.
	maxBatchSpans = 50_000
	// maxObjectBytes bounds a decompressed object.
	maxObjectBytes = 64 << 20
	listPageSize   = 1000
)

// batch is one object to be written.
type batch struct {
	name  string
	data  []byte
	spans int
}

// sortTime returns the time in the request id of a span, so that a reader can
// derive it from the id alone. Without a valid id it returns the time of the span.
func sortTime(s *Span) time.Time {
	t, err := requestTime(s.RequestID)
	if err != nil {
		return s.At
	}
	return t
}

// splitBatch splits off the earliest spans that fit into one object.
func splitBatch(backlog []Span) (batch, rest []Span) {
	if len(backlog) == 0 {
		return nil, nil
	}
	sorted := sortedByTime(backlog)
	limit := sortTime(&sorted[0]).Add(maxObjectRange)
	n := 1
	for n < len(sorted) && n < maxBatchSpans && sortTime(&sorted[n]).Before(limit) {
		n++
	}
	return sorted[:n:n], sorted[n:]
}

func sortedByTime(spans []Span) []Span {
	type timed struct {
		at time.Time
		i  int
	}
	order := make([]timed, len(spans))
	for i := range spans {
		order[i] = timed{at: sortTime(&spans[i]), i: i}
	}
	slices.SortStableFunc(order, func(a, b timed) int { return a.at.Compare(b.at) })
	out := make([]Span, len(spans))
	for i, t := range order {
		out[i] = spans[t.i]
	}
	return out
}

// newBatch encodes spans that are sorted by sortTime.
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
	from := sortTime(&spans[0])
	to := sortTime(&spans[len(spans)-1])
	return &batch{name: objectName(from, to, now, entry), data: buf.Bytes(), spans: len(spans)}, nil
}

// objectName returns a name that sorts by the latest request time. The time of
// the write keeps the names of one entry instance distinct.
func objectName(from, to, written time.Time, entry string) string {
	return fmt.Sprintf("%s%013d-%013d-%013d-%s%s",
		objectPrefix, to.UnixMilli(), from.UnixMilli(), written.UnixMilli(), entry, objectSuffix)
}

// parseObjectName returns the range of request times of an object.
func parseObjectName(name string) (from, to int64, ok bool) {
	rest, ok := strings.CutPrefix(name, objectPrefix)
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
	names, err := listObjectsAt(ctx, objects, at.UnixMilli())
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

func listObjectsAt(ctx context.Context, objects platform.Objects, at int64) ([]string, error) {
	// The prefix that all names with this time share sorts before them.
	after := fmt.Sprintf("%s%013d", objectPrefix, at)
	var out []string
	for {
		names, err := objects.ListObjects(ctx, objectPrefix, after, listPageSize)
		if err != nil {
			return nil, errors.Wrap(err, "list trace objects")
		}
		for _, name := range names {
			from, to, ok := parseObjectName(name)
			if ok && to > at+maxObjectRange.Milliseconds() {
				return out, nil
			}
			if ok && from <= at {
				out = append(out, name)
			}
		}
		if len(names) < listPageSize {
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

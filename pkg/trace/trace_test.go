package trace

import (
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// requestIDAt returns a UUID version 7 for a time; n makes it unique.
func requestIDAt(at time.Time, n uint16) string {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(at.UnixMilli())<<16)
	u[6], u[8] = 0x70, 0x80
	binary.BigEndian.PutUint16(u[14:], n)
	return u.String()
}

// store is an in-memory object store with injected faults.
type store struct {
	mu              sync.Mutex
	data            map[string][]byte
	puts            []time.Time
	reads           int
	fail            error // returned by PutObject
	storesOnFailure bool  // PutObject stores before it fails
}

func (s *store) PutObject(_ context.Context, name string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.puts = append(s.puts, time.Now())
	if s.data == nil {
		s.data = make(map[string][]byte)
	}
	if s.fail == nil || s.storesOnFailure {
		s.data[name] = data
	}
	return s.fail
}

func (s *store) GetObject(_ context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return s.data[name], nil
}

func (s *store) ListObjects(_ context.Context, prefix, after string, limit int) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for name := range s.data {
		if strings.HasPrefix(name, prefix) && name > after {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out[:min(limit, len(out))], nil
}

func (s *store) setFault(err error, storesOnFailure bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fail, s.storesOnFailure = err, storesOnFailure
}

// Guards against a ring that exceeds its bounds, returns spans of other requests
// or keeps evicted requests in its index, by comparison with a plain list.
func TestRingMatchesModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cfg := RingConfig{MaxSpans: rapid.IntRange(1, 8).Draw(rt, "spans"), MaxBytes: rapid.IntRange(300, 3000).Draw(rt, "bytes")}
		r := NewRing(cfg)
		var model []Span
		for i := range rapid.IntRange(1, 50).Draw(rt, "n") {
			s := Span{
				RequestID:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "id"),
				Reason:     strings.Repeat("x", rapid.IntRange(0, 300).Draw(rt, "size")),
				DurationUS: int64(i),
			}
			r.Add(s)
			if s.size() <= cfg.MaxBytes {
				model = append(model, s)
			}
			for len(model) > cfg.MaxSpans || totalSize(model) > cfg.MaxBytes {
				model = model[1:]
			}
			require.Equal(rt, len(model), r.Len())
			require.Equal(rt, totalSize(model), r.Bytes())
			ids := 0
			for _, id := range []string{"a", "b", "c"} {
				var want []Span
				for _, m := range model {
					if m.RequestID == id {
						want = append(want, m)
					}
				}
				ids += min(len(want), 1)
				require.ElementsMatch(rt, want, r.Get(id))
			}
			require.Len(rt, r.index, ids)
		}
	})
}

func totalSize(spans []Span) int {
	n := 0
	for i := range spans {
		n += spans[i].size()
	}
	return n
}

// Guards against more than one object per 5 s, also when Flush is called, and
// against a request whose spans are not found or need many reads.
func TestArchiveAndFind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		archivers := make([]*Archiver, 8)
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for i := range archivers {
			archivers[i] = NewArchiver(ArchiverConfig{Entry: fmt.Sprintf("entry-%d", i), Objects: s})
			wg.Go(func() { archivers[i].Run(ctx) })
		}
		var ids []string
		for i := range 1200 { // 10 min
			id := requestIDAt(time.Now(), uint16(i))
			ids = append(ids, id)
			for k := range 2 {
				archivers[(i+k)%8].Add(Span{RequestID: id, At: time.Now(), Entry: fmt.Sprint(k), Kind: "forward"})
			}
			time.Sleep(500 * time.Millisecond)
		}
		for _, a := range archivers {
			wg.Go(func() { require.NoError(t, a.Flush(ctx)) })
		}
		synctest.Wait()
		time.Sleep(time.Minute)
		cancel()
		wg.Wait()
		perEntry := map[string]int{}
		for name := range s.data {
			perEntry[name[strings.Index(name, "entry"):]]++
		}
		for entry, n := range perEntry {
			require.LessOrEqual(t, n, 121, entry)
		}
		for i := 0; i < len(ids); i += 37 {
			s.reads = 0
			spans, err := Find(t.Context(), s, ids[i])
			require.NoError(t, err)
			require.Len(t, spans, 2)
			require.LessOrEqual(t, s.reads, 2*len(archivers), "of %d objects", len(s.data))
		}
	})
}

// Guards against memory that grows in an outage, spans that are lost without
// being counted, and an object stored twice because the response to its write was
// lost.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		a := NewArchiver(ArchiverConfig{Entry: "e", Objects: s, MaxBacklogBytes: 100 << 10})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go a.Run(ctx)
		s.setFault(platform.ErrUnavailable, false)
		const spans = 1000
		start := time.Now()
		for i := range spans {
			a.Add(Span{RequestID: requestIDAt(time.Now(), uint16(i)), At: time.Now(), Entry: "e"})
			time.Sleep(time.Second)
		}
		require.Empty(t, s.data)
		require.LessOrEqual(t, a.bytes, 100<<10)
		s.setFault(platform.ErrUnknownOutcome, true)
		time.Sleep(20 * time.Second)
		s.setFault(nil, false)
		require.NoError(t, a.Flush(ctx))
		stats := a.Stats()
		require.Positive(t, stats.Dropped)
		require.EqualValues(t, spans, stats.Archived+stats.Dropped)
		require.EqualValues(t, stats.ObjectsStored, len(s.data))
		for i := 1; i < len(s.puts); i++ {
			require.GreaterOrEqual(t, s.puts[i].Sub(s.puts[i-1]), 5*time.Second)
		}
		found := 0
		for i := range spans {
			got, err := Find(ctx, s, requestIDAt(start.Add(time.Duration(i)*time.Second), uint16(i)))
			require.NoError(t, err)
			found += len(got)
		}
		require.EqualValues(t, stats.Archived, found)
	})
}

// Guards against a Flush that outlives its context or hides the write error.
func TestFlushEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store{fail: platform.ErrUnavailable}
		a := NewArchiver(ArchiverConfig{Entry: "e", Objects: s})
		require.NoError(t, a.Flush(t.Context()))
		a.Add(Span{RequestID: requestIDAt(time.Now(), 1), At: time.Now()})
		ctx, cancel := context.WithTimeout(t.Context(), 12*time.Second)
		defer cancel()
		err := a.Flush(ctx)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.ErrorIs(t, err, platform.ErrUnavailable)
		require.Len(t, s.puts, 3)
	})
}

// Guards against a search through all objects for an invalid id.
func TestFindRejectsInvalidIDs(t *testing.T) {
	s := &store{}
	for _, id := range []string{"", "x", uuid.Nil.String(), uuid.NewString()} {
		_, err := Find(t.Context(), s, id)
		require.ErrorIs(t, err, ErrInvalidRequestID)
	}
}

// Guards against many entry instances that together exceed the write rate of the
// store, and against a shutdown that waits for the longer interval.
func TestWriterCountLimitsWriteRate(t *testing.T) {
	for writers, want := range map[int]int{8: 12, 540: 2} {
		synctest.Test(t, func(t *testing.T) {
			s := &store{data: map[string][]byte{}}
			a := NewArchiver(ArchiverConfig{Entry: "entry-1", Objects: s, WriterCount: func() int { return writers }})
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			go a.Run(ctx)
			for n := range uint16(600) {
				a.Add(Span{RequestID: requestIDAt(time.Now(), n), At: time.Now()})
				time.Sleep(100 * time.Millisecond)
			}
			synctest.Wait()
			require.InDelta(t, want, a.Stats().ObjectsStored, 1, "%d writers", writers)
			started := time.Now()
			require.NoError(t, a.Flush(context.Background()))
			require.LessOrEqual(t, time.Since(started), defaultInterval)
		})
	}
}

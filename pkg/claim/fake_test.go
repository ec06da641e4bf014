package claim

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// fakeTable is an in-memory platform.Table. before and after, if set, run around
// each commit, outside the lock; their error replaces the outcome.
type fakeTable struct {
	mu     sync.Mutex
	rows   map[string]platform.Row
	before func(context.Context) error
	after  func(context.Context) error
	reads  int
	// clock, if set, makes rows expire after their TTL.
	clock   func() time.Time
	expires map[string]time.Time
	// lag, if set, returns how many versions behind a read is.
	lag     func() int
	history map[string][]platform.Row
}

func newFakeTable() *fakeTable {
	return &fakeTable{rows: map[string]platform.Row{}, expires: map[string]time.Time{}}
}

func (f *fakeTable) Commit(ctx context.Context, tx platform.Tx) error {
	f.mu.Lock()
	before, after := f.before, f.after
	f.mu.Unlock()
	if before != nil {
		if err := before(ctx); err != nil {
			return err
		}
	}
	err := f.apply(tx)
	if after != nil {
		if err := after(ctx); err != nil {
			return err
		}
	}
	return err
}

func (f *fakeTable) apply(tx platform.Tx) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.history == nil {
		f.history = map[string][]platform.Row{}
	}
	f.expire()
	var conflict platform.ConflictError
	for _, c := range tx.Conditions {
		if r := f.rows[c.Key]; r.Version != c.Version {
			r.Key = c.Key
			conflict.Rows = append(conflict.Rows, r)
		}
	}
	if len(conflict.Rows) > 0 {
		return &conflict
	}
	for _, p := range tx.Puts {
		f.history[p.Key] = append(f.history[p.Key], f.rows[p.Key])
		f.rows[p.Key] = platform.Row{Key: p.Key, Version: f.rows[p.Key].Version + 1, Value: p.Value}
		if f.clock != nil {
			f.expires[p.Key] = f.clock().Add(p.TTL)
		}
	}
	return nil
}

func (f *fakeTable) expire() {
	for key, at := range f.expires {
		if f.clock().After(at) {
			delete(f.rows, key)
			delete(f.expires, key)
		}
	}
}

// read returns the row as it was lag versions ago.
func (f *fakeTable) read(key string) platform.Row {
	r := f.rows[key]
	if f.lag == nil {
		return r
	}
	old := f.history[key]
	if lag := min(f.lag(), len(old)); lag > 0 {
		return old[len(old)-lag]
	}
	return r
}

// claimedRows counts the rows in state claimed.
func (f *fakeTable) claimedRows() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, stored := range f.rows {
		if bytes.HasPrefix(stored.Value, []byte(`{"state":"claimed"`)) {
			n++
		}
	}
	return n
}

func (f *fakeTable) Get(_ context.Context, key string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	f.expire()
	r := f.read(key)
	if r.Version == 0 {
		return r, platform.ErrNotFound
	}
	return r, nil
}

func (f *fakeTable) List(_ context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	var out []platform.Row
	for key, r := range f.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out[:min(limit, len(out))], nil
}

// setBeforeCommit sets the function that runs before each commit.
func (f *fakeTable) setBeforeCommit(before func(context.Context) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.before = before
}

func mustParse(raw string) Key {
	k, err := ParseKey(raw)
	if err != nil {
		panic(err)
	}
	return k
}

func callerKey(now time.Time) Key { return mustParse(newUUID(now).String()) }

func issuedKeyOf(m *Manager, now time.Time) Key { return mustParse(NewIssuedKey(m.cfg.Self, now)) }

func idOf(k Key) ID { return ID{Customer: "sarafu", Service: "weka", Key: k.Raw} }

var testFingerprint = FingerprintOf("POST", "/credit", []byte("bag 1"))

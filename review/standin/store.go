package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store, as PROTOCOL.md describes it.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// Store is a stand-in of the platform's store: rows-tx, rows-get and rows-feed.
type Store struct {
	mu      sync.Mutex
	cond    *sync.Cond
	rows    map[string]row
	ver     uint64
	started time.Time
	Addr    string
}

func newStore(addr string) (*Store, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Store{rows: map[string]row{}, started: time.Now(), Addr: l.Addr().String()}
	s.cond = sync.NewCond(&s.mu)
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(s.handle)}).Serve(l) }()
	return s, nil
}

// Put writes a row as the operator or a server does.
func (s *Store) Put(table, key, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[table+"\x00"+key] = row{Table: table, Key: key, Value: []byte(value), Ver: s.ver}
	s.cond.Broadcast()
	return s.ver
}

// Remove drops a row.
func (s *Store) Remove(table, key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[table+"\x00"+key] = row{Table: table, Key: key, Ver: s.ver, Tombstone: true}
	s.cond.Broadcast()
	return s.ver
}

func (s *Store) handle(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch strings.TrimPrefix(r.URL.Path, "/api/") {
	case "rows-tx":
		s.tx(w, r)
	case "rows-get":
		s.mu.Lock()
		defer s.mu.Unlock()
		limit := 500
		if n, err := strconv.Atoi(q.Get("limit")); err == nil && n < limit {
			limit = n
		}
		out := s.match(func(x row) bool {
			return !x.Tombstone && x.Table == q.Get("table") && x.Part == q.Get("part") && x.Key >= q.Get("from") && (q.Get("target") == "" || x.Key < q.Get("target"))
		})
		sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
		more := len(out) > limit
		s.write(w, out[:min(len(out), limit)], more, 200)
	case "rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) match(want func(row) bool) []row {
	out := []row{}
	for _, x := range s.rows {
		if want(x) {
			out = append(out, x)
		}
	}
	return out
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.Now().Add(time.Duration(min(wait, 30000)) * time.Millisecond)
	timer := time.AfterFunc(time.Until(end), s.cond.Broadcast)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		out := s.match(func(x row) bool { return x.Table == q.Get("table") && x.Ver > after })
		if len(out) > 0 || !time.Now().Before(end) {
			sort.Slice(out, func(i, j int) bool { return out[i].Ver < out[j].Ver })
			s.write(w, out, false, 200)
			return
		}
		s.cond.Wait()
	}
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []row `json:"expected_rev"`
		Put      []row `json:"put"`
		Remove   []row `json:"remove"`
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range append(append([]row{}, body.Put...), body.Remove...) {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, x := range body.Expected {
		have := s.rows[x.Table+"\x00"+x.Key]
		if have.Tombstone {
			have.Ver = 0
		}
		if have.Ver != x.Ver {
			s.write(w, nil, false, http.StatusPreconditionFailed)
			return
		}
	}
	s.ver++
	for _, x := range body.Put {
		x.Ver = s.ver
		s.rows[x.Table+"\x00"+x.Key] = x
	}
	for _, x := range body.Remove {
		s.rows[x.Table+"\x00"+x.Key] = row{Table: x.Table, Part: x.Part, Key: x.Key, Ver: s.ver, Tombstone: true}
	}
	s.cond.Broadcast()
	s.write(w, nil, false, 200)
}

func (s *Store) write(w http.ResponseWriter, rows []row, more bool, status int) {
	if rows == nil {
		rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "has_more": more, "ver": s.ver, "now": strconv.FormatInt(time.Since(s.started).Milliseconds(), 10) + "ms",
	})
}

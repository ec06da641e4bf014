package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: rows with versions from one
// counter, reads of a range, a feed of changes, and transactions.
type store struct {
	addr    string
	started time.Time

	mu      sync.Mutex
	ver     uint64
	rows    map[rowID]storedRow
	changed chan struct{} // closed and replaced with each transaction
}

type rowID struct{ table, part, key string }

type storedRow struct {
	value     string // base64
	ver       uint64
	tombstone bool
}

type rowJSON struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Ver       uint64 `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// pageRows is the largest number of rows in an answer of rows-get.
const pageRows = 500

func startStore(ip string) (*store, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), started: time.Now(), rows: map[rowID]storedRow{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a row as the operator or a backend server does. The answer of the store is
// the confirmation; put returns its time.
func (s *store) put(table, key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit([]rowJSON{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data)}}, nil)
	return time.Now()
}

// remove removes a row and returns the time of the confirmation.
func (s *store) remove(table, key string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commit(nil, []rowJSON{{Table: table, Key: key}})
	return time.Now()
}

// beat writes what a backend server says of itself. The row changes when more than seq
// changes.
func (s *store) beat(id string, entry map[string]any) time.Time {
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var former, next map[string]any
	if old, err := base64.StdEncoding.DecodeString(s.rows[rowID{table: "servers", key: id}].value); err == nil {
		_ = json.Unmarshal(old, &former)
	}
	_ = json.Unmarshal(data, &next)
	delete(former, "seq")
	delete(next, "seq")
	if !reflect.DeepEqual(former, next) {
		s.commit([]rowJSON{{Table: "servers", Key: id, Value: base64.StdEncoding.EncodeToString(data)}}, nil)
	}
	return time.Now()
}

// commit applies one transaction. The caller holds mu.
func (s *store) commit(put, remove []rowJSON) {
	s.ver++
	for _, r := range put {
		s.rows[rowID{r.Table, r.Part, r.Key}] = storedRow{value: r.Value, ver: s.ver}
	}
	for _, r := range remove {
		id := rowID{r.Table, r.Part, r.Key}
		if old, ok := s.rows[id]; ok && !old.tombstone {
			s.rows[id] = storedRow{ver: s.ver, tombstone: true}
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) now() string {
	return strconv.FormatInt(time.Since(s.started).Milliseconds(), 10) + "ms"
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, target, limit := q.Get("from"), q.Get("target"), pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []rowJSON{}
	for id, row := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && !row.tombstone && id.key >= from && (target == "" || id.key < target) {
			rows = append(rows, rowJSON{Table: id.table, Part: id.part, Key: id.key, Value: row.value, Ver: row.ver})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	answer(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "has_more": more, "ver": s.ver, "now": s.now()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []rowJSON{}
		for id, row := range s.rows {
			if id.table == q.Get("table") && row.ver > after {
				rows = append(rows, rowJSON{Table: id.table, Part: id.part, Key: id.key, Value: row.value, Ver: row.ver, Tombstone: row.tombstone})
			}
		}
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
		done := func() {
			answer(w, http.StatusOK, map[string]any{"rows": rows, "ver": ver, "now": s.now()})
		}
		if len(rows) > 0 {
			done()
			return
		}
		select {
		case <-changed:
		case <-end:
			done()
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Expected []rowJSON `json:"expected_rev"`
		Put      []rowJSON `json:"put"`
		Remove   []rowJSON `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, row := range append(append([]rowJSON{}, in.Put...), in.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, held := []rowJSON{}, true
	for _, e := range in.Expected {
		row := s.rows[rowID{e.Table, e.Part, e.Key}]
		if row.tombstone {
			row = storedRow{}
		}
		current = append(current, rowJSON{Table: e.Table, Part: e.Part, Key: e.Key, Value: row.value, Ver: row.ver})
		held = held && row.ver == e.Ver
	}
	if !held {
		answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "ver": s.ver, "now": s.now()})
		return
	}
	s.commit(in.Put, in.Remove)
	answer(w, http.StatusOK, map[string]any{"ver": s.ver, "now": s.now()})
}

// route is a row of the desired state.
type route struct {
	Name, Host, Prefix, Kind, Service string
	Timeout, Aim                      time.Duration
	Attempts, Priority                int
}

// desiredState encodes a version of the desired state as the operator writes it.
func desiredState(version int, routes []route, services []string) map[string]any {
	ms := func(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
	rows := [][]any{}
	for _, r := range routes {
		rows = append(rows, []any{r.Name, r.Host, r.Prefix, r.Kind, ms(r.Timeout), ms(r.Aim), r.Priority, nil, r.Attempts, false, []string{}, r.Service})
	}
	serviceRows := [][]any{}
	for _, name := range services {
		serviceRows = append(serviceRows, []any{name, "/healthz", 330, "h1", false, "3s", 7.2})
	}
	return map[string]any{
		"version": fmt.Sprintf("r%d", version),
		"routes": map[string]any{
			"columns": []string{"name", "host", "prefix", "route_type", "timeout", "target_latency", "priority", "weighted_services", "max_attempts", "sticky", "allowed_regions", "service"},
			"rows":    rows,
		},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_connections", "protocol", "tls", "cold_start", "cold_per_s"},
			"rows":    serviceRows,
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	}
}

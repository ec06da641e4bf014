package platform

import (
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/standin/restserver"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

const (
	maxBodyBytes     = 16 << 20
	defaultListLimit = 1000
	maxListLimit     = 10000
)

func (s *Server) handleCommit(w http.ResponseWriter, r *http.Request) {
	var tx platform.Tx
	if !restserver.ReadJSON(w, r, maxBodyBytes, &tx) {
		return
	}
	if !validKeys(tx) {
		http.Error(w, "a key is empty or is written twice", http.StatusBadRequest)
		return
	}
	failed, dropResponse := s.apply(tx)
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	if failed != nil {
		restserver.WriteJSON(w, http.StatusConflict, platform.ConflictBody{Rows: failed})
		return
	}
	restserver.WriteJSON(w, http.StatusOK, struct{}{})
}

func validKeys(tx platform.Tx) bool {
	written := map[string]bool{}
	for _, p := range tx.Puts {
		if p.Key == "" || written[p.Key] {
			return false
		}
		written[p.Key] = true
	}
	for _, key := range tx.Deletes {
		if key == "" || written[key] {
			return false
		}
		written[key] = true
	}
	return true
}

// apply commits a transaction. It returns the rows that failed a condition, and
// whether the response must be dropped.
func (s *Server) apply(tx platform.Tx) (failed []platform.Row, dropResponse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed = s.table.commit(tx, time.Now())
	if failed != nil {
		s.stats.Conflicts++
		return failed, false
	}
	s.stats.Commits++
	s.stats.Writes += int64(len(tx.Puts) + len(tx.Deletes))
	if s.fault.LoseReplies == 0 {
		return nil, false
	}
	s.fault.LoseReplies--
	s.stats.LostReplies++
	return nil, true
}

// readTime counts a read and returns the time whose state it sees. The caller
// holds the lock.
func (s *Server) readTime() time.Time {
	s.stats.Reads++
	return time.Now().Add(-s.fault.StaleReads.Std())
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	row, ok := s.table.rowAt(r.PathValue("key"), s.readTime())
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	restserver.WriteJSON(w, http.StatusOK, row)
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	rows := s.table.list(query.Get("prefix"), query.Get("after"), limitOf(r), s.readTime())
	s.mu.Unlock()
	restserver.WriteJSON(w, http.StatusOK, rows)
}

func limitOf(r *http.Request) int {
	n, err := strconv.Atoi(r.URL.Query().Get("limit"))
	if err != nil || n <= 0 {
		return defaultListLimit
	}
	return min(n, maxListLimit)
}

func (s *Server) handlePutObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.objects[r.PathValue("name")] = data
	s.stats.Writes++
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleGetObject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	data, ok := s.objects[r.PathValue("name")]
	s.stats.Reads++
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

func (s *Server) handleListObjects(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	s.stats.Reads++
	names := []string{}
	for name := range s.objects {
		if strings.HasPrefix(name, query.Get("prefix")) && name > query.Get("after") {
			names = append(names, name)
		}
	}
	s.mu.Unlock()
	sort.Strings(names)
	restserver.WriteJSON(w, http.StatusOK, names[:min(len(names), limitOf(r))])
}

func (s *Server) handleInstances(w http.ResponseWriter, _ *http.Request) {
	visible := time.Now().Add(-s.settings.InstanceLag.Std())
	s.mu.Lock()
	s.stats.Reads++
	var list []platform.Instance
	for _, l := range s.instanceLists {
		if !l.at.After(visible) {
			list = l.instances
		}
	}
	s.mu.Unlock()
	// An empty list must be encoded as [], not as null.
	restserver.WriteJSON(w, http.StatusOK, append([]platform.Instance{}, list...))
}

func (s *Server) handleSetFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !restserver.ReadJSON(w, r, maxBodyBytes, &f) {
		return
	}
	if !f.valid() {
		http.Error(w, "fault: unknown kind of outage, or a value out of range", http.StatusBadRequest)
		return
	}
	s.SetFault(f)
	restserver.WriteJSON(w, http.StatusOK, f)
}

func (s *Server) handleFault(w http.ResponseWriter, _ *http.Request) {
	f, _ := s.currentFault()
	restserver.WriteJSON(w, http.StatusOK, f)
}

func (s *Server) handleSetInstances(w http.ResponseWriter, r *http.Request) {
	list := []platform.Instance{}
	if !restserver.ReadJSON(w, r, maxBodyBytes, &list) {
		return
	}
	s.SetInstances(list)
	restserver.WriteJSON(w, http.StatusOK, list)
}

func (s *Server) handleStats(w http.ResponseWriter, _ *http.Request) {
	restserver.WriteJSON(w, http.StatusOK, s.Stats())
}

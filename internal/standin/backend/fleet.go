// Package backend is the stand-in for backend servers: many in one process,
// with slots, faults and a ledger of what ran.
//
// The servers use net/http itself, not go-zero rest, because their faults
// need the connection: limits, truncation, and breaks after a run.
package backend

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
	"github.com/zeromicro/go-zero/rest"

	"github.com/dandelionrack/dandelionrack/internal/standin/restserver"
)

// maxAdminBytes bounds the body of an admin request.
const maxAdminBytes = 1 << 20

// ServerSet is the set of backend servers of one process and its admin API.
type ServerSet struct {
	admin   *restserver.Server
	ledger  *ledger
	servers []*server
}

// Start runs all servers until Close.
func Start(settings Settings) (*ServerSet, error) {
	f := &ServerSet{ledger: &ledger{}}
	sampler := newSampler(settings.Seed)
	for _, one := range settings.Servers {
		work := settings.Work
		if one.Work != nil {
			work = *one.Work
		}
		s, err := startServer(one, work, settings.OpenDelay.Std(), sampler, f.ledger)
		if err != nil {
			return nil, errors.Join(err, f.Close())
		}
		f.servers = append(f.servers, s)
	}
	admin, err := restserver.Start(settings.Admin, f.routes())
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	f.admin = admin
	return f, nil
}

// AdminURL is the base URL of the admin API.
func (f *ServerSet) AdminURL() string { return f.admin.URL() }

// Addr returns the address of a server, or "" if there is none.
func (f *ServerSet) Addr(id string) string {
	for _, s := range f.servers {
		if s.settings.ID == id {
			return s.addr()
		}
	}
	return ""
}

// Close stops all servers and breaks their connections.
func (f *ServerSet) Close() error {
	var errs []error
	for _, s := range f.servers {
		errs = append(errs, s.close())
	}
	if f.admin != nil {
		errs = append(errs, f.admin.Close())
	}
	return errors.Join(errs...)
}

// Runs returns the ledger entries that match each filter that is not empty.
func (f *ServerSet) Runs(server, key, request string) []Run {
	return f.ledger.find(server, key, request)
}

// Stats returns the counts of each server.
func (f *ServerSet) Stats() map[string]Stats {
	out := map[string]Stats{}
	for _, s := range f.servers {
		out[s.settings.ID] = s.snapshot()
	}
	return out
}

// SetMode changes the servers whose id begins with the prefix and returns
// their number.
func (f *ServerSet) SetMode(prefix string, change func(*Mode) error) (int, error) {
	changed := 0
	for _, s := range f.servers {
		if !strings.HasPrefix(s.settings.ID, prefix) {
			continue
		}
		if err := s.setMode(change); err != nil {
			return changed, err
		}
		changed++
	}
	return changed, nil
}

func (f *ServerSet) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/admin/ledger", Handler: f.handleLedger},
		{Method: http.MethodGet, Path: "/admin/stats", Handler: f.handleStats},
		{Method: http.MethodGet, Path: "/admin/mode", Handler: f.handleModes},
		{Method: http.MethodPost, Path: "/admin/mode", Handler: f.handleSetMode},
	}
}

func (f *ServerSet) handleLedger(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	restserver.WriteJSON(w, http.StatusOK, f.Runs(q.Get("server"), q.Get("key"), q.Get("request")))
}

func (f *ServerSet) handleStats(w http.ResponseWriter, _ *http.Request) {
	restserver.WriteJSON(w, http.StatusOK, f.Stats())
}

func (f *ServerSet) handleModes(w http.ResponseWriter, _ *http.Request) {
	modes := map[string]Mode{}
	for _, s := range f.servers {
		modes[s.settings.ID] = s.currentMode()
	}
	restserver.WriteJSON(w, http.StatusOK, modes)
}

// handleSetMode changes the servers of the query parameter "server", an id
// prefix; without it, all.
func (f *ServerSet) handleSetMode(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n, err := f.SetMode(r.URL.Query().Get("server"), func(m *Mode) error {
		decoder := json.NewDecoder(strings.NewReader(string(body)))
		decoder.DisallowUnknownFields()
		return decoder.Decode(m)
	})
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	case n == 0:
		http.Error(w, "no server matches", http.StatusNotFound)
	default:
		restserver.WriteJSON(w, http.StatusOK, changedReport{Changed: n})
	}
}

type changedReport struct {
	Changed int `json:"changed"`
}

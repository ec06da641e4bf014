// Package backend is the stand-in for backend servers. One process runs many of
// them, with slots, injectable faults and a record of all runs.
//
// The servers use net/http directly instead of go-zero rest, because connection
// limits, truncated responses and aborted connections need access to the
// connection.
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

// maxAdminBytes limits the body of an admin request.
const maxAdminBytes = 1 << 20

// ServerSet is the set of backend servers of one process and its admin API.
type ServerSet struct {
	admin   *restserver.Server
	ledger  *ledger
	servers []*server
}

// Start starts all servers; they run until Close.
func Start(settings Settings) (*ServerSet, error) {
	set := &ServerSet{ledger: &ledger{}}
	sampler := newSampler(settings.Seed)
	for _, serverSettings := range settings.Servers {
		work := settings.Work
		if serverSettings.Work != nil {
			work = *serverSettings.Work
		}
		s, err := startServer(serverSettings, work, settings.OpenDelay.Std(), sampler, set.ledger)
		if err != nil {
			return nil, errors.Join(err, set.Close())
		}
		set.servers = append(set.servers, s)
	}
	admin, err := restserver.Start(settings.Admin, set.routes())
	if err != nil {
		return nil, errors.Join(err, set.Close())
	}
	set.admin = admin
	return set, nil
}

// AdminURL returns the base URL of the admin API.
func (set *ServerSet) AdminURL() string { return set.admin.URL() }

// Addr returns the address of a server, or "" if there is none.
func (set *ServerSet) Addr(id string) string {
	for _, s := range set.servers {
		if s.settings.ID == id {
			return s.addr()
		}
	}
	return ""
}

// Close stops all servers and closes their connections.
func (set *ServerSet) Close() error {
	var errs []error
	for _, s := range set.servers {
		errs = append(errs, s.close())
	}
	if set.admin != nil {
		errs = append(errs, set.admin.Close())
	}
	return errors.Join(errs...)
}

// Runs returns the recorded runs that match every non-empty filter.
func (set *ServerSet) Runs(server, key, request string) []Run {
	return set.ledger.find(server, key, request)
}

// Stats returns the statistics of each server by id.
func (set *ServerSet) Stats() map[string]Stats {
	out := map[string]Stats{}
	for _, s := range set.servers {
		out[s.settings.ID] = s.snapshot()
	}
	return out
}

// SetMode changes the mode of the servers whose id has the prefix and returns
// their number.
func (set *ServerSet) SetMode(prefix string, change func(*Mode) error) (int, error) {
	changed := 0
	for _, s := range set.servers {
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

func (set *ServerSet) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/admin/ledger", Handler: set.handleLedger},
		{Method: http.MethodGet, Path: "/admin/stats", Handler: set.handleStats},
		{Method: http.MethodGet, Path: "/admin/mode", Handler: set.handleModes},
		{Method: http.MethodPost, Path: "/admin/mode", Handler: set.handleSetMode},
	}
}

func (set *ServerSet) handleLedger(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	restserver.WriteJSON(w, http.StatusOK, set.Runs(q.Get("server"), q.Get("key"), q.Get("request")))
}

func (set *ServerSet) handleStats(w http.ResponseWriter, _ *http.Request) {
	restserver.WriteJSON(w, http.StatusOK, set.Stats())
}

func (set *ServerSet) handleModes(w http.ResponseWriter, _ *http.Request) {
	modes := map[string]Mode{}
	for _, s := range set.servers {
		modes[s.settings.ID] = s.currentMode()
	}
	restserver.WriteJSON(w, http.StatusOK, modes)
}

// handleSetMode changes the servers whose id has the prefix given by the query
// parameter "server", or all servers without it.
func (set *ServerSet) handleSetMode(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n, err := set.SetMode(r.URL.Query().Get("server"), func(m *Mode) error {
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

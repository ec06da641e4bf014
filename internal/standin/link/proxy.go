// Package link is the stand-in for network links: a TCP proxy with delays,
// shared capacity and faults, which an admin API changes at run time.
package link

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

// Proxy is the set of links of one process and its admin API.
type Proxy struct {
	admin  *restserver.Server
	links  []*link
	groups map[string]*group
}

// Start starts all links; they run until Close.
func Start(settings Settings) (*Proxy, error) {
	p := &Proxy{groups: map[string]*group{}}
	for _, g := range settings.Groups {
		p.groups[g.Name] = &group{}
		p.groups[g.Name].set(g.BitsPerSecond)
	}
	for _, linkSettings := range settings.Links {
		if err := p.startLink(linkSettings); err != nil {
			return nil, errors.Join(err, p.Close())
		}
	}
	admin, err := restserver.Start(settings.Admin, p.routes())
	if err != nil {
		return nil, errors.Join(err, p.Close())
	}
	p.admin = admin
	return p, nil
}

func (p *Proxy) startLink(settings LinkSettings) error {
	g, err := p.groupOf(settings)
	if err != nil {
		return err
	}
	l, err := startLink(settings, g)
	if err != nil {
		return err
	}
	p.links = append(p.links, l)
	return nil
}

func (p *Proxy) groupOf(settings LinkSettings) (*group, error) {
	if settings.Group == "" {
		if p.groups[settings.Name] != nil {
			return nil, errors.Errorf("link %s: its name is taken by a group or a link", settings.Name)
		}
		g := &group{}
		g.set(settings.BitsPerSecond)
		p.groups[settings.Name] = g
		return g, nil
	}
	g, ok := p.groups[settings.Group]
	if !ok {
		return nil, errors.Errorf("link %s: unknown group %q", settings.Name, settings.Group)
	}
	if settings.BitsPerSecond != 0 {
		return nil, errors.Errorf("link %s: bits_per_second and group exclude each other", settings.Name)
	}
	return g, nil
}

// Close stops all links and resets their connections.
func (p *Proxy) Close() error {
	for _, l := range p.links {
		l.close()
	}
	if p.admin == nil {
		return nil
	}
	return p.admin.Close()
}

// AdminURL returns the base URL of the admin API.
func (p *Proxy) AdminURL() string { return p.admin.URL() }

// Addr returns the listen address of a link, or "" if there is none.
func (p *Proxy) Addr(name string) string {
	for _, l := range p.links {
		if l.settings.Name == name {
			return l.report().Listen
		}
	}
	return ""
}

// Links returns a report of each link.
func (p *Proxy) Links() []Report {
	out := []Report{}
	for _, l := range p.links {
		out = append(out, l.report())
	}
	return out
}

// SetState changes the state of the links whose name has the prefix and returns
// their number.
func (p *Proxy) SetState(prefix string, change func(*State) error) (int, error) {
	changed := 0
	var errs []error
	for _, l := range p.links {
		if !strings.HasPrefix(l.settings.Name, prefix) {
			continue
		}
		errs = append(errs, l.setState(change))
		changed++
	}
	return changed, errors.Join(errs...)
}

// Heal removes the faults of the links whose name has the prefix and returns
// their number.
func (p *Proxy) Heal(prefix string) (int, error) {
	return p.SetState(prefix, func(s *State) error {
		*s = s.withoutFaults()
		return nil
	})
}

// SetGroup changes the capacity of a group and reports whether the group exists.
func (p *Proxy) SetGroup(settings GroupSettings) bool {
	g, ok := p.groups[settings.Name]
	if ok {
		g.set(settings.BitsPerSecond)
	}
	return ok
}

func (p *Proxy) routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/admin/links", Handler: p.handleLinks},
		{Method: http.MethodPost, Path: "/admin/links", Handler: p.handleSet},
		{Method: http.MethodPost, Path: "/admin/heal", Handler: p.handleHeal},
		{Method: http.MethodPost, Path: "/admin/groups", Handler: p.handleGroup},
	}
}

func (p *Proxy) handleLinks(w http.ResponseWriter, _ *http.Request) {
	restserver.WriteJSON(w, http.StatusOK, p.Links())
}

// handleSet changes the links whose name has the prefix given by the query
// parameter "prefix", or all links without it.
func (p *Proxy) handleSet(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAdminBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n, err := p.SetState(r.URL.Query().Get("prefix"), func(s *State) error {
		decoder := json.NewDecoder(strings.NewReader(string(body)))
		decoder.DisallowUnknownFields()
		return decoder.Decode(s)
	})
	writeChangeResult(w, n, err)
}

func (p *Proxy) handleHeal(w http.ResponseWriter, r *http.Request) {
	n, err := p.Heal(r.URL.Query().Get("prefix"))
	writeChangeResult(w, n, err)
}

func (p *Proxy) handleGroup(w http.ResponseWriter, r *http.Request) {
	var settings GroupSettings
	if !restserver.ReadJSON(w, r, maxAdminBytes, &settings) {
		return
	}
	if !p.SetGroup(settings) {
		http.Error(w, "no such group", http.StatusNotFound)
		return
	}
	restserver.WriteJSON(w, http.StatusOK, settings)
}

func writeChangeResult(w http.ResponseWriter, n int, err error) {
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	case n == 0:
		http.Error(w, "no link matches", http.StatusNotFound)
	default:
		restserver.WriteJSON(w, http.StatusOK, changedReport{Changed: n})
	}
}

type changedReport struct {
	Changed int `json:"changed"`
}

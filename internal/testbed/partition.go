package testbed

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"

	linkstandin "github.com/dandelionrack/dandelionrack/internal/standin/link"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// Partition describes how the links of a failure domain fail.
type Partition struct {
	Domain string
	// PlatformOnly separates the domain from the platform only.
	PlatformOnly bool
	// Refuse resets connections and refuses new ones. Without it, links stop
	// transferring bytes silently, as in a network partition.
	Refuse bool
}

// maxLinkRequests limits the concurrent requests to the link stand-in.
const maxLinkRequests = 8

// ApplyPartition separates a failure domain from the others and from the platform.
// Callers and entry instances inside the domain still reach each other.
func (t *Testbed) ApplyPartition(ctx context.Context, p Partition) error {
	inside := map[string]bool{}
	for _, in := range t.layout.deployment.EntryInstances {
		if in.FailureDomain == p.Domain {
			inside[in.ID] = true
		}
	}
	if len(inside) == 0 {
		return errors.Errorf("no entry instance in failure domain %q", p.Domain)
	}
	state := map[string]any{"freeze": linkstandin.FreezeBoth}
	if p.Refuse {
		state = map[string]any{"cut": true}
	}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxLinkRequests)
	for _, name := range t.LinkNames() {
		if p.crosses(name, inside) {
			group.Go(func() error { return t.SetLinkState(ctx, url.QueryEscape(name), state) })
		}
	}
	return group.Wait()
}

// crosses reports whether the partition affects a link; inside holds the ids of
// the domain's entry instances.
func (p Partition) crosses(link string, inside map[string]bool) bool {
	parts := strings.Split(link, "/")
	switch parts[0] {
	case "platform":
		return inside[parts[1]]
	case "peer":
		return !p.PlatformOnly && inside[parts[1]] != inside[parts[2]]
	case "caller":
		return !p.PlatformOnly && (parts[1] == p.Domain) != inside[parts[2]]
	default:
		return false
	}
}

// EntryInstance returns the entry instance with an id from the deployment.
func (t *Testbed) EntryInstance(id string) (config.EntryInstance, error) {
	for _, in := range t.layout.deployment.EntryInstances {
		if in.ID == id {
			return in, nil
		}
	}
	return config.EntryInstance{}, errors.Errorf("no entry instance %q", id)
}

// SetInstances replaces the platform's instance list.
func (t *Testbed) SetInstances(ctx context.Context, list []platform.Instance) error {
	return sendJSON(ctx, http.MethodPut, "http://"+t.layout.platformAddr()+"/admin/instances", list)
}

package fleet

import (
	"math"
	"slices"

	"github.com/go-faster/errors"
)

// Organisation is a customer's organisation, whose clients authenticate with its keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority replaces that of the route; 0 is the highest.
	Priority int
	// RatePerSecond and Burst are the quota over all entry instances together: within
	// any time t, RatePerSecond*t + Burst requests. A RatePerSecond of 0 is no limit.
	RatePerSecond, Burst float64
	// AllowedRegions lists the regions in which requests may run; empty means all.
	AllowedRegions []string
}

// organisations is the index of a document's organisations.
type organisations struct {
	all   []Organisation
	byKey map[string]*Organisation
}

// SetOrganisations adds organisations, after which requests of routes that are not
// public need a key. It reports a name or key that occurs twice, a quota that is no
// number or negative, and an organisation without a name.
func (d *Document) SetOrganisations(all []Organisation) error {
	index := &organisations{all: all, byKey: make(map[string]*Organisation, len(all))}
	names := make(map[string]bool, len(all))
	for i := range all {
		o := &all[i]
		switch {
		case o.Name == "":
			return errors.Errorf("organisation %d has no name", i)
		case names[o.Name]:
			return errors.Errorf("organisation %q occurs twice", o.Name)
		case !validQuota(o.RatePerSecond) || !validQuota(o.Burst):
			return errors.Errorf("organisation %q has the quota %v per second, burst %v", o.Name, o.RatePerSecond, o.Burst)
		}
		names[o.Name] = true
		for _, key := range o.Keys {
			// The message must not contain the key.
			if other := index.byKey[key]; other != nil && other != o {
				return errors.Errorf("organisations %q and %q hold the same key", other.Name, o.Name)
			}
			if key == "" {
				return errors.Errorf("organisation %q has an empty key", o.Name)
			}
			index.byKey[key] = o
		}
	}
	d.organisations = index
	return nil
}

func validQuota(v float64) bool { return v >= 0 && !math.IsInf(v, 1) }

// HasOrganisations reports whether requests carry keys.
func (d *Document) HasOrganisations() bool { return d.organisations != nil }

// Organisations returns the organisations in the order of the document.
func (d *Document) Organisations() []Organisation {
	if d.organisations == nil {
		return nil
	}
	return d.organisations.all
}

// OrganisationOf returns the organisation that holds a key, or nil.
func (d *Document) OrganisationOf(key string) *Organisation {
	if d.organisations == nil || key == "" {
		return nil
	}
	return d.organisations.byKey[key]
}

// RegionsFor returns the regions in which requests of an organisation, or of none if
// it is nil, may run on a route. none says that no region is allowed; otherwise an empty
// list means all.
func (r *Route) RegionsFor(o *Organisation) (allowed []string, none bool) {
	if o == nil || len(o.AllowedRegions) == 0 {
		return r.AllowedRegions, false
	}
	if len(r.AllowedRegions) == 0 {
		return o.AllowedRegions, false
	}
	for _, region := range r.AllowedRegions {
		if slices.Contains(o.AllowedRegions, region) {
			allowed = append(allowed, region)
		}
	}
	return allowed, len(allowed) == 0
}

// PriorityFor returns the priority of a request; 0 is the highest.
func (r *Route) PriorityFor(o *Organisation) int {
	if o != nil {
		return o.Priority
	}
	return r.Priority
}

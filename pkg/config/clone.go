package config

import (
	"maps"
	"slices"
)

// shallowClone copies the document and its maps. Contracts and drains are
// shared, because they are replaced and never modified.
func (d *Document) shallowClone() *Document {
	out := *d
	out.Contracts = maps.Clone(d.Contracts)
	if out.Contracts == nil {
		out.Contracts = map[string]*Contract{}
	}
	out.Drains = maps.Clone(d.Drains)
	if out.Drains == nil {
		out.Drains = map[string]*Drain{}
	}
	return &out
}

// cloneContract makes a deep copy, so that the caller of Apply may reuse its
// slices.
func cloneContract(c *Contract) *Contract {
	out := *c
	out.TokenSHA256 = slices.Clone(c.TokenSHA256)
	out.Services = slices.Clone(c.Services)
	for i := range out.Services {
		s := &out.Services[i]
		s.Aliases = slices.Clone(s.Aliases)
		s.Regions = slices.Clone(s.Regions)
	}
	return &out
}

func cloneDeployment(d *Deployment) Deployment {
	out := *d
	out.Regions = slices.Clone(d.Regions)
	out.FailureDomains = slices.Clone(d.FailureDomains)
	out.EntryInstances = slices.Clone(d.EntryInstances)
	out.BackendServers = slices.Clone(d.BackendServers)
	for i := range out.BackendServers {
		s := &out.BackendServers[i]
		s.Services = slices.Clone(s.Services)
	}
	out.Links = slices.Clone(d.Links)
	out.ClientBlocks = slices.Clone(d.ClientBlocks)
	return out
}

// FindBackendServer returns the backend server with an id, or nil.
func (d *Deployment) FindBackendServer(id string) *BackendServer {
	for i := range d.BackendServers {
		if d.BackendServers[i].ID == id {
			return &d.BackendServers[i]
		}
	}
	return nil
}

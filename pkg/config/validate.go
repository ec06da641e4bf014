package config

import (
	"maps"
	"regexp"
	"slices"

	"github.com/dandelionrack/dandelionrack/pkg/findings"
)

// namePattern restricts names and ids, because they become parts of row keys, URL
// paths and metric names.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func checkName(l *findings.List, path, name string) {
	if name == "" {
		l.Add(path, "is missing")
		return
	}
	if !namePattern.MatchString(name) {
		l.Add(path, "%q must be 1 to 63 lower-case letters, digits, dots, dashes or underscores", name)
	}
}

// seen maps each value to the path of its first use, to find duplicates.
type seen map[string]string

// add records the use of a value at a path, or adds a finding if the value was
// used before.
func (s seen) add(l *findings.List, path, value string) {
	if value == "" {
		return
	}
	if first, ok := s[value]; ok {
		l.Add(path, "%q is used already at %s", value, first)
		return
	}
	s[value] = path
}

func joinPath(prefix, path string) string {
	if prefix == "" {
		return path
	}
	if path == "" {
		return prefix
	}
	return prefix + "." + path
}

// Validate adds a finding for each problem of the document.
func (d *Document) Validate(list *findings.List) {
	ValidateDeployment(&d.Deployment, list, "deployment")
	for _, customer := range slices.Sorted(maps.Keys(d.Contracts)) {
		path := "contracts[" + customer + "]"
		c := d.Contracts[customer]
		if c == nil {
			list.Add(path, "is missing")
			continue
		}
		if c.Customer != customer {
			list.Add(path+".customer", "is %q but the contract is listed under %q", c.Customer, customer)
		}
		ValidateContract(c, &d.Deployment, list, path)
	}
	d.validateDrains(list)
	d.validateUniqueness(list)
}

func (d *Document) validateDrains(list *findings.List) {
	for _, id := range slices.Sorted(maps.Keys(d.Drains)) {
		path := "drains[" + id + "]"
		drain := d.Drains[id]
		if drain == nil || drain.BackendServer != id {
			list.Add(path+".backend_server", "must be %q", id)
		}
		if d.Deployment.FindBackendServer(id) == nil {
			list.Add(path, "backend server %q is not defined", id)
		}
	}
}

// validateUniqueness checks that no two contracts share a token, because it
// identifies the customer, or a service name, because backend servers are
// selected by it.
func (d *Document) validateUniqueness(list *findings.List) {
	tokens := seen{}
	services := seen{}
	for _, customer := range slices.Sorted(maps.Keys(d.Contracts)) {
		c := d.Contracts[customer]
		if c == nil {
			continue
		}
		path := "contracts[" + customer + "]"
		for _, t := range slices.Compact(slices.Sorted(slices.Values(c.TokenSHA256))) {
			tokens.add(list, path+".token_sha256", t)
		}
		for _, name := range serviceNames(c) {
			services.add(list, path+".services", name)
		}
	}
}

// serviceNames returns the canonical service names, sorted and without
// duplicates.
func serviceNames(c *Contract) []string {
	names := make([]string, 0, len(c.Services))
	for i := range c.Services {
		names = append(names, c.Services[i].Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

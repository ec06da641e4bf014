package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/dandelionrack/dandelionrack/pkg/findings"
)

// Review adds a finding for each part of a valid document that has no effect or that
// contradicts another part: entries that can never match, and limits of which one makes
// another unreachable. Such a document is accepted; the findings are for its author.
func (d *Document) Review(list *findings.List) {
	r := &reviewer{doc: d, list: list, serversOf: map[string][]*BackendServer{}}
	for i := range d.Deployment.BackendServers {
		s := &d.Deployment.BackendServers[i]
		for _, name := range s.Services {
			r.serversOf[name] = append(r.serversOf[name], s)
		}
	}
	r.reviewDeployment()
	for _, customer := range slices.Sorted(maps.Keys(d.Contracts)) {
		if c := d.Contracts[customer]; c != nil {
			r.reviewContract(c, "contracts["+customer+"]")
		}
	}
	r.reviewDrains()
}

type reviewer struct {
	doc       *Document
	list      *findings.List
	serversOf map[string][]*BackendServer // by service
}

func (r *reviewer) reviewDeployment() {
	d := &r.doc.Deployment
	offered := map[string]bool{}
	for _, c := range r.doc.Contracts {
		for i := range c.Services {
			offered[c.Services[i].Name] = true
		}
	}
	for i, s := range d.BackendServers {
		if len(r.doc.Contracts) > 0 && !slices.ContainsFunc(s.Services, func(name string) bool { return offered[name] }) {
			r.list.Add(fmt.Sprintf("deployment.backend_servers[%d].services", i), "no contract has a service of %q; it gets no requests", s.ID)
		}
	}
	used := map[string]bool{}
	for _, e := range d.EntryInstances {
		used[e.FailureDomain] = true
	}
	for _, s := range d.BackendServers {
		used[s.FailureDomain] = true
	}
	for i, fd := range d.FailureDomains {
		if !used[fd.Name] {
			r.list.Add(fmt.Sprintf("deployment.failure_domains[%d]", i), "%q has neither entry instances nor backend servers", fd.Name)
		}
	}
	for i, region := range d.Regions {
		if !slices.ContainsFunc(d.FailureDomains, func(fd FailureDomain) bool { return fd.Region == region.Name }) {
			r.list.Add(fmt.Sprintf("deployment.regions[%d]", i), "%q has no failure domain", region.Name)
		}
	}
	r.reviewBlocks()
}

// reviewBlocks finds client blocks that are covered by others: one that is inside a
// larger block of the same failure domain has no effect, and a block never matches if
// smaller ones cover all of it.
func (r *reviewer) reviewBlocks() {
	type block struct {
		index  int
		prefix netip.Prefix
		domain string
	}
	var blocks []block
	for i, b := range r.doc.Deployment.ClientBlocks {
		if p, err := netip.ParsePrefix(b.Prefix); err == nil {
			blocks = append(blocks, block{i, p, b.FailureDomain})
		}
	}
	byPrefix := make(map[netip.Prefix]block, len(blocks))
	for _, b := range blocks {
		byPrefix[b.prefix] = b
	}
	for _, b := range blocks {
		path := fmt.Sprintf("deployment.client_blocks[%d]", b.index)
		for bits := b.prefix.Bits() - 1; bits >= 0; bits-- {
			outer, ok := byPrefix[netip.PrefixFrom(b.prefix.Addr(), bits).Masked()]
			if !ok {
				continue
			}
			if outer.domain == b.domain {
				r.list.Add(path, "%s has no effect: client_blocks[%d], %s, gives the same failure domain", b.prefix, outer.index, outer.prefix)
			}
			break
		}
		if covered(b.prefix, func(p netip.Prefix) bool { _, ok := byPrefix[p]; return ok }, maxCoverDepth) {
			r.list.Add(path, "%s never matches: smaller blocks cover all of it", b.prefix)
		}
	}
}

// maxCoverDepth bounds how much smaller the blocks are that may cover another one.
const maxCoverDepth = 8

// covered reports whether blocks below a prefix cover all of it.
func covered(p netip.Prefix, present func(netip.Prefix) bool, depth int) bool {
	if depth == 0 || p.Bits() >= p.Addr().BitLen() {
		return false
	}
	for _, half := range halves(p) {
		if !present(half) && !covered(half, present, depth-1) {
			return false
		}
	}
	return true
}

// halves returns the two prefixes that are one bit longer.
func halves(p netip.Prefix) [2]netip.Prefix {
	bits := p.Bits()
	upper := p.Addr().AsSlice()
	upper[bits/8] |= 0x80 >> (bits % 8)
	addr, _ := netip.AddrFromSlice(upper) // the length is that of an address
	return [2]netip.Prefix{netip.PrefixFrom(p.Addr(), bits+1), netip.PrefixFrom(addr, bits+1)}
}

func (r *reviewer) reviewContract(c *Contract, path string) {
	for i := range c.Services {
		r.reviewService(c, &c.Services[i], fmt.Sprintf("%s.services[%d]", path, i))
	}
}

func (r *reviewer) reviewService(c *Contract, s *Service, path string) {
	servers := r.serversOf[s.Name]
	inRegions := 0
	slots := 0
	for _, server := range servers {
		if region := r.doc.Deployment.RegionOf(server.FailureDomain); len(s.Regions) == 0 || slices.Contains(s.Regions, region) {
			inRegions++
			slots += server.Slots
		}
	}
	switch {
	case len(servers) == 0:
		r.list.Add(path+".name", "no backend server has the service %q; all requests are refused", s.Name)
	case inRegions == 0:
		r.list.Add(path+".regions", "no backend server of %q is in these regions; all requests are refused", s.Name)
	}
	for i, region := range s.Regions {
		if inRegions > 0 && !slices.ContainsFunc(servers, func(b *BackendServer) bool { return r.doc.Deployment.RegionOf(b.FailureDomain) == region }) {
			r.list.Add(fmt.Sprintf("%s.regions[%d]", path, i), "no backend server of %q is in %q", s.Name, region)
		}
	}
	for _, other := range r.doc.Contracts {
		if other == c {
			continue
		}
		for i, digest := range c.TokenSHA256 {
			if slices.Contains(other.TokenSHA256, digest) && c.Customer < other.Customer && s == &c.Services[0] {
				r.list.Add(strings.TrimSuffix(path, ".services[0]")+fmt.Sprintf(".token_sha256[%d]", i), "the contract of %q has the same digest", other.Customer)
			}
		}
	}
	r.reviewLimits(s, path, slots)
}

// reviewLimits finds limits of a service that contradict each other.
func (r *reviewer) reviewLimits(s *Service, path string, slots int) {
	if s.RatePerSecond > 0 && s.ShiftCap.Rate > s.RatePerSecond {
		r.list.Add(path+".shift_cap.rate", "is above rate_per_second, %v: more may move than is accepted", s.RatePerSecond)
	}
	if s.ShiftCap.Share > 0 && s.ShiftCap.PerWindow() < 1 {
		r.list.Add(path+".shift_cap", "allows less than one request in a window: nothing can move to another region")
	}
	if s.HedgeAfter > 0 && s.HedgeAfter >= s.Objective.Latency {
		r.list.Add(path+".hedge_after", "is not below objective.latency, %v: a hedge always comes too late for it", s.Objective.Latency.Std())
	}
	if s.HedgeAfter > 0 && s.RetryRatio == 0 {
		r.list.Add(path+".hedge_after", "has no effect: hedges count as retries, and retry_ratio is 0")
	}
	if rate := s.RatePerSecond; rate > 0 && slots > 0 && rate > float64(slots)/minServiceTime.Seconds() {
		r.list.Add(path+".rate_per_second", "is above what %d slots can serve at %v a request: the limit has no effect", slots, minServiceTime)
	}
	if entries := len(r.doc.Deployment.EntryInstances); s.RatePerSecond > 0 && s.RatePerSecond < float64(entries) {
		r.list.Add(path+".rate_per_second", "is below one request a second for each of %d entry instances, which have equal parts", entries)
	}
}

func (r *reviewer) reviewDrains() {
	for _, id := range slices.Sorted(maps.Keys(r.doc.Drains)) {
		if !slices.ContainsFunc(r.doc.Deployment.BackendServers, func(s BackendServer) bool { return s.ID == id }) {
			r.list.Add("drains["+id+"]", "the deployment has no such backend server")
		}
	}
}

// minServiceTime is the shortest time that a request is assumed to take.
const minServiceTime = time.Millisecond

// Difference is a value that differs between two documents.
type Difference struct {
	Path string `json:"path"`
	// Before and After are JSON; empty if the value is absent.
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

func (d Difference) String() string {
	switch {
	case d.Before == nil:
		return d.Path + ": added " + string(d.After)
	case d.After == nil:
		return d.Path + ": removed " + string(d.Before)
	default:
		return d.Path + ": " + string(d.Before) + " becomes " + string(d.After)
	}
}

// Compare returns what differs between two values of the same type in their JSON form,
// in the order of the paths. Elements of lists are matched by their name, id or prefix if
// they have one, so that a changed order is no difference.
func Compare(before, after any) ([]Difference, error) {
	x, err := toJSON(before)
	if err != nil {
		return nil, err
	}
	y, err := toJSON(after)
	if err != nil {
		return nil, err
	}
	var out []Difference
	compareValues("", x, y, &out)
	slices.SortFunc(out, func(a, b Difference) int { return strings.Compare(a.Path, b.Path) })
	return out, nil
}

func toJSON(v any) (any, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	var out any
	return out, json.Unmarshal(data, &out)
}

// recorded holds the fields that the system sets when it accepts a change.
var recorded = []string{"version", "change_id", "author", "change", "deployment_version", "deployment_change_id", "deployment_author", "deployment_changed_at"}

// identifiers are the fields by which elements of lists are matched.
var identifiers = []string{"id", "name", "prefix"}

func compareValues(path string, x, y any, out *[]Difference) {
	if reflect.DeepEqual(x, y) {
		return
	}
	mx, okx := asMap(x)
	my, oky := asMap(y)
	if !okx || !oky {
		*out = append(*out, Difference{Path: path, Before: encodeValue(x), After: encodeValue(y)})
		return
	}
	keys := slices.Collect(maps.Keys(mx))
	for key := range my {
		if _, ok := mx[key]; !ok {
			keys = append(keys, key)
		}
	}
	for _, key := range keys {
		if !slices.Contains(recorded, key) {
			compareValues(joinPath(path, key), mx[key], my[key], out)
		}
	}
}

// asMap returns an object, or a list whose elements have identifiers, as a map.
func asMap(v any) (map[string]any, bool) {
	switch v := v.(type) {
	case map[string]any:
		return v, true
	case []any:
		out := make(map[string]any, len(v))
		for _, element := range v {
			object, ok := element.(map[string]any)
			if !ok {
				return nil, false
			}
			id := ""
			for _, field := range identifiers {
				if value, ok := object[field].(string); ok && id == "" {
					id = value
				}
			}
			if _, dup := out[id]; id == "" || dup {
				return nil, false
			}
			out[id] = object
		}
		return out, true
	}
	return nil, false
}

func encodeValue(v any) json.RawMessage {
	if v == nil {
		return nil
	}
	data, err := json.Marshal(v)
	if err != nil {
		return nil // unreachable: v was decoded from JSON
	}
	return data
}

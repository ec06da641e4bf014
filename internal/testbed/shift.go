package testbed

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/dandelionrack/dandelionrack/internal/loadgen"
	backendstandin "github.com/dandelionrack/dandelionrack/internal/standin/backend"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/shift/audit"
)

// Restart records a start of an entry instance after the first one.
type Restart struct {
	Entry string
	At    time.Time
}

// AuditShift checks the runs of each service against the shift cap of the
// contract. Runs are matched to results by request id, because the backend
// servers do not record the caller; runs without a result are ignored.
func (t *Testbed) AuditShift(results []loadgen.Result, runs []backendstandin.Run, restarts []Restart) []string {
	byRequest := make(map[string]loadgen.Result, len(results))
	for _, r := range results {
		byRequest[r.RequestID] = r
	}
	records := map[string][]audit.Record{}
	for _, run := range runs {
		r, ok := byRequest[run.RequestID]
		if !ok || run.RequestID == "" {
			continue
		}
		svc, ok := t.layout.contract.FindService(r.Service)
		if !ok {
			continue
		}
		records[svc.Name] = append(records[svc.Name], audit.Record{
			Time:        run.Start,
			Home:        t.homeRegion(r.ClientAddr),
			Region:      t.serverRegion(run.Server),
			Incarnation: incarnation(r, restarts),
		})
	}
	for _, r := range results {
		svc, ok := t.layout.contract.FindService(r.Service)
		if !ok || r.Outcome != loadgen.OutcomeNotRun || r.RequestID == "" {
			continue
		}
		records[svc.Name] = append(records[svc.Name], audit.Record{
			Time:        r.SentAt.Add(r.Latency),
			Home:        t.homeRegion(r.ClientAddr),
			Incarnation: incarnation(r, restarts),
		})
	}
	return t.checkShift(records)
}

func (t *Testbed) checkShift(records map[string][]audit.Record) []string {
	var problems []string
	for _, svc := range t.layout.contract.Services {
		limit, window := svc.ShiftCap.PerWindow(), svc.ShiftCap.Window.Std()
		report := audit.Check(records[svc.Name], limit, window)
		if len(report.Violations) > 0 {
			problems = append(problems, fmt.Sprintf("service %s: %d windows over the shift cap of %.0f, first: %s",
				svc.Name, len(report.Violations), limit, report.Violations[0]))
		}
	}
	return problems
}

// incarnation identifies the process of the entry instance that chose the
// region, by the number of restarts before the request.
func incarnation(r loadgen.Result, restarts []Restart) string {
	n := 0
	for _, s := range restarts {
		if s.Entry == r.Entry && !r.SentAt.Before(s.At) {
			n++
		}
	}
	return fmt.Sprintf("%s#%d", r.Entry, n)
}

func (t *Testbed) homeRegion(client string) string {
	addr, err := netip.ParseAddr(client)
	if err != nil {
		return ""
	}
	dep := &t.layout.deployment
	for _, block := range dep.ClientBlocks {
		if prefix, err := netip.ParsePrefix(block.Prefix); err == nil && prefix.Contains(addr) {
			return dep.RegionOf(block.FailureDomain)
		}
	}
	return ""
}

func (t *Testbed) serverRegion(id string) string {
	s := t.layout.deployment.FindBackendServer(id)
	if s == nil {
		return ""
	}
	return t.layout.deployment.RegionOf(s.FailureDomain)
}

// FindService returns the contract's service by its current or a former name.
func (t *Testbed) FindService(name string) (*config.Service, bool) {
	return t.layout.contract.FindService(name)
}

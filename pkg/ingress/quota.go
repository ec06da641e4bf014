package ingress

import (
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/dandelionrack/dandelionrack/pkg/fleet"
	"github.com/dandelionrack/dandelionrack/pkg/quota"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

const (
	// minQuotaPush is the minimum time between two reports of demand that has risen.
	minQuotaPush = 200 * time.Millisecond
	// Reports hold requests per second and shares as whole numbers of these units.
	perSecondUnit = 1.0 / 16
	admittedUnit  = 1.0 / 1000
)

// quotas guards the quotas of organisations. It is safe for concurrent use.
type quotas struct {
	mu       sync.Mutex
	book     *quota.Book
	document *fleet.Document // of the limits in book
	pushedAt time.Time
	limited  map[string]bool // as last logged; used by logQuotas only
}

func newQuotas(self fleet.Member) *quotas {
	return &quotas{book: quota.NewBook(placeOf(self)), limited: map[string]bool{}}
}

func placeOf(m fleet.Member) quota.Place {
	return quota.Place{ID: m.ID, FailureDomain: m.FailureDomain, Region: m.Region}
}

// update applies a document, the number of known members and the deployment's bounds.
func (q *quotas) update(now time.Time, doc *fleet.Document, members int, bounds fleet.Bounds) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.book.SetMembers(members)
	q.book.SetBounds(quota.Bounds{Window: bounds.QuotaWindow, Overage: bounds.QuotaOverage, Slack: bounds.QuotaSlack})
	if doc == nil || doc == q.document {
		return
	}
	q.document = doc
	var limits []quota.Limit
	for _, o := range doc.Organisations() {
		limits = append(limits, quota.Limit{Name: o.Name, PerSecond: o.RatePerSecond, Burst: o.Burst})
	}
	q.book.SetLimits(now, limits)
}

// allow counts a request of an organisation. push says that peers should hear at once
// of the demand.
func (q *quotas) allow(now time.Time, name string) (ok bool, retryAfter time.Duration, push bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ok, retryAfter = q.book.Allow(now, name)
	if q.book.NeedsReport() && now.Sub(q.pushedAt) >= minQuotaPush {
		q.pushedAt, push = now, true
	}
	return ok, retryAfter, push
}

// report returns the demand for a peer; nil if there is nothing to say.
func (q *quotas) report(now time.Time, peer fleet.Member) *wire.QuotaReport {
	if peer.ID == "" {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.book.HasLimits() {
		return nil
	}
	r := q.book.Report(now, placeOf(peer))
	out := &wire.QuotaReport{Scope: uint32(r.Scope), Names: r.Names}
	for i, index := range r.Index {
		out.Index = append(out.Index, uint32(index))
		out.PerSecondX16 = append(out.PerSecondX16, uint32(min(r.PerSecond[i]/perSecondUnit+0.5, math.MaxUint32)))
		if r.Admitted != nil {
			out.AdmittedPermille = append(out.AdmittedPermille, uint32(r.Admitted[i]/admittedUnit+0.5))
		}
	}
	return out
}

// record applies the report of a peer.
func (q *quotas) record(now time.Time, peer fleet.Member, in *wire.QuotaReport) {
	if in == nil {
		return
	}
	r := quota.Report{Scope: quota.Scope(in.GetScope()), Names: in.GetNames()}
	for _, index := range in.GetIndex() {
		r.Index = append(r.Index, int(index))
	}
	for _, v := range in.GetPerSecondX16() {
		r.PerSecond = append(r.PerSecond, float64(v)*perSecondUnit)
	}
	for _, v := range in.GetAdmittedPermille() {
		r.Admitted = append(r.Admitted, float64(v)*admittedUnit)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.book.Record(now, placeOf(peer), r)
}

func (q *quotas) forget(id string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.book.Forget(id)
}

func (q *quotas) status() []quota.Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.book.Limited()
}

// checkQuota counts the request for the quota of its organisation, and returns the
// refusal if it exceeds the quota.
func (r *request) checkQuota() *reply {
	if r.organisation == nil || r.organisation.RatePerSecond <= 0 {
		return nil
	}
	ok, retryAfter, push := r.g.quotas.allow(r.arrived, r.organisation.Name)
	if push {
		r.g.pushNow()
	}
	if ok {
		return nil
	}
	return &reply{status: http.StatusTooManyRequests, outcome: outcomeNotRun, reason: reasonQuota, retryAfter: retryAfter}
}

// logQuotas writes a line for each organisation that has become limited or no longer is.
func (g *Ingress) logQuotas() {
	now := map[string]bool{}
	for _, s := range g.quotas.status() {
		now[s.Name] = true
		if !g.quotas.limited[s.Name] {
			g.log.writeLimited("quota", hclog.Info, "organisation is limited to its quota", "organisation", s.Name,
				"quota_per_second", s.PerSecond, "demand", s.Demand, "admitted", s.Admitted, "own_demand", s.Own, "own_rate", s.Rate)
		}
	}
	for name := range g.quotas.limited {
		if !now[name] {
			g.log.writeLimited("quota ended", hclog.Info, "organisation is no longer limited", "organisation", name)
		}
	}
	g.quotas.limited = now
}

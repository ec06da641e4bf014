// Package quota keeps the quotas of organisations over all entry instances without a
// coordinator. It does no I/O and reads no clock: callers pass in the time and what
// peers report. A Book is not safe for concurrent use.
//
// # Demand
//
// Each instance measures the requests per second that clients send for an
// organisation. Peers exchange these figures with their heartbeats: instances of one
// failure domain their own, instances of different failure domains the sum of their
// domain, and instances of different regions the sum of their region. So each knows the
// demand at all instances, at most some seconds old; a sudden rise is reported at once
// (NeedsReport).
//
// # Decision
//
// While the demand at all instances is below the quota, requests are not limited.
// Otherwise an instance admits the part of the quota that its demand is of all demand,
// as it was last reported, so that the parts add up to the quota whatever the demand is
// now. Instances also report what they admit. What was admitted above the quota
// meanwhile is taken from the burst and then from the rate of the following seconds, and
// what was not used of it is added.
//
// # Without contact
//
// An instance that hears nobody keeps its last part, also while it is not yet known
// whether a rise of its demand has reached anyone. The figures of an instance that
// falls silent are kept for silentTTL, since it may be cut off and still admit its part.
package quota

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// tick is the interval at which the demand and the parts are computed.
	tick = 100 * time.Millisecond
	// demandTimeConstant is the time constant of the measured demand.
	demandTimeConstant = 400 * time.Millisecond
	// freeLevel is the share of the burst that must be left for demand not to be
	// limited, freeSlack that of the slack. Demand for a small organisation varies by
	// more than its burst.
	freeLevel = 0.75
	freeSlack = 0.25
	// usableBurst is the share of the burst that is handed out. The rest covers the
	// time until a sudden rise is known to all.
	usableBurst = 0.3
	// steadyWindow is the share of what a window allows that is handed out, and
	// unsteadyWindow the same for calmAfter after more was admitted than that. The rest
	// covers instances that know different demands.
	steadyWindow   = 0.91
	unsteadyWindow = 0.75
	// instanceReserve is what is kept for an instance that is cut off just as demand
	// rises, as a share of its part.
	instanceReserve = 0.4
	// calmAfter is the time, in windows.
	calmAfter = 2
	// overrunTime is how much more must have been admitted, as time at the full rate.
	overrunTime = 100 * time.Millisecond
	// usableSlack is the share of the slack that is handed out, for the same reason.
	usableSlack = 0.5
	// minShare is the smallest share of the rate that is handed out, however much was
	// admitted above the quota before.
	minShare = 0.3
	// burstTime is the time over which an unused burst is handed out, and paybackTime
	// the one over which too many admitted requests are paid back.
	burstTime   = time.Second
	paybackTime = 1500 * time.Millisecond
	// contactTTL is the time without any report after which an instance counts as cut
	// off. Several peers report every second.
	contactTTL = 1200 * time.Millisecond
	// silentTTL is how long the figures of a silent source are kept.
	silentTTL = 30 * time.Second
	// Demand is reported at once if it has risen by this share of the quota and by more
	// than a client or two account for.
	minRise       = 0.03
	minRiseAmount = 3.0
	// maxDebt bounds what is paid back, as time at the full rate.
	maxDebt = 2 * time.Second
	// minBucket is the smallest depth of the bucket of an instance.
	minBucket = 1.5
	// bucketTime is the depth of the bucket, as time at the part of the instance.
	bucketTime = 300 * time.Millisecond
	// confirmTime is the time in which a peer is heard after a rise has been reported.
	confirmTime = 400 * time.Millisecond
	// maxRetryAfter bounds the time after which a refused client is asked to return.
	maxRetryAfter = 5 * time.Second
)

// Limit is the quota of an organisation over all instances: PerSecond times t plus Burst
// requests in any time t.
type Limit struct {
	Name             string
	PerSecond, Burst float64
}

// Scope says whose demand a report holds.
type Scope int

// Scopes of reports.
const (
	Instance Scope = iota // of the reporting instance
	Domain                // of all instances of its failure domain
	Region                // of all instances of its region
)

// Place is where an instance runs.
type Place struct{ ID, FailureDomain, Region string }

// ScopeFor returns the scope of the reports between two instances.
func ScopeFor(a, b Place) Scope {
	switch {
	case a.FailureDomain == b.FailureDomain:
		return Instance
	case a.Region == b.Region:
		return Domain
	default:
		return Region
	}
}

// Report holds the demand for some organisations. Those that are missing have none.
type Report struct {
	Scope Scope
	// Names identifies the set of organisations to which Index refers. A report of
	// another set is ignored.
	Names uint32
	// Index and PerSecond hold the position of each organisation in the order of names,
	// and the demand for it.
	Index     []int
	PerSecond []float64
	// Admitted holds the share of each demand that is admitted; nil means all.
	Admitted []float64
}

// source is what one instance, failure domain or region has reported.
type source struct {
	demand   []float64 // by index
	admitted []float64
	// share is the part of all demand that this was when it was reported, by index.
	share   []float64
	heardAt time.Time
}

func newSource(n int, now time.Time) *source {
	values := make([]float64, 3*n)
	return &source{demand: values[:n:n], admitted: values[n : 2*n : 2*n], share: values[2*n:], heardAt: now}
}

type sourceKey struct {
	scope Scope
	name  string // of the instance, failure domain or region
}

// organisation is the state of one organisation with a quota.
type organisation struct {
	Limit
	index int

	offered   int     // since updatedAt
	passed    int     // of those, admitted
	own       float64 // demand at this instance
	admitted  float64 // of that, what is admitted
	reported  float64 // the same as last reported
	reportSum float64 // demand of the failure domain as last reported
	others    float64 // demand at all other instances, as last reported
	silent    float64 // part of the quota that is kept for sources that are silent
	heard     float64 // demand of the other sources
	elsewhere float64 // admitted at all other instances
	part      float64 // of the quota that belongs to this instance
	// level is what is left of the burst of all instances together; negative if more
	// was admitted than the quota allows.
	level     float64
	overrunAt time.Time // when more had been admitted last
	// roseAt is when own has risen, and reportedAt when peers were told; zero once they
	// know.
	roseAt, reportedAt time.Time
	limited            bool
	rate               float64 // of this instance while limited
	tokens             float64
	promised           time.Time // when the refused client that returns last may be admitted
	updatedAt          time.Time
}

// Book holds the quotas of all organisations at one instance.
type Book struct {
	self    Place
	members int
	bounds  Bounds
	names   uint32
	byName  map[string]*organisation
	ordered []*organisation
	sources map[sourceKey]*source
	heardAt time.Time // last report of any source, or the first update
	rising  bool
}

// NewBook returns a Book of an instance without organisations.
func NewBook(self Place) *Book {
	return &Book{self: self, members: 1, byName: map[string]*organisation{}, sources: map[sourceKey]*source{}}
}

// SetMembers sets the number of known instances, this one included.
func (b *Book) SetMembers(n int) { b.members = max(1, n) }

// Bounds say how a quota is enforced: within Window, at most
// (PerSecond * Window + Burst) * (1 + Overage) + Slack requests of an organisation may be
// admitted. Without a Window, the rate is not exceeded.
type Bounds struct {
	Window         time.Duration
	Overage, Slack float64
}

// SetBounds sets the bounds of the deployment.
func (b *Book) SetBounds(bounds Bounds) { b.bounds = bounds }

// account returns the rate that all instances together admit for an organisation, how
// far they may run ahead of it, and what must be left of that for its demand not to be
// limited.
func (b *Book) account(now time.Time, o *organisation) (perSecond, full, free float64) {
	burst, slack := usableBurst*o.Burst, usableSlack*b.bounds.Slack
	full, free = burst+slack, freeLevel*burst+freeSlack*slack
	if b.bounds.Window <= 0 {
		return o.PerSecond, full, free
	}
	window, usable := b.bounds.Window.Seconds(), steadyWindow
	if now.Sub(o.overrunAt) < calmAfter*b.bounds.Window {
		usable = unsteadyWindow
	}
	usable -= instanceReserve / float64(b.members)
	allowed := (o.PerSecond*window+o.Burst)*(1+b.bounds.Overage) + b.bounds.Slack
	return max(o.PerSecond, (usable*allowed-full)/window), full, free
}

// SetLimits replaces the quotas. Organisations without a rate have none. The state of
// organisations that remain is kept.
func (b *Book) SetLimits(now time.Time, limits []Limit) {
	limits = slices.DeleteFunc(slices.Clone(limits), func(l Limit) bool { return l.PerSecond <= 0 })
	slices.SortFunc(limits, func(x, y Limit) int { return cmp.Compare(x.Name, y.Name) })
	h := fnv.New32a()
	next := make(map[string]*organisation, len(limits))
	ordered := make([]*organisation, 0, len(limits))
	moved := make([]int, 0, len(limits)) // former index by index
	for i, l := range limits {
		_, _ = h.Write([]byte(l.Name + "\x00")) // never fails
		o := b.byName[l.Name]
		if o == nil {
			o = &organisation{index: -1, level: math.Inf(1), updatedAt: now}
		}
		moved = append(moved, o.index)
		o.Limit, o.index = l, i
		_, full, _ := b.account(now, o)
		o.level = min(o.level, full)
		next[l.Name] = o
		ordered = append(ordered, o)
	}
	b.byName, b.ordered = next, ordered
	if names := h.Sum32(); names != b.names {
		b.names = names
		for _, s := range b.sources {
			s.move(moved)
		}
	}
}

// move adapts the demand to a new set of organisations.
func (s *source) move(former []int) {
	next := newSource(len(former), s.heardAt)
	for i, old := range former {
		if old >= 0 && old < len(s.demand) {
			next.demand[i], next.admitted[i], next.share[i] = s.demand[old], s.admitted[old], s.share[old]
		}
	}
	*s = *next
}

// HasLimits reports whether any organisation has a quota.
func (b *Book) HasLimits() bool { return len(b.ordered) > 0 }

// Allow counts a request of an organisation and reports whether it is within the quota.
// If not, retryAfter is when it will be.
func (b *Book) Allow(now time.Time, name string) (ok bool, retryAfter time.Duration) {
	o := b.byName[name]
	if o == nil {
		return true, 0
	}
	b.update(now, o)
	o.offered++
	if !o.limited || o.tokens >= 1 {
		o.passed++
		o.tokens--
		return true, 0
	}
	return false, o.nextPlace(now)
}

// nextPlace returns when a refused client can be admitted, after all those refused
// before it.
func (o *organisation) nextPlace(now time.Time) time.Duration {
	gap := time.Duration(float64(time.Second) / max(o.rate, 0.1))
	o.promised = o.promised.Add(gap)
	if first := now.Add(gap); o.promised.Before(first) {
		o.promised = first
	}
	if latest := now.Add(maxRetryAfter); o.promised.After(latest) {
		o.promised = latest
	}
	return o.promised.Sub(now)
}

// update computes the demand and the part of an organisation if a tick has passed.
func (b *Book) update(now time.Time, o *organisation) {
	dt := now.Sub(o.updatedAt)
	if dt < tick {
		return
	}
	o.updatedAt = now
	o.measure(dt)
	if b.heardAt.IsZero() {
		b.heardAt = now // it may be the only instance until then
	}
	cut := now.Sub(b.heardAt) > contactTTL && b.members > 1
	unconfirmed := b.unconfirmedRise(now, o)
	if !cut {
		b.sumUp(now, o)
	}
	if !cut && !unconfirmed {
		o.part = b.share(o)
	}
	allowed, free := b.updateAccount(now, dt, o, cut)
	wasLimited := o.limited
	o.limited = cut || unconfirmed && now.Sub(o.roseAt) > confirmTime || o.level < free
	o.rate = allowed * o.part
	depth := max(minBucket, o.rate*bucketTime.Seconds())
	if !wasLimited {
		o.tokens = depth // it has no meaning without a limit
	}
	o.tokens = min(depth, o.tokens+o.rate*dt.Seconds())
	if rise := o.rise(); o.own-o.reported > rise || b.domainSum(o)-o.reportSum > rise*domainRise {
		b.rising = true
	}
}

// measure updates the demand at this instance from the requests of the time dt.
func (o *organisation) measure(dt time.Duration) {
	weight := min(1, dt.Seconds()/demandTimeConstant.Seconds())
	o.own += weight * (float64(o.offered)/dt.Seconds() - o.own)
	o.admitted += weight * (float64(o.passed)/dt.Seconds() - o.admitted)
	o.offered, o.passed = 0, 0
}

// updateAccount updates what is left of the burst. It returns the rate that all instances
// together may admit, and what must be left for demand not to be limited.
func (b *Book) updateAccount(now time.Time, dt time.Duration, o *organisation, cut bool) (allowed, free float64) {
	perSecond, full, free := b.account(now, o)
	switch {
	case cut:
		allowed = o.PerSecond
	case o.level < 0:
		allowed = max(minShare*perSecond, perSecond+o.level/paybackTime.Seconds())
	default:
		allowed = perSecond + o.level/burstTime.Seconds()
	}
	o.level += (perSecond - o.elsewhere - o.admitted) * dt.Seconds()
	o.level = min(full, max(o.level, -maxDebt.Seconds()*perSecond))
	if o.level < -overrunTime.Seconds()*perSecond {
		o.overrunAt = now
	}
	return allowed, free
}

// rise returns by how much demand must rise to be reported at once.
func (o *organisation) rise() float64 { return max(minRise*o.PerSecond, minRiseAmount) }

// unconfirmedRise reports whether the demand at this instance has risen, and no peer has
// been heard since that was reported: the instance may be cut off.
func (b *Book) unconfirmedRise(now time.Time, o *organisation) bool {
	switch {
	case len(b.sources) == 0:
		o.roseAt = time.Time{}
	case o.roseAt.IsZero() && o.own-o.reported > o.rise():
		o.roseAt = now
	case o.reportedAt.After(o.roseAt) && b.heardAt.After(o.reportedAt):
		o.roseAt = time.Time{}
	}
	return !o.roseAt.IsZero()
}

// domainRise is how much more the demand of a failure domain has to rise to be reported
// at once than that of an instance: its members report their own.
const domainRise = 2

// minPart is the smallest part of a quota that an instance has, in equal parts.
const minPart = 0.5

// share returns the part of an organisation's quota that belongs to this instance.
func (b *Book) share(o *organisation) float64 {
	floor := minPart / float64(b.members)
	switch {
	case len(b.sources) == 0:
		return 1 / float64(b.members)
	case o.reported <= 0:
		return floor
	}
	return max(floor, (1-min(1, o.silent))*o.reported/(o.heard+o.reported))
}

// sumUp computes the demand at all other instances.
func (b *Book) sumUp(now time.Time, o *organisation) {
	o.others, o.heard, o.silent, o.elsewhere = 0, 0, 0, 0
	for key, s := range b.sources {
		age := now.Sub(s.heardAt)
		if age > silentTTL {
			delete(b.sources, key)
			continue
		}
		o.others += s.demand[o.index]
		o.elsewhere += s.admitted[o.index]
		if age > contactTTL {
			o.silent += s.share[o.index]
		} else {
			o.heard += s.demand[o.index]
		}
	}
}

// domainSum returns the demand at all instances of the failure domain.
func (b *Book) domainSum(o *organisation) float64 {
	sum := o.own
	for key, s := range b.sources {
		if key.scope < Domain {
			sum += s.demand[o.index]
		}
	}
	return sum
}

// NeedsReport reports whether demand has risen so much that peers should know at once.
// It is reset by Report.
func (b *Book) NeedsReport() bool { return b.rising }

// Report returns the demand for a peer.
func (b *Book) Report(now time.Time, peer Place) Report {
	b.rising = false
	r := Report{Scope: ScopeFor(b.self, peer), Names: b.names}
	all := true
	for _, o := range b.ordered {
		b.update(now, o)
		if !o.reportedAt.After(o.roseAt) {
			o.reportedAt = now
		}
		o.reported, o.reportSum = o.own, b.domainSum(o)
		demand, admitted := o.own, o.admitted
		for key, s := range b.sources {
			if key.scope < r.Scope {
				demand += s.demand[o.index]
				admitted += s.admitted[o.index]
			}
		}
		if demand < minReported {
			continue
		}
		r.Index = append(r.Index, o.index)
		r.PerSecond = append(r.PerSecond, demand)
		r.Admitted = append(r.Admitted, min(1, admitted/demand))
		all = all && admitted > allAdmitted*demand
	}
	if all {
		r.Admitted = nil
	}
	return r
}

// allAdmitted is the share of a demand that counts as all of it.
const allAdmitted = 0.99

// minReported is the smallest demand that is reported.
const minReported = 0.05

// Record applies the report of a peer.
func (b *Book) Record(now time.Time, peer Place, r Report) {
	if r.Names != b.names || r.Scope != ScopeFor(b.self, peer) || len(r.Index) != len(r.PerSecond) || r.Admitted != nil && len(r.Admitted) != len(r.Index) || peer.ID == b.self.ID {
		return
	}
	s := newSource(len(b.ordered), now)
	for i, index := range r.Index {
		admitted := 1.0
		if r.Admitted != nil {
			admitted = r.Admitted[i]
		}
		if index < 0 || index >= len(s.demand) || !(r.PerSecond[i] >= 0) || r.PerSecond[i] > maxDemand || !(admitted >= 0) || admitted > 1 {
			return
		}
		s.demand[index], s.admitted[index] = r.PerSecond[i], admitted*r.PerSecond[i]
		if o := b.ordered[index]; o.others+o.own > 0 {
			s.share[index] = min(1, s.demand[index]/(o.others+o.own))
		}
	}
	b.heardAt = now
	b.sources[keyOf(peer, r.Scope)] = s
}

// maxDemand is the largest demand that a report may hold.
const maxDemand = 1e9

func keyOf(peer Place, scope Scope) sourceKey {
	switch scope {
	case Instance:
		return sourceKey{scope, peer.ID}
	case Domain:
		return sourceKey{scope, peer.FailureDomain}
	default:
		return sourceKey{scope, peer.Region}
	}
}

// Forget removes what an instance has reported, which is known to have ended.
func (b *Book) Forget(id string) { delete(b.sources, sourceKey{Instance, id}) }

// Status is the state of an organisation's quota.
type Status struct {
	Name string `json:"name"`
	// Demand is the known demand at all instances, Own that at this one, Admitted what is
	// admitted of all.
	Demand    float64 `json:"demand"`
	Admitted  float64 `json:"admitted"`
	Own       float64 `json:"own"`
	PerSecond float64 `json:"per_second"` // the quota
	Rate      float64 `json:"rate"`       // of this instance
	Level     float64 `json:"level"`      // left of the burst; negative: to be paid back
}

// Limited returns the organisations that are limited now, in the order of their names.
func (b *Book) Limited() []Status {
	var out []Status
	for _, o := range b.ordered {
		if o.limited {
			out = append(out, Status{Name: o.Name, Demand: o.others + o.own, Admitted: o.elsewhere + o.admitted, Own: o.own, PerSecond: o.PerSecond, Rate: o.rate, Level: o.level})
		}
	}
	return out
}

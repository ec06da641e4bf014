package entry

import (
	"expvar"

	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// metrics holds the metrics of one entry instance. They are not in expvar's global
// table, so that several instances can run in one process.
type metrics struct {
	root *expvar.Map

	requests, lookups  expvar.Int
	mismatchedReplies  expvar.Int
	backendNotRun      expvar.Int
	backendUnknown     expvar.Int
	retries, hedges    expvar.Int
	retriesDenied      expvar.Int
	storeErrors        expvar.Int
	configVersion      expvar.Int
	refusals, outcomes expvar.Map
	routeExclusions    expvar.Map
}

func newMetrics() *metrics {
	m := &metrics{root: new(expvar.Map).Init()}
	m.refusals.Init()
	m.outcomes.Init()
	m.routeExclusions.Init()
	for name, v := range map[string]expvar.Var{
		"requests":           &m.requests,
		"lookups":            &m.lookups,
		"mismatched_replies": &m.mismatchedReplies,
		"backend_not_run":    &m.backendNotRun,
		"backend_unknown":    &m.backendUnknown,
		"retries":            &m.retries,
		"retries_denied":     &m.retriesDenied,
		"hedges":             &m.hedges,
		"store_errors":       &m.storeErrors,
		"config_version":     &m.configVersion,
		"refusals":           &m.refusals,
		"outcomes":           &m.outcomes,
		"route_exclusions":   &m.routeExclusions,
	} {
		m.root.Set(name, v)
	}
	return m
}

// publish registers a metric that is computed when it is read.
func (m *metrics) publish(name string, value func() any) {
	m.root.Set(name, expvar.Func(value))
}

func (m *metrics) countRefusal(r Reason) { m.refusals.Add(string(r), 1) }

func (m *metrics) countOutcome(o wire.Outcome) { m.outcomes.Add(outcomeName(o), 1) }

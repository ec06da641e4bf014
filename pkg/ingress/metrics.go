package ingress

import (
	"expvar"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// latencyBounds are the upper bounds of the latency histogram buckets, in
// milliseconds. They double from bucket to bucket and cover the latency objectives
// of 250 to 1,500 ms.
var latencyBounds = []int64{16, 31, 62, 125, 250, 500, 1000, 2000, 4000, 8000}

// metrics holds the counters of one entry instance. It does not use expvar's global
// map, so that several instances can run in one test.
type metrics struct {
	root *expvar.Map

	requests, lookups, connections, retries, retriesDenied   expvar.Int
	expectedWarm, mismatchedResponses, fullTables, coldSends expvar.Int
	leavingNotices, responsesAfterLeaving, limitNotices      expvar.Int
	pauses, rollbacks                                        expvar.Int
	outcomes, refusals, upstream, storeCalls                 expvar.Map

	mu        sync.Mutex
	latencies map[string]*histogram
}

type histogram struct {
	counts []int64
	sum    time.Duration
	n      int64
}

func newMetrics() *metrics {
	m := &metrics{root: new(expvar.Map).Init(), latencies: map[string]*histogram{}}
	for name, v := range map[string]expvar.Var{
		"requests": &m.requests, "lookups": &m.lookups, "backend_connections_opened": &m.connections,
		"retries": &m.retries, "retries_denied": &m.retriesDenied, "expected_warm": &m.expectedWarm,
		"foreign_answers": &m.mismatchedResponses, "whole_tables_sent": &m.fullTables, "sends_to_cold_servers": &m.coldSends,
		"leaving_notices": &m.leavingNotices, "limit_notices": &m.limitNotices, "pauses": &m.pauses, "store_rollbacks": &m.rollbacks, "responses_after_leaving_notice": &m.responsesAfterLeaving,
		"outcomes": m.outcomes.Init(), "refusals": m.refusals.Init(),
		"upstream_results": m.upstream.Init(), "store_calls": m.storeCalls.Init(),
	} {
		m.root.Set(name, v)
	}
	return m
}

// publishGauges adds gauges that are computed when they are read.
func (m *metrics) publishGauges(g *Ingress) {
	gauge := func(name string, f func() any) { m.root.Set(name, expvar.Func(f)) }
	gauge("document_version", func() any {
		if d := g.document.Load(); d != nil {
			return d.Version
		}
		return 0
	})
	gauge("store_answer_age_ms", func() any { return g.storeAge(time.Now()).Milliseconds() })
	gauge("following_store", func() any {
		if g.following.Load() {
			return 1
		}
		return 0
	})
	gauge("buffered_bytes", func() any { return g.bodyBudget.Used() })
	gauge("request_head_bytes", func() any { return g.headMemory.Used() })
	gauge("request_heads_refused", func() any { return g.headMemory.Refused() })
	gauge("quotas_limited", func() any { return g.quotas.status() })
	gauge("peers_alive", func() any {
		now := time.Now()
		g.mu.Lock()
		defer g.mu.Unlock()
		n := 0
		for _, p := range g.roster.Peers(now) {
			if g.roster.Alive(now, p.ID) {
				n++
			}
		}
		return n
	})
	gauge("retry_budget_used", func() any { return g.selector.retriesUsed(time.Now()) })
	gauge("far_share", func() any { return g.selector.remoteShares() })
	gauge("backend_servers", func() any { return g.selector.snapshot(time.Now()) })
}

func (m *metrics) observeLatency(class string, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.latencies[class]
	if h == nil {
		h = &histogram{counts: make([]int64, len(latencyBounds)+1)}
		m.latencies[class] = h
	}
	i := 0
	for i < len(latencyBounds) && took.Milliseconds() > latencyBounds[i] {
		i++
	}
	h.counts[i]++
	h.n++
	h.sum += took
}

// handle writes all metrics as text, one value per line.
func (m *metrics) handle(w http.ResponseWriter, _ *http.Request) {
	var b strings.Builder
	m.root.Do(func(kv expvar.KeyValue) { writeVar(&b, kv.Key, kv.Value) })
	m.mu.Lock()
	for class, h := range m.latencies {
		total := int64(0)
		for i, n := range h.counts {
			total += n
			bound := "+Inf"
			if i < len(latencyBounds) {
				bound = fmt.Sprint(latencyBounds[i])
			}
			fmt.Fprintf(&b, "request_ms_bucket{outcome=%q,le=%q} %d\n", class, bound, total)
		}
		fmt.Fprintf(&b, "request_ms_sum{outcome=%q} %d\nrequest_ms_count{outcome=%q} %d\n", class, h.sum.Milliseconds(), class, h.n)
	}
	m.mu.Unlock()
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(http.StatusOK)       // otherwise go-zero's fallback responds with 404
	_, _ = w.Write([]byte(b.String())) // fails only if the reader has disconnected
}

func writeVar(b *strings.Builder, name string, v expvar.Var) {
	if sub, ok := v.(*expvar.Map); ok {
		sub.Do(func(kv expvar.KeyValue) { fmt.Fprintf(b, "%s{kind=%q} %s\n", name, kv.Key, kv.Value) })
		return
	}
	fmt.Fprintf(b, "%s %s\n", name, v)
}

package entry

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/rest"

	"github.com/dandelionrack/dandelionrack/pkg/admission"
	"github.com/dandelionrack/dandelionrack/pkg/budget"
	"github.com/dandelionrack/dandelionrack/pkg/burn"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
	"github.com/dandelionrack/dandelionrack/pkg/trace"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

// peerQueryTimeout bounds the calls to all peers for one report.
const peerQueryTimeout = 2 * time.Second

// storeCheckTimeout bounds the platform call of a status, which must be returned
// quickly even if the platform does not answer.
const storeCheckTimeout = time.Second

// maxUnresolved limits the number of unresolved claims in one report.
const maxUnresolved = 1000

func (e *Entry) operatorRoutes() []rest.Route {
	routes := append(operator.Routes(e, e.settings.OperatorToken), e.profileRoutes()...)
	return append(routes, rest.Route{Method: http.MethodGet, Path: "/debug/vars", Handler: e.handleVars})
}

// handleVars writes the metrics in the format of expvar. They contain no secrets and
// need no token, so that monitoring systems can read them.
func (e *Entry) handleVars(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintf(w, "{\n\"dandelionrack\": %s", e.metrics.root.String())
	expvar.Do(func(kv expvar.KeyValue) {
		_, _ = fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value)
	})
	_, _ = fmt.Fprint(w, "\n}\n")
}

// publishState registers the metrics that are computed when they are read.
func (e *Entry) publishState() {
	for name, value := range map[string]func() any{
		"claims":                func() any { return e.claims.Stats() },
		"archive":               func() any { return e.archiver.Stats() },
		"peer_sessions":         func() any { return e.peerServer.Stats() },
		"buffered_bytes":        func() any { return e.buffers.Used() },
		"request_head_bytes":    func() any { return e.headMemory.Used() },
		"request_heads_refused": func() any { return e.headMemory.Refused() },
		"servers":               func() any { return e.serverStatus() },
		"queues":                func() any { return e.queueLengths() },
		"link_bytes_available":  func() any { return e.linkBytes() },
		"client_blocks":         func() any { return e.blocks.status() },
	} {
		e.metrics.publish(name, value)
	}
}

// queueLengths returns the number of queued requests by service.
func (e *Entry) queueLengths() map[string]int {
	out := map[string]int{}
	v := e.currentView()
	if v == nil {
		return out
	}
	e.gate.read(func(ctl *admission.Controller, _ time.Time) {
		for service := range v.serversByService {
			out[service] = ctl.QueueLength(service)
		}
	})
	return out
}

// linkBytes returns the bytes that may be sent to each of the other regions now.
func (e *Entry) linkBytes() map[string]float64 {
	out := map[string]float64{}
	v := e.currentView()
	if v == nil {
		return out
	}
	e.limits.mu.Lock()
	defer e.limits.mu.Unlock()
	for _, region := range v.doc.Deployment.Regions {
		if region.Name != v.region {
			pair := budget.LinkPair{From: v.region, To: region.Name}
			out[region.Name] = e.limits.links.Available(time.Now(), pair)
		}
	}
	return out
}

// freeSlots returns the number of free slots of this instance by service.
func (e *Entry) freeSlots(v *configView) map[string]int {
	out := map[string]int{}
	e.gate.read(func(ctl *admission.Controller, now time.Time) {
		for service := range v.serversByService {
			out[service] = ctl.FreeSlots(now, service)
		}
	})
	return out
}

func (e *Entry) serverStatus() []admission.ServerStatus {
	var out []admission.ServerStatus
	e.gate.read(func(ctl *admission.Controller, now time.Time) { out = ctl.Snapshot(now) })
	return out
}

// SubmitChange implements operator.Backend.
func (e *Entry) SubmitChange(ctx context.Context, ch config.Change, op config.Operation) (*config.Document, error) {
	if err := e.checkBlocks(ctx, op); err != nil {
		return nil, errors.Wrap(err, config.Describe(op))
	}
	doc, err := e.store.Submit(ctx, ch, op)
	if err != nil {
		return nil, err
	}
	e.adoptConfig(doc, "operator")
	e.pushConfig(doc)
	return doc, nil
}

// Document implements operator.Backend.
func (e *Entry) Document() *config.Document { return e.config.Current() }

// History implements operator.Backend.
func (e *Entry) History(ctx context.Context, n int) ([]config.HistoryEntry, error) {
	return e.store.History(ctx, n)
}

// queryPeers sends req to all peers, calls handle for each response, one at a time,
// and returns the ids of the peers that did not answer.
func (e *Entry) queryPeers(ctx context.Context, req *wire.Request, handle func(from string, res *wire.Response)) []string {
	v := e.currentView()
	if v == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	var mu sync.Mutex
	var missing []string
	var wg sync.WaitGroup
	for _, target := range v.doc.Deployment.EntryInstances {
		if target.ID == e.settings.ID {
			continue
		}
		wg.Go(func() {
			res, err := e.callPeer(ctx, target.PeerAddr, &wire.Request{Call: req.GetCall()})
			mu.Lock()
			defer mu.Unlock()
			if err != nil || res.GetError() != "" {
				missing = append(missing, target.ID)
				return
			}
			handle(target.ID, res)
		})
	}
	wg.Wait()
	return missing
}

// DrainStatus implements operator.Backend.
func (e *Entry) DrainStatus(ctx context.Context, server string) (operator.DrainStatus, error) {
	v := e.currentView()
	if v == nil {
		return operator.DrainStatus{}, errors.New("no configuration known yet")
	}
	if _, ok := v.servers[server]; !ok {
		return operator.DrainStatus{}, &config.NotFoundError{Object: "backend server " + server}
	}
	own, ok := e.serverStatusOf(server)
	out := operator.DrainStatus{Server: server, InFlight: map[string]int{}}
	if ok {
		mergeStatus(&out, e.settings.ID, own)
	}
	out.Unreachable = e.queryPeers(ctx, &wire.Request{Call: &wire.Request_StatusQuery{
		StatusQuery: &wire.StatusQuery{BackendServer: server},
	}}, func(from string, res *wire.Response) {
		var st admission.ServerStatus
		if json.Unmarshal(res.GetStatus().GetStatus(), &st) == nil && st.ID == server {
			mergeStatus(&out, from, st)
		}
	})
	if drain, ok := v.doc.Drains[server]; ok {
		out.Draining = true
		out.Since = drain.StartedAt
	}
	return out, nil
}

// mergeStatus adds the status of a server as reported by one entry instance. The
// server is idle since the last entry instance became idle.
func mergeStatus(out *operator.DrainStatus, entry string, st admission.ServerStatus) {
	if st.Share == 0 && st.Lent == 0 && st.InFlight+st.Held == 0 {
		return
	}
	out.InFlight[entry] = st.InFlight + st.Held
	out.Draining = out.Draining || isLeaving(st)
	if out.Since.IsZero() || (!st.LeavingSince.IsZero() && st.LeavingSince.Before(out.Since)) {
		out.Since = st.LeavingSince
	}
	if st.IdleSince.After(out.IdleSince) {
		out.IdleSince = st.IdleSince
	}
}

// isLeaving reports whether a server is leaving for a reason other than being
// unreachable.
func isLeaving(st admission.ServerStatus) bool {
	return slices.ContainsFunc(st.Reasons, func(r string) bool { return r != leavingUnreachable })
}

func (e *Entry) serverStatusOf(server string) (admission.ServerStatus, bool) {
	for _, st := range e.serverStatus() {
		if st.ID == server {
			return st, true
		}
	}
	return admission.ServerStatus{}, false
}

func (e *Entry) handleStatusQuery(q *wire.StatusQuery) *wire.Response {
	st, _ := e.serverStatusOf(q.GetBackendServer())
	data, err := json.Marshal(st)
	if err != nil {
		return &wire.Response{Error: err.Error()}
	}
	return &wire.Response{Reply: &wire.Response_Status{Status: &wire.StatusReply{Status: data}}}
}

// Trace implements operator.Backend. It reads the in-memory rings of all reachable
// entry instances and the archive, because a ring is lost with its process.
func (e *Entry) Trace(ctx context.Context, requestID string) (operator.TraceReport, error) {
	if id, err := uuid.Parse(requestID); err != nil || id.Version() != 7 {
		var list findings.List
		list.Add("request_id", "must be a UUID version 7, as in the %s header, got %q", HeaderRequestID, requestID)
		return operator.TraceReport{}, list.Err()
	}
	spans := e.spans.Get(requestID)
	missing := e.queryPeers(ctx, &wire.Request{Call: &wire.Request_TraceQuery{
		TraceQuery: &wire.TraceQuery{RequestId: requestID},
	}}, func(_ string, res *wire.Response) {
		var more []trace.Span
		if json.Unmarshal(res.GetTrace().GetSpans(), &more) == nil {
			spans = append(spans, more...)
		}
	})
	archived, err := trace.Find(ctx, e.platform, requestID)
	if err != nil {
		missing = append(missing, "archive: "+err.Error())
	}
	return operator.TraceReport{
		RequestID:  requestID,
		Spans:      trace.SortUnique(append(spans, archived...)),
		Incomplete: missing,
	}, nil
}

func (e *Entry) handleTraceQuery(q *wire.TraceQuery) *wire.Response {
	data, err := json.Marshal(e.spans.Get(q.GetRequestId()))
	if err != nil {
		return &wire.Response{Error: err.Error()}
	}
	return &wire.Response{Reply: &wire.Response_Trace{Trace: &wire.TraceReply{Spans: data}}}
}

// Burn implements operator.Backend.
func (e *Entry) Burn(ctx context.Context) (operator.BurnReport, error) {
	snapshots := []burn.Snapshot{e.burn.Snapshot(time.Now())}
	missing := e.queryPeers(ctx, &wire.Request{Call: &wire.Request_BurnQuery{BurnQuery: &wire.BurnQuery{}}},
		func(_ string, res *wire.Response) {
			var s burn.Snapshot
			if json.Unmarshal(res.GetBurn().GetCounts(), &s) == nil {
				snapshots = append(snapshots, s)
			}
		})
	doc := e.config.Current()
	if doc == nil {
		return operator.BurnReport{}, errors.New("no configuration known yet")
	}
	return operator.BurnReport{Result: burn.Report(burn.Merge(snapshots...), doc), Unreachable: missing}, nil
}

func (e *Entry) handleBurnQuery() *wire.Response {
	data, err := json.Marshal(e.burn.Snapshot(time.Now()))
	if err != nil {
		return &wire.Response{Error: err.Error()}
	}
	return &wire.Response{Reply: &wire.Response_Burn{Burn: &wire.BurnReply{Counts: data}}}
}

// Routes implements operator.Backend.
func (e *Entry) Routes(context.Context) (operator.RoutesReport, error) {
	v := e.currentView()
	if v == nil {
		return operator.RoutesReport{Entry: e.settings.ID}, nil
	}
	out := operator.RoutesReport{Entry: e.settings.ID, ConfigVersion: v.doc.Version}
	e.membersMu.Lock()
	for _, in := range v.doc.Deployment.EntryInstances {
		st := e.members.Peer(in.ID)
		out.Entries = append(out.Entries, operator.EntryRoute{
			ID:            in.ID,
			FailureDomain: in.FailureDomain,
			Region:        v.regionByDomain[in.FailureDomain],
			State:         string(st.State),
			FreeSlots:     st.Free,
		})
	}
	e.membersMu.Unlock()
	for i := range out.Entries {
		if out.Entries[i].ID == e.settings.ID {
			out.Entries[i].State = string(stateFromWire(e.state()))
			out.Entries[i].FreeSlots = e.freeSlots(v)
		}
	}
	for _, st := range e.serverStatus() {
		out.Servers = append(out.Servers, serverRoute(v, st))
	}
	return out, nil
}

func serverRoute(v *configView, st admission.ServerStatus) operator.ServerRoute {
	s := v.servers[st.ID]
	state := "in use"
	if isLeaving(st) {
		state = "leaving"
	} else if st.Leaving {
		state = leavingUnreachable
	} else if st.Usable < st.Share {
		state = "starting"
	}
	return operator.ServerRoute{
		ID:            st.ID,
		FailureDomain: s.FailureDomain,
		Services:      st.Services,
		State:         state,
		Slots:         s.Slots,
		Share:         st.Share + st.Lent,
		FreeSlots:     max(st.Usable-st.InFlight-st.Held, 0),
	}
}

// Status implements operator.Backend.
func (e *Entry) Status(ctx context.Context) (operator.EntryStatus, error) {
	check, cancel := context.WithTimeout(ctx, storeCheckTimeout)
	defer cancel()
	_, err := e.platform.Instances(check)
	out := operator.EntryStatus{
		Entry:         e.settings.ID,
		FailureDomain: e.settings.FailureDomain,
		Incarnation:   strconv.FormatUint(e.self.Number, 16),
		State:         string(stateFromWire(e.state())),
		ConfigVersion: e.configVersion(),
		StartedAt:     e.started,
		StoreOK:       !errors.Is(err, platform.ErrUnavailable) && err == nil,
		ClientBlocks:  e.blocks.status(),
	}
	e.membersMu.Lock()
	for _, st := range e.members.Peers(time.Now()) {
		out.Peers = append(out.Peers, operator.PeerStatus{ID: st.Entry, State: string(st.State), ConfigVersion: st.ConfigVersion})
	}
	e.membersMu.Unlock()
	if v := e.currentView(); v != nil {
		out.Region = v.region
		out.FreeSlots = e.freeSlots(v)
	}
	return out, nil
}

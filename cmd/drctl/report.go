package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/dandelionrack/dandelionrack/pkg/burn"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
	"github.com/dandelionrack/dandelionrack/pkg/trace"
)

type traceCmd struct {
	Request string `arg:"" help:"Request id, from the response header Dandelionrack-Request-Id."`
}

func (c *traceCmd) Run(s *session) error {
	t, err := call(s, func(ctx context.Context, cl *operator.Client) (operator.TraceReport, error) {
		return cl.Trace(ctx, c.Request)
	})
	if err != nil {
		return err
	}
	return s.emit(t, func(w io.Writer) {
		row(w, "AT", "ENTRY", "KIND", "ATTEMPT", "SERVICE", "CONTRACT", "CONFIG", "TO", "REASON", "OUTCOME", "DURATION")
		for _, p := range t.Spans {
			row(w, formatTime(p.At), p.Entry, p.Kind, p.Attempt, p.Customer+"/"+p.Service, p.ContractVersion,
				p.ConfigVersion, spanTarget(p), p.Reason, p.Outcome, formatMicros(p.DurationUS))
		}
		printNames(w, "incomplete:", t.Incomplete)
	})
}

// spanTarget names the destination of a step: a peer, a backend server, or a
// backend server through a peer.
func spanTarget(s trace.Span) string {
	if s.Peer != "" && s.BackendServer != "" {
		return s.Peer + "/" + s.BackendServer
	}
	return s.Peer + s.BackendServer
}

type routesCmd struct{}

func (routesCmd) Run(s *session) error {
	r, err := call(s, func(ctx context.Context, c *operator.Client) (operator.RoutesReport, error) {
		return c.Routes(ctx)
	})
	if err != nil {
		return err
	}
	return s.emit(r, func(w io.Writer) {
		row(w, "seen by", r.Entry, fmt.Sprintf("configuration version %d", r.ConfigVersion))
		row(w)
		row(w, "ENTRY INSTANCE", "REGION", "FAILURE DOMAIN", "STATE", "FREE SLOTS")
		for _, e := range r.Entries {
			row(w, e.ID, e.Region, e.FailureDomain, e.State, formatCounts(e.FreeSlots))
		}
		row(w)
		row(w, "BACKEND SERVER", "FAILURE DOMAIN", "SERVICES", "STATE", "SLOTS", "SHARE", "FREE")
		for _, b := range r.Servers {
			row(w, b.ID, b.FailureDomain, strings.Join(b.Services, ","), b.State, b.Slots, b.Share, b.FreeSlots)
		}
	})
}

type burnCmd struct{}

func (burnCmd) Run(s *session) error {
	b, err := call(s, func(ctx context.Context, c *operator.Client) (operator.BurnReport, error) {
		return c.Burn(ctx)
	})
	if err != nil {
		return err
	}
	return s.emit(b, func(w io.Writer) {
		row(w, "CUSTOMER", "SERVICE", "OBJECTIVE", "WINDOW", "TOTAL", "BAD", "BURN")
		for _, v := range b.Services {
			objective := fmt.Sprintf("%v in %s", v.Objective.Availability, v.Objective.Latency.Std())
			for _, x := range v.Windows {
				row(w, v.Customer, v.Service, objective, x.Window, x.Good+x.Bad, x.Bad, formatBurnRate(x))
			}
		}
		printNames(w, "not reached:", b.Unreachable)
	})
}

// formatBurnRate returns "-" for a service without an objective.
func formatBurnRate(w burn.WindowBurn) string {
	if w.BurnRate == nil {
		return "-"
	}
	return fmt.Sprintf("%.2f", *w.BurnRate)
}

type statusCmd struct{}

func (statusCmd) Run(s *session) error {
	e, err := call(s, func(ctx context.Context, c *operator.Client) (operator.EntryStatus, error) {
		return c.Status(ctx)
	})
	if err != nil {
		return err
	}
	return s.emit(e, func(w io.Writer) {
		row(w, "entry instance", e.Entry)
		row(w, "failure domain", e.FailureDomain, e.Region)
		row(w, "incarnation", e.Incarnation)
		row(w, "state", e.State)
		row(w, "configuration version", e.ConfigVersion)
		row(w, "started at", formatTime(e.StartedAt))
		row(w, "store reachable", e.StoreOK)
		row(w, "free slots", formatCounts(e.FreeSlots))
		row(w)
		row(w, "PEER", "STATE", "CONFIGURATION VERSION")
		for _, p := range e.Peers {
			row(w, p.ID, p.State, p.ConfigVersion)
		}
	})
}

// notNil makes an empty list appear as [] in JSON instead of null.
func notNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// formatCounts lists name=count pairs, sorted by name.
func formatCounts(m map[string]int) string {
	parts := make([]string, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s=%d", name, m[name]))
	}
	return strings.Join(parts, " ")
}

package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/claim"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
)

// maxResolveReason limits the bytes of the reason that is stored in a claim row.
const maxResolveReason = 1000

// Unresolved implements operator.Backend.
func (e *Entry) Unresolved(ctx context.Context, resolved bool) ([]operator.UnresolvedClaim, error) {
	list, err := e.claims.Unresolved(ctx, maxUnresolved, resolved)
	out := make([]operator.UnresolvedClaim, 0, len(list))
	for _, u := range list {
		out = append(out, operator.UnresolvedClaim{
			Customer:    u.ID.Customer,
			Service:     u.ID.Service,
			Key:         u.ID.Key,
			Entry:       u.Owner.Entry,
			Incarnation: strconv.FormatUint(u.Owner.Number, 16),
			ClaimedAt:   u.KeyCreated,
			State:       u.State,
			Detail:      u.Detail,
			RowVersion:  u.Version,
			Resolution:  resolutionOf(u.Resolution),
		})
	}
	return out, err
}

func resolutionOf(r *claim.Resolution) *operator.Resolution {
	if r == nil {
		return nil
	}
	return &operator.Resolution{ChangeID: r.ID, Author: r.Author, Reason: r.Reason, At: r.At, Ran: r.Ran, From: r.From}
}

// Resolve implements operator.Backend.
func (e *Entry) Resolve(ctx context.Context, req operator.ResolveRequest) (operator.ResolveReport, error) {
	v := e.currentView()
	if v == nil {
		return operator.ResolveReport{}, &operator.Error{
			Message: "this entry instance has no configuration yet",
			Code:    operator.CodeUnavailable, Status: http.StatusServiceUnavailable,
		}
	}
	contract, ok := v.doc.Contracts[req.Customer]
	if !ok {
		return operator.ResolveReport{}, &config.NotFoundError{Object: "contract " + req.Customer}
	}
	svc, ok := contract.FindService(req.Service)
	if !ok {
		return operator.ResolveReport{}, &config.NotFoundError{Object: "service " + req.Service}
	}
	if err := checkResolve(req); err != nil {
		return operator.ResolveReport{}, err
	}
	c := claim.ResolveCommand{
		ID:          claim.ID{Customer: req.Customer, Service: svc.Name, Key: req.Key},
		ChangeID:    req.Change.ID,
		Author:      req.Change.Author,
		Reason:      req.Reason,
		Version:     req.RowVersion,
		Timeout:     svc.Timeout.Std(),
		AliveReason: e.aliveReason,
	}
	if req.Ran {
		c.Result = &claim.Result{Status: req.Status, Body: req.Body}
		if req.ContentType != "" {
			c.Result.Header = http.Header{"Content-Type": {req.ContentType}}
		}
	}
	version, err := e.claims.Resolve(ctx, c)
	if err != nil {
		return operator.ResolveReport{}, resolveError(err)
	}
	return operator.ResolveReport{
		Customer: req.Customer, Service: svc.Name, Key: req.Key, Ran: req.Ran,
		RowVersion: version, ChangeID: req.Change.ID,
	}, nil
}

func checkResolve(req operator.ResolveRequest) error {
	var list findings.List
	if _, err := claim.ParseKey(req.Key); err != nil {
		list.Add("key", "%v", err)
	}
	if req.Change.Author == "" {
		list.Add("change.author", "is needed")
	}
	if n := len(req.Reason); n == 0 || n > maxResolveReason {
		list.Add("reason", "must have 1 to %d bytes, got %d", maxResolveReason, n)
	}
	if req.Ran && (req.Status < 200 || req.Status > 599) {
		list.Add("status", "must be from 200 to 599, got %d", req.Status)
	}
	if !req.Ran && (req.Status != 0 || len(req.Body) > 0) {
		list.Add("status", "a request that did not run has no status and no body")
	}
	return list.Err()
}

// resolveError converts a refusal into the error type of the operator API.
func resolveError(err error) error {
	var refused *claim.ResolveError
	if !errors.As(err, &refused) {
		return err
	}
	return &operator.Error{
		Message: refused.Message,
		Code:    operator.CodeConflict,
		Status:  http.StatusConflict,
		Claim: &operator.ClaimConflict{
			Reason:     string(refused.Refusal),
			State:      refused.State,
			RowVersion: refused.Version,
			Resolution: resolutionOf(refused.Resolution),
		},
	}
}

// aliveReason says why an incarnation may still be running. It returns "" if the
// incarnation is dead: a newer one is known, or its address refuses connections and
// the platform no longer lists it. A process that is only silent may be paused or
// unreachable.
func (e *Entry) aliveReason(owner claim.Incarnation) string {
	name := "entry instance " + owner.Entry
	if owner.Entry == e.settings.ID {
		if owner.Number < e.self.Number {
			return ""
		}
		return name + " is alive"
	}
	now := time.Now()
	e.membersMu.Lock()
	st := e.members.Peer(owner.Entry)
	refuses := e.members.ProvablyGone(now, owner.Entry)
	e.membersMu.Unlock()
	switch {
	case st.Incarnation > owner.Number:
		return ""
	case st.Incarnation == owner.Number && now.Sub(st.LastHeard) < aliveTimeout:
		return name + " is alive"
	case !refuses:
		return name + " is silent but its address does not refuse connections: it may be paused or cut off"
	case !e.missingFromPlatform(now, owner.Entry):
		return fmt.Sprintf("%s refuses connections, but the platform's instance list names it, is empty or is older than %s", name, platformListMaxAge)
	}
	return ""
}

package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/operator"
)

type unresolvedCmd struct {
	List    unresolvedListCmd    `cmd:"" default:"withargs" help:"List the claims (the default)."`
	Resolve unresolvedResolveCmd `cmd:"" help:"Resolve a claim after looking it up at the backend server."`
}

type unresolvedListCmd struct {
	Resolved bool `help:"List the claims that operators settled instead."`
}

func (c *unresolvedListCmd) Run(s *session) error {
	claims, err := call(s, func(ctx context.Context, cl *operator.Client) ([]operator.UnresolvedClaim, error) {
		return cl.Unresolved(ctx, c.Resolved)
	})
	if err != nil {
		return err
	}
	claims = notNil(claims)
	return s.emit(claims, func(w io.Writer) {
		if c.Resolved {
			printResolved(w, claims)
			return
		}
		row(w, "CLAIMED AT", "CUSTOMER", "SERVICE", "KEY", "ENTRY", "INCARNATION", "ROW", "STATE", "DETAIL")
		for _, u := range claims {
			row(w, formatTime(u.ClaimedAt), u.Customer, u.Service, u.Key, u.Entry, u.Incarnation, u.RowVersion, u.State, u.Detail)
		}
	})
}

func printResolved(w io.Writer, claims []operator.UnresolvedClaim) {
	row(w, "RESOLVED AT", "CUSTOMER", "SERVICE", "KEY", "AUTHOR", "CHANGE", "RESOLVED", "STATE NOW", "REASON")
	for _, u := range claims {
		r := u.Resolution
		if r == nil {
			continue // the entry instance does not report resolutions
		}
		row(w, formatTime(r.At), u.Customer, u.Service, u.Key, r.Author, r.ChangeID, r.From+" -> "+formatRan(r.Ran), u.State, r.Reason)
	}
}

func formatRan(ran bool) string {
	if ran {
		return "ran"
	}
	return "not run"
}

type unresolvedResolveCmd struct {
	Customer    string `arg:"" help:"Customer."`
	Service     string `arg:"" help:"Service."`
	Key         string `arg:"" help:"Idempotency key."`
	Ran         bool   `help:"The request ran: a retry gets the status and body given here." xor:"outcome" required:""`
	NotRun      bool   `help:"The request did not run: a retry of a caller-made key runs." xor:"outcome" required:""`
	Status      int    `help:"HTTP status of the answer, with --ran."`
	Body        string `help:"File with the body of the answer, with --ran." type:"existingfile" placeholder:"FILE"`
	ContentType string `help:"Content-Type of the answer, with --ran."`
	Reason      string `help:"What showed that the request ran or not; kept with the claim." required:""`
	RowVersion  uint64 `help:"Version of the row in the list (ROW); refused if the row has changed since."`
}

func (c *unresolvedResolveCmd) Run(s *session) error {
	if c.Ran == (c.Status == 0) || !c.Ran && c.Body+c.ContentType != "" {
		return errors.Wrap(errUsage, "--ran needs --status; --not-run takes neither --status, --body nor --content-type")
	}
	req := operator.ResolveRequest{
		Change:   s.newChange(),
		Customer: c.Customer, Service: c.Service, Key: c.Key, Reason: c.Reason,
		Ran: c.Ran, Status: c.Status, ContentType: c.ContentType, RowVersion: c.RowVersion,
	}
	if c.Body != "" {
		body, err := os.ReadFile(c.Body)
		if err != nil {
			return errors.Wrapf(errUsage, "--body (%v)", err)
		}
		req.Body = body
	}
	r, err := call(s, func(ctx context.Context, cl *operator.Client) (operator.ResolveReport, error) {
		return cl.Resolve(ctx, req)
	})
	if responseLost(err) {
		return errors.Wrapf(err, "the claim may have been resolved; run the command again with --change-id %s", req.Change.ID)
	}
	if err != nil {
		return err
	}
	return s.emit(r, func(w io.Writer) {
		row(w, "resolved", r.Customer, r.Service, r.Key, formatRan(r.Ran), fmt.Sprintf("row %d", r.RowVersion), "change "+r.ChangeID)
	})
}

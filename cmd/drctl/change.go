package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
	"github.com/dandelionrack/dandelionrack/pkg/settings"
)

type contractCmd struct {
	Apply   contractApplyCmd   `cmd:"" help:"Create or replace a contract."`
	List    contractListCmd    `cmd:"" help:"List contracts."`
	Show    contractShowCmd    `cmd:"" help:"Show a contract; with --output json in the form that apply takes."`
	History contractHistoryCmd `cmd:"" help:"Show accepted changes, newest first."`
	Remove  contractRemoveCmd  `cmd:"" help:"Remove a contract."`
}

// baseVersionFlag is the flag --base-version, the version that a change expects
// to replace.
type baseVersionFlag struct {
	BaseVersion *uint64 `help:"Version that the change is based on. Default: the version in the file, else the current one."`
}

type contractApplyCmd struct {
	File string `arg:"" type:"existingfile"`
	baseVersionFlag
}

func (c *contractApplyCmd) Run(s *session) error {
	var contract config.Contract
	err := settings.Load(c.File, &contract, func(l *findings.List) {
		config.ValidateContract(&contract, nil, l, "")
	})
	if err != nil {
		return err
	}
	base, err := c.base(s, &contract)
	if err != nil {
		return err
	}
	return s.submitAndPrint(config.ApplyContract{Contract: contract, BaseVersion: base})
}

func (c *contractApplyCmd) base(s *session, contract *config.Contract) (uint64, error) {
	if c.BaseVersion != nil {
		return *c.BaseVersion, nil
	}
	if contract.Version > 0 {
		return contract.Version, nil
	}
	doc, err := s.document()
	if err != nil {
		return 0, err
	}
	if current := doc.Contracts[contract.Customer]; current != nil {
		return current.Version, nil
	}
	return 0, nil
}

type contractListCmd struct{}

func (contractListCmd) Run(s *session) error {
	doc, err := s.document()
	if err != nil {
		return err
	}
	contracts := make([]*config.Contract, 0, len(doc.Contracts))
	for _, customer := range slices.Sorted(maps.Keys(doc.Contracts)) {
		contracts = append(contracts, doc.Contracts[customer])
	}
	return s.emit(contracts, func(w io.Writer) {
		row(w, "CUSTOMER", "VERSION", "SERVICES", "AUTHOR", "CHANGE")
		for _, c := range contracts {
			row(w, c.Customer, c.Version, len(c.Services), c.Author, c.ChangeID)
		}
	})
}

type contractShowCmd struct {
	Customer string `arg:""`
}

func (c *contractShowCmd) Run(s *session) error {
	doc, err := s.document()
	if err != nil {
		return err
	}
	contract := doc.Contracts[c.Customer]
	if contract == nil {
		return &config.NotFoundError{Object: "contract/" + c.Customer}
	}
	return s.emit(contract, func(w io.Writer) { printContract(w, contract) })
}

func printContract(w io.Writer, c *config.Contract) {
	row(w, "customer", c.Customer)
	row(w, "version", c.Version)
	row(w, "change", c.ChangeID, "by "+c.Author)
	row(w)
	row(w, "SERVICE", "ALIASES", "IDEMPOTENT", "PRIORITY", "TIMEOUT", "REGIONS", "SHIFT PER WINDOW", "RETRIES")
	for i := range c.Services {
		v := &c.Services[i]
		shift := fmt.Sprintf("%.0f / %s", v.ShiftCap.PerWindow(), v.ShiftCap.Window.Std())
		row(w, v.Name, strings.Join(v.Aliases, ","), v.Idempotent, v.Priority, v.Timeout.Std(),
			strings.Join(v.Regions, ","), shift, v.RetryRatio)
	}
}

type contractHistoryCmd struct {
	Customer string `arg:"" optional:"" help:"Only changes of this contract."`
	Limit    int    `default:"20" help:"Number of changes to show."`
}

func (c *contractHistoryCmd) Run(s *session) error {
	read := c.Limit
	if c.Customer != "" {
		// The API cannot filter by object, so all changes are read and filtered here.
		read = operator.MaxHistory
	}
	entries, err := call(s, func(ctx context.Context, cl *operator.Client) ([]config.HistoryEntry, error) {
		return cl.History(ctx, read)
	})
	if err != nil {
		return err
	}
	if c.Customer != "" {
		entries = slices.DeleteFunc(entries, func(e config.HistoryEntry) bool {
			return e.Change.Object != "contract/"+c.Customer
		})
	}
	entries = notNil(entries[:min(max(c.Limit, 0), len(entries))])
	return s.emit(entries, func(w io.Writer) {
		row(w, "VERSION", "AT", "AUTHOR", "SUMMARY", "CHANGE")
		for _, e := range entries {
			row(w, e.Version, formatTime(e.Change.At), e.Change.Author, e.Change.Summary, e.Change.ID)
		}
	})
}

type contractRemoveCmd struct {
	Customer string `arg:""`
	baseVersionFlag
}

func (c *contractRemoveCmd) Run(s *session) error {
	if c.BaseVersion != nil {
		return s.submitAndPrint(config.RemoveContract{Customer: c.Customer, BaseVersion: *c.BaseVersion})
	}
	doc, err := s.document()
	if err != nil {
		return err
	}
	var base uint64
	if current := doc.Contracts[c.Customer]; current != nil {
		base = current.Version
	}
	return s.submitAndPrint(config.RemoveContract{Customer: c.Customer, BaseVersion: base})
}

type deploymentCmd struct {
	Apply deploymentApplyCmd `cmd:"" help:"Replace the deployment."`
	Show  deploymentShowCmd  `cmd:"" help:"Show the deployment; with --output json in the form that apply takes."`
}

type deploymentApplyCmd struct {
	File string `arg:"" type:"existingfile"`
	baseVersionFlag
}

func (c *deploymentApplyCmd) Run(s *session) error {
	var d config.Deployment
	err := settings.Load(c.File, &d, func(l *findings.List) {
		config.ValidateDeployment(&d, l, "")
	})
	if err != nil {
		return err
	}
	base, err := c.base(s)
	if err != nil {
		return err
	}
	return s.submitAndPrint(config.ApplyDeployment{Deployment: d, BaseVersion: base})
}

// base returns 0 when the entry instance has no document: either this is the
// first deployment, or the change is refused as a conflict.
func (c *deploymentApplyCmd) base(s *session) (uint64, error) {
	if c.BaseVersion != nil {
		return *c.BaseVersion, nil
	}
	doc, err := s.document()
	var api *operator.Error
	if errors.As(err, &api) && api.Code == operator.CodeUnavailable {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return doc.DeploymentVersion, nil
}

type deploymentShowCmd struct{}

func (deploymentShowCmd) Run(s *session) error {
	doc, err := s.document()
	if err != nil {
		return err
	}
	return s.emit(doc.Deployment, func(w io.Writer) { printDeployment(w, doc) })
}

func printDeployment(w io.Writer, doc *config.Document) {
	d := &doc.Deployment
	row(w, "version", doc.DeploymentVersion)
	row(w, "change", doc.DeploymentChangeID, "by "+doc.DeploymentAuthor)
	row(w)
	row(w, "ENTRY INSTANCE", "REGION", "FAILURE DOMAIN", "CALLERS", "PEERS", "OPERATORS")
	for _, e := range d.EntryInstances {
		row(w, e.ID, d.RegionOf(e.FailureDomain), e.FailureDomain, e.CallerAddr, e.PeerAddr, e.OperatorAddr)
	}
	row(w)
	row(w, "BACKEND SERVER", "REGION", "FAILURE DOMAIN", "ADDRESS", "SERVICES", "SLOTS")
	for _, b := range d.BackendServers {
		row(w, b.ID, d.RegionOf(b.FailureDomain), b.FailureDomain, b.Addr, strings.Join(b.Services, ","), b.Slots)
	}
}

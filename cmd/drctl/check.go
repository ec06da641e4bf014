package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
	"github.com/dandelionrack/dandelionrack/pkg/settings"
)

type configCmd struct {
	Check configCheckCmd `cmd:"" help:"Check contract and deployment files before they are sent. A contract is checked against the deployment of its directory, or against the only one given. With --server, also shows what differs from the version in force."`
}

type configCheckCmd struct {
	Files  []string `arg:"" name:"file" type:"existingfile"`
	Strict bool     `help:"Fail if there are warnings: entries that have no effect or limits that contradict each other."`
}

// checkResult is the output of "drctl config check" for one valid file.
type checkResult struct {
	File string `json:"file"`
	Kind string `json:"kind"`
	// Differences are those from the version in force, if a server was named.
	Differences []config.Difference `json:"differences,omitempty"`
	InForce     uint64              `json:"in_force_version,omitempty"`
	// Warnings concern the document that results from all files. Those that name no
	// part of another file are with the first one.
	Warnings []findings.Finding `json:"warnings,omitempty"`
}

// errWarnings is returned with --strict.
var errWarnings = errors.New("the configuration has warnings")

// fileCheck checks several files and collects the findings of all of them.
type fileCheck struct {
	deployments map[string]*config.Deployment // by directory
	contracts   []*config.Contract
	found       findings.List
	results     []checkResult
	values      []any // of the results
}

func (c *configCheckCmd) Run(s *session) error {
	check := &fileCheck{deployments: map[string]*config.Deployment{}}
	contracts, err := check.checkDeployments(c.Files)
	if err != nil {
		return err
	}
	for _, file := range contracts {
		if err := check.checkContract(file); err != nil {
			return err
		}
	}
	if err := check.found.Err(); err != nil {
		return err
	}
	var inForce *config.Document
	if len(s.cli.Server) > 0 {
		if inForce, err = call(s, func(ctx context.Context, c *operator.Client) (*config.Document, error) { return c.Document(ctx) }); err != nil {
			return err
		}
		if err := check.compare(inForce); err != nil {
			return err
		}
	}
	warnings := check.review(inForce)
	for _, f := range warnings {
		i := check.resultOf(f)
		check.results[i].Warnings = append(check.results[i].Warnings, f)
	}
	err = s.emit(check.results, func(w io.Writer) {
		for _, r := range check.results {
			row(w, r.File, r.Kind, "ok")
			for _, f := range r.Warnings {
				row(w, "", "warning", f)
			}
			for _, d := range r.Differences {
				row(w, "", fmt.Sprintf("differs from version %d", r.InForce), d)
			}
		}
	})
	if err == nil && c.Strict && len(warnings) > 0 {
		return errors.Wrap(errUsage, errWarnings.Error())
	}
	return err
}

// resultOf returns the index of the result that a warning belongs to.
func (c *fileCheck) resultOf(f findings.Finding) int {
	for i, v := range c.values {
		switch v := v.(type) {
		case *config.Deployment:
			if strings.HasPrefix(f.Path, "deployment.") {
				return i
			}
		case *config.Contract:
			if strings.HasPrefix(f.Path, "contracts["+v.Customer+"]") {
				return i
			}
		}
	}
	return 0
}

// compare adds to each result what differs from the document in force.
func (c *fileCheck) compare(inForce *config.Document) error {
	for i := range c.results {
		var before any
		switch v := c.values[i].(type) {
		case *config.Deployment:
			before = inForce.Deployment
		case *config.Contract:
			before = inForce.Contracts[v.Customer]
		}
		differences, err := config.Compare(before, c.values[i])
		if err != nil {
			return errors.Wrapf(err, "compare %s", c.results[i].File)
		}
		c.results[i].Differences, c.results[i].InForce = differences, inForce.Version
	}
	return nil
}

// review returns warnings on the document that results if the files are applied: to the
// one in force, or to an empty one if that is not known.
func (c *fileCheck) review(inForce *config.Document) []findings.Finding {
	doc := &config.Document{Contracts: map[string]*config.Contract{}}
	if inForce != nil {
		doc.Deployment, doc.Drains = inForce.Deployment, inForce.Drains
		maps.Copy(doc.Contracts, inForce.Contracts)
	}
	if len(c.deployments) > 1 || len(c.results) == 0 {
		return []findings.Finding{} // nobody sends two deployments
	}
	for _, d := range c.deployments {
		doc.Deployment = *d
	}
	for _, contract := range c.contracts {
		doc.Contracts[contract.Customer] = contract
	}
	if len(doc.Deployment.Regions) == 0 {
		return []findings.Finding{} // a contract alone
	}
	var list findings.List
	doc.Review(&list)
	return append([]findings.Finding{}, list.Items()...)
}

// checkDeployments checks the deployment files and returns the files that hold
// contracts.
func (c *fileCheck) checkDeployments(files []string) (contracts []string, err error) {
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "config check")
		}
		switch kindOf(data) {
		case "deployment":
			if err := c.checkDeployment(file); err != nil {
				return nil, err
			}
		case "contract":
			contracts = append(contracts, file)
		default:
			c.addUnknownKind(file, data)
		}
	}
	return contracts, nil
}

func (c *fileCheck) checkDeployment(file string) error {
	d := &config.Deployment{}
	err := settings.Load(file, d, func(l *findings.List) { config.ValidateDeployment(d, l, "") })
	if err != nil {
		return c.addFindings(err)
	}
	c.deployments[filepath.Dir(file)] = d
	c.results = append(c.results, checkResult{File: file, Kind: "deployment"})
	c.values = append(c.values, d)
	return nil
}

func (c *fileCheck) checkContract(file string) error {
	contract := &config.Contract{}
	d := c.deploymentFor(file)
	err := settings.Load(file, contract, func(l *findings.List) { config.ValidateContract(contract, d, l, "") })
	if err != nil {
		return c.addFindings(err)
	}
	c.results = append(c.results, checkResult{File: file, Kind: "contract"})
	c.values, c.contracts = append(c.values, contract), append(c.contracts, contract)
	return nil
}

// deploymentFor returns the deployment in the directory of file, else the only
// one that was given, else nil.
func (c *fileCheck) deploymentFor(file string) *config.Deployment {
	if d := c.deployments[filepath.Dir(file)]; d != nil {
		return d
	}
	if len(c.deployments) != 1 {
		return nil
	}
	for _, d := range c.deployments {
		return d
	}
	return nil
}

// addFindings collects the findings in err, so that the remaining files are still
// checked. It returns any other error.
func (c *fileCheck) addFindings(err error) error {
	var invalid *findings.Error
	if !errors.As(err, &invalid) {
		return err
	}
	for _, f := range invalid.Findings {
		c.found.AddFinding(f)
	}
	return nil
}

// addUnknownKind adds a syntax error if there is one, else the unknown kind.
func (c *fileCheck) addUnknownKind(file string, data []byte) {
	if err := settings.Parse(file, data, &struct{}{}, nil); err != nil && !validSyntax(data) {
		_ = c.addFindings(err)
		return
	}
	c.found.AddFinding(findings.Finding{
		File:    file,
		Line:    1,
		Message: "is neither a contract (customer, services) nor a deployment (regions, entry_instances)",
	})
}

func validSyntax(data []byte) bool {
	_, err := hujson.Parse(data)
	return err == nil
}

// kindOf recognises deployments and contracts by their top-level keys. It returns
// an empty string for any other file.
func kindOf(data []byte) string {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return ""
	}
	var keys map[string]json.RawMessage
	if json.Unmarshal(standard, &keys) != nil {
		return ""
	}
	for _, key := range []string{"regions", "failure_domains", "entry_instances", "backend_servers"} {
		if _, ok := keys[key]; ok {
			return "deployment"
		}
	}
	for _, key := range []string{"customer", "services", "token_sha256"} {
		if _, ok := keys[key]; ok {
			return "contract"
		}
	}
	return ""
}

package main

import (
	"encoding/json"
	"io"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"
	"github.com/tailscale/hujson"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
	"github.com/dandelionrack/dandelionrack/pkg/settings"
)

type configCmd struct {
	Check configCheckCmd `cmd:"" help:"Check contract and deployment files. A contract is checked against the deployment of its directory, or against the only one given."`
}

type configCheckCmd struct {
	Files []string `arg:"" name:"file" type:"existingfile"`
}

// checkResult is the output of "drctl config check" for one valid file.
type checkResult struct {
	File string `json:"file"`
	Kind string `json:"kind"`
}

// fileCheck checks several files and collects the findings of all of them.
type fileCheck struct {
	deployments map[string]*config.Deployment // by directory
	found       findings.List
	results     []checkResult
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
	return s.emit(check.results, func(w io.Writer) {
		for _, r := range check.results {
			row(w, r.File, r.Kind, "ok")
		}
	})
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

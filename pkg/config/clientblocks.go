package config

import "github.com/dandelionrack/dandelionrack/pkg/findings"

// SetClientBlocksIndex makes the deployment take its client blocks from the
// object store, in place of those in the document.
//
// It is not an ApplyDeployment, because that sets DeploymentChangedAt, after
// which grown shares of slots wait: with a thousand changes of blocks a day they
// would wait always.
type SetClientBlocksIndex struct {
	// Index is the SHA-256 of the index object.
	Index string `json:"index"`
	// BaseVersion is the version of the deployment.
	BaseVersion uint64 `json:"base_version"`
}

// Object implements Operation.
func (o SetClientBlocksIndex) Object() string  { return deploymentObject }
func (o SetClientBlocksIndex) summary() string { return "set client blocks index" }

func (o SetClientBlocksIndex) check(doc *Document, ch Change) (bool, error) {
	if doc.DeploymentVersion == 0 {
		return false, &NotFoundError{Object: deploymentObject}
	}
	return checkDeployment(doc, ch, o.BaseVersion)
}

func (o SetClientBlocksIndex) apply(next *Document, ch Change) {
	next.Deployment.ClientBlocks = nil
	next.Deployment.ClientBlocksIndex = o.Index
	next.DeploymentVersion = next.Version
	next.DeploymentChangeID = ch.ID
	next.DeploymentAuthor = ch.Author
}

func (o SetClientBlocksIndex) validate(next *Document, list *findings.List) {
	if o.Index == "" {
		list.Add("deployment.client_blocks_index", "is missing")
	}
	ValidateDeployment(&next.Deployment, list, "deployment")
}

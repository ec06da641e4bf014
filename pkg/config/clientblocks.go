package config

import "github.com/dandelionrack/dandelionrack/pkg/findings"

// SetClientBlocksIndex replaces the client blocks in the document by those of an
// index in the object store.
//
// It is separate from ApplyDeployment, which sets DeploymentChangedAt: entry
// instances use a larger share of slots only after a delay from that time. With
// a thousand block changes a day, they would never use it.
type SetClientBlocksIndex struct {
	// Index is the SHA-256 of the index object in hexadecimal.
	Index string `json:"index"`
	// BaseVersion is the version of the deployment that the change is based on.
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

package config

import (
	"github.com/dandelionrack/dandelionrack/pkg/findings"
)

// Operation is one typed modification of a document: ApplyContract,
// RemoveContract, ApplyDeployment, SetClientBlocksIndex, StartDrain or
// CancelDrain.
type Operation interface {
	// Object names what the operation changes, such as "contract/hesabu".
	Object() string
	summary() string
	// check reports whether the change is already in effect. The error says
	// why the change cannot be made.
	check(doc *Document, ch Change) (done bool, err error)
	// apply modifies next, which is not shared yet.
	apply(next *Document, ch Change)
	// validate checks the parts that the operation can make invalid.
	validate(next *Document, list *findings.List)
}

// ApplyContract creates or replaces a contract. BaseVersion is the version of
// the contract that the change is based on; 0 creates the contract.
type ApplyContract struct {
	Contract    Contract `json:"contract"`
	BaseVersion uint64   `json:"base_version"`
}

// Object implements Operation.
func (o ApplyContract) Object() string  { return contractObject(o.Contract.Customer) }
func (o ApplyContract) summary() string { return "apply contract " + o.Contract.Customer }

func (o ApplyContract) check(doc *Document, ch Change) (bool, error) {
	current := doc.Contracts[o.Contract.Customer]
	if current != nil && current.ChangeID == ch.ID {
		return true, nil
	}
	return false, checkContract(current, o.Object(), o.BaseVersion)
}

func (o ApplyContract) apply(next *Document, ch Change) {
	c := cloneContract(&o.Contract)
	c.Version = next.Version
	c.ChangeID = ch.ID
	c.Author = ch.Author
	next.Contracts[c.Customer] = c
}

func (o ApplyContract) validate(next *Document, list *findings.List) {
	ValidateContract(next.Contracts[o.Contract.Customer], &next.Deployment, list, "contract")
	next.validateUniqueness(list)
}

// RemoveContract removes the contract of a customer.
type RemoveContract struct {
	Customer    string `json:"customer"`
	BaseVersion uint64 `json:"base_version"`
}

// Object implements Operation.
func (o RemoveContract) Object() string  { return contractObject(o.Customer) }
func (o RemoveContract) summary() string { return "remove contract " + o.Customer }

func (o RemoveContract) check(doc *Document, _ Change) (bool, error) {
	current := doc.Contracts[o.Customer]
	if current == nil && o.BaseVersion == 0 {
		return false, &NotFoundError{Object: o.Object()}
	}
	return false, checkContract(current, o.Object(), o.BaseVersion)
}

func (o RemoveContract) apply(next *Document, _ Change) { delete(next.Contracts, o.Customer) }

func (o RemoveContract) validate(*Document, *findings.List) {}

// ApplyDeployment replaces the deployment. It also removes the drains of backend
// servers that the new deployment does not list.
type ApplyDeployment struct {
	Deployment  Deployment `json:"deployment"`
	BaseVersion uint64     `json:"base_version"`
}

// Object implements Operation.
func (o ApplyDeployment) Object() string  { return deploymentObject }
func (o ApplyDeployment) summary() string { return "apply deployment" }

func (o ApplyDeployment) check(doc *Document, ch Change) (bool, error) {
	return checkDeployment(doc, ch, o.BaseVersion)
}

func (o ApplyDeployment) apply(next *Document, ch Change) {
	next.Deployment = cloneDeployment(&o.Deployment)
	next.DeploymentVersion = next.Version
	next.DeploymentChangeID = ch.ID
	next.DeploymentAuthor = ch.Author
	if next.Version > 1 {
		next.DeploymentChangedAt = ch.At
	}
	for id := range next.Drains {
		if next.Deployment.FindBackendServer(id) == nil {
			delete(next.Drains, id)
		}
	}
}

func (o ApplyDeployment) validate(next *Document, list *findings.List) { next.Validate(list) }

// StartDrain starts to drain a backend server.
type StartDrain struct {
	Server string `json:"server"`
	Reason string `json:"reason,omitempty"`
}

// Object implements Operation.
func (o StartDrain) Object() string  { return drainObject(o.Server) }
func (o StartDrain) summary() string { return "start drain " + o.Server }

func (o StartDrain) check(doc *Document, ch Change) (bool, error) {
	if current := doc.Drains[o.Server]; current != nil {
		if current.ChangeID == ch.ID {
			return true, nil
		}
		return false, drainConflict(current, o.Object(), 0)
	}
	if doc.Deployment.FindBackendServer(o.Server) == nil {
		return false, &NotFoundError{Object: "backend_server/" + o.Server}
	}
	return false, nil
}

func (o StartDrain) apply(next *Document, ch Change) {
	next.Drains[o.Server] = &Drain{
		BackendServer: o.Server,
		Version:       next.Version,
		ChangeID:      ch.ID,
		Author:        ch.Author,
		Reason:        o.Reason,
		StartedAt:     ch.At,
	}
}

func (o StartDrain) validate(*Document, *findings.List) {}

// CancelDrain ends a drain. BaseVersion is the version of the drain that the
// change is based on.
type CancelDrain struct {
	Server      string `json:"server"`
	BaseVersion uint64 `json:"base_version"`
}

// Object implements Operation.
func (o CancelDrain) Object() string  { return drainObject(o.Server) }
func (o CancelDrain) summary() string { return "cancel drain " + o.Server }

func (o CancelDrain) check(doc *Document, _ Change) (bool, error) {
	current := doc.Drains[o.Server]
	switch {
	case current != nil && current.Version == o.BaseVersion:
		return false, nil
	case current != nil:
		return false, drainConflict(current, o.Object(), o.BaseVersion)
	case o.BaseVersion == 0:
		return false, &NotFoundError{Object: o.Object()}
	default:
		return false, &ConflictError{Object: o.Object(), BaseVersion: o.BaseVersion}
	}
}

func (o CancelDrain) apply(next *Document, _ Change) { delete(next.Drains, o.Server) }

func (o CancelDrain) validate(*Document, *findings.List) {}

// Describe returns a short description of an operation, such as "start drain
// salio-1".
func Describe(op Operation) string { return op.summary() }

// deploymentObject is the object name of the deployment in changes and conflicts.
const deploymentObject = "deployment"

func checkDeployment(doc *Document, ch Change, base uint64) (done bool, err error) {
	if doc.DeploymentVersion != 0 && doc.DeploymentChangeID == ch.ID {
		return true, nil
	}
	if doc.DeploymentVersion == base {
		return false, nil
	}
	return false, &ConflictError{
		Object:      deploymentObject,
		HaveVersion: doc.DeploymentVersion,
		BaseVersion: base,
		ChangeID:    doc.DeploymentChangeID,
		Author:      doc.DeploymentAuthor,
	}
}

func contractObject(customer string) string { return "contract/" + customer }

func drainObject(server string) string { return "drain/" + server }

func checkContract(current *Contract, object string, base uint64) error {
	if current == nil && base == 0 {
		return nil
	}
	if current != nil && current.Version == base {
		return nil
	}
	conflict := &ConflictError{Object: object, BaseVersion: base}
	if current != nil {
		conflict.HaveVersion = current.Version
		conflict.ChangeID = current.ChangeID
		conflict.Author = current.Author
	}
	return conflict
}

func drainConflict(current *Drain, object string, base uint64) error {
	return &ConflictError{
		Object:      object,
		HaveVersion: current.Version,
		BaseVersion: base,
		ChangeID:    current.ChangeID,
		Author:      current.Author,
	}
}

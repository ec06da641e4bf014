package config

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// Encode returns the JSON form of a document.
func Encode(doc *Document) ([]byte, error) {
	data, err := json.Marshal(doc)
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	return data, nil
}

// Decode parses the JSON form of a document. Unknown keys are ignored, so that
// entry instances of different releases can exchange documents.
func Decode(data []byte) (*Document, error) {
	doc := &Document{}
	if err := json.Unmarshal(data, doc); err != nil {
		return nil, errors.Wrap(err, "decode document")
	}
	if doc.Version == 0 {
		return nil, errors.New("decode document: version is missing")
	}
	return doc, nil
}

// HistoryEntry is an accepted change and the document version it produced.
type HistoryEntry struct {
	Version uint64 `json:"version"`
	Change  Change `json:"change"`
}

// OperationJSON is the JSON form of an operation. Exactly one field is set.
type OperationJSON struct {
	ApplyContract   *ApplyContract   `json:"apply_contract,omitempty"`
	RemoveContract  *RemoveContract  `json:"remove_contract,omitempty"`
	ApplyDeployment *ApplyDeployment `json:"apply_deployment,omitempty"`
	StartDrain      *StartDrain      `json:"start_drain,omitempty"`
	CancelDrain     *CancelDrain     `json:"cancel_drain,omitempty"`

	SetClientBlocksIndex *SetClientBlocksIndex `json:"set_client_blocks_index,omitempty"`
}

// WrapOperation returns the JSON form of an operation.
func WrapOperation(op Operation) OperationJSON {
	var out OperationJSON
	switch o := op.(type) {
	case ApplyContract:
		out.ApplyContract = &o
	case RemoveContract:
		out.RemoveContract = &o
	case ApplyDeployment:
		out.ApplyDeployment = &o
	case StartDrain:
		out.StartDrain = &o
	case CancelDrain:
		out.CancelDrain = &o
	case SetClientBlocksIndex:
		out.SetClientBlocksIndex = &o
	}
	return out
}

// Unwrap returns the operation that is set. It fails unless exactly one is.
func (j OperationJSON) Unwrap() (Operation, error) {
	var ops []Operation
	if j.ApplyContract != nil {
		ops = append(ops, *j.ApplyContract)
	}
	if j.RemoveContract != nil {
		ops = append(ops, *j.RemoveContract)
	}
	if j.ApplyDeployment != nil {
		ops = append(ops, *j.ApplyDeployment)
	}
	if j.StartDrain != nil {
		ops = append(ops, *j.StartDrain)
	}
	if j.CancelDrain != nil {
		ops = append(ops, *j.CancelDrain)
	}
	if j.SetClientBlocksIndex != nil {
		ops = append(ops, *j.SetClientBlocksIndex)
	}
	if len(ops) != 1 {
		return nil, findingError("operation", "must hold exactly one operation, has %d", len(ops))
	}
	return ops[0], nil
}
